"""Many routers send to cold endpoints: these are used, within the bound in every second."""

from bisect import bisect_left

import pytest

from umberhitch.core.direct import RouteKind
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.testing import DirectWorld, make_direct_document, make_route

RATE = 14.0
COLD_S = 3.0
BOUND = 1.5 * RATE + 5.0
"""Maximum number of requests in any second that the platform allows for a cold endpoint."""
STEP_S = 0.01
SETTLED_S = 6.0
"""Seconds after which all routers have registered and know each other."""


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


def _send_traffic(
    world: DirectWorld, seconds: float, per_second: int, names: list[str]
) -> list[int | None]:
    """Send requests to random routers; return the statuses."""
    reqs = []
    for _ in range(round(seconds / STEP_S)):
        for _ in range(round(per_second * STEP_S)):
            reqs.append(world.ask(world.routers[world.rng.choice(names)], "/look/x"))
        world.run(STEP_S)
    return [req.status for req in reqs]


def _max_calls_per_second(endpoint: FakeEndpoint) -> int:
    """Return the maximum number of calls that an endpoint received within any second."""
    times = sorted(endpoint.called_s)
    return max((bisect_left(times, first + 1.0) - at for at, first in enumerate(times)), default=0)


@pytest.mark.parametrize("routers", [1, 6, 30])
def test_traffic_for_cold_endpoints_only_keeps_the_bound_and_uses_half_of_it(routers):
    world = _world(routers, 0)
    cold = [world.add_endpoint(f"c{number}", cold_s=COLD_S) for number in range(4)]
    world.run(1.0)
    statuses = _send_traffic(world, 2.0, 100, list(world.routers))
    assert all(_max_calls_per_second(each) <= RATE for each in cold)
    assert min(_max_calls_per_second(each) for each in cold) >= RATE / 2
    served = statuses.count(200)
    assert served + statuses.count(503) == len(statuses)
    assert served >= len(statuses) * len(cold) * RATE / 100 / 3


def test_requests_over_the_quota_are_refused_at_once_with_a_retry_time():
    world = _world(1, 0)
    endpoint = world.add_endpoint("c0", cold_s=COLD_S)
    world.run(1.0)
    router = world.routers["r000"]
    reqs = [world.ask(router, "/order/x") for _ in range(20)]
    refused = [req for req in reqs if req.status == 503]
    assert len(refused) == 20 - 13
    assert all(req.reply.headers[b"Come-Back"] == b"0.100" for req in refused)
    world.run(0.1)
    assert len(endpoint.calls) == 13


def test_a_new_endpoint_beside_warm_ones_keeps_the_bound_and_is_used():
    """The new endpoint has the least load: each router by itself would send it all requests."""
    world = _world(30, 4)
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=1.0)
    cold = world.add_endpoint("c0", cold_s=COLD_S)
    _send_traffic(world, 3.0, 100, list(world.routers))
    assert 0 < _max_calls_per_second(cold) <= RATE
    warm = [e for a, e in world.endpoints.by_address.items() if a != "@c0"]
    assert min(len(each.calls) for each in warm) > 0


def test_routers_without_peers_and_store_keep_the_bound_together():
    """Half of the routers are cut off with an outdated list; the others use a new one."""
    world = _world(20, 0)
    names = list(world.routers)
    cut_off, connected = names[:10], names[10:]
    cold = world.add_endpoint("c0", cold_s=30.0)
    world.run(1.0)
    for name in cut_off:
        world.routers[name].faults.is_down = True
        world.members.drop(name)
        for other in connected:
            world.network.cut(name, other)
    world.run(4.0)
    _send_traffic(world, 4.0, 100, names)
    assert _max_calls_per_second(cold) <= BOUND


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
    _send_traffic(world, 2.0, 100, [*new, "r000", "r001"])
    assert _max_calls_per_second(cold) <= BOUND


def test_after_the_loss_of_all_routers_the_bound_is_kept():
    """All routers join within a second, each with another list."""
    world = _world(30, 0)
    cold = [world.add_endpoint(f"c{number}", cold_s=30.0) for number in range(3)]
    world.run(1.0)
    for name in list(world.routers):
        world.kill_router(name)
    world.run(1.0)
    for number in range(30):
        world.add_router(f"r{number:03d}")
        _send_traffic(world, 0.03, 500, list(world.routers))
    _send_traffic(world, 6.0, 500, list(world.routers))
    assert max(_max_calls_per_second(each) for each in cold) <= BOUND
    assert sum(len(each.calls) for each in cold) > 0


def test_endpoints_of_a_restored_zone_keep_the_bound():
    world = _world(20, 2, zone="a")
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=1.0)
    restored = [world.add_endpoint(f"b{number}", zone="b", cold_s=0.0) for number in range(2)]
    world.take_out("b")
    world.run(2.0)
    for each in restored:
        each.called_s.clear()
    world.take_back("b")
    _send_traffic(world, COLD_S - 0.2, 100, list(world.routers))
    max_calls = [_max_calls_per_second(each) for each in restored]
    assert min(max_calls) > 0
    assert max(max_calls) <= BOUND


def test_without_cold_endpoints_nothing_changes():
    """A service whose endpoints are never cold is not limited, whatever their entries say."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1", cold_s=30.0)
    router = world.ready_router()
    reqs = [world.ask(router, "/look/x") for _ in range(60)]
    world.run(0.2)
    assert {req.status for req in reqs} == {200}
    assert len(endpoint.calls) == 60


def test_nothing_is_counted_where_no_endpoint_is_ever_cold():
    """Otherwise 256 send times per endpoint are kept for nothing: 100 MB with 12,000 endpoints."""
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    for _ in range(5):
        world.ask(router, "/look/x")
    world.run(0.2)
    assert router.gateway.gate.shares._send_times == {}
