"""Routers that stood still go on: an endpoint that has started again meanwhile keeps its bound."""

import pytest

from umberhitch.fakes import FakeEndpoint, StoreFaults
from umberhitch.tasks.direct.tests.test_cold import (
    BOUND,
    SETTLED_S,
    _max_calls_per_second,
    _world,
)
from umberhitch.testing import DirectAsk, DirectWorld, make_direct_document

ROUTERS = 6
WAITING = 20
"""Requests that wait at each router when it goes on."""
FINE_S, FINE_STEP_S = 0.1, 0.001
"""Time that passes in steps as short as a hop, as requests wait for some hops only."""
AFTER_S = 3.0
STALLS_S = (4.0, 8.0, 46.0)
DELAYS_S = ((0.01, 0.01), (0.1, 0.01), (0.01, 0.1))
"""How long the store takes for the registry, and for what operators write."""


def _stall(world: DirectWorld, seconds: float) -> FakeEndpoint:
    """Let all routers stand still; meanwhile, the endpoint starts again and is cold."""
    for name, router in world.routers.items():
        router.clock.is_paused = world.network.links[name].is_paused = True
    world.run(seconds / 2)
    endpoint = world.add_endpoint("e0", born=2, cold_s=60.0)
    world.run(seconds / 2)
    return endpoint


def _delay_store(world: DirectWorld, registry_s: float, operator_s: float) -> None:
    for router in world.routers.values():
        router.registry._faults = StoreFaults(delay_s=registry_s)
        router.operator._faults = StoreFaults(delay_s=operator_s)


def _go_on(world: DirectWorld, is_input_first: bool) -> list[DirectAsk]:
    """Let all routers go on; their requests are read before or after what was due."""
    reqs: list[DirectAsk] = []
    for name, router in world.routers.items():
        if is_input_first:
            reqs += [world.ask(router, "/look/x") for _ in range(WAITING)]
        router.clock.resume()
        world.network.links[name].resume()
        world.network.links[name].is_paused = False
        if not is_input_first:
            reqs += [world.ask(router, "/look/x") for _ in range(WAITING)]
    for _ in range(round(FINE_S / FINE_STEP_S)):
        world.clock.advance(FINE_STEP_S)
    world.run(AFTER_S)
    return reqs


@pytest.mark.parametrize("is_input_first", [True, False])
@pytest.mark.parametrize("is_strict", [True, False])
@pytest.mark.parametrize("stall_s", STALLS_S)
@pytest.mark.parametrize(("registry_s", "operator_s"), DELAYS_S)
def test_routers_that_stood_still_keep_the_bound_of_an_endpoint_that_started_again(
    registry_s, operator_s, stall_s, is_strict, is_input_first
):
    """They took it for the warm one that they knew, and sent it all that had waited."""
    world = _world(ROUTERS, 0, is_strict=is_strict)
    world.add_endpoint("e0", born=1, cold_s=0.0)
    world.run(4.0)
    endpoint = _stall(world, stall_s)
    _delay_store(world, registry_s, operator_s)
    reqs = _go_on(world, is_input_first)
    assert _max_calls_per_second(endpoint) <= BOUND
    assert {req.status for req in reqs} <= {200, 503}


@pytest.mark.parametrize("is_input_first", [True, False])
@pytest.mark.parametrize("is_strict", [True, False])
@pytest.mark.parametrize("stall_s", STALLS_S)
def test_warm_endpoints_get_all_that_waited_as_soon_as_the_registry_is_read(
    stall_s, is_strict, is_input_first
):
    world = _world(ROUTERS, 2, is_strict=is_strict)
    for name, router in world.routers.items():
        router.clock.is_paused = world.network.links[name].is_paused = True
    world.run(stall_s)
    _delay_store(world, 0.005, 0.005)
    reqs = _go_on(world, is_input_first)
    assert [req.status for req in reqs] == [200] * len(reqs)


def test_a_registry_that_cannot_be_read_keeps_warm_endpoints_from_nothing():
    """The store is away: routers go on by what they know, as those that didn't stand still."""
    world = _world(ROUTERS, 2, is_strict=False)
    for router in world.routers.values():
        router.clock.is_paused = True
    world.run(8.0)
    for router in world.routers.values():
        router.faults.is_down = True
        router.clock.resume()
    world.run(2.5)
    reqs = [world.ask(router, "/look/x") for router in world.routers.values() for _ in range(20)]
    world.run(0.5)
    assert [req.status for req in reqs] == [200] * len(reqs)


def test_a_registry_that_is_read_slowly_keeps_warm_endpoints_from_nothing():
    """The read takes long, as where a link is slow: endpoints are presumed cold for 2 s only."""
    world = _world(ROUTERS, 2, is_strict=False)
    for router in world.routers.values():
        router.clock.is_paused = True
    world.run(8.0)
    _delay_store(world, 60.0, 0.01)
    for router in world.routers.values():
        router.clock.resume()
    world.run(2.5)
    reqs = [world.ask(router, "/look/x") for router in world.routers.values() for _ in range(20)]
    world.run(0.5)
    assert [req.status for req in reqs] == [200] * len(reqs)


@pytest.mark.parametrize("cold_rate", [0.0, 14.0])
def test_only_calls_to_services_with_cold_endpoints_wait_for_the_registry(cold_rate):
    world = DirectWorld()
    endpoint = world.add_endpoint("e0")
    world.operator.put("config", make_direct_document(cold_rate=cold_rate, cold_start_s=3.0))
    router = world.add_router(is_strict=False)
    world.run(SETTLED_S)
    router.clock.is_paused = True
    world.run(8.0)
    _delay_store(world, 0.01, 0.01)
    router.clock.resume()
    reqs = [world.ask(router, "/look/x") for _ in range(WAITING)]
    assert len(endpoint.calls) == (0 if cold_rate else WAITING)
    world.run(0.1)
    assert [req.status for req in reqs] == [200] * WAITING


def test_a_stall_is_logged(caplog):
    world = _world(1, 1)
    world.routers["r000"].clock.is_paused = True
    world.run(8.0)
    world.routers["r000"].clock.resume()
    (found,) = [each for each in caplog.records if each.message == "process stood still"]
    assert 7.5 <= found.for_s <= 8.5
