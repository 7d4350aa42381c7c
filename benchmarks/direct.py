"""``direct``: the direct path's processor time: microseconds a decision, and a relayed event.

A decision is what one request asks of a router before its call is sent: route, customer, version,
endpoint, by the number of endpoints of the service. Homes of shared parts are worked out before:
that is done once for each bucket, and a change of membership moves only those that it must.
"""

import time
from random import Random
from typing import Any

from twisted.internet.task import Clock

from umberhitch.core.direct import (
    AnswerValueLimits,
    CallerRequest,
    Directory,
    EndpointEntry,
    EndpointState,
    EngineCall,
    EnginePrice,
    EventSplitter,
    PromptPart,
    RouteTable,
    Service,
    make_answer_value,
)
from umberhitch.core.direct import Placement as Placing
from umberhitch.testing import make_direct_document, make_route

__all__ = ["run"]

SIZES = (60, 600, 12_000)
ROUTES = 400
ROUNDS = 2000
BUCKETS_MADE = 500
"""As many as there are shared parts."""
ZONES = 8
REPEATS = 5
EVENTS = 20_000
MODELS = ("small", "large")
WORTH = AnswerValueLimits()
PRICE = EnginePrice(1.0, 2.0, 1.0, 0.3)


def make_directory(size: int) -> Directory:
    """Return a directory of so many endpoints of one service."""
    directory = Directory()
    for index in range(size):
        zone, address = f"z{index % ZONES}", f"10.0.{index // 250}.{index % 250}:80"
        entry = EndpointEntry(f"i{index}", "svc", address, zone, "v1", 64, EndpointState.READY)
        directory.put(entry, 0.0)
    return directory


def measure_decision(size: int) -> float:
    """Return the best time of several, in microseconds a decision."""
    directory = make_directory(size)
    placement = Placing("z0")
    routes = tuple(make_route(f"r{index}") for index in range(ROUTES))
    table = RouteTable(make_direct_document(routes=routes))
    service = Service("svc", slots=64, cache_tokens=400_000)
    rng, clock = Random(3), Clock()
    for bucket in range(BUCKETS_MADE):
        directory.affinity_endpoint("svc", f"s{bucket}")
    best = float("inf")
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        for index in range(ROUNDS):
            route = table.find("models.example", f"/r{index % ROUTES}/x")
            assert route is not None
            table.find_customer("key-1")
            parts = (PromptPart(f"s{rng.randrange(500)}", 4000), PromptPart("own", 500))
            ask = CallerRequest("a", b"POST", b"/", "h", "/", [], None, 9.0, True, parts, 100)
            ready = directory.ready("svc", clock.seconds(), rng)
            home = directory.affinity_endpoint("svc", parts[0].part_id)
            work = EngineCall(
                ask, "small", MODELS, make_answer_value(route, ask, WORTH), PRICE, home
            )
            endpoint = placement.choose_engine(ready, work, clock.seconds()).endpoint
            placed = placement.place(endpoint, ask, "small", MODELS, service, clock.seconds())
            placement.release(placed, False)
        best = min(best, time.perf_counter() - began_s)
    return best / ROUNDS * 1e6


def measure_event() -> float:
    """Return the best time of several, in microseconds an event that is cut and counted."""
    best = float("inf")
    for _ in range(REPEATS):
        cutter = EventSplitter()
        began_s = time.perf_counter()
        for index in range(EVENTS):
            cutter.feed(b"id: %d\ndata: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n" % index)
        best = min(best, time.perf_counter() - began_s)
    return best / EVENTS * 1e6


def run() -> dict[str, Any]:
    """Return the figures."""
    return {
        "decision_us": {str(size): round(measure_decision(size), 1) for size in SIZES},
        "event_cut_us": round(measure_event(), 2),
    }
