"""Each mechanism that prices work by a reported pace is needed: without it, a test fails."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from umberhitch.core.direct import Placement
from umberhitch.core.direct import _placement as placement
from umberhitch.core.direct._host_load import HostLoad
from umberhitch.core.direct._pace import Persistence
from umberhitch.core.direct.tests import test_pace as core
from umberhitch.platform import _headers as headers
from umberhitch.tasks.direct.tests import test_uneven_paces as uneven
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def a_fourth_figure_voids_the_report(patch: pytest.MonkeyPatch) -> Test:
    parse = headers.parse_load
    patch.setattr(
        headers,
        "parse_load",
        lambda value: (None, True) if (value or b"").count(b",") == 3 else parse(value),
    )
    return lambda: uneven.test_equal_endpoints_serve_as_many_on_time_with_a_fourth_figure(6, 2, 1.2)


def the_pace_is_ignored(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(HostLoad, "reported_pace", lambda self, now_s: 1.0)
    return core.test_the_expected_time_grows_with_the_pace_and_with_the_queue


def the_pace_is_counted_twice(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(HostLoad, "pace_in_force", lambda self, at_start: 1.0)
    return core.test_a_reported_pace_is_not_counted_again_as_slowness


def the_pace_of_an_engine_is_counted_twice(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(HostLoad, "pace_in_force", lambda self, at_start: 1.0)
    return core.test_an_engines_reported_pace_is_not_counted_again_as_slowness


def slow_hosts_are_not_known_by_their_calls(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(HostLoad, "slowness", lambda self, now_s: 1.0)
    return lambda: uneven.test_slow_hosts_get_no_more_than_they_do_in_time(30, 4, 3)


def a_word_never_ages(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Persistence, "remaining", lambda self, age_s: 1.0)
    return core.test_a_pace_that_is_old_is_the_mean_of_those_before


def nothing_is_forgotten(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr("umberhitch.core.direct._host_load.FORGET_S", 1e9)
    return core.test_a_host_that_was_slow_is_called_again_though_it_is_not_heard_of


def own_calls_do_not_add_to_the_report(patch: pytest.MonkeyPatch) -> Test:
    def most(self: HostLoad, own: int, peers: int, now_s: float) -> float:
        others = 0.0 if self.others is None else self.others.value
        return max(float(own + peers), others)

    patch.setattr(HostLoad, "calls", most)
    return lambda: uneven.test_slow_hosts_get_no_more_than_they_do_in_time(30, 5, 3)


def an_unknown_figure_is_zero(patch: pytest.MonkeyPatch) -> Test:
    report = HostLoad.report
    patch.setattr(
        HostLoad,
        "report",
        lambda self, load, own_calls, now_s: report(
            self,
            replace(load, running=load.running or 0, waiting=load.waiting or 0),
            own_calls,
            now_s,
        ),
    )
    return core.test_an_unknown_figure_does_not_make_an_endpoint_look_idle


def a_new_lifetime_inherits(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(Placement, "retain", lambda self, known: None)
    return core.test_a_new_lifetime_inherits_no_pace


def queues_cost_nothing(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(placement, "crowding", lambda calls, slots: 1.0)
    return lambda: uneven.test_slow_hosts_get_no_more_than_they_do_in_time(3, 2, 4)


MUTATIONS = (
    a_fourth_figure_voids_the_report,
    the_pace_is_ignored,
    the_pace_is_counted_twice,
    the_pace_of_an_engine_is_counted_twice,
    slow_hosts_are_not_known_by_their_calls,
    a_word_never_ages,
    nothing_is_forgotten,
    own_calls_do_not_add_to_the_report,
    an_unknown_figure_is_zero,
    a_new_lifetime_inherits,
    queues_cost_nothing,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_disabled_mechanism_is_noticed(mutate: Mutation, monkeypatch):
    assert_missed(mutate, monkeypatch)
