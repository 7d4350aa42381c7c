"""What the HTTP servers share: bounded requests, listening, and answers in JSON."""

from typing import Any

from klein import Klein
from msgspec import json
from twisted.internet.interfaces import IListeningPort
from twisted.web.http import Request as BaseRequest
from twisted.web.server import Request, Site

from umberhitch.addresses import split_address

__all__ = ["BoundedSite", "listen_http", "send_json"]

IDLE_TIMEOUT_S = 60
STATUS_TOO_LARGE = 413


class _BoundedRequest(Request):
    """Refuses a body over the site's limit before it is read whole."""

    channel: Any

    def gotLength(self, length: int | None) -> None:
        limit = self.channel.site.max_body_bytes
        if length is not None and length > limit:
            self._refuse()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        if self.content is None or self.content.closed:
            return
        if self.content.tell() + len(data) > self.channel.site.max_body_bytes:
            self._refuse()
            return
        super().handleContentChunk(data)

    def _refuse(self) -> None:
        body = json.encode(
            {
                "error": {
                    "type": "invalid_request_error",
                    "code": "body_too_large",
                    "message": "the body is larger than this router takes",
                },
                "status": "not_run",
            }
        )
        head = (
            f"HTTP/1.1 {STATUS_TOO_LARGE} Payload Too Large\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.loseConnection()


class BoundedSite(Site):
    """A site whose requests have bounded bodies and whose idle connections end."""

    requestFactory = _BoundedRequest

    def __init__(self, app: Klein, max_body_bytes: int) -> None:
        super().__init__(app.resource(), timeout=IDLE_TIMEOUT_S)
        self.max_body_bytes = max_body_bytes
        self.displayTracebacks = False
        self.noisy = False

    def log(self, request: BaseRequest) -> None:
        """Write no access log; the requests task logs outcomes."""


def listen_http(
    reactor: Any, app: Klein, address: str, max_body_bytes: int, tls: Any = None
) -> tuple[IListeningPort, str]:
    """Serve an application; returns the port and the address that it got.

    Parameters
    ----------
    reactor : IReactorTCP
    app : Klein
    address : str
        ``IP:PORT``; port 0 takes a free one.
    max_body_bytes : int
    tls : ContextFactory or None
    """
    host, port = split_address(address)
    site = BoundedSite(app, max_body_bytes)
    interface = host.strip("[]")
    if tls is None:
        listening = reactor.listenTCP(port, site, interface=interface)
    else:
        listening = reactor.listenSSL(port, site, tls, interface=interface)
    got = listening.getHost()
    return listening, f"{host}:{got.port}"


def send_json(request: Any, status: int, body: Any) -> bytes:
    """Set the status and return the body as JSON."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.encode(body)
