"""``appends``: log appends a second as routers grow in number, at a constant load."""

import logging
from typing import Any

from benchmarks._fit import fit_line
from umberhitch.tasks import router as router_module
from umberhitch.testing import AskOptions, World, WorldSettings, make_change

__all__ = ["run"]

ROUTERS = (2, 4, 8, 16, 32, 64)
REQUESTS_PER_S = 60
KEYED_SHARE = 4
SECONDS = 10
NO_SHARING = 1e9
DESIGN_ROUTERS = 370


def measure(routers: int) -> dict[str, float]:
    """Return the appends a second of so many routers."""
    endpoints = {f"e{index}": "m@1" for index in range(8)}
    names = tuple(f"r{index}" for index in range(routers))
    world = World(WorldSettings(endpoints=endpoints, routers=names))
    world.publish(make_change())
    world.start()
    before = world.memory.appends
    for index in range(REQUESTS_PER_S * SECONDS):
        key = f"key-{index}" if index % KEYED_SHARE == 0 else ""
        world.ask(f"question {index}", None, AskOptions(key=key))
        world.advance(1.0 / REQUESTS_PER_S)
    appends = world.memory.appends - before
    world.advance(10.0)
    waits = sorted(
        (record.ended_s or 0.0) - record.asked_s for record in world.records if record.options.key
    )
    return {
        "appends_per_s": appends / SECONDS,
        "done": len(world.done()),
        "keyed_p50_s": round(waits[len(waits) // 2], 3),
    }


def run() -> dict[str, Any]:
    """Measure with a fixed interval, and with one that stretches with the number of routers."""
    logging.disable(logging.CRITICAL)
    stretched = {count: measure(count) for count in ROUTERS}
    budgets = (router_module.BILLING_APPENDS_PER_S, router_module.CLAIM_APPENDS_PER_S)
    router_module.BILLING_APPENDS_PER_S = router_module.CLAIM_APPENDS_PER_S = NO_SHARING
    try:
        fixed = {count: measure(count) for count in ROUTERS}
    finally:
        router_module.BILLING_APPENDS_PER_S, router_module.CLAIM_APPENDS_PER_S = budgets
    fits = {}
    for name, rows in (("fixed", fixed), ("stretched", stretched)):
        points = [(float(count), row["appends_per_s"]) for count, row in rows.items()]
        fits[name] = fit_line(points).as_dict()
    return {
        "requests_per_s": REQUESTS_PER_S,
        "offered": REQUESTS_PER_S * SECONDS,
        "fixed": fixed,
        "stretched": stretched,
        "fits": fits,
        "bound_at_370_routers": {
            "fixed_interval_if_every_router_is_busy": DESIGN_ROUTERS * 2 / 0.02,
            "stretched": sum(budgets),
        },
    }
