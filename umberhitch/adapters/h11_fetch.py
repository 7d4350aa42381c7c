"""Whole replies: a call, its reply or why there is none, within a time."""

from twisted.internet.defer import Deferred

from umberhitch.core.direct import ReplyHead
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallFailure, EndpointCall, EndpointPort, RunningCall

__all__ = ["NoReplyError", "fetch"]


class NoReplyError(Exception):
    """A call brought no whole reply; ``was_sent`` tells whether it may have had an effect."""

    def __init__(self, was_sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


class _Fetch:
    """Collects one whole reply."""

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self.done: Deferred[tuple[ReplyHead, bytes]] = Deferred()
        self.running: RunningCall | None = None
        self._head: ReplyHead | None = None
        self._body = bytearray()
        self._timer = clock.callLater(timeout_s, self._on_timeout)

    def on_head(self, head: ReplyHead) -> None:
        self._head = head

    def on_data(self, data: bytes) -> None:
        self._body += data

    def on_end(self) -> None:
        assert self._head is not None
        self._timer.cancel()
        self.done.callback((self._head, bytes(self._body)))

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        self._timer.cancel()
        self.done.errback(NoReplyError(failure is not CallFailure.NOT_SENT, detail))

    def _on_timeout(self) -> None:
        assert self.running is not None
        self.running.cancel()
        self.done.errback(NoReplyError(True, "no reply in time"))


def fetch(
    client: EndpointPort, clock: Clock, address: str, call: EndpointCall, timeout_s: float
) -> Deferred[tuple[ReplyHead, bytes]]:
    """Send a call and return its whole reply; fails with `NoReplyError`."""
    collector = _Fetch(clock, timeout_s)
    collector.running = client.send(address, call, collector)
    return collector.done
