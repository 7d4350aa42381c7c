"""``recovery``: time and messages from a fault to normal service, on the virtual clock.

Ten seeds each; the times are those of the protocol on a network with 1 ms hops.
"""

import logging
import statistics
from collections.abc import Callable
from typing import Any

from benchmarks._load import percentile
from umberhitch.config import VersionState
from umberhitch.core.outcome import Done
from umberhitch.testing import (
    AskOptions,
    World,
    WorldSettings,
    check_world,
    make_change,
    make_state_change,
)

__all__ = ["run"]

SEEDS = range(10)
ROUTERS = ("r1", "r2", "r3", "r4")
ENDPOINTS = {f"e{index}": "m@1" for index in range(12)}
ZONES = ("a", "b", "c", "d")
STEP_S = 0.02
LIMIT_S = 60.0
REQUESTS_PER_S = 25


def make_world(seed: int) -> World:
    """Return a started deployment."""
    world = World(WorldSettings(endpoints=ENDPOINTS, routers=ROUTERS, zones=ZONES, seed=seed))
    world.publish(make_change())
    world.start()
    return world


def until(world: World, condition: Callable[[], bool]) -> float:
    """Let time pass until a condition holds; returns how long it took."""
    began_s = world.clock.seconds()
    while not condition() and world.clock.seconds() - began_s < LIMIT_S:
        world.advance(STEP_S)
    return world.clock.seconds() - began_s


def offer(world: World, seconds: float, klass: str = "default") -> None:
    """Send requests at the rate."""
    for index in range(round(seconds * REQUESTS_PER_S)):
        world.ask(f"{klass} {world.clock.seconds():.3f} {index}", None, AskOptions(klass=klass))
        world.advance(1.0 / REQUESTS_PER_S)


def router_lost(world: World) -> float:
    """From the loss of a router to its answer being whole at another router and billed."""
    from twisted.internet.defer import ensureDeferred

    from umberhitch.tasks.resume import parse_locator

    record = world.ask("long answer", "r1")
    world.advance(0.1)
    world.lose_router("r1")
    where = parse_locator(record.locators[-1])
    assert where is not None
    fetched = ensureDeferred(world.routers["r2"].answer_fetcher.fetch(where, "acme", 0))
    return until(world, lambda: fetched.called and record.request in world.bills().records)


def agent_replaced(world: World) -> float:
    """From the replacement of an agent to work for the new incarnation."""
    world.replace_agent("e1")
    return until(
        world,
        lambda: all(
            any(endpoint.name == "e1" for endpoint in router.fleet.candidates("m@1"))
            and router.fleet.endpoints["e1"].incarnation == world.agents["e1"].settings.incarnation
            for router in world.routers.values()
        )
        and world.agents["e1"].revision == world.routers["r1"].revision,
    )


def agent_silent(world: World) -> float:
    """From the loss of an agent to no router choosing it."""
    world.lose_agent("e1")
    return until(
        world,
        lambda: not any(
            endpoint.name == "e1"
            for router in world.routers.values()
            for endpoint in router.fleet.candidates("m@1")
        ),
    )


def log_back(world: World) -> float:
    """From the return of a log that was down for an hour to every bill being in it."""
    world.log_faults.is_down = True
    offer(world, 4.0)
    world.advance(3600.0)
    world.log_faults.is_down = False
    return until(
        world,
        lambda: all(router.bills.pending == 0 for router in world.routers.values())
        and all(agent.unconfirmed_usage == 0 for agent in world.agents.values()),
    )


def in_force(world: World) -> float:
    """From the append of a change to every router and agent having it."""
    world.publish(make_state_change("c2", "m@2", VersionState.ACTIVE))
    return until(
        world,
        lambda: all(router.revision >= 1 for router in world.routers.values())
        and all(agent.revision >= 1 for agent in world.agents.values()),
    )


def in_force_lossy(world: World) -> float:
    """The same, with a fifth of all messages lost."""
    world.network.faults.drop = 0.2
    return in_force(world)


def last_new_work(world: World) -> float:
    """From an operator's withdrawal to the last call that any engine began on the version."""
    offer(world, 1.0)
    began_s = world.clock.seconds()
    change = make_state_change("c2", "m@1", VersionState.WITHDRAWN)
    world.routers["r1"].submit_change(change)
    offer(world, 3.0)
    runs = [run.began_s for engine in world.all_engines() for run in engine.runs]
    return max(0.0, max(runs) - began_s)


def last_new_work_log_down(world: World) -> float:
    """The same, while the log is down."""
    world.log_faults.is_down = True
    return last_new_work(world)


FAULTS: dict[str, Callable[[World], float]] = {
    "router lost: answer whole and billed": router_lost,
    "agent replaced: in service": agent_replaced,
    "agent lost: left out": agent_silent,
    "log back after an hour: all billed": log_back,
    "change appended: in force everywhere": in_force,
    "change appended: in force, 20 % lost": in_force_lossy,
    "withdrawal: last new work": last_new_work,
    "withdrawal, log down: last new work": last_new_work_log_down,
}


def measure(fault: Callable[[World], float]) -> dict[str, Any]:
    """Return time, messages and broken promises over all seeds."""
    times, messages, violations = [], [], 0
    for seed in SEEDS:
        world = make_world(seed)
        before = world.network.messages
        times.append(fault(world))
        messages.append(world.network.messages - before)
        world.settle()
        violations += len(check_world(world))
    return {
        "p50_s": round(statistics.median(times), 3),
        "p99_s": round(percentile(times, 0.99), 3),
        "worst_s": round(max(times), 3),
        "messages_p50": round(statistics.median(messages)),
        "violations": violations,
    }


def rolling_replacement() -> dict[str, Any]:
    """Drain and replace every host under load; count the requests that were cut off."""
    world = make_world(1)
    for name in [*ENDPOINTS, *ROUTERS]:
        is_router = name in world.routers
        process = world.routers[name] if is_router else world.agents[name]
        drained = process.drain()
        offer_to_others(world, name, 1.0)
        until(world, lambda drained=drained: drained.called)  # type: ignore[misc]
        if is_router:
            world.replace_router(name)
        else:
            world.replace_agent(name)
        offer_to_others(world, name, 3.0)
    world.settle()
    cut_off = [rec for rec in world.records if not isinstance(rec.outcome, Done)]
    return {
        "hosts": len(ENDPOINTS) + len(ROUTERS),
        "requests": len(world.records),
        "cut_off": len(cut_off),
        "violations": len(check_world(world)),
    }


def offer_to_others(world: World, name: str, seconds: float) -> None:
    """Send requests to every router but one, as a balancer does that asks for readiness."""
    for index in range(round(seconds * REQUESTS_PER_S)):
        ready = [
            router for router, node in world.routers.items() if router != name and node.is_ready
        ]
        world.ask(f"{name} {index} {world.clock.seconds():.2f}", world.rng.choice(sorted(ready)))
        world.advance(1.0 / REQUESTS_PER_S)


def run() -> dict[str, Any]:
    """Measure every fault."""
    logging.disable(logging.CRITICAL)
    return {
        "seeds": len(SEEDS),
        "routers": len(ROUTERS),
        "endpoints": len(ENDPOINTS),
        "faults": {name: measure(fault) for name, fault in FAULTS.items()},
        "rolling_replacement": rolling_replacement(),
    }
