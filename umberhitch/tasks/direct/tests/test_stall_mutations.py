"""Each part that protects endpoints after a stall is needed: without it, a test fails."""

from collections.abc import Callable

import pytest

from umberhitch.tasks.direct import stall_watch
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.stall_watch import StallWatch
from umberhitch.tasks.direct.tests import test_cold_after_stall as stalls
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def _late_registry() -> None:
    stalls.test_routers_that_stood_still_keep_the_bound_of_an_endpoint_that_started_again(
        0.1, 0.01, 8.0, False, True
    )


def no_stall_is_noticed(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(StallWatch, "check", lambda self: None)
    return _late_registry


def no_endpoint_is_presumed_cold(patch: pytest.MonkeyPatch) -> Test:
    is_ok = SendGate._cold_ok
    patch.setattr(
        SendGate,
        "_cold_ok",
        lambda self, endpoint, rate, presumes_cold, now_s: is_ok(
            self, endpoint, rate, False, now_s
        ),
    )
    return _late_registry


def no_request_waits_for_the_registry(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(EndpointSelector, "awaits_directory", lambda self, admitted: False)
    return lambda: (
        stalls.test_warm_endpoints_get_all_that_waited_as_soon_as_the_registry_is_read(
            8.0, False, True
        )
    )


def a_registry_that_is_not_read_is_waited_for_without_end(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(stall_watch, "MAX_UNREAD_S", float("inf"))
    return stalls.test_a_registry_that_is_read_slowly_keeps_warm_endpoints_from_nothing


MUTATIONS: tuple[Mutation, ...] = (
    no_stall_is_noticed,
    no_endpoint_is_presumed_cold,
    no_request_waits_for_the_registry,
    a_registry_that_is_not_read_is_waited_for_without_end,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_part_that_is_switched_off_is_missed(mutate: Mutation, monkeypatch: pytest.MonkeyPatch):
    assert_missed(mutate, monkeypatch)
