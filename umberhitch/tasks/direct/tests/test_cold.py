"""Cold endpoints before many routers: no second sees more than the bound, and they are used."""

from bisect import bisect_left

import pytest

from umberhitch.core.direct import RouteKind
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.testing import DirectWorld, make_direct_document, make_route

RATE = 14.0
COLD_S = 3.0
BOUND = 1.5 * RATE + 5.0
"""Requests in any second that the platform allows to a cold endpoint."""
STEP_S = 0.01
SETTLED_S = 6.0
"""All routers have their seats, and have heard of each other."""


def _world(routers: int, endpoints: int, zone: str = "a", is_strict: bool = True) -> DirectWorld:
    """Return a world with warm endpoints, in which all routers are settled."""
    world = DirectWorld()
    for number in range(endpoints):
        world.add_endpoint(f"w{number}", cold_s=0.0, zone=zone)
    routes = (make_route("look"), make_route("order", RouteKind.NON_IDEMPOTENT))
    document = make_direct_document(routes=routes, cold_rate=RATE, cold_start_s=COLD_S)
    world.operator.put("config", document)
    for number in range(routers):
        world.add_router(f"r{number:03d}", is_strict=is_strict)
    world.run(SETTLED_S)
    return world


def _crowd(world: DirectWorld, seconds: float, a_second: int, names: list[str]) -> list[int | None]:
    """Let callers come to routers by chance; return what they got."""
    asks = []
    for _ in range(round(seconds / STEP_S)):
        for _ in range(round(a_second * STEP_S)):
            asks.append(world.ask(world.routers[world.rng.choice(names)], "/look/x"))
        world.run(STEP_S)
    return [ask.status for ask in asks]


def _worst_second(endpoint: FakeEndpoint) -> int:
    """Return the most calls that an endpoint got within any second."""
    times = sorted(endpoint.called_s)
    return max((bisect_left(times, first + 1.0) - at for at, first in enumerate(times)), default=0)


@pytest.mark.parametrize("routers", [1, 6, 30])
def test_a_crowd_that_has_only_cold_endpoints_keeps_the_bound_and_uses_half_of_it(routers):
    world = _world(routers, 0)
    cold = [world.add_endpoint(f"c{number}", cold_s=COLD_S) for number in range(4)]
    world.run(1.0)
    statuses = _crowd(world, 2.0, 100, list(world.routers))
    assert all(_worst_second(each) <= RATE for each in cold)
    assert min(_worst_second(each) for each in cold) >= RATE / 2
    served = statuses.count(200)
    assert served + statuses.count(503) == len(statuses)
    assert served >= len(statuses) * len(cold) * RATE / 100 / 3


def test_requests_over_the_quota_are_refused_at_once_with_a_retry_time():
    world = _world(1, 0)
    endpoint = world.add_endpoint("c0", cold_s=COLD_S)
    world.run(1.0)
    router = world.routers["r000"]
    asks = [world.ask(router, "/order/x") for _ in range(20)]
    refused = [ask for ask in asks if ask.status == 503]
    assert len(refused) == 20 - 13
    assert all(ask.reply.headers[b"Come-Back"] == b"0.100" for ask in refused)
    world.run(0.1)
    assert len(endpoint.calls) == 13


def test_a_new_endpoint_beside_warm_ones_keeps_the_bound_and_is_used():
    """The least loaded of all: each router alone would send it all that comes."""
    world = _world(30, 4)
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=1.0)
    cold = world.add_endpoint("c0", cold_s=COLD_S)
    _crowd(world, 3.0, 100, list(world.routers))
    assert 0 < _worst_second(cold) <= RATE
    warm = [e for a, e in world.endpoints.by_address.items() if a != "@c0"]
    assert min(len(each.calls) for each in warm) > 0


def test_routers_that_see_neither_peers_nor_store_add_up_to_no_more():
    """Half of the routers is cut off with the list of before; the others go on by a new one."""
    world = _world(20, 0)
    names = list(world.routers)
    cut, rest = names[:10], names[10:]
    cold = world.add_endpoint("c0", cold_s=30.0)
    world.run(1.0)
    for name in cut:
        world.routers[name].faults.is_down = True
        world.members.drop(name)
        for other in rest:
            world.network.cut(name, other)
    world.run(4.0)
    _crowd(world, 4.0, 100, names)
    assert _worst_second(cold) <= BOUND


def test_a_router_whose_lease_has_expired_sends_nothing_to_a_cold_endpoint():
    world = _world(1, 0, is_strict=False)
    cold = world.add_endpoint("c0", cold_s=60.0)
    world.run(1.0)
    router = world.routers["r000"]
    router.faults.is_down = True
    world.run(4.0)
    served = world.ask(router, "/look/x")
    world.run(9.0)
    refused = world.ask(router, "/look/x")
    world.run(0.1)
    assert (served.status, refused.status) == (200, 503)
    assert len(cold.calls) == 1


def test_routers_that_start_leave_cold_endpoints_to_the_others():
    world = _world(6, 0)
    cold = world.add_endpoint("c0", cold_s=30.0)
    new = [world.add_router(f"n{number}").gateway.settings.name for number in range(30)]
    world.run(0.5)
    _crowd(world, 2.0, 100, [*new, "r000", "r001"])
    assert _worst_second(cold) <= BOUND


def test_after_the_loss_of_all_routers_the_bound_is_kept():
    """They join within a second, each by another list."""
    world = _world(30, 0)
    cold = [world.add_endpoint(f"c{number}", cold_s=30.0) for number in range(3)]
    world.run(1.0)
    for name in list(world.routers):
        world.kill_router(name)
    world.run(1.0)
    for number in range(30):
        world.add_router(f"r{number:03d}")
        _crowd(world, 0.03, 500, list(world.routers))
    _crowd(world, 6.0, 500, list(world.routers))
    assert max(_worst_second(each) for each in cold) <= BOUND
    assert sum(len(each.calls) for each in cold) > 0


def test_endpoints_of_a_restored_zone_keep_the_bound():
    world = _world(20, 2, zone="a")
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=1.0)
    back = [world.add_endpoint(f"b{number}", zone="b", cold_s=0.0) for number in range(2)]
    world.take_out("b")
    world.run(2.0)
    for each in back:
        each.called_s.clear()
    world.take_back("b")
    _crowd(world, COLD_S - 0.2, 100, list(world.routers))
    worst = [_worst_second(each) for each in back]
    assert min(worst) > 0
    assert max(worst) <= BOUND


def test_without_cold_endpoints_nothing_changes():
    """A service whose endpoints are never cold gets what it got, whatever its entries say."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1", cold_s=30.0)
    router = world.ready_router()
    asks = [world.ask(router, "/look/x") for _ in range(60)]
    world.run(0.2)
    assert {ask.status for ask in asks} == {200}
    assert len(endpoint.calls) == 60


def test_nothing_is_counted_where_no_endpoint_is_ever_cold():
    """256 times an endpoint were kept for nothing: 100 MB before 12,000 endpoints."""
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    for _ in range(5):
        world.ask(router, "/look/x")
    world.run(0.2)
    assert router.gateway.gate.shares._send_times == {}
