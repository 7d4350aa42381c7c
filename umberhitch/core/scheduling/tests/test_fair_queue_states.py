"""Whatever comes, is served or is removed in any order: none is lost, and none waits for ever."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from umberhitch.core.scheduling import Claim, FairQueue, Ticket
from umberhitch.core.scheduling._least_parts import LEAST_PART, MAX_ADVANCE
from umberhitch.testing import make_claim

MAX_SIZE = 8.0
SHARES = (0.5, 1.0, 4.0)
PRIORITIES = 3
CUSTOMERS = 3


class QueueStates(RuleBasedStateMachine):
    """A queue beside a list of what must be in it."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[int] = FairQueue()
        self.waiting: dict[int, tuple[Ticket, Claim]] = {}
        self.now_s = 0.0
        self.number = 0

    @rule(
        priority=st.integers(0, PRIORITIES - 1),
        customer=st.integers(0, CUSTOMERS - 1),
        value=st.sampled_from([0.0, 1.0, 5.0]),
        size=st.sampled_from([0.5, 1.0, MAX_SIZE]),
        slack_s=st.floats(0.0, 5.0),
        waited_s=st.sampled_from([0.0, 0.0, 2.0]),
    )
    def push(
        self,
        priority: int,
        customer: int,
        value: float,
        size: float,
        slack_s: float,
        waited_s: float,
    ) -> None:
        self.now_s += 0.01
        self.number += 1
        claim = Claim(
            priority,
            value,
            f"c{customer}",
            SHARES[customer],
            self.now_s,
            self.now_s + slack_s,
            waited_s,
        )
        self.waiting[self.number] = (self.queue.push(self.number, claim, size), claim)

    @precondition(lambda self: self.waiting)
    @rule()
    def pop(self) -> None:
        first = self.queue.peek()
        assert first is not None
        assert next(self.queue.heads())[1] == first
        assert self.queue.pop() == first
        del self.waiting[first]

    @precondition(lambda self: self.waiting)
    @rule(choice=st.integers(0, 1000))
    def take_another_head(self, choice: int) -> None:
        heads = list(self.queue.heads())
        ticket, item = heads[choice % len(heads)]
        assert self.queue.take(ticket) == item
        del self.waiting[item]

    @precondition(lambda self: self.waiting)
    @rule(choice=st.integers(0, 1000), is_paid=st.booleans())
    def remove(self, choice: int, is_paid: bool) -> None:
        item = sorted(self.waiting)[choice % len(self.waiting)]
        ticket, _ = self.waiting.pop(item)
        self.queue.remove(ticket, is_paid)
        self.queue.remove(ticket, is_paid)

    @precondition(lambda self: self.waiting)
    @rule(choice=st.integers(0, 1000))
    def starve(self, choice: int) -> None:
        """Any request is served in a bounded time, though more urgent ones come without end.

        Those who come may have any priority and value, but are no longer more pressing.
        """
        ticket, claim = self.waiting[sorted(self.waiting)[choice % len(self.waiting)]]
        rival = make_claim(claim.customer, 0, 1000.0, claim.share, self.now_s)
        rival = replace(rival, begin_by_s=claim.begin_by_s)
        served, bound = 0.0, self._bound(ticket)
        while any(each is ticket for each, _ in self.waiting.values()):
            self.number += 1
            self.waiting[self.number] = (self.queue.push(self.number, rival), rival)
            item = self.queue.pop()
            served += self.waiting.pop(item)[0].size
            assert served <= bound

    def _bound(self, ticket: Ticket) -> float:
        """Return the sizes that are served at most before a request.

        Before it there are those of its customer and class. Of each, the class gets a part of what
        the customer is served, the customer its share of the priority, the priority a part of all.
        """
        ahead = ticket.size + sum(
            each.size for each, _ in self.waiting.values() if each.customer == ticket.customer
        )
        of_customer = (ahead + MAX_ADVANCE) / LEAST_PART + MAX_SIZE
        lag = max(SHARES) / ticket.share
        of_priority = of_customer * sum(SHARES) / ticket.share + lag * CUSTOMERS * MAX_SIZE
        return (of_priority + MAX_ADVANCE) / LEAST_PART + MAX_SIZE

    @invariant()
    def holds_all(self) -> None:
        assert len(self.queue) == len(self.waiting)
        assert sorted(self.queue.items()) == sorted(self.waiting)
        assert (self.queue.peek() is None) == (not self.waiting)
        assert (self.queue.last() is None) == (not self.waiting)

    @invariant()
    def the_most_pressing_of_a_class_goes_first(self) -> None:
        for head, _ in self.queue.heads():
            equals = [
                ticket
                for ticket, _ in self.waiting.values()
                if (ticket.priority, ticket.customer) == (head.priority, head.customer)
                and ticket.value_class == head.value_class
            ]
            assert head == min(equals)


QueueStates.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestQueueStates = QueueStates.TestCase
