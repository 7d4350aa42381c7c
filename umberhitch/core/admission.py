"""Admission control per customer: sustained rate, burst, and requests in flight."""

from dataclasses import dataclass

from umberhitch.config import Limits
from umberhitch.core.outcome import NotRun, Reason

__all__ = ["AdmissionControl"]


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_s: float
    in_flight: int = 0


class AdmissionControl:
    """Token buckets and in-flight counters of the customers of one router.

    Parameters
    ----------
    routers : int
        Number of routers over which the limits of each customer are divided evenly.
    """

    def __init__(self, routers: int = 1) -> None:
        self.routers = routers
        self._buckets: dict[str, _TokenBucket] = {}

    def admit(self, customer: str, limits: Limits, now_s: float) -> NotRun | None:
        """Admit a request and count it as in flight, or return the reason for refusing it."""
        burst = max(1.0, limits.burst / self.routers)
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._buckets[customer] = _TokenBucket(burst, now_s)
        rate = limits.requests_per_s / self.routers
        if limits.concurrent and bucket.in_flight >= max(1, limits.concurrent // self.routers):
            return NotRun(Reason.RATE_LIMITED, "too many requests in flight", 1.0)
        if rate > 0:
            bucket.tokens = min(burst, bucket.tokens + (now_s - bucket.updated_s) * rate)
            bucket.updated_s = now_s
            if bucket.tokens < 1.0:
                return NotRun(Reason.RATE_LIMITED, "over the rate", (1.0 - bucket.tokens) / rate)
            bucket.tokens -= 1.0
        bucket.in_flight += 1
        return None

    def release(self, customer: str) -> None:
        """Remove an ended request from the in-flight count."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.in_flight = max(0, bucket.in_flight - 1)

    def in_flight(self, customer: str) -> int:
        """Return the number of requests in flight of a customer."""
        bucket = self._buckets.get(customer)
        return bucket.in_flight if bucket else 0
