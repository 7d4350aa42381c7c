"""Max-min fair parts of a capacity: by priority, and by weight among equals."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import sqrt

from umberhitch.core.scheduling._least_parts import LEAST_SERVICE

__all__ = ["Demand", "SharePlan", "UseKey", "make_plan", "water_fill"]

UseKey = tuple[int, int]
"""Priority, and digest of the customer's name."""
SPARE_PART = 0.08
"""Most places that stay free for requests that have yet to come, as a share of capacity."""

LEAST_USUAL = 0.1
"""Nothing stays free for those who usually use less than this part of one place."""


@dataclass(slots=True)
class Demand:
    """What a customer has at all routers, as far as this one knows.

    Attributes
    ----------
    refused : float
        What was refused lately.
    usual : float
        Mean of all this over the last seconds.
    usual_running : float
        Mean of what ran.
    """

    share: float = 1.0
    running: float = 0.0
    waiting: float = 0.0
    refused: float = 0.0
    usual: float = 0.0
    usual_running: float = 0.0

    @property
    def total(self) -> float:
        """Return all that the customer has here, or would have."""
        return self.running + self.waiting + self.refused

    @property
    def size(self) -> float:
        """Return how many places the customer would use if it got all it wants."""
        return max(self.total, self.usual)


@dataclass(frozen=True, slots=True)
class SharePlan:
    """Parts of a capacity.

    Attributes
    ----------
    parts : dict
        Places that are a customer's, by key.
    least : dict
        Places that are a customer's in the mean, though higher priorities want all.
    spare : dict
        By priority: places that one who has more than its part leaves free for the others.
    """

    made_s: float
    capacity: float
    parts: dict[UseKey, float] = field(default_factory=dict)
    least: dict[UseKey, float] = field(default_factory=dict)
    spare: dict[int, float] = field(default_factory=dict)


def water_fill(capacity: float, demands: list[tuple[float, float]]) -> list[float]:
    """Return the max-min fair parts for pairs of demand and weight.

    Nobody gets more than it demands, and what one leaves is divided among the others by weight.
    """
    parts = [0.0] * len(demands)
    weight = sum(each for _, each in demands)
    for number in sorted(range(len(demands)), key=lambda each: demands[each][0] / demands[each][1]):
        wanted, own_weight = demands[number]
        parts[number] = min(wanted, max(0.0, capacity) * own_weight / weight)
        capacity -= parts[number]
        weight -= own_weight
    return parts


def make_plan(demands: Mapping[UseKey, Demand], capacity: float, now_s: float) -> SharePlan:
    """Return the parts of customers: higher priorities first, the others get their least part."""
    plan = SharePlan(now_s, capacity)
    total = sum(each.size for each in demands.values()) or 1.0
    left, known = capacity, _Known()
    for priority in sorted({key[0] for key in demands}):
        group = {key: each for key, each in demands.items() if key[0] == priority}
        wanted = sum(each.size for each in group.values())
        weighted = [(each.size, each.share) for each in group.values()]
        parts = water_fill(left, weighted)
        plan.parts.update(zip(group, parts, strict=True))
        least = water_fill(LEAST_SERVICE * capacity * wanted / total, weighted)
        plan.least.update(zip(group, least, strict=True))
        left -= sum(parts)
        of_priority = _Known()
        for key, each in group.items():
            if each.running < plan.parts[key]:
                of_priority.add(each, plan.parts[key])
        plan.spare[priority] = known.plus(of_priority).spare(capacity)
        for key, each in group.items():
            known.add(each, plan.parts[key])
    return plan


@dataclass(slots=True)
class _Known:
    """What some customers run, and what they may still want."""

    running: float = 0.0
    usual: float = 0.0
    waiting: float = 0.0

    def add(self, demand: Demand, part: float) -> None:
        self.running += demand.running
        self.usual += min(part, demand.usual)
        self.waiting += min(demand.waiting, max(0.0, part - demand.running))

    def plus(self, other: "_Known") -> "_Known":
        return _Known(
            self.running + other.running,
            self.usual + other.usual,
            self.waiting + other.waiting,
        )

    def spare(self, capacity: float) -> float:
        """Return the places for those who wait, or a few for those who may come.

        Those come at random, so they use by a root of the usual number more at times.
        """
        if self.usual < LEAST_USUAL:
            return self.waiting
        expected = max(1.0, self.usual + sqrt(self.usual) - self.running)
        return max(self.waiting, min(expected, SPARE_PART * capacity))
