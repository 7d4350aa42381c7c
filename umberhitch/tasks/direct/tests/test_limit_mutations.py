"""Each mechanism that keeps an advertised limit is needed: without it, a test fails."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from umberhitch.core.direct import AdvertisedLimits, FleetShare, LimitChange, LimitRules
from umberhitch.core.direct import _fleet_share as fleet_share
from umberhitch.core.direct._fleet_share import _RouterList
from umberhitch.core.direct.tests import test_advertised_limits as core
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.signal_sharing import SignalSharing
from umberhitch.tasks.direct.tests import test_advertised_limits as advertised
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def no_limit_is_received(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "apply_head", lambda self, endpoint, head: None)
    return lambda: advertised.test_endpoints_that_advertise_a_limit_get_no_more_from_four_routers(
        1.6
    )


def the_selection_ignores_the_limit(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(EndpointSelector, "_with_quota", lambda self, admitted, candidates: candidates)
    return lambda: advertised.test_no_kind_of_send_exceeds_an_advertised_limit(
        advertised.zones.KINDS[0]
    )


def no_call_is_counted(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(FleetShare, "note_sent", lambda self, lifetime, now_s: None)
    return lambda: advertised.test_endpoints_that_advertise_a_limit_get_no_more_from_four_routers(
        1.6
    )


def every_router_uses_the_first_quota(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(_RouterList, "rank", lambda self, lifetime, router: 0)
    return advertised.test_routers_cut_off_from_each_other_keep_the_limit_together


def no_update_is_sent(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "_make_updates", lambda self, lifetimes: [])
    return advertised.test_peers_learn_the_limit_at_once_or_after_a_lost_message_within_seconds


def no_update_is_resent(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return advertised.test_peers_learn_the_limit_at_once_or_after_a_lost_message_within_seconds


def new_routers_receive_no_updates(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SignalSharing, "all_updates", lambda self: [])
    patch.setattr(SignalSharing, "updates_to_resend", lambda self: [])
    return advertised.test_a_router_that_starts_learns_the_limit


def a_limit_never_ends(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(AdvertisedLimits, "_end", lambda self, lifetime, at_s: None)
    return advertised.test_the_limit_ends_when_no_longer_advertised


def peers_do_not_end_a_limit(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(
        AdvertisedLimits, "apply_end_notice", lambda self, name, age_s, now_s: LimitChange.NONE
    )
    return advertised.test_the_limit_ends_when_no_longer_advertised


def a_limit_outlives_its_endpoint(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(AdvertisedLimits, "forget", lambda self, known: None)
    return advertised.test_a_new_lifetime_starts_without_a_limit


def a_malformed_limit_ends_it(patch: pytest.MonkeyPatch) -> Test:
    heard = SendGate.apply_head

    def apply_all(self: SendGate, endpoint: object, head: object) -> None:
        well_formed = replace(head.signals.limit, is_malformed=False)
        heard(self, endpoint, replace(head, signals=replace(head.signals, limit=well_formed)))

    patch.setattr(SendGate, "apply_head", apply_all)
    return advertised.test_a_malformed_limit_changes_nothing


def running_calls_use_no_quota(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(FleetShare, "assume_used", lambda self, lifetime, bound, now_s: None)
    return advertised.test_calls_that_run_when_the_limit_is_received_count


def bursts_are_not_spread(patch: pytest.MonkeyPatch) -> Test:
    bound = LimitRules.bound
    patch.setattr(LimitRules, "bound", lambda s, rate: replace(bound(s, rate), is_paced=False))
    return core.test_a_burst_is_spread_over_the_span


def a_router_list_is_never_kept(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(FleetShare, "has_router_list", lambda self, now_s: self.is_registered)
    return advertised.test_without_the_store_half_of_the_limit_is_still_used


def a_router_list_is_kept_forever(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(fleet_share, "ROUTER_LIST_KEPT_S", float("inf"))
    return core.test_an_unregistered_router_uses_its_last_list_for_a_minute_with_a_reduced_quota


def an_expired_registration_has_the_full_quota(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(fleet_share, "UNREGISTERED_SHARE", 1.0)
    return core.test_an_unregistered_router_uses_its_last_list_for_a_minute_with_a_reduced_quota


def a_freeze_is_not_noticed(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(fleet_share, "MAX_UPDATE_GAP_S", float("inf"))
    return advertised.test_a_router_that_was_frozen_sends_nothing_until_its_rank_is_known


def no_request_has_priority(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "_reserved_calls", lambda self, service, urgency, now_s: 0)
    return advertised.test_urgent_work_goes_first


def retry_times_are_not_spread(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(SendGate, "retry_after_s", lambda self, *args: 0.1)
    return advertised.test_requests_over_all_limits_are_refused_at_once_with_a_retry_time


def a_limit_excludes_the_endpoint(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(
        FleetShare, "wait_s", lambda self, lifetime, bound, now_s, reserved=0: float("inf")
    )
    return lambda: advertised.test_the_limit_is_kept_and_used_by_any_number_of_routers(6, 2.3)


def no_router_rechecks_a_limit(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(
        AdvertisedLimits, "may_recheck", lambda self, limit, routers, jitter, now_s: False
    )
    return core.test_a_router_that_is_no_sender_rechecks_after_a_minute_and_not_with_all_others


MUTATIONS = (
    no_limit_is_received,
    the_selection_ignores_the_limit,
    no_call_is_counted,
    every_router_uses_the_first_quota,
    no_update_is_sent,
    no_update_is_resent,
    new_routers_receive_no_updates,
    a_limit_never_ends,
    peers_do_not_end_a_limit,
    a_limit_outlives_its_endpoint,
    a_malformed_limit_ends_it,
    running_calls_use_no_quota,
    bursts_are_not_spread,
    a_router_list_is_never_kept,
    a_router_list_is_kept_forever,
    an_expired_registration_has_the_full_quota,
    a_freeze_is_not_noticed,
    no_request_has_priority,
    retry_times_are_not_spread,
    a_limit_excludes_the_endpoint,
    no_router_rechecks_a_limit,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_disabled_mechanism_is_noticed(mutate: Mutation, monkeypatch):
    assert_missed(mutate, monkeypatch)
