"""Advertised limits in combination with each other kind of fault, on the virtual clock."""

from collections.abc import Callable

import pytest

from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.tasks.direct.tests import test_advertised_limits as advertised
from umberhitch.testing import DirectWorld, limit_bound, make_direct_document, most_within

RATE = 1.6
ROUTERS = 6
LOAD_S = 12.0
REQUESTS_PER_S = 60.0
REGISTERED_S = 8.0
"""Seconds after the recovery of the store at which all routers are registered again."""

Fault = Callable[[DirectWorld, list[FakeEndpoint]], None]


def _endpoints_crash(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """Other endpoints crash and restart under load."""
    for number in range(2):
        name = f"f{number}"
        world.endpoints.by_address[f"@{name}"].crash()
        advertised._send_traffic(world, 2.0, REQUESTS_PER_S)
        world.add_endpoint(name, born=number + 7, zone="b").reply = Reply(delay_s=0.2)


def _zone_out_and_restored(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """All endpoints without a limit are out of service for a while."""
    world.take_out("b")
    advertised._send_traffic(world, 5.0, REQUESTS_PER_S)
    world.take_back("b")


def _cold_endpoints(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """A cold endpoint starts, while others advertise a limit."""
    document = make_direct_document(2, cold_rate=4.0, cold_start_s=3.0)
    world.operator.put("config", document)
    world.add_endpoint("c0", cold_s=3.0, zone="b").reply = Reply(delay_s=0.2)
    advertised._send_traffic(world, 4.0, REQUESTS_PER_S)


def _roll_out(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """The only endpoint of the new version advertises a limit as well."""
    new = world.add_endpoint("n0", "v2", zone="b")
    new.reply, new.limit_rate = Reply(delay_s=0.2), RATE
    world.run(1.2)
    world.roll_out("v2", 8.0)
    limited.append(new)


def _burst(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    advertised._send_traffic(world, 2.0, 6 * REQUESTS_PER_S)


def _store_unavailable(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    for router in world.routers.values():
        router.faults.is_down = True
    advertised._send_traffic(world, 11.0, REQUESTS_PER_S)
    for router in world.routers.values():
        router.faults.is_down = False
    advertised._send_traffic(
        world, REGISTERED_S, REQUESTS_PER_S
    )  # until then each router uses 0.6 of its quota


def _restarts(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """One router after the other is killed and replaced."""
    for name in list(world.routers):
        world.kill_router(name)
        world.add_router(name, zone="c", is_strict=False)
        advertised._send_traffic(world, 1.0, REQUESTS_PER_S)


def _failing_others(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """Only endpoints with a limit answer without error, so that all retries prefer them."""
    for address, endpoint in world.endpoints.by_address.items():
        if address.startswith("@f"):
            endpoint.reply = Reply(status=500, delay_s=0.05)


FAULTS = (
    _endpoints_crash,
    _zone_out_and_restored,
    _cold_endpoints,
    _roll_out,
    _burst,
    _store_unavailable,
    _restarts,
    _failing_others,
)


@pytest.mark.parametrize("cause_fault", FAULTS, ids=lambda each: each.__name__.strip("_"))
def test_a_limit_is_kept_and_used_beside_a_fault(cause_fault: Fault):
    world, limited = advertised._world(ROUTERS, 3, 2, RATE, is_strict=False)
    advertised._send_traffic(world, 0.6, REQUESTS_PER_S)
    known_s = world.clock.seconds()
    cause_fault(world, limited)
    load_start_s = world.clock.seconds()
    advertised._send_traffic(world, LOAD_S, REQUESTS_PER_S)
    for endpoint in limited:
        assert most_within(endpoint, known_s) <= limit_bound(RATE)
        used = sum(at_s >= load_start_s for at_s in endpoint.called_s)
        assert used >= 0.8 * RATE * LOAD_S
