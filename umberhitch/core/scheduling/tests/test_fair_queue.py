"""Order and fairness of the queue of both paths."""

from collections import Counter

import pytest

from umberhitch.core.scheduling import FairQueue
from umberhitch.testing import make_claim


def test_urgent_requests_go_first_then_those_of_more_value_then_the_more_pressing() -> None:
    queue: FairQueue[str] = FairQueue()
    queue.push("late", make_claim(priority=2))
    queue.push("pressing", make_claim(value=1.0, begin_by_s=1.0))
    queue.push("patient", make_claim(value=1.0, begin_by_s=2.0))
    queue.push("valuable", make_claim(value=3.0))
    assert queue.peek() == "valuable"
    assert [queue.pop() for _ in range(4)] == ["valuable", "pressing", "patient", "late"]


def test_customers_are_served_by_their_shares_and_pay_by_size() -> None:
    queue: FairQueue[str] = FairQueue()
    for _ in range(60):
        queue.push("double", make_claim(customer="double", share=2.0))
        queue.push("single", make_claim(customer="single"))
        queue.push("large", make_claim(customer="large"), 4.0)
    counts = Counter(queue.pop() for _ in range(65))
    assert counts == {"double": 40, "single": 20, "large": 5}


def test_an_empty_queue_has_nothing_to_pop() -> None:
    queue: FairQueue[str] = FairQueue()
    ticket = queue.push("only", make_claim())
    assert queue.last() == "only"
    queue.remove(ticket)
    queue.remove(ticket)
    assert queue.peek() is None
    assert queue.last() is None
    assert not queue
    with pytest.raises(IndexError):
        queue.pop()
