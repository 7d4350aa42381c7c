"""Calls to the stand-in store over a link of limited bandwidth, on a virtual clock."""

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from msgspec import json

from umberhitch.core.direct import ReplyHead
from umberhitch.platform.standins._store import StoreStandin
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallEvents, EndpointCall, RunningCall

__all__ = ["LimitedLink"]

CHUNK_BYTES = 8192
"""Bytes that arrive at once."""
RESPONSE_DELAY_S = 0.004
"""Seconds until a response starts, for the store's work and the network latency."""
CLOCK_STEP_S = 0.01
"""Seconds by which virtual clocks advance; events due within a step are late by up to this."""


class LimitedLink:
    """One router's link to the store; implements `EndpointPort`.

    Concurrent calls share the bandwidth.

    Parameters
    ----------
    store : StoreStandin
    clock : Clock
    bytes_per_s : float

    Attributes
    ----------
    is_stalled : bool
        Whether no more data arrives while connections stay open.
    received_bytes : int
        Bytes of response bodies that arrived, including those of cancelled calls.
    """

    def __init__(self, store: StoreStandin, clock: Clock, bytes_per_s: float) -> None:
        self.is_stalled = False
        self.received_bytes = 0
        self._store = store
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._idle_from_s = 0.0

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> RunningCall:
        """Start a call."""
        running = _LimitedCall(self, events)
        self._clock.callLater(RESPONSE_DELAY_S, self._respond, call, running)
        return running

    def close_idle(self, address: str) -> None:
        """Do nothing, since the link has no connections."""

    def _respond(self, call: EndpointCall, running: "_LimitedCall") -> None:
        url = urlsplit(call.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        match url.path:
            case "/-/log-read":
                wait_s = int(query["waitMs"]) / 1000
                records = self._store.wait_for_records(topic, 0, int(query["from"]), wait_s)
                records.addCallback(running.start_response)
            case "/-/log-newest":
                running.start_response(
                    json.encode(self._store.newest_page(topic, query.get("after", "")))
                )
            case _:
                raise ValueError(f"unknown path: {url.path}")

    def transfer(self, size: int, on_arrival: Callable[[], None]) -> None:
        """Call ``on_arrival`` once ``size`` bytes have been transferred over the link."""
        start_s = max(self._idle_from_s, self._clock.seconds() - CLOCK_STEP_S)
        self._idle_from_s = start_s + size / self._bytes_per_s
        self._clock.callLater(max(0.0, self._idle_from_s - self._clock.seconds()), on_arrival)


class _LimitedCall:
    """One call over the link; implements `RunningCall`."""

    def __init__(self, link: LimitedLink, events: CallEvents) -> None:
        self._link = link
        self._events: CallEvents | None = events
        self._body = b""

    @property
    def is_sent(self) -> bool:
        """Return True, since the link never fails to connect."""
        return True

    def start_response(self, body: bytes) -> None:
        """Deliver the head, then the body in chunks."""
        if self._events is None:
            return
        self._body = body
        self._events.on_head(ReplyHead(200, [(b"Content-Length", str(len(body)).encode())]))
        self._transfer_next()

    def _transfer_next(self) -> None:
        if self._events is None or self._link.is_stalled:
            return
        if not self._body:
            self._events.on_end()
            return
        self._link.transfer(len(self._body[:CHUNK_BYTES]), self._on_chunk)

    def _on_chunk(self) -> None:
        if self._events is None or self._link.is_stalled:
            return
        chunk, self._body = self._body[:CHUNK_BYTES], self._body[CHUNK_BYTES:]
        self._link.received_bytes += len(chunk)
        self._events.on_data(chunk)
        self._transfer_next()

    def cancel(self) -> None:
        """Deliver no more events."""
        self._events = None

    def detach(self) -> None:
        """Deliver no more events."""
        self._events = None

    def pause(self) -> None:
        """Do nothing, since the store's responses are never paused."""

    def resume(self) -> None:
        """Do nothing, since the store's responses are never paused."""
