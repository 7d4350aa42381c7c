"""Rivals for too little room: customers, priorities, and callers who come back."""

from umberhitch.core.direct import Customer, RouteKind
from umberhitch.testing._direct import make_route
from umberhitch.testing._load import LoadRecord, Stream, make_load_document
from umberhitch.testing._overload import OverloadWorld, make_overload_world

__all__ = ["make_rivals", "on_time", "run_customers", "run_priorities", "run_returns"]

WARM_S = 0.6
"""Time at a load that endpoints can take, before the overload that is judged."""


def make_rivals(
    routers: int, seed: int, kind: RouteKind = RouteKind.IDEMPOTENT, endpoints: int = 8
) -> OverloadWorld:
    """Return routers with customers ``big`` and ``small``, and routes of priorities 0 and 2."""
    routes = (make_route("look", kind, priority=0), make_route("low", kind, priority=2))
    document = make_load_document(routes, (Customer("c1"), Customer("big"), Customer("small")))
    return make_overload_world(routers, seed, endpoints=endpoints, document=document)


def on_time(records: list[LoadRecord]) -> float:
    """Return which part of some requests was on time."""
    return sum(each.is_on_time for each in records) / max(1, len(records))


def run_customers(world: OverloadWorld, factor: float, seconds: float) -> tuple[float, float]:
    """Let ``big`` ask a multiple of capacity, and ``small`` a twentieth.

    Return the part of the small customer's requests that was on time, and all that was on time as a
    part of capacity.
    """
    capacity, start_s = world.capacity_per_s, world.clock.seconds() + WARM_S
    big = Stream(
        "big", lambda now_s: (0.7 if now_s < start_s else factor) * capacity, customer="big"
    )
    small = Stream("small", lambda now_s: 0.05 * capacity, customer="small")
    world.offer([big, small], WARM_S + seconds)
    world.settle(1.0)
    judged = [each for each in world.records if each.sent_s >= start_s]
    of_small = [each for each in judged if each.label == "small"]
    return on_time(of_small), sum(each.is_on_time for each in judged) / capacity / seconds


def run_priorities(world: OverloadWorld, seconds: float) -> tuple[float, float]:
    """Let priority 0 ask 0.7 of capacity beside priority 2 with 1.5 times.

    Return the parts of both that were on time.
    """
    capacity, start_s = world.capacity_per_s, world.clock.seconds() + WARM_S
    high = Stream("high", lambda now_s: (0.4 if now_s < start_s else 0.7) * capacity)
    low = Stream("low", lambda now_s: (0.4 if now_s < start_s else 1.5) * capacity, "/low/x")
    world.offer([high, low], WARM_S + seconds)
    world.settle(1.0)
    judged = [each for each in world.records if each.sent_s >= start_s]
    return tuple(  # type: ignore[return-value]
        on_time([each for each in judged if each.label == label]) for label in ("high", "low")
    )


def run_returns(world: OverloadWorld, retries: int) -> list[list[LoadRecord]]:
    """Offer twice the capacity for 1.5 s, and then half of it.

    Return the tries of each caller who came back.
    """
    capacity, start_s = world.capacity_per_s, world.clock.seconds()
    callers = Stream(
        "callers",
        lambda now_s: (2.0 if now_s < start_s + 1.5 else 0.5) * capacity,
        retries=retries,
        is_distinct=True,
    )
    world.offer([callers], 4.5)
    world.settle(4.0)
    tries: dict[float, list[LoadRecord]] = {}
    for each in world.records:
        tries.setdefault(each.first_sent_s, []).append(each)
    return [each for each in tries.values() if len(each) > 1]
