"""How routers that know little of each other share endpoints that look alike.

``python -m benchmarks herd``, on a virtual clock: plain calls by chance, endpoints of one zone with
four slots and a queue of four each; a router knows its own calls and the loads that replies report.
Once all are sound, once a third of them refuses everything within 2 ms and says nothing else.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct import CallerRequest, Endpoint, PlacedCall, Placement, ReportedLoad
from umberhitch.testing import make_endpoint_entry

__all__ = ["run"]

SIZES = ((3, 12), (30, 40), (100, 120))
"""Routers and endpoints."""
LOADS = (0.1, 0.7)
"""Share of the slots that are busy on the average."""
SLOTS = 4
QUEUE = 4
WORK_S = 0.05
REFUSAL_S = 0.002
WAY_S = 0.001
"""From a router to an endpoint."""
TRIES = 3
END_S = 8.0
SUBSET = 6

Ways = dict[str, Callable[[list[Endpoint], int, Random], list[Endpoint]]]
"""The endpoints among which one router chooses the least loaded, the first of equals."""


def _all_in_order(endpoints: list[Endpoint], router: int, rng: Random) -> list[Endpoint]:
    return endpoints


def _all_by_chance(endpoints: list[Endpoint], router: int, rng: Random) -> list[Endpoint]:
    return rng.sample(endpoints, len(endpoints))


def _two_by_chance(endpoints: list[Endpoint], router: int, rng: Random) -> list[Endpoint]:
    return rng.sample(endpoints, min(2, len(endpoints)))


def _own_order(endpoints: list[Endpoint], router: int, rng: Random) -> list[Endpoint]:
    return sorted(endpoints, key=lambda e: xxh3_64_intdigest(f"{router}|{e.lifetime}".encode()))


def _own_subset(endpoints: list[Endpoint], router: int, rng: Random) -> list[Endpoint]:
    return _own_order(endpoints, router, rng)[:SUBSET]


WAYS: Ways = {
    "least, in order": _all_in_order,
    "least, by chance": _all_by_chance,
    "least, in an own order": _own_order,
    "least of two": _two_by_chance,
    "least of an own subset": _own_subset,
}


def run() -> list[dict[str, float | str]]:
    """Return a row for each way, size, load, and whether a third refuses."""
    return [
        _row(way, routers, endpoints, load, refusing)
        for way in WAYS
        for routers, endpoints in SIZES
        for load in LOADS
        for refusing in (0, endpoints // 3)
    ]


def _row(
    way: str, routers: int, endpoints: int, load: float, refusing: int
) -> dict[str, float | str]:
    play = _Play(way, routers, endpoints, refusing)
    play.run(load * (endpoints - refusing) * SLOTS / WORK_S)
    waits = sorted(play.waits_s)
    return {
        "way": way,
        "routers": routers,
        "endpoints": endpoints,
        "refusing": refusing,
        "load": load,
        "served": round(len(waits) / max(1, play.calls), 4),
        "wait_99_ms": round(1000 * waits[len(waits) * 99 // 100], 1) if waits else 0.0,
        "tries": round(play.tries / max(1, play.calls), 2),
        "pairs": len(play.pairs),
    }


class _Play:
    def __init__(self, way: str, routers: int, endpoints: int, refusing: int) -> None:
        self._among = WAYS[way]
        self._rng = Random(11)
        self._endpoints = [Endpoint(make_endpoint_entry(f"e{n}")) for n in range(endpoints)]
        self._refusing = {each.lifetime for each in self._endpoints[:refusing]}
        self._placements = [Placement("a") for _ in range(routers)]
        self._running = {each.lifetime: 0 for each in self._endpoints}
        self._queued: dict[str, list[Callable[[], None]]] = {
            each.lifetime: [] for each in self._endpoints
        }
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()
        self._now_s = 0.0
        self.calls = self.tries = 0
        self.waits_s: list[float] = []
        self.pairs: set[tuple[int, str]] = set()
        """Routers and endpoints between which there were calls, so connections."""

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        heappush(self._due, (self._now_s + delay_s, next(self._number), action))

    def run(self, a_second: float) -> None:
        self._later(0.0, lambda: self._arrive(a_second))
        while self._due:
            self._now_s, _, action = heappop(self._due)
            action()

    def _arrive(self, a_second: float) -> None:
        if self._now_s >= END_S:
            return
        self.calls += 1
        ask = CallerRequest(f"a{self.calls}", b"POST", b"/", "h", "/", [], None, 10.0)
        self._send(ask, self._rng.randrange(len(self._placements)), self._now_s, set())
        self._later(self._rng.expovariate(a_second), lambda: self._arrive(a_second))

    def _send(self, ask: CallerRequest, router: int, since_s: float, tried: set[str]) -> None:
        fresh = [each for each in self._endpoints if each.lifetime not in tried]
        if len(tried) == TRIES or not fresh:
            return
        placement = self._placements[router]
        among = self._among(fresh, router, self._rng)
        endpoint = placement.choose_plain(among, self._now_s).endpoint
        placed = placement.place(endpoint, ask, "", (), None, self._now_s)
        self.tries += 1
        self.pairs.add((router, endpoint.lifetime))
        tried.add(endpoint.lifetime)
        self._later(WAY_S, lambda: self._reach(ask, router, since_s, tried, placed))

    def _reach(
        self, ask: CallerRequest, router: int, since_s: float, tried: set[str], placed: PlacedCall
    ) -> None:
        name = placed.lifetime
        if name in self._refusing:
            self._later(REFUSAL_S, lambda: self._refused(ask, router, since_s, tried, placed))
        elif self._running[name] < SLOTS:
            self._start(router, since_s, placed)
        elif len(self._queued[name]) < QUEUE:
            self._queued[name].append(lambda: self._start(router, since_s, placed))
        else:
            self._report(router, name)
            self._refused(ask, router, since_s, tried, placed)

    def _refused(
        self, ask: CallerRequest, router: int, since_s: float, tried: set[str], placed: PlacedCall
    ) -> None:
        self._placements[router].note_refused(placed, self._now_s)
        self._placements[router].release(placed, None)
        self._send(ask, router, since_s, tried)

    def _start(self, router: int, since_s: float, placed: PlacedCall) -> None:
        self._running[placed.lifetime] += 1
        self.waits_s.append(self._now_s - since_s)
        self._later(WORK_S, lambda: self._end(router, placed))

    def _end(self, router: int, placed: PlacedCall) -> None:
        name = placed.lifetime
        self._running[name] -= 1
        self._report(router, name)
        self._placements[router].note_reply_started(placed, self._now_s)
        self._placements[router].release(placed, False)
        if self._queued[name]:
            self._queued[name].pop(0)()

    def _report(self, router: int, name: str) -> None:
        load = ReportedLoad(self._running[name], len(self._queued[name]), SLOTS)
        self._placements[router].update_reported_load(name, load, self._now_s)
