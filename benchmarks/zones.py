"""How soon a zone out of service is in force at all routers, and how cold endpoints are used.

``python -m benchmarks zones``, on the virtual clock. A tenth of the messages between routers is
lost, a tenth comes half a second late, and a fifth of the routers is cut off from the others.
"""

from collections.abc import Callable
from random import Random
from time import process_time

from umberhitch.core.direct import ColdLimits, FleetShare
from umberhitch.testing import DirectWorld, make_direct_document

__all__ = ["run"]

SIZES = (6, 30, 100)
"""More take minutes: each router that comes is told to each other, all in one process."""
SHARE_SIZES = (*SIZES, 370)
LIMIT_S = 10.0
STEP_S = 0.05
RATE = 14.0
"""Requests a second that a cold endpoint bears, as in the users' deployment."""


def run() -> dict[str, list[dict[str, float]]]:
    """Return a row for each number of routers."""
    return {
        "zones": [{"routers": size, **_zones(size)} for size in SIZES],
        "cold": [{"routers": size, **_cold(size)} for size in SHARE_SIZES],
    }


def _zones(routers: int) -> dict[str, float]:
    began_s = process_time()
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for number in range(routers):
        world.add_router(f"r{number:03d}", zone="abcdefgh"[number % 8])
    world.run(4.0)
    world.network.faults.drop = 0.1
    world.network.faults.late = 0.1
    names = list(world.routers)
    for one in names[: routers // 5]:
        for other in names[routers // 5 :]:
            world.network.cut(one, other)
    world.take_out("b")
    out_s = _until(world, lambda zones: "b" in zones)
    world.take_back("b")
    back_s = _until(world, lambda zones: "b" not in zones)
    return {"out_s": out_s, "back_s": back_s, "processor_s": round(process_time() - began_s, 1)}


def _until(world: DirectWorld, is_known: Callable[[dict[str, float]], bool]) -> float:
    """Return when all routers know."""
    began_s = world.clock.seconds()
    while world.clock.seconds() < began_s + LIMIT_S:
        world.run(STEP_S)
        known = [r.gateway.directory.zones_out for r in world.routers.values()]
        if all(map(is_known, known)):
            return round(world.clock.seconds() - began_s, 2)
    return float("inf")


def _cold(routers: int) -> dict[str, float]:
    """Return what a crowd at all routers sends to one endpoint within a second."""
    rng, sent, worst = Random(1), [], []
    names = [f"r{number}" for number in range(routers)]
    for number in range(50):
        endpoint = f"e{number}"
        sent.append(_crowd([names] * routers, names, endpoint))
        views = [rng.sample(names, max(1, len(names) * 9 // 10)) for _ in range(4)]
        chosen = [sorted({*rng.choice(views), name}) for name in names]
        worst.append(_crowd(chosen, names, endpoint))
    bound = RATE * ColdLimits().overrun + ColdLimits().slack
    return {
        "cold_used": round(min(sent) / RATE, 2),
        "worst_of_four_lists": max(worst),
        "bound": bound,
    }


def _crowd(lists: list[list[str]], names: list[str], endpoint: str) -> int:
    total, bound = 0, ColdLimits().bound(RATE)
    for name, known in zip(names, lists, strict=True):
        share = FleetShare(name)
        share.set_routers(known)
        share.update_registration(True, 0.0)
        while share.wait_s(endpoint, bound, 0.0) == 0.0:
            share.note_sent(endpoint, 0.0)
            total += 1
    return total
