"""Max-min parts: nobody could have more but at the cost of one who has less."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberhitch.core.scheduling._least_parts import LEAST_SERVICE
from umberhitch.core.scheduling._max_min import SPARE_PART, Demand, make_plan, water_fill

DEMANDS = st.lists(
    st.tuples(st.floats(0.0, 100.0), st.sampled_from([0.5, 1.0, 2.0, 4.0])), max_size=12
)


@settings(max_examples=300, deadline=None)
@given(st.floats(0.0, 100.0), DEMANDS)
def test_parts_are_max_min_fair(capacity: float, demands: list[tuple[float, float]]) -> None:
    parts = water_fill(capacity, demands)
    wanted = sum(each for each, _ in demands)
    assert sum(parts) == pytest.approx(min(capacity, wanted))
    for part, (demand, _) in zip(parts, demands, strict=True):
        assert -1e-9 <= part <= demand + 1e-9
    levels = [part / weight for part, (_, weight) in zip(parts, demands, strict=True)]
    for part, level, (demand, _) in zip(parts, levels, demands, strict=True):
        if part < demand - 1e-6:  # one that lacks something has as much as any, by weight
            assert level == pytest.approx(max(levels), abs=1e-6)


def test_a_customer_in_excess_leaves_free_what_others_wait_for() -> None:
    demands = {(1, 1): Demand(running=24.0, waiting=100.0), (1, 2): Demand(running=1.0, waiting=2)}
    plan = make_plan(demands, 24.0, 0.0)
    assert plan.parts == {(1, 1): pytest.approx(21.0), (1, 2): pytest.approx(3.0)}
    assert plan.spare[1] == pytest.approx(2.0)


def test_little_stays_free_for_those_who_may_come() -> None:
    demands = {(1, 1): Demand(running=20.0), (1, 2): Demand(usual=9.0)}
    plan = make_plan(demands, 20.0, 0.0)
    assert plan.spare[1] == pytest.approx(SPARE_PART * 20.0)


def test_nothing_stays_free_where_nobody_else_is() -> None:
    plan = make_plan({(1, 1): Demand(running=24.0, waiting=100.0, usual=50.0)}, 24.0, 0.0)
    assert plan.spare[1] == 0.0


def test_a_higher_priority_takes_all_but_the_least_part_of_the_others() -> None:
    demands = {(0, 1): Demand(waiting=48.0), (2, 2): Demand(waiting=48.0)}
    plan = make_plan(demands, 24.0, 0.0)
    assert plan.parts[0, 1] == 24.0
    assert plan.parts[2, 2] == 0.0
    assert plan.least[2, 2] == pytest.approx(LEAST_SERVICE * 24.0 / 2)
    assert plan.spare == {0: pytest.approx(24.0), 2: pytest.approx(24.0)}
