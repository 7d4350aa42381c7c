"""When a larger model is called and how long it is waited for; what is learned of its waits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import (
    AnswerValueLimits,
    CallerRequest,
    LargerWait,
    LargerWaits,
    ModelValues,
    PromptPart,
    RouteKind,
    WaitSample,
    give_up_s,
    is_worth_calling,
    latest_delivery_s,
    make_answer_value,
)
from umberhitch.testing import make_route

OBJECTIVE_S = 4.0
LATEST_S = 3.85


def make_values(good_share: float = 0.01, delay_cost: float = 0.0) -> ModelValues:
    route = make_route("draft", RouteKind.STREAM, objective_s=OBJECTIVE_S, priority=0)
    parts = (PromptPart("p", 10_000),)
    req = CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)
    value = make_answer_value(route, req, AnswerValueLimits())
    return ModelValues(value, good_share, 0.01, 0.3, delay_cost)


@pytest.mark.parametrize("objective_s", [0.05, 0.5, 2.0, 5.0, 20.0])
@pytest.mark.parametrize("deadline_s", [0.05, 2.0, 6.0, 12.0])
def test_an_answer_is_passed_on_before_the_objective_and_the_deadline(objective_s, deadline_s):
    limit_s = min(objective_s, deadline_s)
    assert 0.7 * limit_s < latest_delivery_s(objective_s, deadline_s) < limit_s
    if limit_s >= 2.0:
        assert latest_delivery_s(objective_s, deadline_s) == pytest.approx(limit_s - 0.15)


def test_a_larger_model_is_called_only_where_it_begins_before_the_answer_is_passed_on():
    values = make_values()
    assert is_worth_calling(values, LargerWait(0.5, 3.0, 0.0), 0.5, LATEST_S)
    assert not is_worth_calling(values, LargerWait(0.5, 3.4, 0.0), 0.5, LATEST_S)
    assert not is_worth_calling(values, LargerWait(0.5, 1.0, 2.4), 0.5, LATEST_S)


def test_a_call_that_is_overdue_is_taken_to_need_as_long_again():
    wait = LargerWait(1.0, 0.5, 0.25)
    assert wait.arrival_s(1.2) == 1.75
    assert wait.arrival_s(1.75) == 1.75
    assert wait.arrival_s(2.0) == pytest.approx(2.25)


def test_a_worthless_answer_waits_until_the_latest_moment():
    assert give_up_s(make_values(0.0), LargerWait(0.1, 0.1, 0.0), LATEST_S) == LATEST_S


def test_a_better_answer_waits_less():
    times_s = [
        give_up_s(make_values(good), LargerWait(0.1, 0.1, 0.0), LATEST_S)
        for good in (0.0, 0.3, 0.5, 0.7, 0.9)
    ]
    assert times_s == sorted(times_s, reverse=True)
    assert times_s[0] > times_s[-1]


def test_an_answer_waits_less_where_the_larger_call_delays_others():
    wait = LargerWait(0.1, 0.1, 0.0)
    assert give_up_s(make_values(0.5, 1.5), wait, LATEST_S) < give_up_s(
        make_values(0.5), wait, LATEST_S
    )


@given(
    good=st.floats(0.0, 1.0),
    sent_s=st.floats(0.0, 5.0),
    expected_s=st.floats(0.0, 5.0),
    learned_s=st.floats(0.0, 20.0),
    delay_cost=st.floats(0.0, 5.0),
)
def test_no_wait_ends_after_the_latest_moment(good, sent_s, expected_s, learned_s, delay_cost):
    wait = LargerWait(sent_s, expected_s, learned_s)
    end_s = give_up_s(make_values(good, delay_cost), wait, LATEST_S)
    assert end_s <= LATEST_S
    assert end_s >= min(wait.due_s, LATEST_S)


def sample(waited_s: float, has_begun: bool = True, expected_s: float = 0.2) -> WaitSample:
    return WaitSample(expected_s, waited_s, has_begun, 0.4 * OBJECTIVE_S, 12.0)


def test_waits_that_are_certainly_on_time_teach_nothing():
    waits = LargerWaits()
    for waited_s in (0.01, 0.5, 1.0, 1.59):
        waits.record("svc", "large", sample(waited_s), 1.0)
        waits.record("svc", "large", sample(waited_s, has_begun=False), 1.0)
    assert waits.excess_s("svc", "large", 1.0) == 0.0
    assert waits.rows(1.0) == {}


def test_late_waits_are_learned_by_service_and_model():
    waits = LargerWaits()
    for _ in range(6):
        waits.record("svc", "large", sample(3.2), 1.0)
    assert waits.excess_s("svc", "large", 1.0) == pytest.approx(3.0, rel=0.05)
    assert waits.excess_s("svc", "small", 1.0) == 0.0
    assert waits.excess_s("other", "large", 1.0) == 0.0
    assert waits.age_s("svc", "large", 3.0) == 2.0


def test_calls_that_never_begin_are_soon_taken_to_begin_after_the_objective():
    waits = LargerWaits()
    for _ in range(2):
        waits.record("svc", "large", sample(LATEST_S, has_begun=False), 1.0)
    assert waits.excess_s("svc", "large", 1.0) > LATEST_S


def test_a_call_that_was_given_up_early_lowers_nothing():
    waits = LargerWaits()
    waits.record("svc", "large", sample(3.8), 1.0)
    before_s = waits.excess_s("svc", "large", 1.0)
    waits.record("svc", "large", sample(0.1, has_begun=False), 1.0)
    assert waits.excess_s("svc", "large", 1.0) == before_s


def test_what_was_learned_falls_with_calls_in_time_and_with_its_age():
    waits = LargerWaits()
    waits.record("svc", "large", sample(3.8), 1.0)
    first_s = waits.excess_s("svc", "large", 1.0)
    assert waits.excess_s("svc", "large", 13.0) == pytest.approx(first_s / 2.718, rel=0.01)
    waits.record("svc", "large", sample(0.3), 1.0)
    assert waits.excess_s("svc", "large", 1.0) == pytest.approx(0.8 * first_s)
    assert waits.excess_s("svc", "large", 100.0) == 0.0
