"""Subsets of agents: coverage, balance and reassignment."""

from collections import Counter

from umberhitch.core.subsets import AgentSubset
from umberhitch.ports import Host, HostRole

ZONES = ("a", "b", "c", "d")


def make_agents(count: int) -> list[Host]:
    return [Host(f"e{i}", HostRole.AGENT, ZONES[i % 4], "-") for i in range(count)]


def pairs_of(routers: dict[str, str], agents: list[Host]) -> set[tuple[str, str]]:
    found = set()
    for name in routers:
        subsets = AgentSubset(name)
        subsets.set_routers(routers)
        found |= {(agent.name, name) for agent in agents if subsets.serves(agent)}
    return found


def test_few_routers_serve_every_agent() -> None:
    routers = {f"r{i}": ZONES[i % 4] for i in range(8)}
    assert len(pairs_of(routers, make_agents(50))) == 8 * 50


def test_many_routers_share_the_agents_evenly_and_mostly_by_zone() -> None:
    routers = {f"r{i}": ZONES[i % 4] for i in range(48)}
    agents = make_agents(600)
    pairs = pairs_of(routers, agents)
    by_agent = Counter(agent for agent, _ in pairs)
    assert set(by_agent.values()) == {8}
    by_router = Counter(router for _, router in pairs)
    assert max(by_router.values()) < 2 * min(by_router.values())
    zone_of = {agent.name: agent.zone for agent in agents}
    same_zone = sum(zone_of[agent] == routers[router] for agent, router in pairs)
    assert same_zone == 6 * len(agents)


def test_a_replaced_router_moves_only_its_own_pairs() -> None:
    routers = {f"r{i}": ZONES[i % 4] for i in range(48)}
    agents = make_agents(600)
    before = pairs_of(routers, agents)
    lost = {name: zone for name, zone in routers.items() if name != "r5"}
    after = pairs_of({**lost, "new": routers["r5"]}, agents)
    stayed = {pair for pair in before if pair[1] != "r5"}
    moved = len(stayed - after)
    assert moved <= len([pair for pair in after if pair[1] == "new"])
    assert moved < 0.05 * len(before)


def test_two_routers_of_its_zone_publish_to_each_agent() -> None:
    routers = {f"r{i}": ZONES[i % 4] for i in range(48)}
    publishers: Counter[str] = Counter()
    for name, zone in routers.items():
        subsets = AgentSubset(name)
        subsets.set_routers(routers)
        for agent in make_agents(200):
            if subsets.publishes_to(agent):
                assert subsets.serves(agent)
                assert zone == agent.zone
                publishers[agent.name] += 1
    assert set(publishers.values()) == {2}
