"""One run: a deployment as processes, its faults, its callers, and what did not hold."""

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from time import sleep

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import (
    COMPLETE_STREAM,
    LocalPlatform,
    RouterProcess,
    wait_until,
)
from umberhitch.soak._callers import Callers
from umberhitch.soak._checks import (
    Bounds,
    Finding,
    check_cold,
    check_confirmed,
    check_limits,
    check_requests,
    check_zones,
    limits_of_lifetimes,
)
from umberhitch.soak._deployment import COLD_RATE, Deployment, memory_mb
from umberhitch.soak._faults import do_step
from umberhitch.soak._proxy import Proxy
from umberhitch.soak._records import ArrivalSeen, Departure, LimitNamed, RunSeen
from umberhitch.soak._schedule import SoakConfig, Step, make_schedule
from umberhitch.soak._word_checks import check_leaving, check_rests

__all__ = ["Verdict", "play"]

CHECK_S = 1.0
"""How often what was seen is checked."""
GROWTH_MB = 64.0
"""A router's memory may be so much larger at the end than after its start: caches fill."""
MAX_DESCRIPTORS = 200
MOST_COLD = 1.5 * COLD_RATE + 5.0
"""Calls within a second that a cold endpoint bears."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a run went."""

    seed: int
    requests: int
    done: int
    faults: int
    findings: list[Finding]


def play(
    seed: int,
    cfg: SoakConfig,
    folder: Path,
    bounds: Bounds | None = None,
    mutation: str | None = None,
    on_step: Callable[[Step], None] = lambda step: None,
) -> Verdict:
    """Play one run.

    Parameters
    ----------
    seed : int
    cfg : SoakConfig
    folder : Path
        For settings and logs.
    bounds : Bounds or None
        Of what has to be in effect in time; nothing is timed without.
    mutation : str or None
        What is broken in every router.
    on_step : callable
        Called before each fault.
    """
    module: tuple[str, ...] = ("umberhitch.cli.daemon",)
    if mutation is not None:
        module = ("umberhitch.soak._mutations", mutation)
    deployment = Deployment(LocalPlatform(folder), module)
    try:
        return _play(seed, cfg, deployment, bounds or Bounds(), on_step)
    finally:
        for router in deployment.routers:
            with suppress(ProcessLookupError):
                os.kill(router.process.process.pid, signal.SIGCONT)
        deployment.platform.close()
        for router in deployment.routers:
            router.way.close()


def _play(
    seed: int,
    cfg: SoakConfig,
    deployment: Deployment,
    bounds: Bounds,
    on_step: Callable[[Step], None],
) -> Verdict:
    deployment.publish()
    for _ in range(cfg.endpoints):
        deployment.add_endpoint()
    for number in range(cfg.routers):
        way = Proxy(deployment.platform.store)
        deployment.routers.append(deployment.start(f"router-{number}", way))
    callers = Callers(seed, cfg.callers, deployment.live, lambda: _keys(deployment))
    steps = make_schedule(seed, cfg)
    callers.start()
    try:
        findings = _drive(steps, deployment, callers, bounds, on_step)
        findings = findings or _await_normal(deployment)
    finally:
        callers.stop()
    findings += _check(deployment, callers, bounds)
    findings += _check_growth(deployment)
    records = callers.records()
    done = sum(record.status == 200 for record in records)
    return Verdict(seed, len(records), done, len(steps), list(dict.fromkeys(findings)))


def _keys(deployment: Deployment) -> list[str]:
    """Return keys that stand, and the one that was taken away last."""
    with deployment.lock:
        last = [each.key for each in deployment.revoked[-1:]]
        return [*deployment.keys, *last]


