"""Plain endpoints on hosts of different or changing pace, under a steady load."""

from collections.abc import Callable, Sequence
from random import Random

from umberhitch.testing._direct import make_route
from umberhitch.testing._load import LoadWorld, Stream, make_load_document

__all__ = ["LOOKS", "changing_pace", "make_paced_world", "offer_share", "steady_pace"]

Pace = Callable[[float], float]

WORK_S = 0.0225
OBJECTIVE_S = 0.169
SLOTS = 6
LOOKS = "looks"


def steady_pace(factor: float) -> Pace:
    """Return a pace that doesn't change."""
    return lambda now_s: factor


def changing_pace(rng: Random, span_s: float = 0.6, slow: float = 2.5, share: float = 0.15) -> Pace:
    """Return a pace that is slow in a share of its spans, by chance."""
    offset_s = rng.random() * span_s
    spans = [slow if rng.random() < share else 1.0 for _ in range(100)]
    return lambda now_s: spans[int((now_s + offset_s) / span_s) % len(spans)]


def make_paced_world(paces: Sequence[Pace], figures: int, routers: int, seed: int) -> LoadWorld:
    """Return routers before one endpoint for each pace, all of which report so many figures."""
    world = LoadWorld(rng=Random(seed))
    for number, pace in enumerate(paces):
        world.add_loaded(
            f"e{number}", slots=SLOTS, work_s=WORK_S, is_random=True, figures=figures, pace=pace
        )
    world.start_routers(routers, make_load_document((make_route("look"),)))
    return world


def offer_share(world: LoadWorld, share: float, seconds: float, mean_pace: float = 1.0) -> None:
    """Offer a share of what all endpoints can do at a mean pace, until all is late or on time."""
    per_s = share * len(world.loaded.by_address) * SLOTS / WORK_S / mean_pace
    world.offer([Stream(LOOKS, lambda now_s: per_s, objective_s=OBJECTIVE_S)], seconds)
    world.settle(0.5)
