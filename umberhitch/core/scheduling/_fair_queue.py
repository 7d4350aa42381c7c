"""Order of waiting requests: by priority, then among customers, then by value.

Customers of one priority are served by start-time fair queueing (Goyal, Vin and Cheng, 1996): in
proportion to their shares, where what one leaves unused goes to the others (max-min fairness). A
customer pays for what is served, by its size. Of one customer, requests of more value per size go
first, and among those of about the same value the most pressing ones. Lower priorities, and those
of less value, get a small part in any case.
"""

from collections.abc import Iterator
from typing import Generic, TypeVar

from umberhitch.core.scheduling._claim import Claim
from umberhitch.core.scheduling._flow import Ticket, value_class
from umberhitch.core.scheduling._least_parts import LEAST_SERVICE, LeastParts
from umberhitch.core.scheduling._rank import Rank

__all__ = ["FairQueue", "Ticket"]

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Waiting requests, in the order in which they take the places that become free.

    Parameters
    ----------
    least_service : float
        A priority is served at least this often for each time that all are; 0 to serve strictly by
        priority.
    """

    def __init__(self, least_service: float = LEAST_SERVICE) -> None:
        self._ranks: dict[int, Rank] = {}
        self._least_service = least_service
        self._parts = LeastParts(least_service)
        self._items: dict[Ticket, Item] = {}
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: Item, claim: Claim, size: float = 1.0) -> Ticket:
        """Add a request, of a size in the unit in which customers pay."""
        self._next_sequence += 1
        ticket = Ticket(
            claim.begin_by_s - claim.waited_s,
            self._next_sequence,
            claim.priority,
            claim.customer,
            value_class(claim.value, size),
            size,
            claim.share,
        )
        self._items[ticket] = item
        rank = self._ranks.get(claim.priority)
        if rank is None:
            rank = self._ranks[claim.priority] = Rank(self._least_service)
        rank.add(ticket)
        self._parts.note_arrived(claim.priority, size)
        return ticket

    def items(self) -> Iterator[Item]:
        """Iterate over a copy of the waiting requests, in the order in which they came."""
        return iter(list(self._items.values()))

    def heads(self) -> Iterator[tuple[Ticket, Item]]:
        """Iterate over the first request of each customer, in the order of their service.

        Where the first one may not take a place that the next one may, `take` serves the latter.
        """
        waiting = self._waiting()
        first = self._choose(waiting) if waiting else None
        waiting.sort(key=lambda priority: (priority != first, priority))
        for priority in waiting:
            for ticket in self._ranks[priority].heads():
                yield ticket, self._items[ticket]

    def peek(self) -> Item | None:
        """Return the request that is served next."""
        ticket = self._first()
        return None if ticket is None else self._items[ticket]

    def pop(self) -> Item:
        """Remove the request that is served next, and let its customer pay for it.

        Raises
        ------
        IndexError
            If none waits.
        """
        ticket = self._first()
        if ticket is None:
            raise IndexError("the queue is empty")
        return self.take(ticket)

    def take(self, ticket: Ticket) -> Item:
        """Remove a request that is served now, and let its customer pay for it.

        Raises
        ------
        KeyError
            If it doesn't wait.
        """
        item = self._items.pop(ticket)
        waiting = self._waiting()
        rank = self._ranks[ticket.priority]
        rank.serve(ticket)
        self._parts.note_served(ticket.priority, ticket.size, waiting)
        self._note_empty(ticket.priority)
        return item

    def remove(self, ticket: Ticket, is_paid: bool = False) -> None:
        """Remove a request that no longer waits, if it is there.

        Parameters
        ----------
        ticket : Ticket
        is_paid : bool
            Whether its customer pays for it as if it had been served.
        """
        if self._items.pop(ticket, None) is not None:
            self._ranks[ticket.priority].remove(ticket, is_paid)
            self._note_empty(ticket.priority)

    def last(self) -> Item | None:
        """Return the request that would be served last: to be refused first."""
        ticket = self.last_ticket()
        return None if ticket is None else self._items[ticket]

    def last_ticket(self) -> Ticket | None:
        """Return the ticket of the request that would be served last."""
        waiting = self._waiting()
        return self._ranks[max(waiting)].last() if waiting else None

    def next_start_tag(self, priority: int, customer: str) -> float:
        """Return the start tag, in virtual time, that a customer's next request would get."""
        rank = self._ranks.get(priority)
        return 0.0 if rank is None else rank.next_start_tag(customer)

    def _waiting(self) -> list[int]:
        """Return the priorities of which requests wait."""
        return [priority for priority, rank in self._ranks.items() if rank.waiting]

    def _first(self) -> Ticket | None:
        waiting = self._waiting()
        return self._ranks[self._choose(waiting)].head() if waiting else None

    def _choose(self, waiting: list[int]) -> int:
        return self._parts.choose({each: self._ranks[each].head().size for each in waiting})

    def _note_empty(self, priority: int) -> None:
        if not self._ranks[priority].waiting:
            self._parts.note_empty(priority)
