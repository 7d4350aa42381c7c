"""What the HTTP servers share: bounded requests, listening, and answers in JSON."""

from typing import Any

from klein import Klein
from msgspec import json
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IListeningPort
from twisted.web.http import Request as BaseRequest
from twisted.web.server import Request, Site

from umberhitch.addresses import split_address

__all__ = ["BoundedSite", "listen_http", "send_json", "site_of"]

IDLE_TIMEOUT_S = 60
TOO_LARGE = "413 Payload Too Large"
UNAVAILABLE = "503 Service Unavailable"


class _BoundedRequest(Request):
    """Refuses a body over the site's limit before it is read whole."""

    channel: Any

    def __init__(self, channel: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(channel, *args, **kwargs)
        self._site: BoundedSite = channel.site
        self._site.note_begun(self)
        self.is_whole = False
        """Whether the body was read whole."""

    def gotLength(self, length: int | None) -> None:
        limit = self.channel.site.max_body_bytes
        if length is not None and length > limit:
            self._refuse_large()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        if self.content is None or self.content.closed:
            return
        if self.content.tell() + len(data) > self.channel.site.max_body_bytes:
            self._refuse_large()
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        self.is_whole = True
        super().process()

    def finish(self) -> None:
        super().finish()
        self._site.note_ended(self)

    def connectionLost(self, reason: Any) -> None:
        self._site.note_ended(self)
        super().connectionLost(reason)

    def _refuse_large(self) -> None:
        self.refuse(TOO_LARGE, "body_too_large", "the body is larger than this router takes")

    def refuse(self, status: str, code: str, message: str) -> None:
        """Answer a request that was not read whole, and close."""
        error = {"type": "invalid_request_error", "code": code, "message": message}
        body = json.encode({"error": error, "status": "not_run"})
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
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
        self._under_way: set[_BoundedRequest] = set()
        """Requests of which a part has come, and whose answer has not ended."""
        self._idle: list[Deferred[None]] = []

    def note_begun(self, request: _BoundedRequest) -> None:
        """Count a request from its first line on."""
        self._under_way.add(request)

    def note_ended(self, request: _BoundedRequest) -> None:
        """Stop counting a request that is answered or lost."""
        self._under_way.discard(request)
        if not self._under_way:
            idle, self._idle = self._idle, []
            for each in idle:
                each.callback(None)

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return not self._under_way

    def when_idle(self) -> Deferred[None]:
        """Return what fires once no request is under way."""
        if not self._under_way:
            return succeed(None)
        self._idle.append(Deferred())
        return self._idle[-1]

    def refuse_incomplete(self) -> None:
        """Refuse what was not read whole, as the process ends."""
        for request in [each for each in self._under_way if not each.is_whole]:
            request.refuse(UNAVAILABLE, "leaving", "this router stops")

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


def site_of(port: Any) -> BoundedSite:
    """Return the site behind a port of `listen_http`, with TLS or without."""
    site: BoundedSite = getattr(port.factory, "wrappedFactory", port.factory)
    return site
