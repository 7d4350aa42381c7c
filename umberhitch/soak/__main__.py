"""``python -m umberhitch.soak``: plays seeds, one line each, and says what did not hold.

Each seed leaves a folder with its schedule, the routers' settings and logs, and its verdict. Exit
codes: 0 if all held, 1 if not, 2 for bad flags.
"""

import sys
from dataclasses import asdict, replace
from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from random import SystemRandom
from typing import TextIO

from absl import app as absl_app
from absl import flags
from msgspec import json

from umberhitch.adapters.steady import steady_s
from umberhitch.soak._checks import Bounds
from umberhitch.soak._crashing_part import play_crashing_part
from umberhitch.soak._late_version import play_late_version
from umberhitch.soak._mutations import MUTATIONS
from umberhitch.soak._restarts import play_restarts
from umberhitch.soak._run import Verdict, play
from umberhitch.soak._schedule import SoakConfig, Step, make_schedule

_REPLAY = flags.DEFINE_integer("replay", None, "play this seed only")
_SEEDS = flags.DEFINE_integer("seeds", 5, "how many seeds to play", lower_bound=1)
_FIRST = flags.DEFINE_integer("first", None, "first of them; drawn if not given")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "length of the faults of a run", lower_bound=1.0)
_ROUTERS = flags.DEFINE_integer("routers", 3, "routers", lower_bound=1, upper_bound=100)
_ENDPOINTS = flags.DEFINE_integer("endpoints", 3, "endpoints", lower_bound=2, upper_bound=100)
_CALLERS = flags.DEFINE_integer("callers", 4, "callers", lower_bound=1, upper_bound=200)
_FOLDER = flags.DEFINE_string("folder", "soak-runs", "where runs leave what they saw")
_TIMED = flags.DEFINE_boolean("timed", True, "check bounds on time; not on a busy machine")
_LATE_VERSION = flags.DEFINE_boolean(
    "late_version", False, "a roll-out whose version turns bad, in place of the faults"
)
_CRASHING_PART = flags.DEFINE_boolean(
    "crashing_part", False, "a part of prompts that crashes endpoints, in place of the faults"
)
_RESTARTS = flags.DEFINE_boolean(
    "restarts", False, "routers restart under uploads and sessions, in place of the faults"
)
_MUTATION = flags.DEFINE_enum("mutation", None, sorted(MUTATIONS), "break this in every router")

BOUNDS = Bounds(revocation_s=5.0, departure_s=4.0, zone_s=5.0, grant_s=3.0, rollback_s=5.0)
"""What a router's settings promise by default, and how long an endpoint that leaves still serves;
both a little wider than the product aims at, as the machine is shared."""


def _play(seed: int, cfg: SoakConfig) -> Verdict:
    folder = Path(_FOLDER.value) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    with take_folder(folder):
        return _play_in(folder, seed, cfg)


def take_folder(folder: Path) -> TextIO:
    """Return what keeps others out of a folder until it is closed.

    Two runs in one folder write each other's settings: their routers serve from the other's store.
    """
    lock = (folder / "lock").open("w")
    try:
        flock(lock, LOCK_EX | LOCK_NB)
    except OSError:
        lock.close()
        sys.exit(f"{folder}: another run is going on there; name another --folder")
    return lock


def _play_in(folder: Path, seed: int, cfg: SoakConfig) -> Verdict:
    schedule = json.encode([asdict(step) for step in make_schedule(seed, cfg)])
    (folder / "schedule.json").write_bytes(json.format(schedule))
    began_s = steady_s()
    is_terminal = sys.stderr.isatty()

    def show(step: Step) -> None:
        if is_terminal:
            print(
                f"\r{seed}: {steady_s() - began_s:5.1f} s {step.fault:<45}",
                end="",
                file=sys.stderr,
            )

    bounds = BOUNDS if _TIMED.value else Bounds()
    if _LATE_VERSION.value:
        return play_late_version(seed, folder, bounds, _MUTATION.value)
    if _CRASHING_PART.value:
        return play_crashing_part(seed, folder, bounds, _MUTATION.value)
    if _RESTARTS.value:
        return play_restarts(seed, folder, cfg.routers, _MUTATION.value)
    verdict = play(seed, cfg, folder, bounds, _MUTATION.value, show)
    (folder / "verdict.json").write_bytes(json.format(json.encode(asdict(verdict))))
    return verdict


def main(argv: list[str]) -> int:
    """Play seeds and return the exit code."""
    if len(argv) > 1:
        print("umberhitch.soak: unexpected arguments; see --help", file=sys.stderr)
        return 2
    cfg = replace(
        SoakConfig(),
        routers=_ROUTERS.value,
        endpoints=_ENDPOINTS.value,
        callers=_CALLERS.value,
        length_s=_SECONDS.value,
    )
    first = SystemRandom().randrange(1 << 31) if _FIRST.value is None else _FIRST.value
    seeds = range(first, first + _SEEDS.value)
    if _REPLAY.value is not None:
        seeds = range(_REPLAY.value, _REPLAY.value + 1)
    failed = []
    for seed in seeds:
        verdict = _play(seed, cfg)
        word = "held" if not verdict.findings else "FAILED"
        print(
            f"seed {seed}: {word}; {verdict.requests} requests, {verdict.done} done, "
            f"{verdict.faults} faults",
            flush=True,
        )
        for finding in verdict.findings[:5]:
            print(f"  {finding.check}: {finding.detail}", flush=True)
        failed += [seed] if verdict.findings else []
    print(f"{len(seeds)} seeds, {len(failed)} failed {failed or ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    absl_app.run(main)
