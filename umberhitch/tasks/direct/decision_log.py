"""One log line for each decision that touches a request, within a bound.

Lines on what goes wrong have a budget of their own, so that a burst of good requests cannot crowd
them out. What did not fit is counted and said with the next line that does.
"""

from dataclasses import dataclass
from logging import getLogger

from umberhitch.ports.clock import Clock

__all__ = ["DecisionLimits", "DecisionLog"]

log = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DecisionLimits:
    """Lines a second; unused ones are kept for `burst_s`.

    Attributes
    ----------
    routine : float
        On what goes well.
    failures : float
        On what does not.
    burst_s : float
    """

    routine: float = 60.0
    failures: float = 60.0
    burst_s: float = 2.0


class _Bucket:
    """A token bucket."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self._rate = rate
        self._most = rate * burst_s
        self._left = self._most
        self._at_s: float | None = None
        self.dropped = 0

    def take(self, now_s: float) -> bool:
        if self._at_s is not None:
            self._left = min(self._most, self._left + self._rate * (now_s - self._at_s))
        self._at_s = now_s
        if self._left < 1.0:
            self.dropped += 1
            return False
        self._left -= 1.0
        return True


class DecisionLog:
    """Writes the lines of one router.

    Parameters
    ----------
    clock : Clock
    limits : DecisionLimits
    """

    def __init__(self, clock: Clock, limits: DecisionLimits | None = None) -> None:
        limits = limits or DecisionLimits()
        self._clock = clock
        self._routine = _Bucket(limits.routine, limits.burst_s)
        self._failures = _Bucket(limits.failures, limits.burst_s)

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
