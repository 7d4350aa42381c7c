"""Retry budget that all routers share."""

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryBudgetLimits"]

USED_SHARE = 0.85
"""Share of the budget that is used. Each router counts only its own requests, so that without this
margin the retries of all routers together might exceed the budget by chance."""


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Limits of the retry budget over a sliding window, shared by all routers.

    Attributes
    ----------
    ratio : float
        Retries that are allowed per request.
    slack : float
        Retries that are allowed in addition, over all routers.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float = 0.5
    slack: float = 20.0
    window_s: float = 10.0


class RetryBudget:
    """One router's part of the retry budget, by service.

    Parameters
    ----------
    limits : RetryBudgetLimits
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.router_count: int | None = None
        """Routers that share the slack; this router gets none of it while the number is unknown."""
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, deque()).append(now_s)

    def acquire(self, service: str, now_s: float) -> bool:
        """Use one retry of the budget; return False if none remains."""
        if self.remaining(service, now_s) < 1.0:
            return False
        self._retries.setdefault(service, deque()).append(now_s)
        return True

    def give_back(self, service: str) -> None:
        """Give back a retry that was taken and not used."""
        retries = self._retries.get(service)
        if retries:
            retries.pop()

    def remaining(self, service: str, now_s: float) -> float:
        """Return the number of retries that may be sent now."""
        requests = self._count_recent(self._requests, service, now_s)
        retries = self._count_recent(self._retries, service, now_s)
        limits = self.limits
        slack = limits.slack / self.router_count if self.router_count else 0.0
        allowed = limits.ratio * requests + slack
        return USED_SHARE * allowed - retries

    def _count_recent(self, times: dict[str, deque[float]], service: str, now_s: float) -> int:
        queue = times.get(service)
        if queue is None:
            return 0
        oldest_s = now_s - self.limits.window_s
        while queue and queue[0] < oldest_s:
            queue.popleft()
        return len(queue)
