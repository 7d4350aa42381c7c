"""``subsets``: pairs of agent and router that move as routers are replaced; baseline: modulo."""

import time
from random import Random
from typing import Any

from umberhitch.core.subsets import AgentSubset, bucket_of
from umberhitch.ports import Host, HostRole

__all__ = ["run"]

ROUTERS = 370
AGENTS = 12_000
ZONES = 8
HOMES = 8
SAMPLE = 24
"""Routers of which the pairs are worked out; the rest are alike."""
REPLACED = (1, 10)


def make_routers() -> dict[str, str]:
    """Return the routers with their zones."""
    return {f"router-{index}": f"z{index % ZONES}" for index in range(ROUTERS)}


def make_agents() -> list[Host]:
    """Return the agents."""
    return [
        Host(f"endpoint-{index}", HostRole.AGENT, f"z{index % ZONES}", "-")
        for index in range(AGENTS)
    ]


def by_rendezvous(routers: dict[str, str], agents: list[Host], name: str) -> set[str]:
    """Return the agents of one router."""
    subsets = AgentSubset(name)
    subsets.set_routers(routers)
    return {agent.name for agent in agents if subsets.serves(agent)}


def by_modulo(routers: dict[str, str], agents: list[Host], name: str) -> set[str]:
    """Return the agents of one router if homes were consecutive places of a sorted list."""
    order = sorted(routers)
    place, count = order.index(name), len(order)
    return {agent.name for agent in agents if (place - bucket_of(agent.name)) % count < HOMES}


def measure(way: Any, replaced: int) -> float:
    """Return the share of pairs that move when so many routers are replaced."""
    rng = Random(1)
    routers, agents = make_routers(), make_agents()
    gone = set(rng.sample(sorted(routers), replaced))
    after = {name: zone for name, zone in routers.items() if name not in gone}
    after |= {f"new-{index}": routers[name] for index, name in enumerate(sorted(gone))}
    sample = rng.sample(sorted(set(routers) - gone), SAMPLE)
    pairs = moved = 0
    for name in sample:
        old, new = way(routers, agents, name), way(after, agents, name)
        pairs += len(old)
        moved += len(old - new)
    return moved / pairs


def run() -> dict[str, Any]:
    """Measure moves, the size of a router's share, and the time to work it out."""
    routers, agents = make_routers(), make_agents()
    began_s = time.perf_counter()
    sizes = [len(by_rendezvous(routers, agents, f"router-{index}")) for index in range(SAMPLE)]
    seconds = (time.perf_counter() - began_s) / SAMPLE
    return {
        "routers": ROUTERS,
        "agents": AGENTS,
        "homes": HOMES,
        "agents_of_a_router": {"least": min(sizes), "most": max(sizes)},
        "seconds_to_work_out": round(seconds, 3),
        "moved_share": {
            str(count): {
                "rendezvous": round(measure(by_rendezvous, count), 4),
                "modulo": round(measure(by_modulo, count), 4),
            }
            for count in REPLACED
        },
    }
