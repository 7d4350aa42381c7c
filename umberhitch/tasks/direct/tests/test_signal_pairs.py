"""Endpoints that leave or rest, beside each other kind of trouble and with many routers."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import ClosedEndpoints
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.tests import test_draining_and_backoff as words
from umberhitch.tasks.direct.tests import test_named_limits as limits
from umberhitch.testing import (
    DirectWorld,
    limit_bound,
    make_direct_document,
    most_within,
    sent_after_leaving,
    sent_while_resting,
)

REST_S = 3.0

Trouble = Callable[[DirectWorld], None]


def _limits_too(world: DirectWorld) -> None:
    """Those that rest name a limit as well, and one of the others does."""
    for name in ("l0", "l1", "f0"):
        world.endpoints.by_address[f"@{name}"].limit_rate = 2.0


def _cold(world: DirectWorld) -> None:
    world.operator.put("config", make_direct_document(2, cold_rate=6.0, cold_start_s=3.0))
    world.add_endpoint("c0", cold_s=3.0, zone="b").reply = Reply(delay_s=0.2)


def _zone_out(world: DirectWorld) -> None:
    """The others are out of service for a while: nothing is left but who waits."""
    world.take_out("b")
    words._crowd(world, 3.0)
    world.take_back("b")


def _crashes(world: DirectWorld) -> None:
    world.endpoints.by_address["@f0"].crash()
    words._crowd(world, 2.0)
    world.add_endpoint("f0", born=9, zone="b").reply = Reply(delay_s=0.2)


def _roll_out(world: DirectWorld) -> None:
    world.add_endpoint("n0", "v2", zone="b").reply = Reply(delay_s=0.2)
    world.run(1.2)
    world.roll_out("v2", 8.0)


def _store_away(world: DirectWorld) -> None:
    for router in world.routers.values():
        router.faults.is_down = True
    words._crowd(world, 6.0)
    for router in world.routers.values():
        router.faults.is_down = False


def _routers_restart(world: DirectWorld) -> None:
    """What a router was told ends with it: others take its place, under other names."""
    for number, name in enumerate(list(world.routers)):
        world.kill_router(name)
        world.add_router(f"n{number}", zone="c", is_strict=False)
        words._crowd(world, 0.5)


def _frozen(world: DirectWorld) -> None:
    """A third of the routers stands still, and wakes up."""
    frozen = list(world.routers.values())[::3]
    for router in frozen:
        router.clock.is_paused = True
    world.run(2.0)
    for router in frozen:
        router.clock.is_paused = False
        router.clock.resume()


def _cut_off(world: DirectWorld) -> None:
    names = list(world.routers)
    for number, one in enumerate(names):
        for other in names[:number]:
            world.network.cut(one, other)


def _words_come_and_go(world: DirectWorld) -> None:
    """Those that rest serve in between, a second each."""
    resting = [world.endpoints.by_address[f"@l{number}"] for number in (0, 1)]
    for second in range(6):
        for each in resting:
            each.rests_s = None if second % 2 else REST_S
        words._crowd(world, 1.0)


TROUBLES = (
    _limits_too,
    _cold,
    _zone_out,
    _crashes,
    _roll_out,
    _store_away,
    _routers_restart,
    _frozen,
    _cut_off,
    _words_come_and_go,
)


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda each: each.__name__.strip("_"))
def test_both_words_are_kept_beside(trouble: Trouble):
    """Two rest and two leave of eight; what the others can do is done."""
    world, waiting = words._world(6, 4, 4, is_strict=False)
    words._crowd(world, 1.0)
    resting, leaving = waiting[:2], waiting[2:]
    for each in resting:
        each.rests_s = REST_S
    for each in leaving:
        words._leaves(each)
    words._crowd(world, 1.0)
    trouble(world)
    asks = words._crowd(world, 6.0)
    world.run(1.0)
    for each in leaving:
        assert sent_after_leaving(each) == []
    for each in resting:
        assert set(sent_while_resting(each)) <= {0}
    assert sum(ask.status == 200 for ask in asks) >= 0.95 * len(asks)


def test_a_named_limit_is_kept_by_those_that_return_from_a_rest():
    world, endpoints = words._world(6, 2, 2)
    for each in endpoints:
        each.rests_s = REST_S
    words._crowd(world, 1.0)
    for each in endpoints:
        each.rests_s, each.limit_rate = None, 1.6
    words._crowd(world, 4.0)
    told_s = world.clock.seconds()
    words._crowd(world, 12.0)
    for each in endpoints:
        assert most_within(each, told_s) <= limit_bound(1.6)


@pytest.mark.parametrize("routers", [3, 30, 100])
def test_both_words_are_kept_by_any_number_of_routers(routers: int):
    world, waiting = words._world(routers, 6, 2)
    resting, leaving = waiting
    resting.rests_s = REST_S
    words._leaves(leaving)
    asks = limits._crowd(world, 6.0, 100.0)
    world.run(1.0)
    assert sent_after_leaving(leaving) == []
    assert set(sent_while_resting(resting)) <= {0}
    assert sum(ask.status == 200 for ask in asks) >= 0.95 * len(asks)


def _worst_second(routers: int) -> int:
    """Return the most routers that return to an endpoint within a second after a rest of all."""
    opens_s = []
    for number in range(routers):
        closed = ClosedEndpoints(f"r{number}")
        closed.apply_backoff("e0", REST_S, routers, 0.0)
        opens_s.append(closed.wait_s("e0", 0.0))
    return max(sum(s <= each < s + 1.0 for each in opens_s) for s in opens_s)


def test_routers_return_one_after_the_other():
    assert _worst_second(100) <= 70
    assert _worst_second(370) <= 80


def test_all_return_after_a_rest_that_all_were_asked_for():
    world, (resting,) = words._world(30, 2, 1)
    for router in world.routers.values():
        router.gateway.gate.closed.apply_backoff("l0", 1.0, 30, world.clock.seconds())
    calls = len(resting.calls)
    asks = limits._crowd(world, 6.0, 200.0)
    world.run(1.0)
    assert len(resting.calls) - calls > 0.1 * len(asks)
