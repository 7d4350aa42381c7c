"""Each mechanism of admission control is needed: without it, a test fails."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import RouterPart
from umberhitch.tasks.direct.active_routers import ActiveRouters
from umberhitch.tasks.direct.admission_control import AdmissionControl
from umberhitch.tasks.direct.tests import test_admission_control as load
from umberhitch.tasks.direct.tests import test_waiting_for_room as waiting
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def no_room_is_asked_for(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(AdmissionControl, "with_room", lambda self, admitted, endpoints, claim: endpoints)
    return lambda: load.test_at_three_times_capacity_nearly_all_that_can_be_is_on_time(
        "idempotent", 3, 2
    )


def every_router_takes_all_places(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ActiveRouters, "count", lambda self, service, now_s: 1)
    return load.test_routers_that_are_cut_off_from_each_other_keep_to_their_parts


def nothing_is_taken_beyond_the_slots(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(RouterPart, "limit", lambda self, service: 0.5 * service.slots / service.routers)
    patch.setattr(RouterPart, "_saved_now", lambda self, part, service, now_s: 0.0)
    patch.setattr(RouterPart, "may_take_slot", lambda self, service, reserved: False)
    return lambda: load.test_at_three_times_capacity_nearly_all_that_can_be_is_on_time(
        "idempotent", 1, 1
    )


def who_leaves_stays_in_the_queue(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(AdmissionControl, "forget", lambda self, admitted: None)
    return waiting.test_a_caller_that_leaves_waits_no_more


def what_waits_at_a_stop_stays(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(AdmissionControl, "refuse_all", lambda self: None)
    return waiting.test_a_router_that_drains_refuses_what_waits


MUTATIONS: list[Mutation] = [
    no_room_is_asked_for,
    every_router_takes_all_places,
    nothing_is_taken_beyond_the_slots,
    who_leaves_stays_in_the_queue,
    what_waits_at_a_stop_stays,
]


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_disabled_mechanism_is_noticed(mutate: Mutation, monkeypatch: pytest.MonkeyPatch) -> None:
    assert_missed(mutate, monkeypatch)