def _drive(
    steps: list[Step],
    deployment: Deployment,
    callers: Callers,
    bounds: Bounds,
    on_step: Callable[[Step], None],
) -> list[Finding]:
    """Do each step at its time, end those that last, and check meanwhile."""
    began_s = steady_s()
    due: list[tuple[float, Callable[[], None]]] = []
    checked_s = began_s
    for step in [*steps, None]:
        until_s = began_s + step.at_s if step else max((at for at, _ in due), default=0.0)
        while steady_s() < until_s or (step is None and due):
            for item in [each for each in due if each[0] <= steady_s()]:
                due.remove(item)
                item[1]()
            if steady_s() > checked_s + CHECK_S:
                checked_s = steady_s()
                findings = _check(deployment, callers, bounds)
                if findings:
                    return findings
            sleep(0.02)
        if step is not None:
            on_step(step)
            end = do_step(step, deployment)
            if end is not None:
                due.append((steady_s() + step.for_s, end))
    return []


def _check(deployment: Deployment, callers: Callers, bounds: Bounds) -> list[Finding]:
    records = callers.records()
    runs = [
        RunSeen(run["call_id"], endpoint, run["at_s"])
        for endpoint in (*deployment.endpoints, *deployment.gone)
        for run in deployment.platform.runs(endpoint)
    ]
    sound_s = deployment.sound_s
    departed = [Departure(e.endpoint, max(e.at_s, sound_s)) for e in deployment.departed]
    found = check_requests(records, runs, COMPLETE_STREAM, deployment.revoked, departed, bounds)
    granted = [
        g if g.at_s is None else replace(g, at_s=max(g.at_s, sound_s)) for g in deployment.granted
    ]
    found += check_confirmed(records, granted, deployment.revoked, bounds)
    outages = [each for zone in deployment.outages.values() for each in zone]
    outages = [replace(each, at_s=max(each.at_s, sound_s)) for each in outages]
    found += check_zones(runs, outages, bounds)
    found += check_cold(runs, deployment.cold, MOST_COLD)
    arrivals = [
        ArrivalSeen(endpoint=endpoint, **each)
        for endpoint in (*deployment.endpoints, *deployment.gone)
        for each in deployment.platform.arrivals(endpoint)
    ]
    said = [each for each in arrivals if each.endpoint not in deployment.reborn]
    found += check_leaving(records, said) + check_rests(records, said)
    arrived = {
        endpoint: [each.at_s for each in arrivals if each.endpoint == endpoint]
        for endpoint in deployment.limits
    }
    found += check_limits(arrived, _limits(deployment, arrivals))
    return found + [
        Finding("a cold endpoint is not rushed", f"{start.endpoint} has ended")
        for start in deployment.cold
        if deployment.platform.has_crashed(start.endpoint)
    ]


def _limits(deployment: Deployment, arrivals: list[ArrivalSeen]) -> list[LimitNamed]:
    told: dict[str, list[float]] = {}
    for each in arrivals:
        if each.is_told_limit:
            told.setdefault(each.endpoint, []).append(each.at_s)
    return [
        bound
        for endpoint, named in deployment.limits.items()
        for limit in named
        for bound in limits_of_lifetimes(
            limit, deployment.reborn_s.get(endpoint, ()), told.get(endpoint, ())
        )
    ]


def _await_normal(deployment: Deployment) -> list[Finding]:
    """Wait until every router serves every kind, has the newest configuration and all endpoints."""
    for router in deployment.live():
        try:
            wait_until(partial(_is_normal, deployment, router))
        except TimeoutError:
            status = router.status()
            return [Finding("all is back to normal", f"{status}")]
    return []


def _is_normal(deployment: Deployment, router: RouterProcess) -> bool:
    status = router.status()
    if status["configuration"] != deployment.number:
        return False
    key = deployment.keys[0]
    answers = [
        router.send_request(f"/{kind}/x", f"normal-{kind}-{steady_s()}", key, model=model)
        for kind, model in (("look", None), ("order", None), ("draft", "small"))
    ]
    return all(answer.status == 200 for answer in answers)


def _check_growth(deployment: Deployment) -> list[Finding]:
    found = []
    for router in deployment.routers:
        pid = router.process.process.pid
        now_mb, count = memory_mb(router.process), len(os.listdir(f"/proc/{pid}/fd"))
        if now_mb > router.memory_mb + GROWTH_MB:
            found.append(Finding("memory does not grow", f"{router.name}: {now_mb:.0f} MB"))
        if count > MAX_DESCRIPTORS:
            found.append(Finding("descriptors do not grow", f"{router.name}: {count}"))
    return found
