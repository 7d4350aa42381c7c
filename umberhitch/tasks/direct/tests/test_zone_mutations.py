"""Each mechanism for zones out of service and cold endpoints is needed, or else a test fails."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import Directory, Endpoint, FleetShare
from umberhitch.core.direct._fleet_share import _RouterList
from umberhitch.core.direct._members import Members
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.tasks.direct.membership import Membership
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.tests import test_cold as cold
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def no_zone_is_out(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Members, "_is_in_service", lambda self, endpoint: True)
    return lambda: zones.test_no_kind_of_call_goes_to_a_zone_that_is_out(zones._first_choice)


def affinity_endpoints_stay(patch: pytest.MonkeyPatch) -> Test:
    """The affinity endpoints are kept when a zone goes out of service, and calls follow them."""

    def keep_affinity(self: Members) -> None:
        self.cached_in_service = None

    patch.setattr(Members, "invalidate", keep_affinity)

    def calls_leave_the_zone() -> None:
        world = zones._world()
        zones._affinity_of_a_prompt(world)
        before = zones._calls(world, "b")
        world.take_out("b")
        world.run(1.0)
        zones._affinity_of_a_prompt(world)
        assert zones._calls(world, "b") == before

    return calls_leave_the_zone


def snapshots_delete_nothing(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(
        StoreView, "_apply_order_snapshot", lambda s, batch: s._apply_orders(batch, False)
    )
    return zones.test_a_record_missing_from_a_snapshot_restores_the_zone


def every_router_sends(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(_RouterList, "rank", lambda self, lifetime, router: 0)
    return cold.test_a_new_endpoint_beside_warm_ones_keeps_the_bound_and_is_used


def no_call_is_counted(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(FleetShare, "note_sent", lambda self, lifetime, now_s: None)
    return cold.test_requests_over_the_quota_are_refused_at_once_with_a_retry_time


def routers_are_known_at_once(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Membership, "is_known_to_peers", lambda self: self._listed_s is not None)
    return cold.test_after_the_loss_of_all_routers_the_bound_is_kept


def registrations_never_expire(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Membership, "is_known_to_peers", lambda self: True)
    return cold.test_a_router_whose_lease_has_expired_sends_nothing_to_a_cold_endpoint


def cold_entries_are_ignored(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Directory, "_update_cold", lambda self, endpoint, now_s: None)
    return cold.test_a_new_endpoint_beside_warm_ones_keeps_the_bound_and_is_used


def zones_are_restored_warm(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Endpoint, "presume_cold", lambda self, until_s, source: None)
    return cold.test_endpoints_of_a_restored_zone_keep_the_bound


def cold_endpoints_get_nothing(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(FleetShare, "wait_s", lambda self, lifetime, bound, now_s: float("inf"))
    return cold.test_a_new_endpoint_beside_warm_ones_keeps_the_bound_and_is_used


def the_selection_ignores_the_quota(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(EndpointSelector, "_with_quota", lambda self, admitted, candidates: candidates)
    return cold.test_a_new_endpoint_beside_warm_ones_keeps_the_bound_and_is_used


MUTATIONS = (
    no_zone_is_out,
    affinity_endpoints_stay,
    snapshots_delete_nothing,
    every_router_sends,
    no_call_is_counted,
    routers_are_known_at_once,
    registrations_never_expire,
    cold_entries_are_ignored,
    zones_are_restored_warm,
    cold_endpoints_get_nothing,
    the_selection_ignores_the_quota,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_disabled_mechanism_is_noticed(mutate: Mutation, monkeypatch):
    assert_missed(mutate, monkeypatch)
