"""Model cascade: choice of the model by confidence, price and time."""

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


def make_request(prompt: int = 800, output: int = 300) -> CallerRequest:
    parts = (PromptPart("p", prompt),)
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, output)


def choose(
    confidence: int | None,
    wait_s: float = 0.1,
    req: CallerRequest | None = None,
    delay_cost: float = 0.0,
) -> str | None:
    req = req or make_request()
    answer_value = make_answer_value(ROUTE, req, AnswerValueLimits())
    candidate = Candidate(ENDPOINT, wait_s, delay_cost)
    choice = Cascade().next_model(
        ROUTE, req, answer_value, "small", confidence, PRICES, 0.05, candidate
    )
    return None if choice is None else choice.model


def test_the_smallest_model_is_tried_first_where_attempts_remain_for_another():
    assert Cascade().first_model(ROUTE, make_request()) == "small"
    single = make_route("draft", RouteKind.STREAM, models=("small", "large"), max_attempts=1)
    assert Cascade().first_model(single, make_request()) == "large"


@pytest.mark.parametrize(
    ("confidence", "expected"), [(0, "large"), (40, "large"), (100, None), (None, None)]
)
def test_an_answer_of_low_confidence_is_dropped_and_one_of_high_confidence_kept(
    confidence, expected
):
    assert choose(confidence) == expected


def test_where_the_large_model_would_be_late_only_a_bad_answer_is_dropped():
    assert choose(50, wait_s=2.0) is None
    assert choose(0, wait_s=2.0) == "large"


def test_the_confidence_threshold_is_lower_where_the_large_model_costs_much_of_the_value():
    thresholds = []
    for req in (make_request(800, 300), make_request(2400, 20)):
        thresholds.append(
            max(confidence for confidence in range(101) if choose(confidence, req=req) is not None)
        )
    assert thresholds[0] > thresholds[1]


def test_the_largest_models_answer_is_kept():
    answer_value = make_answer_value(ROUTE, make_request(), AnswerValueLimits())
    candidate = Candidate(ENDPOINT, 0.1)
    assert (
        Cascade().next_model(
            ROUTE, make_request(), answer_value, "large", 0, PRICES, 0.1, candidate
        )
        is None
    )


def test_a_bad_answer_is_kept_where_the_large_models_time_costs_other_requests_more():
    assert choose(20, delay_cost=0.2) == "large"
    assert choose(20, delay_cost=5.0) is None
