"""Order of waiting requests: by priority, then among customers, then by value.

Customers of one priority are served by start-time fair queueing (Goyal, Vin and Cheng, 1996): in
proportion to their shares, where what one leaves unused goes to the others (max-min fairness). A
customer pays for what is served, by its size.
"""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from umberhitch.core.scheduling._claim import Claim
from umberhitch.core.scheduling._flow import Flow, Ticket

__all__ = ["FairQueue", "Ticket"]

Item = TypeVar("Item")

MAX_IDLE_FLOWS = 1000
MAX_OUTDATED = 64


@dataclass(slots=True)
class _Rank:
    """Customers with waiting requests of one priority.

    Attributes
    ----------
    virtual_time : float
        Largest start tag that was served.
    heap : list
        Start tags and first requests of the flows; outdated ones are skipped.
    """

    virtual_time: float = 0.0
    waiting: int = 0
    flows: dict[str, Flow] = field(default_factory=dict)
    heap: list[tuple[float, int, str]] = field(default_factory=list)

    def put(self, ticket: Ticket) -> None:
        flow = self.flows.get(ticket.customer)
        if flow is None:
            self._drop_idle()
            flow = self.flows[ticket.customer] = Flow()
        if not flow:
            flow.start_tag = max(flow.start_tag, self.virtual_time)
        flow.add(ticket)
        self.waiting += 1
        self._show(ticket.customer, flow)

    def _show(self, customer: str, flow: Flow) -> None:
        """Note the first request of a flow, which may have changed."""
        if len(self.heap) > 2 * self.waiting + MAX_OUTDATED:
            self.heap = [
                (each.start_tag, each.head().sequence, name)
                for name, each in self.flows.items()
                if each
            ]
            heapify(self.heap)
        elif flow:
            heappush(self.heap, (flow.start_tag, flow.head().sequence, customer))

    def _drop_idle(self) -> None:
        if len(self.flows) < MAX_IDLE_FLOWS:
            return
        self.flows = {
            customer: flow
            for customer, flow in self.flows.items()
            if flow or flow.start_tag > self.virtual_time
        }

    def head(self) -> Ticket:
        while True:
            start_tag, sequence, customer = self.heap[0]
            flow = self.flows.get(customer)
            if flow and flow.start_tag == start_tag and flow.head().sequence == sequence:
                return flow.head()
            heappop(self.heap)

    def serve(self, ticket: Ticket) -> None:
        flow = self.flows[ticket.customer]
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.serve(ticket)
        self.waiting -= 1
        self._show(ticket.customer, flow)

    def remove(self, ticket: Ticket) -> bool:
        flow = self.flows.get(ticket.customer)
        if flow is None or not flow.remove(ticket):
            return False
        self.waiting -= 1
        self._show(ticket.customer, flow)
        return True


class FairQueue(Generic[Item]):
    """Waiting requests, in the order in which they take the places that become free."""

    def __init__(self) -> None:
        self._ranks: dict[int, _Rank] = {}
        self._items: dict[Ticket, Item] = {}
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: Item, claim: Claim, size: float = 1.0) -> Ticket:
        """Add a request of a size in places or tokens."""
        self._next_sequence += 1
        ticket = Ticket(
            -claim.value / size,
            claim.begin_by_s,
            self._next_sequence,
            claim.priority,
            claim.customer,
            claim.arrived_s,
            size,
            claim.share,
        )
        self._items[ticket] = item
        self._ranks.setdefault(claim.priority, _Rank()).put(ticket)
        return ticket

    def _first(self) -> Ticket | None:
        for priority in sorted(self._ranks):
            if self._ranks[priority].waiting:
                return self._ranks[priority].head()
        return None

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
        self._ranks[ticket.priority].serve(ticket)
        return self._items.pop(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that no longer waits, if it is there."""
        if self._items.pop(ticket, None) is not None:
            self._ranks[ticket.priority].remove(ticket)

    def last(self) -> Item | None:
        """Return the request that would be served last: to be refused first."""
        ranks = [priority for priority, rank in self._ranks.items() if rank.waiting]
        if not ranks:
            return None
        flows = [flow for flow in self._ranks[max(ranks)].flows.values() if flow]
        longest = max(flows, key=lambda flow: flow.start_tag + sum(e.cost for e in flow.by_value))
        return self._items[longest.last()]
