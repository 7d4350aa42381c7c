"""HTTP client of the platform's store."""

from typing import Any
from urllib.parse import urlencode

from msgspec import DecodeError, json

from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.h11_fetch import IsWanted, NoReplyError, fetch
from umberhitch.errors import LogAnswerLostError, LogBrokenOffError, LogUnavailableError
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import EndpointCall

__all__ = ["CALL_TIMEOUT_S", "StoreClient", "decode_response"]

Query = dict[str, Any]
CALL_TIMEOUT_S = 1.0
"""Seconds until a call fails; the store answers within a few ms, or some 100 ms when slow."""


class StoreClient:
    """Makes calls to the store.

    Parameters
    ----------
    http : EndpointClient
    clock : Clock
    address : str
        ``IP:PORT``.
    """

    def __init__(self, http: EndpointClient, clock: Clock, address: str) -> None:
        self.clock = clock
        self._http = http
        self._address = address
        self.calls = 0

    async def call(
        self,
        method: str,
        path: str,
        query: Query,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        is_wanted: IsWanted | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of a response, which must start within ``timeout_s``.

        Raises
        ------
        LogUnavailableError
            The store refused the call or could not be reached; the call had no effect.
        LogAnswerLostError
            The response is missing or incomplete; the call may take effect, even later.
        """
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        headers = [(b"Host", self._address.encode())]
        if method == "POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
            headers.append((b"Content-Type", b"application/json"))
        call = EndpointCall(
            "", method.encode(), target.encode(), headers, body, is_non_repeatable=True
        )
        try:
            fetched = fetch(self._http, self.clock, self._address, call, timeout_s, is_wanted)
            head, data = await fetched
        except NoReplyError as exc:
            if exc.has_begun:
                raise LogBrokenOffError(str(exc)) from exc
            if exc.was_sent:
                raise LogAnswerLostError(str(exc)) from exc
            raise LogUnavailableError(str(exc)) from exc
        if head.status in (429, 503):
            raise LogUnavailableError(f"the store returned status {head.status}")
        return head.status, data

    async def read(
        self,
        path: str,
        query: Query,
        timeout_s: float = CALL_TIMEOUT_S,
        is_wanted: IsWanted | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of the response to a call that changes nothing.

        Raises `LogUnavailableError` without a response, `LogBrokenOffError` if it is incomplete.
        """
        try:
            return await self.call("GET", path, query, b"", timeout_s, is_wanted)
        except LogBrokenOffError:
            raise
        except LogAnswerLostError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def post_json(self, path: str, body: dict[str, Any]) -> Any:
        """Post JSON and return the response's JSON; raises the errors of `call`."""
        status, data = await self.call("POST", path, {}, json.encode(body))
        return decode_response(status, data)


def decode_response(status: int, data: bytes) -> Any:
    """Return a response's JSON; raises `LogUnavailableError` if it has none."""
    if status != 200:
        raise LogUnavailableError(f"the store returned status {status}")
    try:
        return json.decode(data)
    except DecodeError as exc:
        raise LogUnavailableError(f"the store's response is not JSON: {exc}") from exc
