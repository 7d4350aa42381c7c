"""Order and fairness of the queue of both paths."""

from collections import Counter, deque
from dataclasses import replace

import pytest

from umberhitch.core.scheduling import Claim, FairQueue, Ticket
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


def _serve(
    queue: FairQueue[str], count: int, refill: dict[str, tuple[Claim, float]]
) -> Counter[str]:
    """Serve so many, each followed by an arrival of every kind, of which the queue keeps a few."""
    waiting: dict[str, deque[Ticket]] = {kind: deque() for kind in refill}
    served: Counter[str] = Counter()
    for _ in range(count):
        for kind, (claim, size) in refill.items():
            waiting[kind].append(queue.push(kind, claim, size))
            if len(waiting[kind]) > 20:
                queue.remove(waiting[kind].popleft())
        served[queue.pop()] += 1
    return served


@pytest.mark.parametrize("size", [1.0, 8.0])
def test_a_low_priority_is_served_a_quarter_as_often_as_all(size: float) -> None:
    """Both want more than all there is, for good; each demands by its sizes."""
    refill = {"high": (make_claim(priority=0), 1.0), "low": (make_claim(priority=5), size)}
    served = _serve(FairQueue(), 4000, refill)
    low, total = served["low"] * size, served["low"] * size + served["high"]
    assert low >= 0.25 * total * size / (1.0 + size)
    assert served["high"] >= 0.7 * total


def test_priority_0_at_070_of_capacity_never_feels_24_times_as_much_below() -> None:
    queue: FairQueue[str] = FairQueue()
    waits = []
    for place in range(4000):
        if place % 10 < 7:
            queue.push(f"{place}", make_claim(priority=0))
        for _ in range(24):
            queue.push("low", make_claim(priority=2))
        popped = queue.pop()
        if popped != "low":
            waits.append(place - int(popped))
    assert len(waits) >= 2795
    assert max(waits) <= 5


@pytest.mark.parametrize("dear_patience_s", [0.1, 100.0])
def test_a_kind_of_little_value_is_served_a_quarter_as_often_as_all_of_its_customer(
    dear_patience_s: float,
) -> None:
    """Whatever the patience of those with more value."""
    refill = {
        "dear": (make_claim(value=9.0, begin_by_s=dear_patience_s), 1.0),
        "cheap": (make_claim(value=1.0), 1.0),
    }
    served = _serve(FairQueue(), 2000, refill)
    assert served["cheap"] >= 0.25 * 2000 / 2


def test_a_large_kind_is_served_beside_small_ones_of_equal_value() -> None:
    """By its size: of all that is served, a quarter of what it demands as of all."""
    refill = {"small": (make_claim(value=1.0), 1.0), "large": (make_claim(value=1.0), 8.0)}
    served = _serve(FairQueue(), 4000, refill)
    total = served["small"] + 8 * served["large"]
    assert 8 * served["large"] >= 0.25 * total * 8 / 9


def test_a_customer_pays_only_for_what_is_served() -> None:
    """One whose requests wait in vain for a while isn't behind afterwards."""
    queue: FairQueue[str] = FairQueue()
    for ticket in [queue.push("eager", make_claim("eager")) for _ in range(500)]:
        queue.remove(ticket)
    for _ in range(10):
        queue.push("eager", make_claim("eager"))
        queue.push("calm", make_claim("calm"))
    assert Counter(queue.pop() for _ in range(10)) == {"eager": 5, "calm": 5}


def test_a_caller_who_came_back_goes_before_a_new_one_of_its_customer() -> None:
    queue: FairQueue[str] = FairQueue()
    queue.push("new", make_claim(arrived_s=5.0, begin_by_s=5.5))
    back = replace(make_claim(arrived_s=5.1, begin_by_s=5.6), waited_s=1.0)
    queue.push("back", back)
    assert queue.pop() == "back"


def test_another_head_may_be_taken_where_the_first_may_not() -> None:
    queue: FairQueue[str] = FairQueue()
    queue.push("first", make_claim("a"))
    queue.push("second", make_claim("b"))
    ticket, item = list(queue.heads())[1]
    assert queue.take(ticket) == item == "second"
    assert queue.pop() == "first"


def test_removals_without_end_leave_nothing_behind() -> None:
    queue: FairQueue[int] = FairQueue()
    for number in range(5000):
        queue.remove(queue.push(number, make_claim(f"c{number}")))
    rank = queue._ranks[0]
    assert len(rank._heap) <= 100
    assert len(rank._flows) <= 1001
