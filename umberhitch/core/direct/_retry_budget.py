"""How many calls beyond the first of each request the routers may make together."""

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryBudgetLimits"]

USED_SHARE = 0.85
"""Share of the budget that is used: each router counts on its own, and may be unlucky."""


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """A budget over a sliding window, shared by all routers.

    Attributes
    ----------
    ratio : float
        Calls beyond the first that are allowed for each request.
    slack : float
        Calls beyond the first that are allowed besides, over all routers.
    window_s : float
    """

    ratio: float = 0.5
    slack: float = 20.0
    window_s: float = 10.0


class RetryBudget:
    """One router's part of the budget, by service."""

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.router_count: int | None = None
        """Routers that share the slack; while it is not known how many, this one has none of it."""
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, deque()).append(now_s)

    def acquire(self, service: str, now_s: float) -> bool:
        """Take one call beyond the first, if there is one."""
        if self.remaining(service, now_s) < 1.0:
            return False
        self._repeats.setdefault(service, deque()).append(now_s)
        return True

    def remaining(self, service: str, now_s: float) -> float:
        """Return how many calls beyond the first may be made now."""
        requests = self._within(self._requests, service, now_s)
        repeats = self._within(self._repeats, service, now_s)
        limits = self.limits
        slack = limits.slack / self.router_count if self.router_count else 0.0
        allowed = limits.ratio * requests + slack
        return USED_SHARE * allowed - repeats

    def _within(self, times: dict[str, deque[float]], service: str, now_s: float) -> int:
        queue = times.get(service)
        if queue is None:
            return 0
        oldest_s = now_s - self.limits.window_s
        while queue and queue[0] < oldest_s:
            queue.popleft()
        return len(queue)
