"""A customer who asks little is served beside one that asks much, over all routers."""

import pytest

from umberhitch.testing._rivals import make_rivals, run_customers


@pytest.mark.parametrize(("routers", "seed"), [(1, 1), (3, 2), (6, 1), (6, 3)])
def test_a_small_customer_is_served_beside_one_that_asks_six_times_what_there_is(
    routers: int, seed: int
) -> None:
    small, capacity = run_customers(make_rivals(routers, seed, endpoints=4), 6.0, 0.7)
    assert small >= 0.9
    assert capacity >= 0.9


def test_a_small_customer_is_served_beside_one_that_asks_24_times_what_there_is() -> None:
    small, capacity = run_customers(make_rivals(6, 2, endpoints=4), 24.0, 0.3)
    assert small >= 0.9
    assert capacity >= 0.9


def test_thirty_routers_serve_a_small_customer() -> None:
    small, capacity = run_customers(make_rivals(30, 1), 6.0, 0.4)
    assert small >= 0.9
    assert capacity >= 0.9
