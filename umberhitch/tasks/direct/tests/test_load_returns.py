"""Callers who were refused come back in time, and not all at once."""

from collections import Counter

import pytest

from umberhitch.testing._rivals import make_rivals, run_returns

SPAN_S = 0.1


def peak_over_mean(times: list[float]) -> float:
    counts = Counter(int(each / SPAN_S) for each in times)
    mean = len(times) / (max(counts) - min(counts) + 1)
    return max(counts.values()) / mean


@pytest.mark.parametrize(("routers", "seed"), [(1, 1), (3, 2), (6, 1)])
def test_callers_of_a_burst_are_served_when_they_come_back(routers: int, seed: int) -> None:
    world = make_rivals(routers, seed, endpoints=2)
    callers = run_returns(world, retries=3)
    served = sum(any(each.is_served for each in tries) for tries in callers)
    assert len(callers) > 100
    assert served >= 0.9 * len(callers)
    times = [each.sent_s for tries in callers for each in tries[1:]]
    assert peak_over_mean(times) <= 3.0


def test_a_router_that_recognizes_all_serves_them_at_their_first_return() -> None:
    callers = run_returns(make_rivals(1, 1, endpoints=2), retries=1)
    served = sum(tries[1].is_served for tries in callers)
    assert served >= 0.9 * len(callers)
