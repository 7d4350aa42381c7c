"""When a larger model is called and how long it is waited for; what is learned of its waits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import (
    MIN_IN_TIME_SHARE,
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
    assert is_worth_calling(values, LargerWait(0.5, 3.0), 0.5, LATEST_S)
    assert not is_worth_calling(values, LargerWait(0.5, 3.4), 0.5, LATEST_S)


@pytest.mark.parametrize(("in_time_share", "is_called"), [(0.9, True), (0.51, True), (0.49, False)])
def test_a_larger_model_that_is_more_likely_late_than_not_is_not_called(in_time_share, is_called):
    wait = LargerWait(0.5, 1.0, in_time_share)
    assert is_worth_calling(make_values(), wait, 0.5, LATEST_S) is is_called


def test_what_a_late_call_costs_others_counts_as_often_as_it_is_late():
    wait = LargerWait(0.5, 1.0, 0.6)
    assert is_worth_calling(make_values(0.1, delay_cost=0.1), wait, 0.5, LATEST_S)
    assert not is_worth_calling(make_values(0.1, delay_cost=2.0), wait, 0.5, LATEST_S)


def test_a_call_that_is_overdue_is_taken_to_need_as_long_again():
    wait = LargerWait(1.0, 0.75)
    assert wait.arrival_s(1.2) == 1.75
    assert wait.arrival_s(1.75) == 1.75
    assert wait.arrival_s(2.0) == pytest.approx(2.25)


def test_a_worthless_answer_waits_until_the_latest_moment():
    assert give_up_s(make_values(0.0), LargerWait(0.1, 0.1), LATEST_S) == LATEST_S


def test_a_better_answer_waits_less():
    times_s = [
        give_up_s(make_values(good), LargerWait(0.1, 0.1), LATEST_S)
        for good in (0.0, 0.3, 0.5, 0.7, 0.9)
    ]
    assert times_s == sorted(times_s, reverse=True)
    assert times_s[0] > times_s[-1]


def test_an_answer_waits_less_where_the_larger_call_delays_others():
    wait = LargerWait(0.1, 0.1)
    assert give_up_s(make_values(0.5, 1.5), wait, LATEST_S) < give_up_s(
        make_values(0.5), wait, LATEST_S
    )


@given(
    good=st.floats(0.0, 1.0),
    sent_s=st.floats(0.0, 5.0),
    expected_s=st.floats(0.0, 5.0),
    delay_cost=st.floats(0.0, 5.0),
)
def test_no_wait_ends_after_the_latest_moment(good, sent_s, expected_s, delay_cost):
    wait = LargerWait(sent_s, expected_s)
    end_s = give_up_s(make_values(good, delay_cost), wait, LATEST_S)
    assert end_s <= LATEST_S
    assert end_s >= min(wait.due_s, LATEST_S)


def sample(waited_s: float, has_begun: bool = True) -> WaitSample:
    return WaitSample(waited_s, has_begun, 0.4 * OBJECTIVE_S, LATEST_S)


def test_calls_that_begin_in_time_or_end_early_teach_nothing():
    waits = LargerWaits()
    for waited_s in (0.01, 0.5, 1.0, 1.59):
        waits.record("svc", "large", sample(waited_s), 1.0)
        waits.record("svc", "large", sample(waited_s, has_begun=False), 1.0)
    assert waits.in_time_share("svc", "large", 1.0) == 1.0
    assert waits.rows(1.0) == {}


def test_late_calls_are_learned_by_service_and_model():
    waits = LargerWaits()
    for _ in range(20):
        waits.record("svc", "large", sample(3.9), 1.0)
    assert waits.in_time_share("svc", "large", 1.0) < 0.02
    assert waits.in_time_share("svc", "small", 1.0) == 1.0
    assert waits.in_time_share("other", "large", 1.0) == 1.0
    assert waits.age_s("svc", "large", 3.0) == 2.0


@pytest.mark.parametrize("late", [1, 2])
def test_the_share_is_that_of_the_calls(late: int):
    waits = LargerWaits()
    for number in range(400):
        is_late = number % 4 < late
        waits.record("svc", "large", sample(3.9 if is_late else 0.5, not is_late), 1.0)
    assert waits.in_time_share("svc", "large", 1.0) == pytest.approx(1.0 - late / 4, abs=0.2)


def test_calls_that_never_begin_are_soon_more_likely_late_than_not():
    waits = LargerWaits()
    for _ in range(4):
        waits.record("svc", "large", sample(LATEST_S, has_begun=False), 1.0)
    assert waits.in_time_share("svc", "large", 1.0) < MIN_IN_TIME_SHARE


def test_a_call_that_was_given_up_early_shows_nothing():
    waits = LargerWaits()
    waits.record("svc", "large", sample(3.9), 1.0)
    before = waits.in_time_share("svc", "large", 1.0)
    waits.record("svc", "large", sample(0.1, has_begun=False), 1.0)
    assert waits.in_time_share("svc", "large", 1.0) == before


def test_what_was_learned_falls_with_calls_in_time_and_with_its_age():
    waits = LargerWaits()
    waits.record("svc", "large", sample(3.9), 1.0)
    first = 1.0 - waits.in_time_share("svc", "large", 1.0)
    later = 1.0 - waits.in_time_share("svc", "large", 61.0)
    assert later == pytest.approx(first / 2.718, rel=0.01)
    waits.record("svc", "large", sample(0.3), 1.0)
    assert 1.0 - waits.in_time_share("svc", "large", 1.0) == pytest.approx(0.8 * first)


def test_one_call_at_a_time_probes_whether_most_are_still_late():
    waits = LargerWaits()
    assert not waits.may_probe("svc", "large", 1.0, LATEST_S)
    for _ in range(10):
        waits.record("svc", "large", sample(LATEST_S, has_begun=False), 1.0)
    assert waits.may_probe("svc", "large", 1.0, LATEST_S)
    waits.note_sent("svc", "large", 1.0)
    assert not waits.may_probe("svc", "large", 1.0 + 0.9 * LATEST_S, LATEST_S)
    assert waits.may_probe("svc", "large", 1.0 + LATEST_S, LATEST_S)
    waits.record("svc", "large", sample(0.3), 2.0)
    assert waits.may_probe("svc", "large", 2.0, LATEST_S)
