"""Model choice: by confidence, price and time."""

import pytest

from umberhitch.core.direct import (
    AnswerValueLimits,
    CallerRequest,
    Candidate,
    Cascade,
    Endpoint,
    PromptPart,
    RouteKind,
    make_answer_value,
)
from umberhitch.testing import make_endpoint_entry, make_route

ROUTE = make_route(
    "draft", RouteKind.STREAM, models=("small", "large"), objective_s=1.5, priority=0
)
ENDPOINT = Endpoint(make_endpoint_entry("e1"))
PRICES = {"small": 0.02, "large": 0.35}


def make_ask(read: int = 800, made: int = 300) -> CallerRequest:
    parts = (PromptPart("p", read),)
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, made)


def choose(
    confidence: int | None,
    wait_s: float = 0.1,
    ask: CallerRequest | None = None,
    delay_cost: float = 0.0,
) -> str | None:
    ask = ask or make_ask()
    stake = make_answer_value(ROUTE, ask, AnswerValueLimits())
    offer = Candidate(ENDPOINT, wait_s, delay_cost)
    return Cascade().next_model(ROUTE, ask, stake, "small", confidence, PRICES, 0.05, offer)


def test_the_smallest_model_is_asked_first_where_there_are_attempts_for_another():
    assert Cascade().first_model(ROUTE, make_ask()) == "small"
    single = make_route("draft", RouteKind.STREAM, models=("small", "large"), max_attempts=1)
    assert Cascade().first_model(single, make_ask()) == "large"


@pytest.mark.parametrize(
    ("confidence", "expected"), [(0, "large"), (40, "large"), (100, None), (None, None)]
)
def test_a_doubtful_answer_is_dropped_and_a_sure_one_kept(confidence, expected):
    assert choose(confidence) == expected


def test_what_would_come_late_is_dropped_only_if_it_is_worth_little():
    assert choose(50, wait_s=2.0) is None
    assert choose(0, wait_s=2.0) == "large"


def test_the_bar_is_lower_where_the_large_model_costs_much_of_the_worth():
    bars = []
    for ask in (make_ask(800, 300), make_ask(2400, 20)):
        bars.append(max(each for each in range(101) if choose(each, ask=ask) is not None))
    assert bars[0] > bars[1]


def test_the_largest_models_answer_is_kept():
    stake = make_answer_value(ROUTE, make_ask(), AnswerValueLimits())
    offer = Candidate(ENDPOINT, 0.1)
    assert Cascade().next_model(ROUTE, make_ask(), stake, "large", 0, PRICES, 0.1, offer) is None


def test_a_bad_answer_is_kept_where_the_large_models_time_costs_others_more():
    assert choose(20, delay_cost=0.2) == "large"
    assert choose(20, delay_cost=5.0) is None
