"""Whole replies: a call, its reply or why there is none.

A reply has to begin within a time, and then to go on. How long it takes in all is not limited by
that time: a configuration of 0.8 MB takes 1.3 s over 5 Mbit/s; a router that gave it up after 1.0 s
and began anew never had it, and filled its link.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from umberhitch.core.direct import ReplyHead
from umberhitch.ports.clock import Clock, Timer
from umberhitch.ports.direct import CallFailure, EndpointCall, EndpointPort, RunningCall

__all__ = ["NoReplyError", "NotWantedError", "fetch"]

STALL_S = 1.0
"""A reply that has begun is given up if no byte comes for so long. A link of 5 Mbit/s was seen to
hold packets for half a second, and one that was lost comes again within 0.2 to 0.6 s."""
LONGEST_S = 15.0
"""A reply is given up after so long, though it goes on: one that only trickles is of no use."""
LATE_S = 0.3
"""A timer that runs so much later than it was due tells that the process stood still."""
CATCH_UP_S = 0.1
"""Time in which a process that stood still reads what has come meanwhile."""


class NoReplyError(Exception):
    """A call brought no whole reply.

    Attributes
    ----------
    was_sent : bool
        Whether it may have had an effect.
    has_begun : bool
        Whether a reply had begun to come.
    """

    def __init__(self, was_sent: bool, detail: str, has_begun: bool = False) -> None:
        super().__init__(detail)
        self.was_sent = was_sent
        self.has_begun = has_begun


class NotWantedError(Exception):
    """A reply was given up by what it began with; ``start`` is what had come."""

    def __init__(self, start: bytes) -> None:
        super().__init__("not wanted")
        self.start = start


IsWanted = Callable[[bytearray], bool]


class _Fetch:
    """Collects one whole reply."""

    def __init__(self, clock: Clock, timeout_s: float, is_wanted: IsWanted | None) -> None:
        self.done: Deferred[tuple[ReplyHead, bytes]] = Deferred(self._cancel)
        self.running: RunningCall | None = None
        self._clock = clock
        self._is_wanted = is_wanted
        self._head: ReplyHead | None = None
        self._body = bytearray()
        self._begun_s = 0.0
        self._heard_s = 0.0
        """When something last came."""
        self._timer: Timer = clock.callLater(timeout_s, self._on_timeout)

    def on_head(self, head: ReplyHead) -> None:
        self._head = head
        self._begun_s = self._heard_s = self._clock.seconds()
        self._timer.cancel()
        self._watch(STALL_S)

    def on_late_head(self, head: ReplyHead) -> None:
        """Pass it over: the platform's replies say nothing of later ones."""

    def on_data(self, data: bytes) -> None:
        self._body += data
        self._heard_s = self._clock.seconds()
        if self._is_wanted is not None and not self._is_wanted(self._body):
            assert self.running is not None
            self.running.cancel()
            self._timer.cancel()
            self.done.errback(NotWantedError(bytes(self._body)))

    def on_end(self) -> None:
        assert self._head is not None
        self._timer.cancel()
        self.done.callback((self._head, bytes(self._body)))

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        self._timer.cancel()
        self._fail(failure is not CallFailure.NOT_SENT, detail)

    def _watch(self, delay_s: float) -> None:
        due_s = self._clock.seconds() + delay_s
        self._timer = self._clock.callLater(delay_s, self._look, due_s)

    def _look(self, due_s: float) -> None:
        """Give up a reply that does not go on."""
        now_s = self._clock.seconds()
        if now_s - due_s > LATE_S:
            self._watch(CATCH_UP_S)
            return
        left_s = min(self._heard_s + STALL_S, self._begun_s + LONGEST_S) - now_s
        if left_s > 0:
            self._watch(left_s)
            return
        self._on_timeout()

    def _cancel(self, done: Deferred[tuple[ReplyHead, bytes]]) -> None:
        """Give the call up; the deferred then fails with `CancelledError`."""
        assert self.running is not None
        self.running.cancel()
        self._timer.cancel()

    def _on_timeout(self) -> None:
        assert self.running is not None
        self.running.cancel()
        self._fail(True, "no reply in time")

    def _fail(self, was_sent: bool, detail: str) -> None:
        has_begun = self._head is not None
        if has_begun:
            took_s = self._clock.seconds() - self._begun_s
            detail += f", {len(self._body)} bytes read in {took_s:.2f} s"
        self.done.errback(NoReplyError(was_sent, detail, has_begun))


def fetch(
    client: EndpointPort,
    clock: Clock,
    address: str,
    call: EndpointCall,
    timeout_s: float,
    is_wanted: IsWanted | None = None,
) -> Deferred[tuple[ReplyHead, bytes]]:
    """Send a call and return its whole reply.

    Fails with `NoReplyError`, or with `NotWantedError`; cancelling it gives up the call.

    Parameters
    ----------
    client : EndpointPort
    clock : Clock
    address : str
        ``IP:PORT``.
    call : EndpointCall
    timeout_s : float
        Time within which the reply has to begin.
    is_wanted : callable, optional
        Called with the body so far whenever more has come; where it says no, the rest is not read.
    """
    collector = _Fetch(clock, timeout_s, is_wanted)
    collector.running = client.send(address, call, collector)
    return collector.done
