"""Disabling any part of the handling of draining and back-off makes a test fail."""

from collections.abc import Callable
from math import inf

import pytest

from umberhitch.core.direct import ClosedEndpoints, Directory, Endpoint, Placement
from umberhitch.core.direct import _closed as closed
from umberhitch.core.direct._members import Members
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.signal_sharing import SignalSharing
from umberhitch.tasks.direct.tests import test_draining_and_backoff as draining_tests
from umberhitch.tasks.direct.tests import test_herding as herding
from umberhitch.tasks.direct.tests import test_signal_pairs as pairs
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def draining_signals_are_ignored(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "apply_draining", lambda self, *word: False)
    return draining_tests.test_a_draining_endpoint_gets_no_calls_while_listed_as_ready


def backoff_signals_are_ignored(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "apply_backoff", lambda self, *word: False)
    return draining_tests.test_endpoints_that_refuse_with_a_backoff_get_no_calls_during_it


def selection_ignores_closed_endpoints(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "open_filter", lambda self: None)
    return draining_tests.test_endpoints_that_refuse_with_a_backoff_get_no_calls_during_it


def directory_ignores_draining(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Directory, "mark_draining", lambda self, lifetime: None)
    return draining_tests.test_the_affinity_endpoint_of_a_prompt_changes_at_every_router


def draining_is_forgotten_when_the_entry_lapses(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(closed, "DRAINING_KEPT_S", -1.0)
    return draining_tests.test_draining_persists_when_the_registry_entry_lapses_and_returns


def lifetimes_are_identified_by_incarnation(patch: pytest.MonkeyPatch) -> Test:
    def by_address(self: Endpoint) -> None:
        self.lifetime = self.entry.incarnation

    patch.setattr(Endpoint, "__post_init__", by_address)
    return draining_tests.test_a_new_lifetime_at_the_address_is_not_draining


def signals_of_other_processes_are_applied(patch: pytest.MonkeyPatch) -> Test:
    heard = SendGate.apply_head

    def hear_all(self: SendGate, lifetime: str, head: object) -> None:
        object.__setattr__(head, "is_wrong_incarnation", False)
        heard(self, lifetime, head)

    patch.setattr(SendGate, "apply_head", hear_all)
    return lambda: draining_tests.test_signals_of_another_process_at_the_address_are_ignored(
        draining_tests._drain
    )


def draining_is_not_sent_to_peers(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "note_draining", lambda self, lifetime: None)
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return draining_tests.test_peers_learn_of_draining_at_once_or_from_the_repeated_message


def draining_is_not_repeated_to_peers(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return draining_tests.test_peers_learn_of_draining_at_once_or_from_the_repeated_message


def draining_is_not_sent_to_new_routers(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "all_updates", lambda self: [])
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return draining_tests.test_a_new_router_is_informed_of_draining


def calls_on_draining_endpoints_are_blamed(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Endpoint, "is_draining", property(lambda self: False))
    return draining_tests.test_requests_are_not_blamed_when_a_draining_endpoint_exits


def last_backoff_replaces_earlier_ones(patch: pytest.MonkeyPatch) -> Test:
    take = ClosedEndpoints.apply_backoff

    def take_last(self: ClosedEndpoints, lifetime: str, *word: float) -> bool:
        self.backoffs.pop(lifetime, None)
        return take(self, lifetime, *word)

    patch.setattr(ClosedEndpoints, "apply_backoff", take_last)
    return draining_tests.test_the_latest_end_of_several_backoffs_applies


def any_reply_ends_a_backoff(patch: pytest.MonkeyPatch) -> Test:
    def forget(self: ClosedEndpoints, lifetime: str, now_s: float) -> bool:
        return self.backoffs.pop(lifetime, None) is not None

    patch.setattr(ClosedEndpoints, "note_answer", forget)
    return draining_tests.test_the_latest_end_of_several_backoffs_applies


def backoff_applies_to_all_routers(patch: pytest.MonkeyPatch) -> Test:
    shared = ClosedEndpoints("all")
    patch.setattr(
        SendGate,
        "open_filter",
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
    return draining_tests.test_a_backoff_applies_only_to_the_router_that_received_it


def all_calls_are_sent_at_once_after_a_backoff(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "note_sent", lambda self, lifetime, now_s: None)
    return draining_tests.test_after_a_backoff_one_call_is_sent_first_and_others_once_it_is_answered


def all_routers_resume_at_once(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(closed, "RESUME_SPACING_S", 0.0)
    return pairs.test_routers_resume_sending_one_after_the_other


def backoff_never_ends(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ClosedEndpoints, "wait_s", lambda self, lifetime, now_s: inf)
    return draining_tests.test_a_suspended_router_counts_the_elapsed_time_of_a_backoff


def callers_get_the_same_retry_time(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "_retry_spread_s", lambda self, service, urgency: 0.0)
    return draining_tests.test_if_all_endpoints_back_off_retries_are_spread


def urgency_is_ignored_in_retry_times(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "_record_refused", lambda self, service, urgency, now_s: None)
    spread = SendGate._retry_spread_s

    def spread_alike(self: SendGate, service: str, urgency: tuple) -> float:
        self._refused[service] = type("Any", (), {"urgency": (99, 0.0)})()
        return spread(self, service, urgency)

    patch.setattr(SendGate, "_retry_spread_s", spread_alike)
    return draining_tests.test_urgent_callers_get_the_earliest_retry_times


def endpoints_are_sampled_before_filtering(patch: pytest.MonkeyPatch) -> Test:
    ready = Directory.ready

    def sample_first(self: Directory, service: str, now_s: float, rng=None, is_open=None) -> list:
        found = ready(self, service, now_s, rng)
        return [each for each in found if is_open is None or is_open(each)]

    patch.setattr(Directory, "ready", sample_first)
    return draining_tests.test_the_few_open_endpoints_of_a_large_service_are_found


def all_routers_use_the_same_endpoint_order(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Members, "_order_key", lambda self, endpoint: 0)
    return herding.test_routers_prefer_different_endpoints


def refusals_are_not_recorded(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Placement, "note_refused", lambda self, placed, now_s: None)
    return herding.test_callers_are_served_while_two_thirds_of_the_endpoints_refuse_fast


MUTATIONS = (
    draining_signals_are_ignored,
    backoff_signals_are_ignored,
    selection_ignores_closed_endpoints,
    directory_ignores_draining,
    draining_is_forgotten_when_the_entry_lapses,
    lifetimes_are_identified_by_incarnation,
    signals_of_other_processes_are_applied,
    draining_is_not_sent_to_peers,
    draining_is_not_repeated_to_peers,
    draining_is_not_sent_to_new_routers,
    calls_on_draining_endpoints_are_blamed,
    last_backoff_replaces_earlier_ones,
    any_reply_ends_a_backoff,
    backoff_applies_to_all_routers,
    all_calls_are_sent_at_once_after_a_backoff,
    all_routers_resume_at_once,
    backoff_never_ends,
    callers_get_the_same_retry_time,
    urgency_is_ignored_in_retry_times,
    endpoints_are_sampled_before_filtering,
    all_routers_use_the_same_endpoint_order,
    refusals_are_not_recorded,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_each_mutation_is_detected(mutate: Mutation, monkeypatch):
    assert_missed(mutate, monkeypatch)
