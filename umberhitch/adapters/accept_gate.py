"""Limits the new connections that an overloaded router reads.

A load balancer may send most new connections to one router for seconds. What the router can't serve
in time it closes unread: the caller then knows that its request has not run, and another router
serves it. How overloaded the router is shows in how late its timers fire. This is measured only
while many connections arrive, so that a router at its usual load has no timer more.
"""

from umberhitch.ports.clock import Clock, Timer

__all__ = ["AcceptGate"]

CHECK_S = 0.05
"""Interval of the measurements."""
MAX_DELAY_S = 0.05
"""Delay of a timer above which the router is overloaded: less than half of the shortest latency
objective in use."""
MIN_ACCEPTED = 10
"""Number of connections within an interval from which on the delay is measured."""
DECREASE = 0.7
"""Factor of the share of the connections that are read, for each interval with overload."""
INCREASE = 0.02
"""Increase of that share for each interval without."""
MIN_SHARE = 0.1
"""Lowest share. A router that is ready always reads some connections."""


class AcceptGate:
    """Decides which new connections are read.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    closed : int
        Number of connections that were closed unread, since the start.
    """

    def __init__(self, clock: Clock) -> None:
        self.closed = 0
        self._clock = clock
        self._share = 1.0
        self._credit = 1.0
        self._accepted = 0
        self._interval_end_s = float("-inf")
        self._timer: Timer | None = None

    @property
    def share(self) -> float:
        """Share of the new connections that are read."""
        return self._share

    def admits(self) -> bool:
        """Whether the next connection is read."""
        self._count()
        self._credit = min(1.0, self._credit + self._share)
        if self._credit < 1.0:
            self.closed += 1
            return False
        self._credit -= 1.0
        return True

    def _count(self) -> None:
        """Count a connection, and start to measure once there are many."""
        if self._timer is not None:
            self._accepted += 1
            return
        now_s = self._clock.seconds()
        if now_s > self._interval_end_s:
            self._interval_end_s, self._accepted = now_s + CHECK_S, 0
        self._accepted += 1
        if self._accepted >= MIN_ACCEPTED:
            self._start_interval()

    def _start_interval(self) -> None:
        self._accepted = 0
        due_s = self._clock.seconds() + CHECK_S
        self._timer = self._clock.callLater(CHECK_S, self._measure, due_s)

    def _measure(self, due_s: float) -> None:
        self._timer = None
        if self._clock.seconds() - due_s > MAX_DELAY_S:
            self._share = max(MIN_SHARE, self._share * DECREASE)
        else:
            self._share = min(1.0, self._share + INCREASE)
        if self._share < 1.0 or self._accepted >= MIN_ACCEPTED:
            self._start_interval()
