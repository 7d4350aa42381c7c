"""Price of an engine's time, from the observed value that its queue delays.

Guards against a price that does not follow the load: engines that are idle for seconds and then
get more prompts than they can prefill should run large models in the first case only.
"""

import pytest

from umberhitch.core.direct import (
    AnswerValueLimits,
    CallerRequest,
    EngineDemand,
    EnginePrice,
    PromptPart,
    RouteKind,
    make_answer_value,
)
from umberhitch.testing import make_route

ROUTE = make_route("draft", RouteKind.STREAM, objective_s=4.0, priority=0)


def make_demand(requests_per_s: float, seconds: float = 20.0, routers: int = 1) -> EngineDemand:
    demand = EngineDemand()
    demand.router_count = routers
    parts = (PromptPart("p", 10_000),)
    req = CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)
    for index in range(round(requests_per_s * seconds)):
        demand.record_request(
            "svc", make_answer_value(ROUTE, req, AnswerValueLimits()), index / requests_per_s
        )
    return demand


def test_the_price_follows_the_load_and_the_number_of_engines():
    prices = [make_demand(load).price("svc", 4, 20.0).delay_price for load in (2.0, 4.0, 8.0)]
    assert prices[1] == pytest.approx(2 * prices[0], rel=0.15)
    assert prices[2] == pytest.approx(4 * prices[0], rel=0.15)
    assert make_demand(4.0).price("svc", 2, 20.0).delay_price == pytest.approx(2 * prices[1])


def test_routers_that_share_the_load_compute_the_same_price():
    single = make_demand(8.0).price("svc", 4, 20.0).delay_price
    shared = make_demand(2.0, routers=4).price("svc", 4, 20.0).delay_price
    assert shared == pytest.approx(single, rel=0.15)


def test_the_price_decays_after_demand_ends():
    demand = make_demand(8.0)
    assert (
        demand.price("svc", 4, 35.0).delay_price
        < 0.05 * make_demand(8.0).price("svc", 4, 20.0).delay_price
    )


def test_without_demand_time_costs_little():
    price = EngineDemand().price("svc", 4, 0.0)
    assert price.cost(1.0, 0.0) == price.cost(1.0, 5.0) == EngineDemand().limits.idle_price


def test_work_costs_more_behind_a_queue_and_most_where_it_makes_others_late():
    price = EnginePrice(0.0, 1.0, 1.0, 0.1)
    costs = [price.cost(0.5, backlog_s) for backlog_s in (0.0, 0.5, 1.0, 2.0)]
    assert costs == sorted(costs)
    assert costs[1] < 0.05
    assert costs[3] - costs[2] > 4 * (costs[1] - costs[0])


def test_half_of_the_work_costs_less_than_half():
    price = EnginePrice(0.0, 1.0, 1.0, 0.1)
    assert price.cost(1.0, 0.8) < price.cost(2.0, 0.8) / 2


def test_a_long_idle_time_leaves_no_demand_and_raises_no_error():
    demand = make_demand(1.0)
    assert demand.price("svc", 4, 1e6).delay_price == 0.0


def test_prompts_without_tokens_and_routes_without_an_objective_have_a_price():
    parts = (PromptPart("p", 0),)
    req = CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 0)
    demand = EngineDemand()
    for route in (ROUTE, make_route("now", RouteKind.STREAM, objective_s=0.0)):
        answer_value = make_answer_value(route, req, AnswerValueLimits())
        demand.record_request("svc", answer_value, 0.0)
        assert 0.0 <= answer_value.value_fraction(0.1) <= 1.0
    assert demand.price("svc", 4, 0.0).delay_price == 0.0
