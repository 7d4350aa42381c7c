"""Waiting requests of one customer at one priority."""

from bisect import bisect_left, insort
from dataclasses import dataclass, field
from math import floor, log2

from umberhitch.core.scheduling._least_parts import LeastParts

__all__ = ["Flow", "Ticket", "value_class"]

NEXT_ADDED = 0
"""In place of the number of a request that is yet to come; numbers start at 1."""
NO_VALUE = 1000


def value_class(value: float, size: float) -> int:
    """Return the class of requests with about the same value per size; 0 has the most.

    Values of a class differ by less than a factor of two: less than that isn't worth being late.
    """
    return -floor(log2(value / size)) if value > 0.0 else NO_VALUE


@dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A waiting request; the smaller ones of a customer and class are served first.

    Attributes
    ----------
    begin_by_s : float
        Time by which it must begin, less what its caller waited in earlier tries.
    sequence : int
        Position in the order of arrival at the queue.
    """

    begin_by_s: float
    sequence: int
    priority: int = field(compare=False)
    customer: str = field(compare=False)
    value_class: int = field(compare=False)
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
    finish_tag : float
        Start tag of a request that would follow all waiting ones.
    """

    parts: LeastParts
    start_tag: float = 0.0
    finish_tag: float = 0.0
    _classes: dict[int, list[Ticket]] = field(default_factory=dict)
    _unpaid: dict[int, list[float]] = field(default_factory=dict)
    """Costs of removed requests that are paid once their successor, by its number, is the next."""

    def __bool__(self) -> bool:
        return bool(self._classes)

    def add(self, ticket: Ticket, virtual_time: float) -> None:
        """Add a request; a customer that had none starts at the current virtual time."""
        if not self._classes:
            self.start_tag = max(self.start_tag, virtual_time)
            self.finish_tag = self.start_tag
        elif NEXT_ADDED in self._unpaid:
            self._unpaid[ticket.sequence] = self._unpaid.pop(NEXT_ADDED)
        self.finish_tag += ticket.cost
        insort(self._classes.setdefault(ticket.value_class, []), ticket)
        self.parts.note_arrived(ticket.value_class, ticket.size)

    def head(self) -> Ticket:
        """Return the next request."""
        first = {key: tickets[0].size for key, tickets in self._classes.items()}
        return self._classes[self.parts.choose(first)][0]

    def last(self) -> Ticket:
        """Return the most patient request of the least value, which would be served last."""
        return self._classes[max(self._classes)][-1]

    def serve(self, ticket: Ticket) -> None:
        """Remove a request that is served now; the customer pays for it."""
        self.parts.note_served(ticket.value_class, ticket.size, list(self._classes))
        self._take(ticket)
        self._pay([*self._unpaid.pop(ticket.sequence, []), ticket.cost])
        self._settle()

    def remove(self, ticket: Ticket, is_paid: bool = False) -> bool:
        """Remove a request, if it waits; it costs the customer something only if it is paid."""
        follower = self._take(ticket)
        if follower is None:
            return False
        costs = self._unpaid.pop(ticket.sequence, [])
        if is_paid:
            costs.append(ticket.cost)
        else:
            self.finish_tag -= ticket.cost
        if costs:
            self._unpaid[follower] = [*costs, *self._unpaid.get(follower, [])]
        self._settle()
        return True

    def _take(self, ticket: Ticket) -> int | None:
        """Remove a request and return the number of its successor, None if it wasn't there."""
        tickets = self._classes.get(ticket.value_class, [])
        at = bisect_left(tickets, ticket)
        if at == len(tickets) or tickets[at] is not ticket:
            return None
        del tickets[at]
        if not tickets:
            del self._classes[ticket.value_class]
            self.parts.note_empty(ticket.value_class)
        return tickets[at].sequence if at < len(tickets) else NEXT_ADDED

    def _settle(self) -> None:
        """Pay what is due before the next request."""
        due = self.head().sequence if self._classes else NEXT_ADDED
        self._pay(self._unpaid.pop(due, []))

    def _pay(self, costs: list[float]) -> None:
        for cost in costs:
            self.start_tag += cost
