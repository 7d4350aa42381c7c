"""The price of an engine's time: what its queue delays, observed, at any load.

Answers the pattern of a deployment whose engines idle for seconds and then get more prompts than
they can read: large models are to be used in the first case and not in the second.
"""

import pytest

from umberhitch.core.direct import (
    Ask,
    EngineDemand,
    EnginePrice,
    PromptPart,
    RouteKind,
    WorthLimits,
    make_stake,
)
from umberhitch.testing import make_route

ROUTE = make_route("draft", RouteKind.STREAM, objective_s=4.0, priority=0)


def make_demand(a_second: float, seconds: float = 20.0, routers: int = 1) -> EngineDemand:
    demand = EngineDemand()
    demand.routers = routers
    parts = (PromptPart("p", 10_000),)
    ask = Ask("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)
    for index in range(round(a_second * seconds)):
        demand.note("svc", make_stake(ROUTE, ask, WorthLimits()), index / a_second)
    return demand


def test_the_price_follows_the_load_and_the_engines_that_bear_it():
    prices = [make_demand(load).price("svc", 4, 20.0).pressure for load in (2.0, 4.0, 8.0)]
    assert prices[1] == pytest.approx(2 * prices[0], rel=0.15)
    assert prices[2] == pytest.approx(4 * prices[0], rel=0.15)
    assert make_demand(4.0).price("svc", 2, 20.0).pressure == pytest.approx(2 * prices[1])


def test_routers_that_share_the_load_find_the_same_price():
    whole = make_demand(8.0).price("svc", 4, 20.0).pressure
    shared = make_demand(2.0, routers=4).price("svc", 4, 20.0).pressure
    assert shared == pytest.approx(whole, rel=0.15)


def test_demand_that_ends_is_forgotten():
    demand = make_demand(8.0)
    assert (
        demand.price("svc", 4, 35.0).pressure
        < 0.05 * make_demand(8.0).price("svc", 4, 20.0).pressure
    )


def test_without_demand_time_costs_little():
    price = EngineDemand().price("svc", 4, 0.0)
    assert price.of(1.0, 0.0) == price.of(1.0, 5.0) == EngineDemand().limits.idle


def test_work_costs_more_behind_a_queue_and_most_where_it_makes_others_late():
    price = EnginePrice(0.0, 1.0, 1.0, 0.1)
    costs = [price.of(0.5, backlog_s) for backlog_s in (0.0, 0.5, 1.0, 2.0)]
    assert costs == sorted(costs)
    assert costs[1] < 0.05
    assert costs[3] - costs[2] > 4 * (costs[1] - costs[0])


def test_half_of_the_work_costs_less_than_half():
    price = EnginePrice(0.0, 1.0, 1.0, 0.1)
    assert price.of(1.0, 0.8) < price.of(2.0, 0.8) / 2


def test_a_long_idle_time_leaves_no_demand_and_no_error():
    demand = make_demand(1.0)
    assert demand.price("svc", 4, 1e6).pressure == 0.0


def test_prompts_without_tokens_and_routes_without_an_objective_are_priced_too():
    parts = (PromptPart("p", 0),)
    ask = Ask("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 0)
    demand = EngineDemand()
    for route in (ROUTE, make_route("now", RouteKind.STREAM, objective_s=0.0)):
        stake = make_stake(route, ask, WorthLimits())
        demand.note("svc", stake, 0.0)
        assert 0.0 <= stake.timely(0.1) <= 1.0
    assert demand.price("svc", 4, 0.0).pressure == 0.0
