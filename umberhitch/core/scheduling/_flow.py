"""Waiting requests of one customer at one priority."""

from bisect import bisect_left, insort
from dataclasses import dataclass, field

__all__ = ["Flow", "Ticket"]

OLDEST_EVERY = 3
"""Every third request of a customer is its oldest one, whatever its value: so none is served less
than a third as often as the customer's requests together."""


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A waiting request; the smaller ones of a customer are served first.

    Attributes
    ----------
    density : float
        Negative value per size.
    begin_by_s : float
    sequence : int
        Position in the order of arrival at the queue.
    """

    density: float
    begin_by_s: float
    sequence: int
    priority: int = field(compare=False)
    customer: str = field(compare=False)
    arrived_s: float = field(compare=False)
    size: float = field(compare=False)
    share: float = field(compare=False)

    @property
    def cost(self) -> float:
        """Return the virtual time by which the request delays its customer."""
        return self.size / self.share


@dataclass(slots=True)
class Flow:
    """Waiting requests of one customer at one priority, in the order of their service.

    Attributes
    ----------
    start_tag : float
        Start tag of the next request, in virtual time.
    """

    start_tag: float = 0.0
    by_value: list[Ticket] = field(default_factory=list)
    by_age: list[tuple[float, Ticket]] = field(default_factory=list)
    gaps: dict[int, float] = field(default_factory=dict)
    """Costs of removed requests which the customer pays before a later one, by sequence number."""
    _served: int = 0

    def __len__(self) -> int:
        return len(self.by_value)

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        insort(self.by_value, ticket)
        insort(self.by_age, _by_age(ticket))

    def head(self) -> Ticket:
        """Return the next request."""
        is_oldest = self._served % OLDEST_EVERY == OLDEST_EVERY - 1
        return self.by_age[0][1] if is_oldest else self.by_value[0]

    def last(self) -> Ticket:
        """Return the request that would be served last."""
        return self.by_value[-1]

    def serve(self, ticket: Ticket) -> None:
        """Remove a request which is served now, and let the customer pay for it."""
        self.start_tag += ticket.cost
        self._served += 1
        self.remove(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request, if it waits."""
        at = bisect_left(self.by_value, ticket)
        if at == len(self.by_value) or self.by_value[at] is not ticket:
            return False
        del self.by_value[at]
        del self.by_age[bisect_left(self.by_age, _by_age(ticket))]
        return True


def _by_age(ticket: Ticket) -> tuple[float, Ticket]:
    return ticket.arrived_s, ticket
