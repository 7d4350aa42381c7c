"""How many calls an endpoint can have so that each is on time, and how many it has."""

from collections.abc import Container
from dataclasses import dataclass
from math import sqrt

from umberhitch.core.direct._signals import ReportedLoad
from umberhitch.core.direct._work_times import WorkTime

__all__ = ["EndpointCounts", "count_places"]

MARGIN_DEVIATIONS = 1.0
"""Standard deviations of the time in the system that are left as a margin within the budget. The
budget itself leaves time as well; together they are more than two where work is short."""
REPORT_DECAY_S = 0.25
"""Time in which a reported count loses half of its weight to what peers tell, as often."""

FRESH_S = 0.05
"""Age up to which a reported count is taken as it is."""


def count_places(servers: int, work: WorkTime, budget_s: float) -> float:
    """Return how many calls an endpoint can have so that the last one ends within a time.

    With ``k`` calls waiting, the last call's time in the system has the mean ``m (k / s + 1)`` and
    the variance ``d² (k / s² + 1)``, where ``m`` and ``d`` are the mean and the deviation of the
    work time and ``s`` the number of servers. The mean plus the margin must not exceed the budget.
    A call that finds a free server always has a place, and so has one more that begins when the
    next server is free, if that is in time: it is there when the reply is still on its way.

    Parameters
    ----------
    servers : int
        Calls that the endpoint works on at once.
    work : WorkTime
    budget_s : float
        Seconds from sending the call to its end.
    """
    margin = (MARGIN_DEVIATIONS * work.deviation_s) ** 2
    spare_s = budget_s - work.mean_s
    least = servers + float(work.mean_s / servers <= spare_s)
    if spare_s <= sqrt(margin) or work.mean_s <= 0.0:
        return least
    # Solves (spare - m x)² = margin (x / s + 1) for x, the calls that wait per server.
    half = work.mean_s * spare_s + margin / (2.0 * servers)
    root = sqrt(max(0.0, half**2 - work.mean_s**2 * (spare_s**2 - margin)))
    return max(least, servers * (1.0 + (half - root) / work.mean_s**2))


@dataclass(frozen=True, slots=True)
class _Count:
    others: float
    others_waiting: float
    pace: float
    at_s: float


@dataclass(frozen=True, slots=True)
class _Full:
    calls: float
    until_s: float


class EndpointCounts:
    """Calls of other routers at each endpoint, by the endpoint's reports and by those of peers."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._full: dict[str, _Full] = {}

    def note_report(
        self, lifetime: str, load: ReportedLoad, own: int, own_waiting: int, now_s: float
    ) -> None:
        """Record a report of an endpoint at which this router has ``own`` calls itself."""
        if load.running is None:
            return
        waiting = load.waiting or 0
        others = max(0.0, float(load.running + waiting - own))
        others_waiting = max(0.0, float(waiting - own_waiting))
        pace = 1.0 if load.pace is None else load.pace
        self._counts[lifetime] = _Count(others, others_waiting, pace, now_s)

    def note_full(self, lifetime: str, calls: float, until_s: float) -> None:
        """Record that an endpoint refused a call while it had so many."""
        self._full[lifetime] = _Full(calls, until_s)

    def most(self, lifetime: str, now_s: float) -> float | None:
        """Return the number of calls at which an endpoint refused another one a short time ago."""
        full = self._full.get(lifetime)
        return None if full is None or now_s > full.until_s else full.calls

    def others(self, lifetime: str, peers: float, now_s: float) -> float:
        """Return the calls of other routers; ``peers`` is what these have told."""
        count = self._counts.get(lifetime)
        return peers if count is None else _blend(count.others, peers, now_s - count.at_s)

    def others_waiting(self, lifetime: str, peers: float, now_s: float) -> float:
        """Return the calls of other routers that wait; ``peers`` is what these have told."""
        count = self._counts.get(lifetime)
        return peers if count is None else _blend(count.others_waiting, peers, now_s - count.at_s)

    def is_fresh(self, lifetime: str, now_s: float) -> bool:
        """Whether an endpoint has reported its calls a moment ago."""
        count = self._counts.get(lifetime)
        return count is not None and now_s - count.at_s <= FRESH_S

    def pace(self, lifetime: str, now_s: float) -> float:
        """Return by what factor work takes longer than usual."""
        count = self._counts.get(lifetime)
        return 1.0 if count is None else _blend(count.pace, 1.0, now_s - count.at_s)

    def retain(self, lifetimes: Container[str]) -> None:
        """Discard what is known of all endpoints but those of some lifetimes."""
        self._counts = {key: each for key, each in self._counts.items() if key in lifetimes}
        self._full = {key: each for key, each in self._full.items() if key in lifetimes}


def _blend(reported: float, otherwise: float, age_s: float) -> float:
    weight = REPORT_DECAY_S / (REPORT_DECAY_S + max(0.0, age_s))
    return weight * reported + (1.0 - weight) * otherwise
