"""``restored``: calls to the store and time until all is in force after it returned from a copy.

Whole routers of the direct path on the virtual clock. The copy lacks the last configuration, which
is written again at once. A quiet time before is the yardstick.
"""

import logging
from dataclasses import dataclass

from umberhitch.core.direct import epoch_of
from umberhitch.testing import DirectRouter, DirectWorld, make_direct_document

__all__ = ["run"]

ROUTERS = (6, 30, 300)
SETTLE_S = 16.0
"""Until all routers know each other."""
QUIET_S = 4.0
AFTER_S = 4.0
STEP_S = 0.05


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one return of the store.

    Attributes
    ----------
    quiet_calls : float
        Calls of all routers within the seconds before, in each `AFTER_S`.
    calls : float
        Calls within `AFTER_S` of the return.
    first_s, all_s : float
        Time from the return until the first router, and all of them, have read the store's copy.
    new_all_s : float
        Time until a configuration that is written at that moment is in force everywhere.
    """

    routers: int
    quiet_calls: float
    calls: float
    first_s: float
    all_s: float
    new_all_s: float


def measure(routers: int, *, is_noticed: bool) -> Cost:
    """Return the cost of one return."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document(1))
    for number in range(routers):
        world.add_router(f"r{number:03d}")
    world.run(SETTLE_S)
    began = _calls(world)
    world.run(QUIET_S)
    quiet = (_calls(world) - began) * AFTER_S / QUIET_S
    copy = world.copy_store()
    world.operator.put("config", make_direct_document(2))
    world.run(2.0)
    before, returned_s = _calls(world), world.clock.seconds()
    world.write_again(world.restore_store(copy, is_noticed=is_noticed))
    first_s = all_s = new_s = float("inf")
    while world.clock.seconds() < returned_s + AFTER_S:
        world.run(STEP_S)
        after_s = world.clock.seconds() - returned_s
        at = [_epoch(router) for router in world.routers.values()]
        first_s = min(first_s, after_s) if any(at) else first_s
        if all(at) and all_s == float("inf"):
            all_s = after_s
            world.operator.put("config", make_direct_document(3))
        if all_s < after_s and new_s == float("inf"):
            numbers = [each.gateway.view.configuration() for each in world.routers.values()]
            new_s = after_s - all_s if min(numbers) == 3 else new_s
    calls = _calls(world) - before
    return Cost(routers, quiet, calls, round(first_s, 2), round(all_s, 2), round(new_s, 2))


def _calls(world: DirectWorld) -> float:
    return round(sum(router.store_calls for router in world.routers.values()), 1)


def _epoch(router: DirectRouter) -> int:
    view = router.gateway.view
    return min(epoch_of(feed.position) for feed in (view.operator_feed, view.registry_feed))


def run() -> dict[str, list[Cost]]:
    """Measure returns that break the connections, and returns that nobody notices by them."""
    logging.disable(logging.CRITICAL)
    return {
        name: [measure(routers, is_noticed=is_noticed) for routers in ROUTERS]
        for name, is_noticed in (("connections broken", True), ("connections kept", False))
    }
