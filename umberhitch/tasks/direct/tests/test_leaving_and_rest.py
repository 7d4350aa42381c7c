"""An endpoint says that it leaves, or refuses and wants nothing for a while: routers keep to that.

Seen: an engine that had said in its answers that it leaves got requests 10 s later, from routers
whose registry did not have it yet; two engines that refused all with a time of 3 s got up to 24 a
second from one router. Cause: nothing heard either word. Proved by the first two tests.
"""

from collections.abc import Callable

import pytest

from umberhitch.fakes import FakeEndpoint
from umberhitch.tasks.direct.tests import test_named_limits as limits
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing import DirectWorld, sent_after_leaving, sent_while_resting

CROWD = 40.0
"""Requests a second."""
KINDS = limits.KINDS

Say = Callable[[FakeEndpoint], None]


def _leaves(endpoint: FakeEndpoint) -> None:
    endpoint.is_draining = True


def _rests(endpoint: FakeEndpoint) -> None:
    endpoint.rests_s = 60.0


SAYS = pytest.mark.parametrize("say", [_leaves, _rests], ids=["leaves", "rests"])


def _world(routers: int, free: int, others: int, **settings: object) -> tuple[DirectWorld, list]:
    """Return a settled world, and those of its endpoints that are to say something."""
    return limits._world(routers, free, others, None, **settings)  # type: ignore[arg-type]


def _crowd(world: DirectWorld, seconds: float, path: str = "/look/x") -> list:
    return limits._crowd(world, seconds, CROWD, path)


def _assert_kept(endpoints: list[FakeEndpoint]) -> None:
    for each in endpoints:
        assert sent_after_leaving(each) == []
        assert set(sent_while_resting(each)) <= {0}


def test_an_engine_that_says_it_leaves_gets_nothing_though_the_registry_has_it_as_ready():
    world, (leaving,) = _world(4, 5, 1)
    _crowd(world, 2.0)
    _leaves(leaving)
    asks = _crowd(world, 12.0)
    world.run(1.0)
    assert sent_after_leaving(leaving) == []
    assert {ask.status for ask in asks} == {200}


def test_engines_that_refuse_with_a_time_get_nothing_within_it():
    world, resting = _world(4, 4, 2)
    _crowd(world, 2.0)
    for each in resting:
        each.rests_s = 3.0
    asks = _crowd(world, 12.0)
    world.run(1.0)
    for each in resting:
        assert set(sent_while_resting(each)) == {0}
    assert {ask.status for ask in asks} == {200}


@SAYS
@pytest.mark.parametrize("send", KINDS, ids=lambda send: send.__name__.strip("_"))
def test_no_kind_of_send_reaches_an_endpoint_that_leaves_or_rests(
    send: Callable[[DirectWorld], None], say: Say
):
    world = zones._world(2)
    world.run(limits.SETTLED_S)
    waiting = zones._in_zone(world, "b")
    for each in waiting:
        say(each)
    _crowd(world, 1.0)
    calls = zones._calls(world, "b")
    assert calls > 0
    send(world)
    assert zones._calls(world, "b") == calls
    assert zones._calls(world, "a") > 0


@SAYS
def test_others_are_served_while_a_third_leaves_or_rests(say: Say):
    world, waiting = _world(6, 8, 4)
    for each in waiting:
        say(each)
    asks = _crowd(world, 10.0) + _crowd(world, 5.0, "/order/x")
    world.run(1.0)
    _assert_kept(waiting)
    assert sum(ask.status == 200 for ask in asks) >= 0.95 * len(asks)
