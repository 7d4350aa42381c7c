"""Each part of what keeps to an endpoint's word is missed where it is switched off."""

from collections.abc import Callable
from math import inf

import pytest

from umberhitch.core.direct import ClosedEndpoints, Directory, Endpoint, Placement
from umberhitch.core.direct import _closed as closed
from umberhitch.core.direct._members import Members
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.signal_sharing import SignalSharing
from umberhitch.tasks.direct.tests import test_draining_and_backoff as words
from umberhitch.tasks.direct.tests import test_herding as herding
from umberhitch.tasks.direct.tests import test_signal_pairs as pairs
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def nobody_hears_that_it_leaves(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "apply_draining", lambda self, *word: False)
    return words.test_an_engine_that_says_it_leaves_gets_nothing_though_the_registry_has_it_as_ready


def nobody_hears_that_it_rests(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "apply_backoff", lambda self, *word: False)
    return words.test_engines_that_refuse_with_a_time_get_nothing_within_it


def the_choice_ignores_it(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "opener", lambda self: None)
    return words.test_engines_that_refuse_with_a_time_get_nothing_within_it


def the_directory_ignores_it(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Directory, "mark_draining", lambda self, lifetime: None)
    return words.test_the_home_of_a_prompt_moves_on_at_every_router


def it_is_forgotten_when_the_entry_lapses(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(closed, "DRAINING_KEPT_S", -1.0)
    return words.test_it_stands_though_the_entry_lapses_and_comes_back


def it_outlives_its_lifetime(patch: pytest.MonkeyPatch) -> Test:
    def by_address(self: Endpoint) -> None:
        self.lifetime = self.entry.incarnation

    patch.setattr(Endpoint, "__post_init__", by_address)
    return words.test_a_new_lifetime_at_the_address_begins_without


def others_at_the_address_are_believed(patch: pytest.MonkeyPatch) -> Test:
    heard = SendGate.apply_head

    def hear_all(self: SendGate, lifetime: str, head: object) -> None:
        object.__setattr__(head, "is_wrong_incarnation", False)
        heard(self, lifetime, head)

    patch.setattr(SendGate, "heard", hear_all)
    return lambda: words.test_what_another_process_at_the_address_says_counts_for_nothing(
        words._leaves
    )


def nobody_is_told(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "note_draining", lambda self, lifetime: None)
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return words.test_peers_stop_sooner_and_who_lost_the_word_within_seconds


def nobody_is_told_again(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return words.test_peers_stop_sooner_and_who_lost_the_word_within_seconds


def new_routers_are_not_told(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "all_updates", lambda self: [])
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return words.test_a_router_that_starts_is_told


def calls_that_end_with_it_are_blamed(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Endpoint, "is_draining", property(lambda self: False))
    return words.test_requests_are_not_blamed_when_an_endpoint_that_said_it_leaves_ends_under_them


def the_first_end_counts(patch: pytest.MonkeyPatch) -> Test:
    take = ClosedEndpoints.apply_backoff

    def take_last(self: ClosedEndpoints, lifetime: str, *word: float) -> bool:
        self.backoffs.pop(lifetime, None)
        return take(self, lifetime, *word)

    patch.setattr(ClosedEndpoints, "apply_backoff", take_last)
    return words.test_the_latest_end_of_several_rests_counts_and_a_refusal_without_a_time_ends_none


def an_answer_ends_it(patch: pytest.MonkeyPatch) -> Test:
    def forget(self: ClosedEndpoints, lifetime: str, now_s: float) -> bool:
        return self.backoffs.pop(lifetime, None) is not None

    patch.setattr(ClosedEndpoints, "note_answer", forget)
    return words.test_the_latest_end_of_several_rests_counts_and_a_refusal_without_a_time_ends_none


def it_is_told_to_the_others(patch: pytest.MonkeyPatch) -> Test:
    shared = ClosedEndpoints("all")
    patch.setattr(
        SendGate,
        "opener",
        lambda self: lambda endpoint: shared.accepts(endpoint.lifetime, self._clock.seconds()),
    )
    patch.setattr(
        ClosedEndpoints,
        "apply_backoff",
        lambda self, lifetime, rest_s, routers, now_s: shared.backoffs.setdefault(
            lifetime, closed.EndpointBackoff(now_s, now_s + rest_s, now_s + rest_s)
        )
        is None,
    )
    return words.test_it_binds_the_router_that_got_it_and_not_the_others


def all_go_at_once_after_it(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "note_sent", lambda self, lifetime, now_s: None)
    return words.test_after_it_one_call_goes_first_and_the_rest_once_that_is_answered


def all_routers_return_at_once(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(closed, "RESUME_SPACING_S", 0.0)
    return pairs.test_routers_return_one_after_the_other


def it_never_opens_again(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "wait_s", lambda self, lifetime, now_s: inf)
    return words.test_a_router_that_stood_still_goes_by_the_time_that_has_passed


def callers_are_told_the_same_time(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "_spread_s", lambda self, service, urgency: 0.0)
    return words.test_where_all_rest_callers_are_told_when_the_first_rest_ends_and_come_spread


def nobody_goes_first(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "_note_refused", lambda self, service, urgency, now_s: None)
    spread = SendGate._retry_spread_s

    def spread_alike(self: SendGate, service: str, urgency: tuple) -> float:
        self._refused[service] = type("Any", (), {"urgency": (99, 0.0)})()
        return spread(self, service, urgency)

    patch.setattr(SendGate, "_spread_s", spread_alike)
    return words.test_urgent_callers_are_told_to_come_first


def samples_are_drawn_before_it_is_asked(patch: pytest.MonkeyPatch) -> Test:
    ready = Directory.ready

    def sample_first(self: Directory, service: str, now_s: float, rng=None, is_open=None) -> list:
        found = ready(self, service, now_s, rng)
        return [each for each in found if is_open is None or is_open(each)]

    patch.setattr(Directory, "ready", sample_first)
    return words.test_in_a_large_service_those_that_are_open_are_found


def all_routers_have_one_order(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Members, "_order_key", lambda self, endpoint: 0)
    return herding.test_the_usual_endpoints_of_routers_differ


def refusals_count_for_nothing(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Placement, "note_refused", lambda self, placed, now_s: None)
    return herding.test_callers_are_served_while_two_thirds_refuse_fast


MUTATIONS = (
    nobody_hears_that_it_leaves,
    nobody_hears_that_it_rests,
    the_choice_ignores_it,
    the_directory_ignores_it,
    it_is_forgotten_when_the_entry_lapses,
    it_outlives_its_lifetime,
    others_at_the_address_are_believed,
    nobody_is_told,
    nobody_is_told_again,
    new_routers_are_not_told,
    calls_that_end_with_it_are_blamed,
    the_first_end_counts,
    an_answer_ends_it,
    it_is_told_to_the_others,
    all_go_at_once_after_it,
    all_routers_return_at_once,
    it_never_opens_again,
    callers_are_told_the_same_time,
    nobody_goes_first,
    samples_are_drawn_before_it_is_asked,
    all_routers_have_one_order,
    refusals_count_for_nothing,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_part_that_is_switched_off_is_missed(mutate: Mutation, monkeypatch):
    assert_missed(mutate, monkeypatch)
