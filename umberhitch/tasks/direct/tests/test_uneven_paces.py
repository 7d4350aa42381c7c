"""Load on endpoints of one service whose hosts are unevenly fast."""

import pytest

from umberhitch.testing import (
    LOOKS,
    LoadWorld,
    make_paced_world,
    offer_share,
    steady_pace,
)

EQUAL = [steady_pace(1.0)] * 6
UNEVEN = [steady_pace(1.0), steady_pace(2.5)] * 3
UNEVEN_MEAN = 2 / (1 + 1 / 2.5)
"""Pace at which so many equal endpoints can do as much as the uneven ones together."""
ON_TIME = 0.97


def _late(world: LoadWorld) -> int:
    return sum(not record.is_on_time for record in world.of(LOOKS))


def _arrived(world: LoadWorld) -> tuple[int, int]:
    """Return the calls that arrived at the fast endpoints and at the slow ones."""
    arrived = [world.loaded.by_address[f"@e{number}"].arrived for number in range(6)]
    return sum(arrived[::2]), sum(arrived[1::2])


def _offer_uneven(world: LoadWorld, seconds: float) -> None:
    offer_share(world, 0.6, seconds, UNEVEN_MEAN)


@pytest.mark.parametrize(("routers", "seed", "seconds"), [(3, 1, 1.2), (6, 2, 1.2), (30, 3, 0.5)])
def test_equal_endpoints_serve_as_many_on_time_with_a_fourth_figure(
    routers: int, seed: int, seconds: float
):
    late = []
    for figures in (3, 4):
        world = make_paced_world(EQUAL, figures, routers, seed)
        offer_share(world, 0.8, seconds)
        late.append(_late(world))
    # Chance alone moves a count by its square root.
    assert late[1] <= late[0] + 3 * max(1.0, late[0] ** 0.5)


@pytest.mark.parametrize("figures", [3, 4])
@pytest.mark.parametrize(("routers", "seed"), [(1, 1), (3, 2), (6, 3), (30, 4), (30, 5)])
def test_slow_hosts_get_no_more_than_they_do_in_time(routers: int, seed: int, figures: int):
    """Known by what they do where they report no pace; they are used all the same."""
    world = make_paced_world(UNEVEN, figures, routers, seed)
    _offer_uneven(world, 3.0)
    assert world.on_time_share(LOOKS) >= ON_TIME
    fast, slow = _arrived(world)
    assert fast >= 2.5 * slow * 0.9
    assert slow >= 0.05 * fast


def test_slow_hosts_are_known_by_routers_that_are_cut_off_from_each_other():
    world = make_paced_world(UNEVEN, 4, 6, 6)
    for name in world.routers:
        world.network.unplug(name)
    _offer_uneven(world, 3.0)
    assert world.on_time_share(LOOKS) >= ON_TIME


def test_slow_hosts_are_known_to_a_router_that_starts():
    world = make_paced_world(UNEVEN, 4, 2, 7)
    _offer_uneven(world, 1.0)
    for number in range(4):
        world.add_router(f"late{number}")
    world.run(1.2)
    world.records.clear()
    _offer_uneven(world, 2.0)
    assert world.on_time_share(LOOKS) >= ON_TIME
