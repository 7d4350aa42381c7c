"""``exposure``: answers from a version after it has turned bad, until it gets no more work.

Four routers and twelve engines on a virtual clock. The baseline is the same deployment without
detection, over the same time. False quarantines are counted on long good runs of the judge alone.
"""

import logging
import statistics
from collections.abc import Callable
from random import Random
from typing import Any

from umberhitch.config import VersionState
from umberhitch.core.evidence import EvidenceBuffer, EvidenceLimits, VersionJudge
from umberhitch.fakes import EnginePace
from umberhitch.testing import World, WorldSettings, make_change, make_version

__all__ = ["run"]

ROUTERS = ("r1", "r2", "r3", "r4")
BAD, GOOD = "m@2", "m@1"
REQUESTS_PER_S = 25
WARM_UP_S = 40
LIMIT_S = 80
SEEDS = range(10)
QUALITY = 0.86
GOOD_VERSIONS = 20
ANSWERS_A_DAY = 100_000
ALPHA_NEVER = 1e-300


def make_world(seed: int, is_detecting: bool) -> World:
    """Return a started deployment with two versions that share the traffic."""
    endpoints = {f"e{index}": (BAD if index % 2 else GOOD) for index in range(12)}
    limits = EvidenceLimits() if is_detecting else EvidenceLimits(alpha=ALPHA_NEVER)
    world = World(
        WorldSettings(
            endpoints=endpoints,
            routers=ROUTERS,
            zones=("a", "b", "c", "d"),
            seed=seed,
            pace=EnginePace(token_s=0.02),
            router={"evidence": limits},
        )
    )
    world.publish(make_change(versions=[make_version("1"), make_version("2")]))
    world.start()
    return world


def _turn_quality(drop: float) -> Callable[[World], None]:
    def turn(world: World) -> None:
        world.ratings.quality[BAD] = QUALITY * (1 - drop)

    return turn


def _turn_failing(world: World) -> None:
    for name, engine in world.engines.items():
        if world.settings.endpoints[name] == BAD:
            engine.faults.fail_after_words = 4


def _turn_slow(world: World) -> None:
    for name, engine in world.engines.items():
        if world.settings.endpoints[name] == BAD:
            engine.faults.slowdown = 2.0


def _turn_gradually(world: World) -> None:
    """Lose forty percent of quality over forty seconds."""
    steps = 40
    for step in range(steps):
        quality = QUALITY * (1 - 0.4 * (step + 1) / steps)
        world.clock.callLater(float(step), world.ratings.quality.__setitem__, BAD, quality)


TURNS: dict[str, Callable[[World], None]] = {
    "quality -40 %": _turn_quality(0.40),
    "quality -15 %": _turn_quality(0.15),
    "quality -5 %": _turn_quality(0.05),
    "quality -40 % by degrees": _turn_gradually,
    "failures": _turn_failing,
    "latency x 2": _turn_slow,
}


def bad_runs(world: World, since_s: float) -> int:
    """Return the calls that the bad version began since a moment."""
    return sum(
        run.target == BAD and run.began_s >= since_s
        for engine in world.all_engines()
        for run in engine.runs
    )


def offer(world: World, seconds: float, until: Callable[[], bool] = lambda: False) -> None:
    """Send requests at the rate, until time is up or a condition holds."""
    for index in range(round(seconds * REQUESTS_PER_S)):
        world.ask(f"question {world.clock.seconds():.3f} {index}")
        world.advance(1.0 / REQUESTS_PER_S)
        if until():
            return


def measure(turn: Callable[[World], None], seed: int, is_detecting: bool) -> dict[str, float]:
    """Return what one run exposed callers to."""
    world = make_world(seed, is_detecting)
    offer(world, WARM_UP_S)
    turned_s = world.clock.seconds()
    turn(world)

    def is_out() -> bool:
        return all(
            router.feed.config.versions[BAD].state is not VersionState.ACTIVE
            for router in world.routers.values()
        )

    offer(world, LIMIT_S, is_out)
    seconds = world.clock.seconds() - turned_s
    world.advance(2.0)
    return {"answers": bad_runs(world, turned_s), "seconds": seconds, "is_out": is_out()}


def summarize(turn: Callable[[World], None], is_detecting: bool) -> dict[str, Any]:
    """Return the figures over all seeds; the baseline needs one seed only."""
    seeds = SEEDS if is_detecting else range(1)
    rows = [measure(turn, seed, is_detecting) for seed in seeds]
    answers = [row["answers"] for row in rows]
    return {
        "runs": len(rows),
        "quarantined": sum(bool(row["is_out"]) for row in rows),
        "answers_median": statistics.median(answers),
        "answers_worst": max(answers),
        "seconds_median": round(statistics.median(row["seconds"] for row in rows), 1),
    }


def false_quarantines() -> dict[str, Any]:
    """Count the alarms on good versions, each with a day of answers."""
    alarms = 0
    for seed in range(GOOD_VERSIONS):
        rng, judge = Random(seed), VersionJudge()
        for _ in range(ANSWERS_A_DAY // 50):
            book = EvidenceBuffer()
            for _ in range(50):
                book.record_attempt(
                    GOOD, "default", rng.random() >= 0.01, rng.lognormvariate(0.0, 0.3)
                )
                book.record_rating(GOOD, "default", rng.betavariate(QUALITY * 8, (1 - QUALITY) * 8))
            raised = [judge.observe(evidence) for evidence in book.flush()]
            if any(raised):
                alarms += 1
                break
    return {"version_days": GOOD_VERSIONS, "answers_a_day": ANSWERS_A_DAY, "alarms": alarms}


def run() -> dict[str, Any]:
    """Measure each way of turning bad, with and without detection."""
    logging.disable(logging.CRITICAL)
    return {
        "requests_per_s": REQUESTS_PER_S,
        "detection": {name: summarize(turn, True) for name, turn in TURNS.items()},
        "baseline_without_detection": {
            name: summarize(turn, False) for name, turn in TURNS.items()
        },
        "false_quarantines": false_quarantines(),
    }
