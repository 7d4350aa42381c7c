"""Routers tell each other the paces that they have heard of endpoints."""

from math import inf, nan

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import Placement, ReportedLoad
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.pace_sharing import MAX_AGE_S, PaceSharing
from umberhitch.testing import DirectRouter, DirectWorld
from umberhitch.wire import EndpointPace

REPORTED_S = 0.6
"""Longer than two routers take to tell each other."""


def _world(pace: float) -> tuple[DirectWorld, DirectRouter, DirectRouter]:
    world = DirectWorld()
    reply = Reply(delay_s=0.02, load=ReportedLoad(0, 0, 8, pace))
    world.add_endpoint("e1", born=1).reply = reply
    first, second = world.ready_router(), world.add_router("r2")
    world.run(2.0)
    return world, first, second


def _paces(router: DirectRouter) -> dict[str, float]:
    return router.gateway.placement.reported_paces(router.clock.seconds())


def _sharing(router: DirectRouter) -> PaceSharing:
    return PaceSharing(router.gateway.placement, router.gateway.directory)


def test_a_router_that_sent_no_call_knows_the_pace():
    world, first, second = _world(2.5)
    world.ask(first, "/look/x")
    world.run(REPORTED_S)
    (lifetime,) = _paces(first)
    assert _paces(second)[lifetime] > 1.0


def test_a_router_that_is_cut_off_goes_by_its_own_calls():
    world, first, second = _world(2.5)
    world.network.unplug("r2")
    world.ask(first, "/look/x")
    world.run(REPORTED_S)
    assert (len(_paces(first)), len(_paces(second))) == (1, 0)


def test_nothing_is_told_where_all_hosts_are_as_usual():
    world, first, _ = _world(1.0)
    sharing = _sharing(first)
    world.ask(first, "/look/x")
    world.run(0.1)
    assert len(_paces(first)) == 1
    assert sharing.fresh_paces(world.clock.seconds()) == []


def test_a_word_is_told_once_and_not_by_those_who_were_told():
    world, first, second = _world(2.5)
    sharing = _sharing(first)
    world.ask(first, "/look/x")
    world.run(REPORTED_S)
    (told,) = sharing.fresh_paces(world.clock.seconds())
    assert (told.pace, told.age_s < REPORTED_S) == (2.5, True)
    assert sharing.fresh_paces(world.clock.seconds()) == []
    assert len(_paces(second)) == 1
    assert _sharing(second).fresh_paces(world.clock.seconds()) == []


@pytest.mark.parametrize("pace", [0.0, -1.0, 101.0, inf, nan])
def test_a_pace_out_of_bounds_is_not_taken_in(pace: float):
    world, first, _ = _world(1.0)
    lifetime = first.gateway.directory.get("e1").lifetime
    _sharing(first).receive([EndpointPace(lifetime, pace, 0.0)], world.clock.seconds())
    assert _paces(first) == {}


@pytest.mark.parametrize("age_s", [-1.0, MAX_AGE_S + 0.1, nan])
def test_a_word_of_an_impossible_or_great_age_is_not_taken_in(age_s: float):
    world, first, _ = _world(1.0)
    lifetime = first.gateway.directory.get("e1").lifetime
    _sharing(first).receive([EndpointPace(lifetime, 2.0, age_s)], world.clock.seconds())
    assert _paces(first) == {}


def test_a_late_word_of_the_previous_lifetime_is_not_taken_in():
    world, first, _ = _world(1.0)
    before = first.gateway.directory.get("e1").lifetime
    world.add_endpoint("e1", born=2)
    world.run(1.2)
    after = first.gateway.directory.get("e1").lifetime
    assert before != after
    _sharing(first).receive([EndpointPace(before, 4.0, 0.0)], world.clock.seconds())
    assert _paces(first) == {}


@given(st.permutations(range(1, 7)))
def test_the_latest_word_counts_in_whatever_order_they_arrive(order):
    _, first, _ = PREPARED
    placement = Placement("a")
    endpoint = first.gateway.directory.get("e1")
    for number in order:
        placement.update_peer_pace(endpoint, float(number), 10.0 * number)
    pace = placement._observed[endpoint.lifetime].host.pace
    assert (pace.value, pace.reported_s) == (6.0, 60.0)


PREPARED = _world(1.0)
