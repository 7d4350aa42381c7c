"""Draining and back-off combined with every other kind of failure, and with many routers."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import ClosedEndpoints
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.tests import test_advertised_limits as limits
from umberhitch.tasks.direct.tests import test_draining_and_backoff as draining_tests
from umberhitch.testing import (
    DirectWorld,
    limit_bound,
    make_direct_document,
    most_within,
    sent_after_leaving,
    sent_while_resting,
)

REST_S = 3.0

Failure = Callable[[DirectWorld], None]


def _named_limits(world: DirectWorld) -> None:
    """The endpoints that back off name a limit as well, and so does one of the others."""
    for name in ("l0", "l1", "f0"):
        world.endpoints.by_address[f"@{name}"].limit_rate = 2.0


def _cold_endpoints(world: DirectWorld) -> None:
    world.operator.put("config", make_direct_document(2, cold_rate=6.0, cold_start_s=3.0))
    world.add_endpoint("c0", cold_s=3.0, zone="b").reply = Reply(delay_s=0.2)


def _zone_outage(world: DirectWorld) -> None:
    """The zone of all other endpoints is out of service for a while."""
    world.take_out("b")
    draining_tests._crowd(world, 3.0)
    world.take_back("b")


def _crashes(world: DirectWorld) -> None:
    world.endpoints.by_address["@f0"].crash()
    draining_tests._crowd(world, 2.0)
    world.add_endpoint("f0", born=9, zone="b").reply = Reply(delay_s=0.2)


def _roll_out(world: DirectWorld) -> None:
    world.add_endpoint("n0", "v2", zone="b").reply = Reply(delay_s=0.2)
    world.run(1.2)
    world.roll_out("v2", 8.0)


def _store_unreachable(world: DirectWorld) -> None:
    for router in world.routers.values():
        router.faults.is_down = True
    draining_tests._crowd(world, 6.0)
    for router in world.routers.values():
        router.faults.is_down = False


def _routers_restart(world: DirectWorld) -> None:
    """Replace each router by one with another name, which has received no signals."""
    for number, name in enumerate(list(world.routers)):
        world.kill_router(name)
        world.add_router(f"n{number}", zone="c", is_strict=False)
        draining_tests._crowd(world, 0.5)


def _suspended_routers(world: DirectWorld) -> None:
    """Suspend a third of the routers for 2 s."""
    frozen = list(world.routers.values())[::3]
    for router in frozen:
        router.clock.is_paused = True
    world.run(2.0)
    for router in frozen:
        router.clock.is_paused = False
        router.clock.resume()


def _partitioned_routers(world: DirectWorld) -> None:
    names = list(world.routers)
    for number, one in enumerate(names):
        for other in names[:number]:
            world.network.cut(one, other)


def _intermittent_signals(world: DirectWorld) -> None:
    """Let the endpoints that back off alternate with serving, a second each."""
    backing_off = [world.endpoints.by_address[f"@l{number}"] for number in (0, 1)]
    for second in range(6):
        for each in backing_off:
            each.rests_s = None if second % 2 else REST_S
        draining_tests._crowd(world, 1.0)


FAILURES = (
    _named_limits,
    _cold_endpoints,
    _zone_outage,
    _crashes,
    _roll_out,
    _store_unreachable,
    _routers_restart,
    _suspended_routers,
    _partitioned_routers,
    _intermittent_signals,
)


@pytest.mark.parametrize("failure", FAILURES, ids=lambda each: each.__name__.strip("_"))
def test_draining_and_backoff_are_respected_during_other_failures(failure: Failure):
    """Of eight endpoints two back off and two drain; the others serve at least 95 % of requests."""
    world, unavailable = draining_tests._world(6, 4, 4, is_strict=False)
    draining_tests._crowd(world, 1.0)
    backing_off, draining = unavailable[:2], unavailable[2:]
    for each in backing_off:
        each.rests_s = REST_S
    for each in draining:
        draining_tests._drain(each)
    draining_tests._crowd(world, 1.0)
    failure(world)
    reqs = draining_tests._crowd(world, 6.0)
    world.run(1.0)
    for each in draining:
        assert sent_after_leaving(each) == []
    for each in backing_off:
        assert set(sent_while_resting(each)) <= {0}
    assert sum(req.status == 200 for req in reqs) >= 0.95 * len(reqs)


def test_a_named_limit_is_respected_after_a_backoff():
    world, endpoints = draining_tests._world(6, 2, 2)
    for each in endpoints:
        each.rests_s = REST_S
    draining_tests._crowd(world, 1.0)
    for each in endpoints:
        each.rests_s, each.limit_rate = None, 1.6
    draining_tests._crowd(world, 4.0)
    changed_s = world.clock.seconds()
    draining_tests._crowd(world, 12.0)
    for each in endpoints:
        assert most_within(each, changed_s) <= limit_bound(1.6)


@pytest.mark.parametrize("routers", [3, 30, 100])
def test_draining_and_backoff_are_respected_by_any_number_of_routers(routers: int):
    world, unavailable = draining_tests._world(routers, 6, 2)
    backing_off, draining = unavailable
    backing_off.rests_s = REST_S
    draining_tests._drain(draining)
    reqs = limits._send_traffic(world, 6.0, 100.0)
    world.run(1.0)
    assert sent_after_leaving(draining) == []
    assert set(sent_while_resting(backing_off)) <= {0}
    assert sum(req.status == 200 for req in reqs) >= 0.95 * len(reqs)


def _max_resumed_per_second(routers: int) -> int:
    """Return the most routers that resume sending within a second after a common back-off."""
    opens_s = []
    for number in range(routers):
        closed = ClosedEndpoints(f"r{number}")
        closed.apply_backoff("e0", REST_S, routers, 0.0)
        opens_s.append(closed.wait_s("e0", 0.0))
    return max(sum(s <= each < s + 1.0 for each in opens_s) for s in opens_s)


def test_routers_resume_sending_one_after_the_other():
    assert _max_resumed_per_second(100) <= 70
    assert _max_resumed_per_second(370) <= 80


def test_all_routers_resume_sending_after_a_backoff_that_all_received():
    world, (backing_off,) = draining_tests._world(30, 2, 1)
    for router in world.routers.values():
        router.gateway.gate.closed.apply_backoff("l0", 1.0, 30, world.clock.seconds())
    calls = len(backing_off.calls)
    reqs = limits._send_traffic(world, 6.0, 200.0)
    world.run(1.0)
    assert len(backing_off.calls) - calls > 0.1 * len(reqs)
