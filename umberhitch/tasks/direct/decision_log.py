"""Rate-limited log of the decisions about requests, one line each.

Lines about failures have a budget of their own, so that a burst of successful requests cannot use
it up. Dropped lines are counted, and the next line that is written reports their number.
"""

from dataclasses import dataclass
from logging import getLogger

from umberhitch.ports.clock import Clock

__all__ = ["DecisionLimits", "DecisionLog"]

log = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DecisionLimits:
    """Rate limits of the log, in lines per second.

    Attributes
    ----------
    routine : float
        Rate of lines about normal operation.
    failures : float
        Rate of lines about failures.
    burst_s : float
        Seconds for which unused lines are saved up.
    """

    routine: float = 60.0
    failures: float = 60.0
    burst_s: float = 2.0


class _TokenBucket:
    """A token bucket."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self._rate = rate
        self._capacity = rate * burst_s
        self._tokens = self._capacity
        self._updated_s: float | None = None
        self.dropped = 0

    def take(self, now_s: float) -> bool:
        if self._updated_s is not None:
            self._tokens = min(
                self._capacity, self._tokens + self._rate * (now_s - self._updated_s)
            )
        self._updated_s = now_s
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Writes the decisions of one router to the log.

    Parameters
    ----------
    clock : Clock
    limits : DecisionLimits
    """

    def __init__(self, clock: Clock, limits: DecisionLimits | None = None) -> None:
        limits = limits or DecisionLimits()
        self._clock = clock
        self._routine = _TokenBucket(limits.routine, limits.burst_s)
        self._failures = _TokenBucket(limits.failures, limits.burst_s)

    def write(self, message: str, request: str | None, is_failure: bool, **facts: object) -> None:
        """Write a line, or count it as dropped."""
        bucket = self._failures if is_failure else self._routine
        if not bucket.take(self._clock.seconds()):
            return
        if request is not None:
            facts["request"] = request
        if bucket.dropped:
            facts["lines_dropped"], bucket.dropped = bucket.dropped, 0
        log.info(message, extra=facts)
