"""When callers who were refused for lack of room come back."""

from bisect import insort
from dataclasses import dataclass, field
from math import exp, floor

from umberhitch.core.direct._room import RoomForecast
from umberhitch.core.scheduling import Claim

__all__ = ["ReturnPlan"]

SPAN_S = 0.05
"""Returns are booked in spans of this length; shorter than callers notice."""
MAX_SPANS = 100
"""Spans that are looked at for one return: a caller's deadline may be far off."""
GOLDEN = 0.6180339887498949
"""Multiples of the golden ratio fill an interval evenly, however many there are."""
ARRIVALS_S = 1.0
"""Time over which new arrivals are measured."""
LEAST_RETURN_SHARE = 0.25
"""Part of the room that returns are booked for while new requests want all of it: one who has
waited goes first, but a span that is full of returns leaves no room for urgent ones."""
MAX_BOOKING_RATIO = 2.0
"""Most bookings of a span, as a multiple of its room. Those beyond its room are of higher priority
or the first of their customer; bookings that were made before lose by them."""


@dataclass(slots=True)
class _Booking:
    """Returns in a span: priority, time of the first try, customer."""

    taken: list[tuple[int, float, str]] = field(default_factory=list)

    def before(self, key: tuple[int, float, str]) -> int:
        return sum(each <= key for each in self.taken)


class ReturnPlan:
    """Books times to come back, at the rate at which room becomes free beside new arrivals.

    Callers return in the order of their priority, then of the time for which they have waited.
    Where no time that they honor has room, they are spread evenly over the later half of it.

    Parameters
    ----------
    offset : float
        From 0 to 1, different at each router, so that their spans interleave.

    Attributes
    ----------
    planned, unplanned : int
        Times named with room for the return, and without.
    """

    def __init__(self, offset: float = 0.0) -> None:
        self.planned = 0
        self.unplanned = 0
        self._fraction = offset % 1.0
        self._bookings: dict[int, _Booking] = {}
        self._arrivals_per_s = 0.0
        self._arrived_s = 0.0

    def note_arrival(self, now_s: float) -> None:
        """Count a request of a caller who isn't known to come back."""
        self._arrivals_per_s = self.arrivals_per_s(now_s) + 1.0 / ARRIVALS_S
        self._arrived_s = now_s

    def arrivals_per_s(self, now_s: float) -> float:
        """Return the rate of new requests."""
        return self._arrivals_per_s * exp((self._arrived_s - now_s) / ARRIVALS_S)

    def retry_at_s(
        self,
        claim: Claim,
        forecast: RoomForecast,
        now_s: float,
        earliest_s: float,
        latest_s: float,
    ) -> float:
        """Return the time at which a refused caller shall come back.

        Parameters
        ----------
        claim : Claim
        forecast : RoomForecast
            Room at this router, as far as it is this router's to use.
        now_s : float
        earliest_s, latest_s : float
            Earliest and latest time to name; callers don't honor a later one.
        """
        self._drop_past(now_s)
        span = self._find(claim, self._per_span(forecast, now_s), earliest_s, latest_s)
        if span is None:
            self.unplanned += 1
            first_s = max(earliest_s, (earliest_s + latest_s) / 2.0)
            return self._spread(first_s, max(first_s, latest_s))
        self.planned += 1
        key = (claim.priority, claim.arrived_s - claim.waited_s, claim.customer)
        insort(self._bookings.setdefault(span, _Booking()).taken, key)
        start_s = span * SPAN_S
        return self._spread(max(earliest_s, start_s), min(latest_s, start_s + SPAN_S))

    def _per_span(self, forecast: RoomForecast, now_s: float) -> float:
        """Return for how many returns a span has room."""
        rate = forecast.rate_per_s
        free_rate = max(rate - self.arrivals_per_s(now_s), LEAST_RETURN_SHARE * rate)
        return free_rate * SPAN_S

    def _find(
        self, claim: Claim, per_span: float, earliest_s: float, latest_s: float
    ) -> int | None:
        """Return the first span with room for a claim."""
        key = (claim.priority, claim.arrived_s - claim.waited_s, claim.customer)
        first = floor(earliest_s / SPAN_S) + 1
        for span in range(first, min(first + MAX_SPANS, floor(latest_s / SPAN_S))):
            # A fraction of a return per span is one every few spans.
            room = floor((span + 1) * per_span) - floor(span * per_span)
            booking = self._bookings.get(span)
            if booking is None:
                if room:
                    return span
                continue
            if len(booking.taken) >= MAX_BOOKING_RATIO * room:
                continue
            is_first = all(customer != claim.customer for _, _, customer in booking.taken)
            if is_first or booking.before(key) < room:
                return span
        return None

    def _spread(self, first_s: float, last_s: float) -> float:
        """Return the next of evenly spread times between two."""
        self._fraction = (self._fraction + GOLDEN) % 1.0
        return first_s + self._fraction * (last_s - first_s)

    def _drop_past(self, now_s: float) -> None:
        current = floor(now_s / SPAN_S)
        for span in [span for span in self._bookings if span < current]:
            del self._bookings[span]
