"""HTTP client of the store, which follows the epoch that the store names in its answers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from msgspec import DecodeError, json
from twisted.internet.defer import CancelledError, Deferred

from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.h11_fetch import IsWanted, NoReplyError, fetch
from umberhitch.adapters.problem_log import ProblemLog
from umberhitch.core.direct import EpochVerdict, ReplyHead, StoreEpoch
from umberhitch.errors import (
    LogAnswerLostError,
    LogBrokenOffError,
    LogRestoredError,
    LogUnavailableError,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import EndpointCall, HeaderList

__all__ = ["CALL_TIMEOUT_S", "StoreAnswer", "StoreClient", "decode_response"]

Query = dict[str, Any]
CALL_TIMEOUT_S = 1.0
"""Seconds until a call fails; the store answers within a few ms, or some 100 ms when slow."""


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """An answer of the store, and the epoch that it is from."""

    status: int
    data: bytes
    epoch: int


class StoreClient:
    """Makes calls to the store.

    Parameters
    ----------
    http : EndpointClient
    clock : Clock
    address : str
        ``IP:PORT``.
    read_epoch : callable
        Returns the epoch that an answer names in its headers, None if it names none.
    epochs : StoreEpoch
        Takes note of it.
    """

    def __init__(
        self,
        http: EndpointClient,
        clock: Clock,
        address: str,
        read_epoch: Callable[[HeaderList], int | None],
        epochs: StoreEpoch,
    ) -> None:
        self.clock = clock
        self.epochs = epochs
        self._read_epoch = read_epoch
        self.epochs.on_change.append(self._on_epoch)
        self._http = http
        self._address = address
        self._problems = ProblemLog(clock, "epoch of the store")
        self._held: set[Deferred[tuple[ReplyHead, bytes]]] = set()
        """Calls that the store holds until there is a change."""
        self.calls = 0

    def _on_epoch(self, before: int, epoch: int) -> None:
        """Give up the held calls: a change may have got an offset before the one asked for."""
        held, self._held = self._held, set()
        for fetched in held:
            self.clock.callLater(0.0, fetched.cancel)

    async def call(
        self,
        method: str,
        path: str,
        query: Query,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        is_wanted: IsWanted | None = None,
        is_held: bool = False,
    ) -> StoreAnswer:
        """Return the response to a call, which must start within ``timeout_s``.

        Parameters
        ----------
        method, path : str
        query : dict
        body : bytes
        timeout_s : float
        is_wanted : callable, optional
            See `fetch`.
        is_held : bool
            Whether the store holds the call until there is a change.

        Raises
        ------
        LogRestoredError
            The store returned from another copy while it held the call.
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
        called_s = self.clock.seconds()
        fetched = fetch(self._http, self.clock, self._address, call, timeout_s, is_wanted)
        if is_held:
            self._held.add(fetched)
        try:
            head, data = await fetched
        except CancelledError as exc:
            raise LogRestoredError("the store returned while it held the call") from exc
        except NoReplyError as exc:
            if exc.has_begun:
                raise LogBrokenOffError(str(exc)) from exc
            if exc.was_sent:
                raise LogAnswerLostError(str(exc)) from exc
            raise LogUnavailableError(str(exc)) from exc
        finally:
            self._held.discard(fetched)
        epoch = self._check_epoch(head, called_s)
        if head.status in (429, 503):
            raise LogUnavailableError(f"the store returned status {head.status}")
        return StoreAnswer(head.status, data, epoch)

    def _check_epoch(self, head: ReplyHead, called_s: float) -> int:
        """Return the epoch of an answer; raises `LogAnswerLostError` if it is of an earlier one."""
        named = self._read_epoch(head.headers)
        verdict = self.epochs.note_answer(named, called_s, self.clock.seconds())
        if verdict is not EpochVerdict.CURRENT:
            self._problems.write(f"{verdict}: {named} where {self.epochs.current} is known")
        if verdict is EpochVerdict.LATE:
            raise LogAnswerLostError(f"answer of epoch {named} of the store, {verdict}")
        return self.epochs.current

    async def read(
        self,
        path: str,
        query: Query,
        timeout_s: float = CALL_TIMEOUT_S,
        is_wanted: IsWanted | None = None,
        is_held: bool = False,
    ) -> StoreAnswer:
        """Return the response to a call that changes nothing; see `call`.

        Raises `LogUnavailableError` without a response, `LogBrokenOffError` if it is incomplete.
        """
        try:
            return await self.call("GET", path, query, b"", timeout_s, is_wanted, is_held)
        except LogBrokenOffError:
            raise
        except LogAnswerLostError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def post_json(self, path: str, body: dict[str, Any]) -> Any:
        """Post JSON and return the response's JSON; raises the errors of `call`."""
        return decode_response(await self.call("POST", path, {}, json.encode(body)))


def decode_response(answer: StoreAnswer, status: int = 200) -> Any:
    """Return a response's JSON; raises `LogUnavailableError` if it has none, or another status."""
    if answer.status != status:
        raise LogUnavailableError(f"the store returned status {answer.status}")
    try:
        return json.decode(answer.data)
    except DecodeError as exc:
        raise LogUnavailableError(f"the store's response is not JSON: {exc}") from exc
