"""``overload``: goodput and latency by class as the offered load grows past capacity.

Twelve engines and four routers on a virtual clock; lookups, drafts and summaries from one large and
three small customers. The baseline sends each request to a random endpoint, all with the same
priority, and tries each request again without a budget.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from benchmarks._load import percentile
from umberhitch.core.outcome import Done
from umberhitch.fakes import EnginePace
from umberhitch.tasks import requests as requests_module
from umberhitch.testing import AskOptions, World, WorldSettings, make_change, make_customer

__all__ = ["run"]

ENDPOINTS = 12
SLOTS = 4
TOKEN_S = 0.02
WORDS = 12
SERVICE_S = TOKEN_S * WORDS
CAPACITY_PER_S = ENDPOINTS * SLOTS / SERVICE_S
LOADS = (0.5, 0.7, 1.0, 2.0)
SECONDS = 12.0
BURST_S = 4.0
CLASSES = {"lookup": 0.25, "draft": 0.45, "summary": 0.3}
CUSTOMERS = {"acme": 0.7, "c1": 0.1, "c2": 0.1, "c3": 0.1}


def make_world(seed: int) -> World:
    """Return a started deployment."""
    world = World(
        WorldSettings(
            endpoints={f"e{index}": "m@1" for index in range(ENDPOINTS)},
            routers=("r1", "r2", "r3", "r4"),
            zones=("a", "b", "c", "d"),
            seed=seed,
            pace=EnginePace(
                slots=SLOTS, token_s=TOKEN_S, answer_words=WORDS, prefill_s_per_token=0.0
            ),
            agent={"slots": SLOTS, "queue": 64},
        )
    )
    classes = [
        {"name": "lookup", "priority": 0, "deadline_s": 3.0},
        {"name": "draft", "priority": 4, "deadline_s": 10.0},
        {"name": "summary", "priority": 7, "deadline_s": 20.0},
    ]
    customers = [make_customer(name) for name in CUSTOMERS]
    world.publish(make_change(classes=classes, customers=customers))
    world.start()
    return world


@contextmanager
def baseline() -> Iterator[None]:
    """Take the policy out: random endpoint, no priorities, retries without a budget."""
    choose, make_start = requests_module.choose_endpoint, requests_module.Start
    may_retry = requests_module.Requests.may_retry

    def choose_randomly(pool: Any, near: Any, rng: Any, *rest: Any) -> Any:
        return rng.choice(pool) if pool else None

    def start_alike(*args: Any) -> Any:
        values = list(args)
        values[6] = 5
        return make_start(*values)

    def always_retry(self: Any, progress: Any, outcome: Any) -> bool:
        self._retry_tokens = 1e9
        return may_retry(self, progress, outcome)

    requests_module.choose_endpoint = choose_randomly  # type: ignore[assignment]
    requests_module.Start = start_alike  # type: ignore[assignment,misc]
    requests_module.Requests.may_retry = always_retry  # type: ignore[method-assign]
    try:
        yield
    finally:
        requests_module.choose_endpoint = choose
        requests_module.Start = make_start  # type: ignore[misc]
        requests_module.Requests.may_retry = may_retry  # type: ignore[method-assign]


def offer(world: World, load: float, seconds: float) -> None:
    """Send requests at a multiple of capacity."""
    rate = load * CAPACITY_PER_S
    for index in range(round(rate * seconds)):
        klass = world.rng.choices(list(CLASSES), list(CLASSES.values()))[0]
        customer = world.rng.choices(list(CUSTOMERS), list(CUSTOMERS.values()))[0]
        options = AskOptions(klass=klass, customer=customer)
        world.ask(f"{klass} {index} {world.clock.seconds():.4f}", None, options)
        world.advance(1.0 / rate)


def summarize(world: World, began_s: float, ended_s: float) -> dict[str, Any]:
    """Return goodput and latency of the requests asked in a time."""
    asked = [rec for rec in world.records if began_s <= rec.asked_s < ended_s]
    done = [rec for rec in asked if isinstance(rec.outcome, Done)]
    finished = [
        rec
        for rec in world.records
        if isinstance(rec.outcome, Done) and began_s + 1.0 <= (rec.ended_s or 0.0) < ended_s
    ]
    rows: dict[str, Any] = {
        "goodput": round(len(finished) / (ended_s - began_s - 1.0) / CAPACITY_PER_S, 3),
        "done_share": round(len(done) / len(asked), 3),
        "outcomes": dict(
            Counter(
                (
                    "done"
                    if isinstance(rec.outcome, Done)
                    else str(getattr(rec.outcome, "reason", "?"))
                )
                for rec in asked
            )
        ),
    }
    for klass in CLASSES:
        times = [(rec.ended_s or 0.0) - rec.asked_s for rec in done if rec.options.klass == klass]
        total = sum(rec.options.klass == klass for rec in asked)
        if times:
            rows[klass] = {
                "done": round(len(times) / total, 3),
                "p50_s": round(percentile(times, 0.5), 3),
                "p99_s": round(percentile(times, 0.99), 3),
            }
        else:
            rows[klass] = {"done": 0.0}
    rows["done_by_customer"] = {
        name: round(
            sum(rec.options.customer == name for rec in done)
            / max(1, sum(rec.options.customer == name for rec in asked)),
            3,
        )
        for name in CUSTOMERS
    }
    return rows


def measure(load: float, seed: int = 1) -> dict[str, Any]:
    """Measure one load."""
    world = make_world(seed)
    began_s = world.clock.seconds()
    offer(world, load, SECONDS)
    ended_s = world.clock.seconds()
    world.advance(25.0)
    return summarize(world, began_s, ended_s)


def after_burst(seed: int = 1) -> dict[str, Any]:
    """Measure normal load right after a burst of three times capacity."""
    world = make_world(seed)
    offer(world, 3.0, BURST_S)
    offer(world, 0.7, 3.0)
    began_s = world.clock.seconds()
    offer(world, 0.7, SECONDS)
    ended_s = world.clock.seconds()
    world.advance(25.0)
    return summarize(world, began_s, ended_s)


def _all(measure_one: Callable[[float], dict[str, Any]]) -> dict[str, Any]:
    rows = {f"{load} x": measure_one(load) for load in LOADS}
    rows["0.7 x after a burst of 3 x"] = after_burst()
    return rows


def run() -> dict[str, Any]:
    """Measure every load, with the policy and without."""
    logging.disable(logging.CRITICAL)
    policy = _all(measure)
    with baseline():
        plain = _all(measure)
    return {"capacity_per_s": CAPACITY_PER_S, "policy": policy, "baseline": plain}
