"""Bodies of answers, read whole, or given up where they do not go on.

What treq limits by its time-out is the time until the head of an answer is there. A connection that
went silent after that was waited for without end.
"""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from umberhitch.ports.clock import Clock, Timer

__all__ = ["STALL_S", "StalledError", "read_body"]

STALL_S = 3.0
"""A body is given up if no byte comes for so long; a lost packet comes again within a second."""


class StalledError(Exception):
    """A body did not go on."""


class _Body(Protocol):
    """Collects a body."""

    transport: Any

    def __init__(self, clock: Clock, stall_s: float) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._clock = clock
        self._stall_s = stall_s
        self._pieces: list[bytes] = []
        self._timer: Timer = clock.callLater(stall_s, self._on_stall)

    def dataReceived(self, data: bytes) -> None:
        self._pieces.append(data)
        self._timer.cancel()
        self._timer = self._clock.callLater(self._stall_s, self._on_stall)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.done.called:
            return
        self._timer.cancel()
        if reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b"".join(self._pieces))
        else:
            self.done.errback(reason)

    def _on_stall(self) -> None:
        self.done.errback(StalledError(f"nothing came for {self._stall_s} s"))
        self.transport.abortConnection()


def read_body(response: Any, clock: Clock, stall_s: float = STALL_S) -> Deferred[bytes]:
    """Return a response's body.

    Fails with `StalledError` where no byte comes for ``stall_s`` seconds.
    """
    if response.length == 0:
        return succeed(b"")
    body = _Body(clock, stall_s)
    response.deliverBody(body)
    return body.done
