"""Routers that the store has accepted and does not list.

Guards against routers that count themselves as listed because they joined: the store accepts more
routers than it has places for, and lists a router only after another one has given up a place. In
a trial with 38 routers and 24 places, 14 routers got none.
"""

from random import Random

import pytest

from umberhitch.core.direct import HeadSignals, Rate, ReplyHead
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.membership import MembershipLimits
from umberhitch.tasks.direct.tests import test_cold as cold
from umberhitch.testing import DirectWorld, make_direct_document, make_route

SEATS = 4
ROUTERS = 12
PROPAGATION_S = MembershipLimits().propagation_s
LEFT_OUT_S = MembershipLimits().ttl_s + PROPAGATION_S


def _world(routers: int = ROUTERS, run_s: float = cold.SETTLED_S) -> DirectWorld:
    """Return a world with more routers than places."""
    world = DirectWorld()
    world.members.seats = SEATS
    for number in range(2):
        world.add_endpoint(f"w{number}", cold_s=0.0)
    document = make_direct_document(
        routes=(make_route("look"),), cold_rate=cold.RATE, cold_start_s=cold.COLD_S
    )
    world.operator.put("config", document)
    for number in range(routers):
        world.add_router(f"r{number:03d}")
    world.run(run_s)
    return world


def _listed(world: DirectWorld) -> set[str]:
    return set(list(world.members.rows)[:SEATS])


def _cold_calls(world: DirectWorld) -> int:
    """Send much for a new cold endpoint; return the most calls that it got within a second."""
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=1.0)
    endpoint = world.add_endpoint("c0", cold_s=cold.COLD_S)
    cold._send_traffic(world, cold.COLD_S, 100, list(world.routers))
    assert {sender for sender, _ in endpoint.arrivals} <= _listed(world)
    return cold._max_calls_per_second(endpoint)


def test_only_listed_routers_send_to_a_cold_endpoint():
    assert cold.RATE / 2 <= _cold_calls(_world()) <= cold.BOUND


def test_the_bound_is_kept_as_places_are_dealt_anew():
    world = _world()
    rng = Random(3)
    for number in range(4):
        for each in world.endpoints.by_address.values():
            each.reply = Reply(delay_s=1.0)
        endpoint = world.add_endpoint(f"c{number}", cold_s=cold.COLD_S)
        world.members.deal(rng)
        cold._send_traffic(world, cold.COLD_S, 100, list(world.routers))
        assert cold._max_calls_per_second(endpoint) <= cold.BOUND


def test_a_router_that_gets_a_place_late_waits_until_the_others_know():
    world = _world()
    late = world.routers["r010"]
    assert not late.gateway.gate.shares.is_registered
    world.members.seats = ROUTERS
    world.members.generation += 1
    listed_s = None
    for _ in range(1200):
        world.run(0.01)
        if listed_s is None and late.gateway.gate.shares.is_listed:
            listed_s = world.clock.seconds()
        late.gateway.gate.refresh_shares()
        if late.gateway.gate.shares.is_registered:
            break
    assert listed_s is not None
    assert world.clock.seconds() >= listed_s + PROPAGATION_S - 0.02


@pytest.mark.parametrize("run_s", [1.0, cold.SETTLED_S, LEFT_OUT_S, 2 * LEFT_OUT_S])
def test_the_slack_of_the_retry_budget_is_shared_once(run_s: float):
    world = _world(run_s=run_s)
    now_s = world.clock.seconds()
    left = [r.gateway.retry_budget.remaining("svc", now_s) for r in world.routers.values()]
    assert sum(left) <= 100.0  # the slack of the fake world
    if run_s >= LEFT_OUT_S:  # by then the unlisted ones were told how many there are
        assert sum(left) >= 50.0


def test_held_requests_are_read_by_two_routers_of_those_listed():
    world = _world(run_s=LEFT_OUT_S)
    assert sum(router.holds_port.calls for router in world.routers.values()) == 2


def test_all_routers_choose_the_same_arbiter():
    world = _world()
    for number in range(20):
        key = f"key{number}"
        arbiters = {r.gateway.crash_guard.sharing.arbiter(key) for r in world.routers.values()}
        assert len(arbiters) == 1
        assert arbiters <= _listed(world)


def test_a_router_that_stays_unlisted_sends_its_requests_to_a_listed_reader():
    world = _world(run_s=LEFT_OUT_S)
    listed = _listed(world)
    for name, router in world.routers.items():
        if name not in listed:
            assert router.peers._sharing.choose_reader(set()) in listed
    before = {name: router.registry.calls for name, router in world.routers.items()}
    world.run(4.0)
    reading = {name for name, r in world.routers.items() if r.registry.calls > before[name] + 1}
    assert reading <= listed


def test_an_unlisted_router_learns_what_a_listed_one_is_told():
    """Without this it goes on to use an endpoint that drains or has a limit."""
    world = _world(run_s=LEFT_OUT_S)
    listed, unlisted = world.routers["r000"], world.routers["r010"]
    gate = listed.gateway.gate
    gate.apply_head("w0", ReplyHead(200, signals=HeadSignals(limit=Rate(2.0))))
    gate.apply_head("w1", ReplyHead(200, signals=HeadSignals(is_draining=True)))
    world.run(0.2)
    assert [name for name, _ in unlisted.gateway.gate.limits] == ["w0"]
    assert "w1" in unlisted.gateway.gate.closed.draining


def test_a_listed_router_learns_what_an_unlisted_one_is_told_and_the_others_too():
    world = _world(run_s=LEFT_OUT_S)
    gate = world.routers["r010"].gateway.gate
    gate.apply_head("w1", ReplyHead(200, signals=HeadSignals(is_draining=True)))
    world.run(0.2)
    assert all("w1" in world.routers[n].gateway.gate.closed.draining for n in _listed(world))
    world.run(6.0)  # the listed ones send it to two peers a second
    assert all("w1" in r.gateway.gate.closed.draining for r in world.routers.values())


def test_an_unlisted_router_that_joins_late_gets_the_state():
    world = _world(run_s=LEFT_OUT_S)
    gate = world.routers["r000"].gateway.gate
    gate.apply_head("w1", ReplyHead(200, signals=HeadSignals(is_draining=True)))
    world.run(0.2)
    late = world.add_router("r900")
    world.run(LEFT_OUT_S)
    assert "w1" in late.gateway.gate.closed.draining


def test_an_unlisted_router_that_is_lost_is_forgotten():
    world = _world(run_s=LEFT_OUT_S)
    assert "r010" in world.routers["r000"].peers._contacts()
    world.kill_router("r010")
    world.run(10.0)
    assert "r010" not in world.routers["r000"].peers._contacts()


def test_loads_are_told_to_and_by_unlisted_routers():
    world = _world(run_s=LEFT_OUT_S)
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=5.0)
    for name in ("r000", "r010"):
        for _ in range(3):
            world.ask(world.routers[name], "/look/x")
    world.run(1.0)
    for name in ("r001", "r000", "r010"):
        placement = world.routers[name].gateway.placement
        assert sum(placement.all_running_calls(f"w{n}") for n in range(2)) == 6


@pytest.mark.parametrize("seats", [SEATS, None])
def test_only_a_router_without_a_place_counts_itself_as_unlisted(seats: int | None):
    world = DirectWorld()
    world.members.seats = seats
    world.operator.put("config", make_direct_document())
    for number in range(6):
        world.add_router(f"r{number}")
    world.run(LEFT_OUT_S)
    unlisted = [n for n, r in world.routers.items() if not r.gateway.gate.shares.is_listed]
    assert unlisted == ([] if seats is None else ["r4", "r5"])
