"""The command-line tool's way to the administration API."""

import ssl
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPSConnection
from typing import Any
from urllib.parse import urlsplit

from msgspec import DecodeError, json

from umberhitch.errors import UmberhitchError

__all__ = ["ApiError", "ApiReply", "Client", "UnreachableError"]

TIMEOUT_S = 30.0


class UnreachableError(UmberhitchError):
    """No router answered; whether a change took effect is not known."""


class ApiError(UmberhitchError):
    """A router refused the call."""

    def __init__(self, status: int, message: str, findings: list[dict[str, str]]) -> None:
        super().__init__(message)
        self.status = status
        self.findings = findings


@dataclass(frozen=True, slots=True)
class ApiReply:
    """A router's answer."""

    status: int
    body: Any


@dataclass
class Client:
    """Calls the first router that answers.

    Attributes
    ----------
    routers : list of str
        ``IP:PORT`` or ``https://IP:PORT`` of the operators' interfaces.
    key : str
        The operator's key; empty where none is needed.
    ca_file : str
        Certificates that are trusted, for TLS; empty for the system's.
    """

    routers: list[str]
    key: str = field(default="", repr=False)
    ca_file: str = ""

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> ApiReply:
        """Make a call; tries the next router where one cannot be reached.

        Raises
        ------
        UnreachableError
            If no router answered.
        ApiError
            If a router answered with an error.
        """
        sent = {"Content-Type": "application/json", **(headers or {})}
        if self.key:
            sent["Authorization"] = f"Bearer {self.key}"
        data = None if body is None else json.encode(body)
        problems = []
        for router in self.routers:
            try:
                reply = self._exchange(router, method, path, data, sent)
            except (OSError, HTTPException, DecodeError) as exc:
                problems.append(f"{router}: {exc}")
                continue
            if reply.status >= 400 and "accepted" not in reply.body:
                raise ApiError(
                    reply.status, reply.body.get("error", ""), reply.body.get("findings", [])
                )
            return reply
        raise UnreachableError("; ".join(problems))

    def _exchange(
        self, router: str, method: str, path: str, data: bytes | None, headers: dict[str, str]
    ) -> ApiReply:
        conn = self._connect(router)
        try:
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            return ApiReply(response.status, json.decode(response.read()))
        finally:
            conn.close()

    def _connect(self, router: str) -> HTTPConnection:
        parts = urlsplit(router if "//" in router else f"http://{router}")
        if parts.scheme == "https":
            context = ssl.create_default_context(cafile=self.ca_file or None)
            return HTTPSConnection(parts.netloc, timeout=TIMEOUT_S, context=context)
        return HTTPConnection(parts.netloc, timeout=TIMEOUT_S)
