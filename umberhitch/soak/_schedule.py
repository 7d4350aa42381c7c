"""What happens in a run, and when: the same seed gives the same schedule."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

__all__ = ["Fault", "SoakConfig", "Step", "StoreReturn", "make_schedule", "return_of"]


class Fault(StrEnum):
    """What is done to the deployment from outside."""

    KILL = "kill a router"
    TERMINATE = "terminate a router"
    FREEZE = "freeze a router"
    STORE_DOWN = "store refuses all"
    STORE_LOSES = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    LINK_DELAY = "delay a router's way to the store"
    LINK_RESET = "reset a router's way to the store"
    LINK_SILENT = "silence a router's way to the store"
    LINK_ONE_WAY = "cut a router's way from the store"
    SHED = "endpoint refuses all"
    BREAK = "endpoint breaks streams off"
    LOSE = "endpoint loses its answers"
    DEPART = "endpoint leaves, another comes"
    REBORN = "endpoint starts again under its name"
    BROKEN_ENTRY = "entry of another writer"
    CHANGE = "configuration changes"
    REVOKE = "key taken away"
    RELOAD = "settings reloaded"
    ZONE_OUT = "zone out of service"
    COLD_START = "cold endpoint comes"
    LIMIT = "endpoint names a limit"
    SAYS_LEAVING = "endpoint says that it leaves, its entry does not"
    REST = "endpoint refuses and wants rest"
    STORE_RETURNS = "store returns from an older copy"


TIMED = frozenset(
    {
        Fault.FREEZE,
        Fault.STORE_DOWN,
        Fault.LINK_DELAY,
        Fault.LINK_RESET,
        Fault.LINK_SILENT,
        Fault.LINK_ONE_WAY,
        Fault.SHED,
        Fault.BREAK,
        Fault.LOSE,
        Fault.ZONE_OUT,
        Fault.COLD_START,
        Fault.LIMIT,
        Fault.SAYS_LEAVING,
        Fault.REST,
    }
)
"""Faults that last; the others are done at once."""
ADDED = (Fault.ZONE_OUT, Fault.COLD_START)
"""Drawn by a random source of their own, so that a seed's other faults stay what they were."""
LATER_ADDED = (Fault.LIMIT,)
"""The same, once more."""
WORDS = (Fault.SAYS_LEAVING, Fault.REST)
"""And again."""
RETURNS = (Fault.STORE_RETURNS,)
"""Once more; see `return_of` for the copies."""
LONG_FACTOR = 3.0
"""A zone is out, and a limit stands, for so many times the longest fault: longer than it takes to
be in force."""
LONG = frozenset({Fault.ZONE_OUT, Fault.LIMIT, Fault.SAYS_LEAVING})
ADDED_SHARE = 0.25
"""How often these come, for each time that one of the others does."""


@dataclass(frozen=True, slots=True)
class SoakConfig:
    """Size of a run; times in seconds.

    Attributes
    ----------
    length_s : float
        From the first fault to the end of the last.
    every_s : float
        Mean time between faults; they overlap.
    longest_s : float
        Of one fault.
    """

    routers: int = 3
    endpoints: int = 3
    callers: int = 4
    length_s: float = 20.0
    every_s: float = 1.0
    longest_s: float = 4.0


@dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    Attributes
    ----------
    for_s : float
        0 where it does not last.
    target : int
        Number of the router or endpoint, where it has one.
    """

    at_s: float
    fault: Fault
    target: int
    for_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreReturn:
    """How the store returns from a copy; times in seconds.

    Attributes
    ----------
    age_s : float
        Age of the copy.
    away_s : float
        How long the store refuses all before.
    written_s : float
        Within this time, operators and endpoints write what was lost again.
    """

    age_s: float
    away_s: float
    written_s: float


def return_of(step: Step) -> StoreReturn:
    """Return how the store returns in a step: half of the times without being away for long."""
    rng = Random(step.target)
    away_s = 0.0 if rng.random() < 0.5 else rng.uniform(0.05, 5.0)
    written_s = rng.choice((0.0, 0.3, 2.0))
    return StoreReturn(rng.choice((0.1, 1.0, 3.0, 10.0)), away_s, written_s)


def make_schedule(seed: int, cfg: SoakConfig) -> list[Step]:
    """Return the steps of a run, by time.

    Parameters
    ----------
    seed : int
    cfg : SoakConfig
    """
    first = [each for each in Fault if each not in (*ADDED, *LATER_ADDED, *WORDS, *RETURNS)]
    steps = _draw(Random(seed), cfg, first, cfg.every_s)
    steps += _draw(Random(f"{seed} added"), cfg, list(ADDED), cfg.every_s / ADDED_SHARE)
    steps += _draw(Random(f"{seed} later"), cfg, list(LATER_ADDED), cfg.every_s / ADDED_SHARE)
    steps += _draw(Random(f"{seed} words"), cfg, list(WORDS), cfg.every_s / ADDED_SHARE)
    steps += _draw(Random(f"{seed} returns"), cfg, list(RETURNS), cfg.every_s / ADDED_SHARE)
    return sorted(steps, key=lambda step: step.at_s)


def _draw(rng: Random, cfg: SoakConfig, faults: list[Fault], every_s: float) -> list[Step]:
    steps: list[Step] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1.0 / every_s)
        if at_s >= cfg.length_s:
            return steps
        fault = rng.choice(faults)
        longest_s = cfg.longest_s * (LONG_FACTOR if fault in LONG else 1.0)
        longest_s = min(longest_s, cfg.length_s - at_s)
        for_s = rng.uniform(0.3, 1.0) * longest_s if fault in TIMED else 0.0
        steps.append(Step(round(at_s, 3), fault, rng.randrange(1 << 16), round(for_s, 3)))
