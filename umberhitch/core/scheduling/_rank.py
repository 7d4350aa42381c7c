"""Customers with waiting requests of one priority, by start-time fair queueing."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from umberhitch.core.scheduling._flow import Flow, Ticket
from umberhitch.core.scheduling._least_parts import LeastParts

__all__ = ["Rank"]

MAX_IDLE_FLOWS = 1000
MAX_OUTDATED = 64
"""Outdated entries of the heap beyond twice the waiting requests, before it is made anew."""


@dataclass(slots=True)
class Rank:
    """Customers of one priority, and their order.

    Attributes
    ----------
    least_service : float
        See `LeastParts`.
    virtual_time : float
        Largest start tag that was served.
    waiting : int
        Number of waiting requests.
    """

    least_service: float
    virtual_time: float = 0.0
    waiting: int = 0
    _flows: dict[str, Flow] = field(default_factory=dict)
    _heap: list[tuple[float, int, str]] = field(default_factory=list)
    """Start tags, numbers of first requests, and customers; outdated ones are skipped."""

    def add(self, ticket: Ticket) -> None:
        """Add a request."""
        flow = self._flows.get(ticket.customer)
        if flow is None:
            self._drop_idle()
            flow = self._flows[ticket.customer] = Flow(LeastParts(self.least_service))
        flow.add(ticket, self.virtual_time)
        self.waiting += 1
        self._show(ticket.customer, flow)

    def head(self) -> Ticket:
        """Return the first request; one must wait."""
        while True:
            start_tag, sequence, customer = self._heap[0]
            flow = self._flows.get(customer)
            if flow and flow.start_tag == start_tag and flow.head().sequence == sequence:
                return flow.head()
            heappop(self._heap)

    def heads(self) -> Iterator[Ticket]:
        """Iterate over the first request of each customer, in the order of their service."""
        flows = [flow for flow in self._flows.values() if flow]
        flows.sort(key=lambda flow: (flow.start_tag, flow.head().sequence))
        return iter([flow.head() for flow in flows])

    def last(self) -> Ticket:
        """Return the last request of the customer whose last one has the latest start tag."""
        flows = [flow for flow in self._flows.values() if flow]
        return max(flows, key=lambda flow: flow.finish_tag - flow.last().cost).last()

    def next_start_tag(self, customer: str) -> float:
        """Return the start tag that a customer's next request would get."""
        flow = self._flows.get(customer)
        if flow is None:
            return self.virtual_time
        return flow.finish_tag if flow else max(flow.start_tag, self.virtual_time)

    def serve(self, ticket: Ticket) -> None:
        """Remove a request that is served now, and let its customer pay."""
        flow = self._flows[ticket.customer]
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.serve(ticket)
        self.waiting -= 1
        self._show(ticket.customer, flow)

    def remove(self, ticket: Ticket, is_paid: bool) -> None:
        """Remove a request."""
        flow = self._flows[ticket.customer]
        if flow.remove(ticket, is_paid):
            self.waiting -= 1
            self._show(ticket.customer, flow)

    def _show(self, customer: str, flow: Flow) -> None:
        """Note the first request of a customer, which may have changed."""
        if len(self._heap) > 2 * self.waiting + MAX_OUTDATED:
            self._heap = [
                (each.start_tag, each.head().sequence, name)
                for name, each in self._flows.items()
                if each
            ]
            heapify(self._heap)
        elif flow:
            heappush(self._heap, (flow.start_tag, flow.head().sequence, customer))

    def _drop_idle(self) -> None:
        """Drop customers that start at the current virtual time anyway."""
        if len(self._flows) >= MAX_IDLE_FLOWS:
            self._flows = {
                customer: flow
                for customer, flow in self._flows.items()
                if flow or flow.start_tag > self.virtual_time
            }
