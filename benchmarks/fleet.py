"""``fleet``: routers of the direct path by their number, on the virtual clock.

What a router costs the store and the link while nothing happens, and the time from a fault to
normal service. Hops take 1 ms, the store answers at once; one seed, as nothing of it is left to
chance but the spread of pauses.
"""

import logging
from collections.abc import Callable
from typing import Any

from umberhitch.core.direct import EndpointState
from umberhitch.tasks.direct.membership import MembershipLimits
from umberhitch.testing import (
    DirectRouter,
    DirectWorld,
    make_direct_document,
    make_endpoint_entry,
    make_route,
)

__all__ = ["run"]

SIZES = (6, 30, 100)
ENDPOINTS = 12
SETTLE_S = 6.0
REST_S = 10.0
LIMIT_S = 30.0
STEP_S = 0.01
AWAY_S = 10.0


def make_world(size: int) -> DirectWorld:
    """Return a world with routers that know each other."""
    world = DirectWorld()
    world.operator.put("config", make_direct_document(1))
    for number in range(ENDPOINTS):
        world.add_endpoint(f"e{number}")
    for number in range(size):
        world.add_router(_name(number))
    world.run(SETTLE_S)
    return world


def _name(number: int) -> str:
    return f"r{number:03d}"


def lose(world: DirectWorld, name: str) -> None:
    """Let a router vanish: it says and does nothing more, and the store forgets it in time."""
    router = world.routers.pop(name)
    router.clock.is_paused = True
    world.network.unplug(name)
    world.clock.callLater(MembershipLimits().ttl_s, world.members.drop, name)


def until(world: DirectWorld, condition: Callable[[DirectRouter], bool]) -> float:
    """Let time pass until a condition holds at every router; returns how long it took."""
    began_s = world.clock.seconds()
    while world.clock.seconds() - began_s < LIMIT_S:
        if all(condition(router) for router in world.routers.values()):
            break
        world.run(STEP_S)
    return round(world.clock.seconds() - began_s, 2)


def has_document(number: int) -> Callable[[DirectRouter], bool]:
    """Return whether a configuration is in force, as a condition."""
    return lambda router: (
        router.gateway.table is not None and router.gateway.table.document.number >= number
    )


def is_left_out(name: str) -> Callable[[DirectRouter], bool]:
    """Return whether an endpoint gets no new work, as a condition."""

    def check(router: DirectRouter) -> bool:
        found = router.gateway.directory.get(name)
        return found is None or found.entry.state is not EndpointState.READY

    return check


def change(world: DirectWorld) -> float:
    """From a configuration's append to its being in force everywhere."""
    routes = (make_route("look"), make_route("new"))
    world.operator.put("config", make_direct_document(2, routes=routes))
    return until(world, has_document(2))


def drain(world: DirectWorld) -> float:
    """From an endpoint's word that it leaves to no router's sending it work."""
    world.registry.put("e0", make_endpoint_entry("e0", state=EndpointState.DRAINING))
    return until(world, is_left_out("e0"))


def drain_as_reader_is_lost(world: DirectWorld) -> float:
    """The same, while the router that reads for the others is lost at that moment."""
    lose(world, _name(0))
    return drain(world)


def change_as_half_are_lost(world: DirectWorld) -> float:
    """From a configuration's append to its being in force, while half the routers are lost."""
    for name in list(world.routers)[::2]:
        lose(world, name)
    return change(world)


def restart_all(world: DirectWorld) -> float:
    """From the start of all routers at once, anew, to all being ready."""
    names = list(world.routers)
    for name in names:
        lose(world, name)
    for name in names:
        world.add_router(name)
    return until(world, lambda router: router.gateway.is_ready)


def store_back(world: DirectWorld) -> float:
    """From the store's return after 10 s to every router's taking requests with keys again."""
    for router in world.routers.values():
        router.faults.is_down = True
    world.run(AWAY_S)
    for router in world.routers.values():
        router.faults.is_down = False
    return until(
        world, lambda router: router.gateway.view.proof_age_s(router.clock.seconds()) < 2.0
    )


def reader_turned_away(world: DirectWorld) -> float:
    """Oldest proof at any router in the 10 s after the store turns the reader away."""
    world.routers[_name(0)].faults.is_down = True
    oldest_s = 0.0
    for _ in range(round(AWAY_S / 0.1)):
        world.run(0.1)
        ages = [
            router.gateway.view.proof_age_s(world.clock.seconds())
            for router in world.routers.values()
        ]
        oldest_s = max(oldest_s, *ages)
    return round(oldest_s, 2)


FAULTS: dict[str, Callable[[DirectWorld], float]] = {
    "configuration appended: in force everywhere": change,
    "the same, half the routers lost at that moment": change_as_half_are_lost,
    "endpoint leaving: no new work": drain,
    "the same, the reader lost at that moment": drain_as_reader_is_lost,
    "all started anew: all ready": restart_all,
    "store back after 10 s: keys proved everywhere": store_back,
    "reader turned away by the store: oldest proof": reader_turned_away,
}


def at_rest(size: int) -> dict[str, Any]:
    """Return what routers cost while nothing happens."""
    world = make_world(size)
    routers = list(world.routers.values())
    calls = sum(router.store_calls for router in routers)
    messages, sent = world.network.messages, world.network.bytes
    world.run(REST_S)
    calls = sum(router.store_calls for router in routers) - calls
    return {
        "store_calls_per_s": round(calls / REST_S, 2),
        "messages_per_s_a_router": round((world.network.messages - messages) / REST_S / size, 1),
        "link_bytes_per_s_a_router": round((world.network.bytes - sent) / REST_S / size),
    }


def run() -> dict[str, Any]:
    """Measure every size."""
    logging.disable(logging.CRITICAL)
    return {
        str(size): {
            **at_rest(size),
            **{f"{name}, s": fault(make_world(size)) for name, fault in FAULTS.items()},
        }
        for size in SIZES
    }
