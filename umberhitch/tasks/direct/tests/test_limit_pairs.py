"""Named limits beside each other kind of trouble, on the virtual clock."""

from collections.abc import Callable

import pytest

from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.tasks.direct.tests import test_advertised_limits as limits
from umberhitch.testing import DirectWorld, limit_bound, make_direct_document, most_within

RATE = 1.6
ROUTERS = 6
PRESS_S = 12.0
A_SECOND = 60.0
SEATS_S = 8.0
"""All routers have their seats again so long after the store is back."""

Trouble = Callable[[DirectWorld, list[FakeEndpoint]], None]


def _endpoints_crash(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """Others end and come again while callers press."""
    for number in range(2):
        name = f"f{number}"
        world.endpoints.by_address[f"@{name}"].crash()
        limits._send_traffic(world, 2.0, A_SECOND)
        world.add_endpoint(name, born=number + 7, zone="b").reply = Reply(delay_s=0.2)


def _zone_out_and_back(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """All that names no limit is out of service for a while."""
    world.take_out("b")
    limits._send_traffic(world, 5.0, A_SECOND)
    world.take_back("b")


def _cold_endpoints(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """Others come cold, and one that names a limit says that it is cold too."""
    document = make_direct_document(2, cold_rate=4.0, cold_start_s=3.0)
    world.operator.put("config", document)
    world.add_endpoint("c0", cold_s=3.0, zone="b").reply = Reply(delay_s=0.2)
    limits._send_traffic(world, 4.0, A_SECOND)


def _roll_out(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """The new version's only endpoint names a limit as well."""
    new = world.add_endpoint("n0", "v2", zone="b")
    new.reply, new.limit_rate = Reply(delay_s=0.2), RATE
    world.run(1.2)
    world.roll_out("v2", 8.0)
    limited.append(new)


def _burst(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    limits._send_traffic(world, 2.0, 6 * A_SECOND)


def _store_away(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    for router in world.routers.values():
        router.faults.is_down = True
    limits._send_traffic(world, 11.0, A_SECOND)
    for router in world.routers.values():
        router.faults.is_down = False
    limits._send_traffic(world, SEATS_S, A_SECOND)  # until then each uses 0.6 of its share


def _restarts(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """One router after the other is lost, and another starts in its place."""
    for name in list(world.routers):
        world.kill_router(name)
        world.add_router(name, zone="c", is_strict=False)
        limits._send_traffic(world, 1.0, A_SECOND)


def _failing_others(world: DirectWorld, limited: list[FakeEndpoint]) -> None:
    """Nothing but what names a limit answers well: all retries want to go there."""
    for address, endpoint in world.endpoints.by_address.items():
        if address.startswith("@f"):
            endpoint.reply = Reply(status=500, delay_s=0.05)


TROUBLES = (
    _endpoints_crash,
    _zone_out_and_back,
    _cold_endpoints,
    _roll_out,
    _burst,
    _store_away,
    _restarts,
    _failing_others,
)


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda each: each.__name__.strip("_"))
def test_a_limit_is_kept_and_used_beside(trouble: Trouble):
    world, limited = limits._world(ROUTERS, 3, 2, RATE, is_strict=False)
    limits._send_traffic(world, 0.6, A_SECOND)
    told_s = world.clock.seconds()
    trouble(world, limited)
    pressed_s = world.clock.seconds()
    limits._send_traffic(world, PRESS_S, A_SECOND)
    for endpoint in limited:
        assert most_within(endpoint, told_s) <= limit_bound(RATE)
        used = sum(at_s >= pressed_s for at_s in endpoint.called_s)
        assert used >= 0.8 * RATE * PRESS_S
