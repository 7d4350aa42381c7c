"""One router's part of the places that a service has for all routers.

All routers read the same reports, which are old on arrival, so a place that looks free is not one
router's to take. Each has its part of all places at any time, without asking. Beyond it, a router
that needs more takes its part of each free slot that is reported to it, and gives up a part of
what it took whenever an endpoint reports no free slot. Late answers and refusals reduce the part,
down to that of the slots alone.
"""

from dataclasses import dataclass
from math import floor, inf

__all__ = ["PLACES_ERROR", "RouterPart", "ServicePlaces"]

DECREASE = 0.7
"""Factor of the part after late answers, and of what was taken beyond it once an endpoint has no
free slot."""
PLACES_ERROR = 1.5
"""Factor by which the calls at an endpoint may exceed its places: these are for half of the latency
objective, so that half as many again still leave a quarter of it."""
MAX_SAVED = 3.0
"""Places that the fraction of a part adds up to at most: callers come at random, often in twos and
threes."""
LATE_SHARE = 0.1
"""Share of late answers and refusals above which the part is reduced. The places leave a margin, so
that single late answers come from long work, and only many of them from too many calls."""
LATE_WEIGHT = 1 / 32
"""Weight of the newest answer in that share."""


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
    free_slots : float
        Slots that are free, as far as this router knows.
    own : int
        Calls of this router.
    routers : int
        Routers that use the service.
    cycle_s : float
        Seconds that a call keeps a place while all places are taken.
    """

    slots: int
    places: float
    taken: float
    free_slots: float
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
        """What late answers leave of the part."""
        self.extra = 0.0
        """Places taken beyond the part, while slots are free."""
        self._late_share = 0.0
        self._decreased_s = -inf
        self._saved = MAX_SAVED
        """Places that the fraction of the part beyond the whole ones had added up to."""
        self._saved_s = 0.0

    def limit(self, service: ServicePlaces) -> float:
        """Return this router's part of the places."""
        return max(float(service.slots), self.factor * service.places) / service.routers

    def share(self, service: ServicePlaces) -> float:
        """Return which share of each endpoint's places this router may have."""
        return (self.limit(service) + self.extra) / max(1.0, service.places)

    def has_place(self, service: ServicePlaces, reserved: float, now_s: float) -> bool:
        """Whether this router may take a place, and leave those reserved for others.

        It may take its own part, and its part of what others seem to leave free.
        """
        part = self.limit(service)
        others = service.taken - service.own
        left = max(0.0, self.factor * service.places - others - part) / service.routers
        limit = max(part + left, self._least(service)) - reserved
        if service.own + 1 <= floor(limit):
            return True
        if service.routers == 1 or service.own >= MAX_SAVED:
            return False
        return self._saved_now(part, service, now_s) >= 1.0 + reserved

    def _least(self, service: ServicePlaces) -> float:
        """Return the least number of places of this router, 1 or 0.

        It is 0 if one call of each router were too many for the endpoints.
        """
        return float(service.routers <= PLACES_ERROR * service.places)

    def _saved_now(self, part: float, service: ServicePlaces, now_s: float) -> float:
        """Return the places that the fraction of the part beyond the whole ones has added up to."""
        fraction = part - floor(part)
        saved = (now_s - self._saved_s) * fraction / max(service.cycle_s, MIN_CYCLE_S)
        return min(MAX_SAVED, self._saved + saved)

    def may_take_slot(self, service: ServicePlaces, reserved: float) -> bool:
        """Whether this router may take a free slot beyond its own part."""
        if service.routers == 1:
            return service.free_slots >= 1.0 + reserved
        return service.own + 1 <= self.limit(service) + self.extra - reserved

    def note_started(self, service: ServicePlaces, now_s: float) -> None:
        """Record that a call starts."""
        part = self.limit(service)
        saved = self._saved_now(part, service, now_s)
        if service.own + 1 > max(floor(part), self._least(service)):
            saved = max(0.0, saved - 1.0)
        self._saved, self._saved_s = saved, now_s

    def note_slots(self, free: float, service: ServicePlaces) -> None:
        """Record how many slots of an endpoint are free; a negative number is its queue."""
        limit = self.limit(service) + self.extra
        if free <= 0.0:
            self.extra *= DECREASE
        elif service.own + 1 > limit - 1.0:
            self.extra += free / service.routers

    def note_answer(
        self, is_on_time: bool, service: ServicePlaces, sent_s: float, now_s: float
    ) -> None:
        """Adapt the part to an answer, or to a refusal, which is not on time.

        Calls that were sent before the last reduction tell nothing about its effect.
        """
        if sent_s < self._decreased_s:
            return
        self._late_share += LATE_WEIGHT * (float(not is_on_time) - self._late_share)
        if is_on_time:
            self.factor = min(1.0, self.factor + 1.0 / max(1.0, self.limit(service)) ** 2)
        elif self._late_share > LATE_SHARE:
            least = service.slots / max(service.places, 1.0)
            self.factor = max(least, DECREASE * self.factor)
            self._decreased_s, self._late_share = now_s, 0.0
