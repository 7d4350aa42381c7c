"""One router's part of the places that a service has for all routers.

All routers read the same reports, which are old on arrival, so a place that looks free is not one
router's to take. Each has its part of all places at any time, without asking. It gets more, a place
at a time, as reports show free slots: of each it may take what falls to it if all routers read the
same. Late answers and refusals reduce the part down to that of the slots alone.
"""

from dataclasses import dataclass
from math import exp, floor, inf

__all__ = ["RouterPart", "ServicePlaces"]

DECREASE = 0.7
"""Factor of the part after a late answer or a refusal."""
INCREASE = 1.0
"""Places by which the part grows in the time in which it is used once."""


@dataclass(frozen=True, slots=True)
class ServicePlaces:
    """Places of the endpoints that a request may go to, and how many routers share them.

    Attributes
    ----------
    slots : int
        Calls that the endpoints run at once.
    places : float
        Calls that they can have so that each is on time.
    taken : float
        Calls that they have, as far as this router knows.
    own : int
        Those of this router.
    routers : int
        Routers that use the service.
    cycle_s : float
        Seconds that a call keeps a place while all places are taken.
    """

    slots: int
    places: float
    taken: float
    own: int
    routers: int
    cycle_s: float

    @property
    def rate_per_s(self) -> float:
        """Return this router's part of the calls that the endpoints can end per second."""
        return self.places / max(self.cycle_s, MIN_CYCLE_S) / self.routers


MIN_CYCLE_S = 0.001


class RouterPart:
    """Decides whether a router may start one more call of a service."""

    def __init__(self) -> None:
        self.factor = 1.0
        self._decreased_s = -inf
        self._extra_s = -inf
        """Time of the last start beyond the whole places of the part."""
        self._lent = 0.0
        self._lent_s = 0.0

    def limit(self, service: ServicePlaces) -> float:
        """Return this router's part of the places."""
        return max(float(service.slots), self.factor * service.places) / service.routers

    def has_place(self, service: ServicePlaces, reserved: float, now_s: float) -> bool:
        """Whether this router's own part has a free place beyond those reserved for others."""
        limit = self.limit(service) - reserved
        return service.own + 1 <= floor(limit) or self._has_fraction(limit, service, now_s)

    def _has_fraction(self, limit: float, service: ServicePlaces, now_s: float) -> bool:
        """Whether the fraction of a place beyond the whole ones has added up to a place."""
        fraction = limit - floor(limit)
        if fraction <= 0.0 or service.own > limit:
            return False
        return now_s - self._extra_s >= service.cycle_s / fraction

    def is_lent(self, service: ServicePlaces, reserved: float, now_s: float) -> bool:
        """Whether this router may take a free slot beyond its own part."""
        if service.routers == 1:
            return service.taken + reserved < service.slots
        return self._lent_now(service.cycle_s, now_s) >= 1.0 + reserved

    def note_started(self, service: ServicePlaces, now_s: float) -> None:
        """Record that a call starts."""
        limit = self.limit(service)
        if service.own + 1 <= floor(limit):
            return
        if self._has_fraction(limit, service, now_s):
            self._extra_s = now_s
            return
        self._lent = max(0.0, self._lent_now(service.cycle_s, now_s) - 1.0)
        self._lent_s = now_s

    def note_free(self, slots: float, service: ServicePlaces, now_s: float) -> None:
        """Record that an endpoint has free slots, of which this router may take its part."""
        lent = self._lent_now(service.cycle_s, now_s) + slots / service.routers
        self._lent = min(max(slots, 1.0), lent)
        self._lent_s = now_s

    def note_answer(self, is_on_time: bool, service: ServicePlaces, now_s: float) -> None:
        """Adapt the part to an answer, or to a refusal, which is not on time."""
        limit = max(1.0, self.limit(service))
        if is_on_time:
            self.factor = min(1.0, self.factor + INCREASE / limit**2)
        elif now_s - self._decreased_s >= service.cycle_s:
            least = service.slots / max(service.places, 1.0)
            self.factor = max(least, DECREASE * self.factor)
            self._decreased_s = now_s

    def _lent_now(self, cycle_s: float, now_s: float) -> float:
        """Return the free slots that are this router's; those not taken are soon others'."""
        return self._lent * exp((self._lent_s - now_s) / max(cycle_s, MIN_CYCLE_S))
