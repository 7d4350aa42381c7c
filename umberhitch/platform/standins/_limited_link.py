"""Calls to the stand-in of the store over a link of limited bandwidth, on a virtual clock."""

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from msgspec import json

from umberhitch.core.direct import ReplyHead
from umberhitch.platform.standins._store import StoreStandin
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallEvents, EndpointCall, RunningCall

__all__ = ["LimitedLink"]

CHUNK_BYTES = 8192
"""What arrives at once."""
RESPONSE_DELAY_S = 0.004
"""Time of the store for one answer, and of the way."""
CLOCK_STEP_S = 0.01
"""Virtual clocks are advanced by this; what is due in between comes so much late."""


class LimitedLink:
    """One router's way to the store; an `EndpointPort`. Calls under way share the bandwidth.

    Parameters
    ----------
    store : StoreStandin
    clock : Clock
    bytes_per_s : float

    Attributes
    ----------
    is_stalled : bool
        Nothing arrives any more, while connections stay open.
    received_bytes : int
        Bytes of bodies that have arrived, also of calls that were given up.
    """

    def __init__(self, store: StoreStandin, clock: Clock, bytes_per_s: float) -> None:
        self.is_stalled = False
        self.received_bytes = 0
        self._store = store
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> RunningCall:
        """Begin a call."""
        running = _LimitedCall(self, events)
        self._clock.callLater(RESPONSE_DELAY_S, self._answer, call, running)
        return running

    def close_idle(self, address: str) -> None:
        """Do nothing: there are no connections."""

    def _answer(self, call: EndpointCall, running: "_LimitedCall") -> None:
        url = urlsplit(call.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        match url.path:
            case "/-/log-read":
                wait_s = int(query["waitMs"]) / 1000
                found = self._store.wait_for_records(topic, 0, int(query["from"]), wait_s)
                found.addCallback(running.start_response)
            case "/-/log-newest":
                running.start_response(
                    json.encode(self._store.newest_page(topic, query.get("after", "")))
                )
            case _:
                raise ValueError(f"not known here: {url.path}")

    def transfer(self, size: int, arrived: Callable[[], None]) -> None:
        """Call back when so many bytes have come over the link."""
        begin_s = max(self._free_s, self._clock.seconds() - CLOCK_STEP_S)
        self._free_s = begin_s + size / self._bytes_per_s
        self._clock.callLater(max(0.0, self._free_s - self._clock.seconds()), arrived)


class _LimitedCall:
    """One call; a `RunningCall`."""

    def __init__(self, link: LimitedLink, events: CallEvents) -> None:
        self._link = link
        self._events: CallEvents | None = events
        self._body = b""

    def start_response(self, body: bytes) -> None:
        """Send head and body."""
        if self._events is None:
            return
        self._body = body
        self._events.on_head(ReplyHead(200, [(b"Content-Length", str(len(body)).encode())]))
        self._carry_next()

    def _carry_next(self) -> None:
        if self._events is None or self._link.is_stalled:
            return
        if not self._body:
            self._events.on_end()
            return
        self._link.transfer(len(self._body[:CHUNK_BYTES]), self._on_piece)

    def _on_piece(self) -> None:
        if self._events is None or self._link.is_stalled:
            return
        piece, self._body = self._body[:CHUNK_BYTES], self._body[CHUNK_BYTES:]
        self._link.received_bytes += len(piece)
        self._events.on_data(piece)
        self._carry_next()

    def cancel(self) -> None:
        """Break off."""
        self._events = None

    def detach(self) -> None:
        """Drop what comes."""
        self._events = None

    def pause(self) -> None:
        """Go on: the store's answers are never paused."""

    def resume(self) -> None:
        """Go on."""
