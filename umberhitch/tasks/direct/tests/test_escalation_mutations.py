"""Each part of model choice under load is needed: without it, a test fails."""

from collections.abc import Callable

import pytest

from umberhitch.tasks.direct.attempt_plan import AttemptPlan
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.tasks.direct.larger_call import LargerCall
from umberhitch.tasks.direct.proxied_request import ProxiedRequest
from umberhitch.tasks.direct.tests import test_escalation_under_load as under_load
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def _in_the_table(small: str, larger: str, times: str) -> Test:
    return lambda: under_load.test_an_answer_at_hand_comes_within_the_objective(
        small, larger, times
    )


def nothing_is_learned(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(EndpointSelector, "record_larger_wait", lambda self, *sample: None)
    return under_load.test_a_larger_model_that_does_not_begin_in_time_is_not_called_any_more


def what_was_learned_is_not_used(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(EndpointSelector, "in_time_share", lambda self, admitted, model: 1.0)
    return under_load.test_a_larger_model_that_does_not_begin_in_time_is_not_called_any_more


def the_larger_model_is_always_expected(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(LargerCall, "is_expected_by", lambda self, until_s: True)
    return under_load.test_an_incomplete_answer_goes_on_where_the_larger_model_is_expected_too_late


def the_small_model_is_not_called_again(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ProxiedRequest, "_call_small_model_again", lambda self: None)
    return _in_the_table("incomplete", "connected and silent", "notes")


def the_deadline_ends_the_wait(patch: pytest.MonkeyPatch) -> Test:
    start = LargerCall.start

    def start_until_deadline(self: LargerCall, candidate, until_s) -> None:
        start(self, candidate, self._admitted.timeout_s)

    patch.setattr(LargerCall, "start", start_until_deadline)
    return _in_the_table("whole", "head without event", "notes")


def the_larger_call_goes_on(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ProxiedRequest, "_cancel_call", lambda self: None)
    return under_load.test_the_larger_call_is_cancelled_once_its_answer_can_not_be_in_time


def the_first_model_is_never_changed(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(AttemptPlan, "_first_candidate", AttemptPlan.select_candidate)
    return lambda: (
        under_load.test_a_cheaper_model_is_called_first_where_the_chosen_one_begins_too_late(
            5.0, b"small"
        )
    )


@pytest.mark.parametrize(
    "mutate",
    [
        nothing_is_learned,
        what_was_learned_is_not_used,
        the_larger_model_is_always_expected,
        the_small_model_is_not_called_again,
        the_deadline_ends_the_wait,
        the_larger_call_goes_on,
        the_first_model_is_never_changed,
    ],
)
def test_each_part_is_needed(mutate: Mutation, monkeypatch: pytest.MonkeyPatch):
    assert_missed(mutate, monkeypatch)
