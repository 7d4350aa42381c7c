"""Admission of requests by customer: sustained rate, burst, and requests in flight."""

from dataclasses import dataclass

from umberhitch.config import Limits
from umberhitch.core.outcome import NotRun, Reason

__all__ = ["AdmissionControl"]


@dataclass(slots=True)
class _Account:
    tokens: float
    at_s: float
    in_flight: int = 0


class AdmissionControl:
    """Owns the counters of each customer at one router.

    Parameters
    ----------
    routers : int
        Routers among which a customer's limits are divided.
    """

    def __init__(self, routers: int = 1) -> None:
        self.routers = routers
        self._accounts: dict[str, _Account] = {}

    def admit(self, customer: str, limits: Limits, now_s: float) -> NotRun | None:
        """Count a request in, or return why it is refused."""
        burst = max(1.0, limits.burst / self.routers)
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(burst, now_s)
        rate = limits.requests_per_s / self.routers
        if limits.concurrent and account.in_flight >= max(1, limits.concurrent // self.routers):
            return NotRun(Reason.RATE_LIMITED, "too many requests in flight", 1.0)
        if rate > 0:
            account.tokens = min(burst, account.tokens + (now_s - account.at_s) * rate)
            account.at_s = now_s
            if account.tokens < 1.0:
                return NotRun(Reason.RATE_LIMITED, "over the rate", (1.0 - account.tokens) / rate)
            account.tokens -= 1.0
        account.in_flight += 1
        return None

    def release(self, customer: str) -> None:
        """Count a request out."""
        account = self._accounts.get(customer)
        if account is not None:
            account.in_flight = max(0, account.in_flight - 1)

    def in_flight(self, customer: str) -> int:
        """Return a customer's requests in flight."""
        account = self._accounts.get(customer)
        return account.in_flight if account else 0
