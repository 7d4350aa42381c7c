"""What those who come last get at the least while those before them want all."""

from collections.abc import Mapping

__all__ = ["LEAST_PART", "LEAST_SERVICE", "LeastParts"]

LEAST_SERVICE = 0.28
"""Priorities, and the kinds of a customer by their value, are served at least this often for each
time that all are, by what they demand. Users call a kind starved that is served less than a quarter
as often as all; and as the lower priorities get no more than this part together, priority 0 never
feels them at 0.7 of capacity."""
LEAST_PART = 1 / 64
"""Least part of what is served for those of little demand, so that the first one waits for 64 times
its size at the most."""
DEMAND_KEPT = 1000.0
"""Demand, in sizes, over which the parts are measured."""
MAX_ADVANCE = 32.0
"""Sizes served in the gaps of those before that count for the part later: a peak of the urgent
ones, for as long as some dozens of requests, isn't cut where the others had more before."""


class LeastParts:
    """An order of kinds, each of which gets a small part of what is served in any case.

    Kinds are numbers; smaller ones go first. While a kind waits, it earns its part of what is
    served, and is served once that is the size of its first request (deficit round robin).

    Parameters
    ----------
    least_service : float
        See `LEAST_SERVICE`; 0 for a strict order.
    """

    def __init__(self, least_service: float = LEAST_SERVICE) -> None:
        self._least_service = least_service
        self._demand: dict[int, float] = {}
        self._earned: dict[int, float] = {}

    def note_arrived(self, kind: int, size: float) -> None:
        """Count the demand of a kind; that of long ago counts less."""
        self._demand[kind] = self._demand.get(kind, 0.0) + size
        if sum(self._demand.values()) > DEMAND_KEPT:
            self._demand = {key: value / 2 for key, value in self._demand.items()}

    def part(self, kind: int) -> float:
        """Return the part of what is served that a kind gets at the least."""
        if not self._least_service:
            return 0.0
        total = sum(self._demand.values()) or 1.0
        return max(LEAST_PART, self._least_service * self._demand.get(kind, 0.0) / total)

    def choose(self, first: Mapping[int, float]) -> int:
        """Return the kind that is served next, of those that wait, by the sizes of their first."""
        if len(first) > 1:
            earned = [kind for kind, size in first.items() if self._earned.get(kind, 0.0) >= size]
            if earned:
                return min(earned)
        return min(first)

    def note_served(self, kind: int, size: float, waiting: list[int]) -> None:
        """Count what was served of a kind; those that wait, this one included, earn their parts."""
        self._earned[kind] = self._earned.get(kind, 0.0) - size
        for each in waiting:
            earned = self._earned.get(each, 0.0) + size * self.part(each)
            self._earned[each] = max(-MAX_ADVANCE, earned)

    def note_empty(self, kind: int) -> None:
        """Note that nothing of a kind waits any more; it earns nothing meanwhile."""
        self._earned[kind] = min(0.0, self._earned.get(kind, 0.0))
