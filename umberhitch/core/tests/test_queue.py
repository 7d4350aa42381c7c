"""Ordering and fairness of the agent's queue."""

from collections import Counter

import pytest

from umberhitch.core.attempt import AttemptEntry
from umberhitch.core.queue import WorkQueue
from umberhitch.testing import make_start


class QueueFiller:
    """Pushes attempts with increasing sequence numbers."""

    def __init__(self) -> None:
        self.queue = WorkQueue()
        self.seq = 0

    def push(self, customer: str, priority: int = 5, share: float = 1.0) -> AttemptEntry:
        self.seq += 1
        start = make_start(self.seq, customer=customer, priority=priority)
        entry = AttemptEntry(start.attempt, start)
        self.queue.push(self.queue.position_for(priority, customer), entry, customer, share)
        return entry

    def pop_customers(self, count: int) -> list[str]:
        return [self.queue.pop().start.customer for _ in range(count)]


def test_urgent_work_is_served_first_and_equal_priorities_in_order() -> None:
    filler = QueueFiller()
    late, first, second = filler.push("a", 7), filler.push("a", 1), filler.push("a", 1)
    assert [filler.queue.pop() for _ in range(3)] == [first, second, late]


def test_a_backlog_does_not_delay_another_customer() -> None:
    filler = QueueFiller()
    for _ in range(50):
        filler.push("large")
    filler.push("small")
    assert "small" in filler.pop_customers(2)


def test_customers_are_served_in_proportion_to_their_shares() -> None:
    filler = QueueFiller()
    for _ in range(90):
        filler.push("double", share=2.0)
        filler.push("single", share=1.0)
    assert Counter(filler.pop_customers(90)) == {"double": 60, "single": 30}


def test_idle_customers_accumulate_no_credit() -> None:
    filler = QueueFiller()
    for _ in range(20):
        filler.push("busy")
    filler.pop_customers(10)
    for _ in range(10):
        filler.push("idle")
    assert abs(Counter(filler.pop_customers(10))["idle"] - 5) <= 1


def test_the_last_is_the_least_urgent_of_the_largest_backlog() -> None:
    filler = QueueFiller()
    filler.push("small", 7)
    for _ in range(3):
        newest = filler.push("large", 7)
    filler.push("large", 1)
    last = filler.queue.last()
    assert last is not None
    assert last[1] is newest


def test_removed_attempts_are_not_popped() -> None:
    filler = QueueFiller()
    removed, remaining = filler.push("a"), filler.push("a")
    filler.queue.remove(removed)
    assert len(filler.queue) == 1
    assert filler.queue.pop() is remaining


def test_an_attempt_that_is_queued_twice_is_served_once():
    queue = WorkQueue()
    start = make_start(1)
    entry = AttemptEntry(start.attempt, start)
    for _ in range(2):
        queue.push(queue.position_for(0, "c1"), entry, "c1", 1.0)
    assert len(queue) == 1
    assert queue.pop() is entry
    with pytest.raises(IndexError):
        queue.pop()
