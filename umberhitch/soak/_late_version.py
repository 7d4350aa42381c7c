"""A roll-out whose version turns bad at a random moment, on real routers."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import sleep

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import LocalPlatform, wait_until
from umberhitch.soak._callers import Callers
from umberhitch.soak._checks import Bounds, Finding
from umberhitch.soak._deployment import Deployment
from umberhitch.soak._run import Verdict

__all__ = ["Exposure", "check_exposure", "play_late_version"]

ROUTERS, ENDPOINTS, CALLERS = 3, 3, 3
DURATION_S = 12.0
AFTER_S = 7.0
"""Seconds after the deadline in which the version could still get requests."""
ONSETS = (0.1, 0.9)
"""Earliest and latest part of the roll-out at which the version turns bad."""
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
BAD_ANSWERS = 50
KEY = "k0"


@dataclass(frozen=True, slots=True)
class Exposure:
    """What endpoints saw of a roll-out; times in seconds.

    Attributes
    ----------
    new_s, old_s : tuple of float
        Calls on each version since the order.
    bad_from_s : float
        From then on all answers of the new version are failures.
    deadline_s : float
    """

    new_s: tuple[float, ...]
    old_s: tuple[float, ...]
    bad_from_s: float
    deadline_s: float


def check_exposure(seen: Exposure, rollback_s: float) -> list[Finding]:
    """Check the users' bounds for a bad version.

    Parameters
    ----------
    seen : Exposure
    rollback_s : float
        It gets nothing so long after its 50th bad answer; infinite where this is not checked.
    """
    findings = []
    new = sum(at_s <= seen.deadline_s for at_s in seen.new_s)
    total = new + sum(at_s <= seen.deadline_s for at_s in seen.old_s)
    if new > EXPOSURE_SHARE * total + EXPOSURE_SLACK:
        findings.append(Finding("a bad version gets its share at most", f"{new} of {total}"))
    bad_s = sorted(at_s for at_s in seen.new_s if at_s >= seen.bad_from_s)
    if len(bad_s) >= BAD_ANSWERS:
        last_s = bad_s[BAD_ANSWERS - 1] + rollback_s
        late = sum(at_s > last_s for at_s in bad_s)
        if late:
            findings.append(Finding("a bad version gets nothing more", f"{late} calls too late"))
    return findings


def play_late_version(
    seed: int,
    folder: Path,
    bounds: Bounds | None = None,
    mutation: str | None = None,
    onsets: tuple[float, float] = ONSETS,
) -> Verdict:
    """Play one roll-out; ``mutation`` is what is broken in every router."""
    module: tuple[str, ...] = ("umberhitch.cli.daemon",)
    if mutation is not None:
        module = ("umberhitch.soak._mutations", mutation)
    platform = LocalPlatform(folder)
    try:
        deployment = Deployment(platform, module)
        return _play(seed, deployment, bounds or Bounds(), Random(seed).uniform(*onsets))
    finally:
        platform.close()


def _play(seed: int, deployment: Deployment, bounds: Bounds, onset: float) -> Verdict:
    platform = deployment.platform
    deployment.publish()
    old = [f"e{number}" for number in range(ENDPOINTS)]
    new = [f"n{number}" for number in range(ENDPOINTS)]
    for name in old:
        platform.add_endpoint(name)
    routers = [
        platform.start_router(f"router-{number}", module=deployment.module)
        for number in range(ROUTERS)
    ]
    wait_until(lambda: all(router.status()["routers"] == ROUTERS for router in routers))
    callers = Callers(seed, CALLERS, lambda: routers, lambda: [KEY])
    callers.start()
    try:
        ordered_s = steady_s()
        order = {"service": "svc", "target": "v2", "durationS": DURATION_S}
        platform.control("POST", "/operator/rollout/svc", order)
        for name in new:
            platform.add_endpoint(name, "v2")
        _sleep_until(ordered_s + onset * DURATION_S)
        for name in new:
            platform.control("POST", f"/endpoints/{name}/faults", {"status": 500})
        bad_from_s = steady_s()
        _sleep_until(ordered_s + DURATION_S + AFTER_S)
    finally:
        callers.stop()
    calls = _calls_since(platform, ordered_s)
    seen = Exposure(calls(new), calls(old), bad_from_s, ordered_s + DURATION_S)
    findings = check_exposure(seen, bounds.rollback_s)
    state = platform.control("GET", "/status/rollout/svc")["state"]
    if state != "rolled_back":
        findings.append(Finding("a bad version is rolled back", f"bad from {onset:.2f}: {state}"))
    records = callers.records()
    done = sum(record.status == 200 for record in records)
    return Verdict(seed, len(records), done, 1, findings)


def _calls_since(
    platform: LocalPlatform, since_s: float
) -> Callable[[list[str]], tuple[float, ...]]:
    def calls(names: list[str]) -> tuple[float, ...]:
        times = (run["at_s"] for name in names for run in platform.runs(name))
        return tuple(sorted(at_s for at_s in times if at_s >= since_s))

    return calls


def _sleep_until(at_s: float) -> None:
    sleep(max(0.0, at_s - steady_s()))
