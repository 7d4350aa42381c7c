"""One run: a deployment as processes, its faults, its callers, and what did not hold."""

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from threading import Lock
from time import monotonic, sleep

from umberhitch.platform.standins.client import (
    EVENTS,
    LocalPlatform,
    RouterProcess,
    eventually,
)
from umberhitch.soak._callers import Callers
from umberhitch.soak._checks import (
    Bounds,
    Finding,
    check_cold,
    check_limits,
    check_requests,
    check_zones,
)
from umberhitch.soak._proxy import Proxy, Way
from umberhitch.soak._records import (
    ColdStart,
    Departure,
    LimitNamed,
    Revocation,
    RunSeen,
    ZoneOutage,
)
from umberhitch.soak._schedule import Fault, SoakConfig, Step, make_schedule

__all__ = ["Verdict", "play"]

CHECK_S = 1.0
"""How often what was seen is checked."""
GROWTH_MB = 64.0
"""A router's memory may be so much larger at the end than after its start: caches fill."""
MAX_DESCRIPTORS = 200
ZONES = ("a", "b")
COLD_RATE = 2.0
LIMIT_RATES = (0.5, 2.0)
"""Requests a second that endpoints name, in turn."""
MOST_COLD = 1.5 * COLD_RATE + 5.0
"""Calls within a second that a cold endpoint bears."""
WAYS = {
    Fault.LINK_DELAY: Way.DELAY,
    Fault.LINK_RESET: Way.RESET,
    Fault.LINK_SILENT: Way.SILENT,
    Fault.LINK_ONE_WAY: Way.ONE_WAY,
}
BROKEN_ENTRIES = (
    b"\xff\xfe",
    b"[" * 5000,
    b'{"service":"svc"}',
    b'{"service":"svc","address":"x","version":"v1","slots":-1,"state":"ready","born":true}',
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a run went."""

    seed: int
    requests: int
    done: int
    faults: int
    findings: list[Finding]


@dataclass
class _Router:
    """A router with its own way to the store."""

    name: str
    way: Proxy
    process: RouterProcess
    memory_mb: float


@dataclass
class _Deployment:
    """Everything that runs."""

    platform: LocalPlatform
    module: tuple[str, ...]
    routers: list[_Router] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    keys: list[str] = field(default_factory=lambda: ["k0", "k1"])
    """The first is the one that is taken away next."""
    number: int = 1
    born: int = 1
    started: int = 0
    revoked: list[Revocation] = field(default_factory=list)
    departed: list[Departure] = field(default_factory=list)
    outages: dict[str, list[ZoneOutage]] = field(default_factory=dict)
    """By zone, the latest last."""
    cold: list[ColdStart] = field(default_factory=list)
    limits: dict[str, list[LimitNamed]] = field(default_factory=dict)
    """By endpoint, the latest last."""
    zone_of: dict[str, str] = field(default_factory=dict)
    sound_s: float = 0.0
    """Bounds count from here at the earliest: the store's last fault was over then."""
    lock: Lock = field(default_factory=Lock)

    def publish(self) -> None:
        self.number += 1
        self.platform.publish(self.number, tuple(self.keys), COLD_RATE)

    def add_endpoint(self, cold_s: float = 0.0) -> None:
        name = f"e{self.started}"
        zone = self.zone_of[name] = ZONES[self.started % len(ZONES)]
        self.started += 1
        at_s = monotonic()
        cold = {"seconds": cold_s, "rate": COLD_RATE} if cold_s else None
        self.platform.add_endpoint(name, zone=zone, cold=cold)
        self.endpoints.append(name)
        if cold_s:
            self.cold.append(ColdStart(name, at_s, at_s + cold_s))

    def start(self, name: str, way: Proxy) -> _Router:
        process = self.platform.start_router(name, store=way.address, module=self.module)
        return _Router(name, way, process, memory_mb(process))

    def live(self) -> list[RouterProcess]:
        with self.lock:
            return [each.process for each in self.routers]


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
    deployment = _Deployment(LocalPlatform(folder), module)
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
    deployment: _Deployment,
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


def _keys(deployment: _Deployment) -> list[str]:
    """Return keys that stand, and the one that was taken away last."""
    with deployment.lock:
        last = [each.key for each in deployment.revoked[-1:]]
        return [*deployment.keys, *last]


def _drive(
    steps: list[Step],
    deployment: _Deployment,
    callers: Callers,
    bounds: Bounds,
    on_step: Callable[[Step], None],
) -> list[Finding]:
    """Do each step at its time, end those that last, and check meanwhile."""
    began_s = monotonic()
    due: list[tuple[float, Callable[[], None]]] = []
    checked_s = began_s
    for step in [*steps, None]:
        until_s = began_s + step.at_s if step else max((at for at, _ in due), default=0.0)
        while monotonic() < until_s or (step is None and due):
            for item in [each for each in due if each[0] <= monotonic()]:
                due.remove(item)
                item[1]()
            if monotonic() > checked_s + CHECK_S:
                checked_s = monotonic()
                findings = _check(deployment, callers, bounds)
                if findings:
                    return findings
            sleep(0.02)
        if step is not None:
            on_step(step)
            end = _do(step, deployment)
            if end is not None:
                due.append((monotonic() + step.for_s, end))
    return []


def _do(step: Step, deployment: _Deployment) -> Callable[[], None] | None:
    """Do one step; returns what ends it, if it lasts."""
    router = deployment.routers[step.target % len(deployment.routers)]
    endpoint = deployment.endpoints[step.target % len(deployment.endpoints)]
    platform = deployment.platform
    match step.fault:
        case Fault.KILL:
            _replace(deployment, router, lambda: router.process.kill())
        case Fault.TERMINATE:
            _replace(deployment, router, lambda: _terminate(router))
        case Fault.FREEZE:
            pid = router.process.process.pid
            os.kill(pid, signal.SIGSTOP)
            return lambda: _wake(pid)
        case Fault.RELOAD:
            os.kill(router.process.process.pid, signal.SIGHUP)
        case Fault.STORE_DOWN:
            platform.take_store_away(True)
            return lambda: _end_store_fault(deployment)
        case Fault.STORE_LOSES:
            platform.control("POST", "/store/faults", {"lose_answers": 3})
        case Fault.STORE_FORGETS:
            platform.control("POST", "/store/forget", {})
        case Fault.LINK_DELAY | Fault.LINK_RESET | Fault.LINK_SILENT | Fault.LINK_ONE_WAY:
            router.way.set_way(WAYS[step.fault])
            return lambda: router.way.set_way(Way.OPEN)
        case Fault.SHED:
            _set_fault(platform, endpoint, {"is_shedding": True})
            return lambda: _set_fault(platform, endpoint, {"is_shedding": False})
        case Fault.LOSE:
            _set_fault(platform, endpoint, {"loses_answers": True})
            return lambda: _set_fault(platform, endpoint, {"loses_answers": False})
        case Fault.BREAK:
            platform.break_streams(endpoint, 2)
            return lambda: platform.break_streams(endpoint, 0)
        case Fault.ZONE_OUT:
            zone = deployment.zone_of[endpoint]
            _take_out(deployment, zone)
            return lambda: _take_back(deployment, zone)
        case Fault.COLD_START:
            deployment.add_endpoint(step.for_s)
        case Fault.LIMIT:
            _name_limit(deployment, endpoint, LIMIT_RATES[step.target % len(LIMIT_RATES)])
            return lambda: _end_limit(deployment, endpoint)
        case Fault.DEPART:
            _depart(deployment, endpoint)
        case Fault.REBORN:
            deployment.born += 1
            _change_entry(platform, endpoint, {"born": deployment.born})
        case Fault.BROKEN_ENTRY:
            entry = BROKEN_ENTRIES[step.target % len(BROKEN_ENTRIES)]
            platform.write_entry(f"other-{step.target % 8}", entry)
        case Fault.CHANGE:
            deployment.publish()
        case Fault.REVOKE:
            _revoke(deployment)
    return None


def _replace(deployment: _Deployment, router: _Router, end: Callable[[], None]) -> None:
    """End a router, and start another under its name."""
    with deployment.lock:
        deployment.routers.remove(router)
    _wake(router.process.process.pid)
    end()
    deployment.platform.routers.remove(router.process)
    router.way.set_way(Way.OPEN)
    deployment.platform.take_store_away(False)
    started = deployment.start(router.name, router.way)
    with deployment.lock:
        deployment.routers.append(started)
        deployment.routers.sort(key=lambda each: each.name)


def _terminate(router: _Router) -> None:
    router.process.process.terminate()
    router.process.process.wait()


def _wake(pid: int) -> None:
    with suppress(ProcessLookupError):
        os.kill(pid, signal.SIGCONT)


def _end_store_fault(deployment: _Deployment) -> None:
    deployment.platform.take_store_away(False)
    deployment.sound_s = monotonic()


def _set_fault(platform: LocalPlatform, endpoint: str, faults: dict[str, object]) -> None:
    platform.control("POST", f"/endpoints/{endpoint}/faults", faults)


def _change_entry(platform: LocalPlatform, endpoint: str, fields: dict[str, object]) -> None:
    platform.control("POST", f"/endpoints/{endpoint}/entry", fields)


def _take_out(deployment: _Deployment, zone: str) -> None:
    outages = deployment.outages.setdefault(zone, [])
    if outages and outages[-1].until_s == float("inf"):
        return
    deployment.platform.take_out(zone)
    found = tuple(name for name, where in deployment.zone_of.items() if where == zone)
    outages.append(ZoneOutage(zone, found, monotonic()))


def _take_back(deployment: _Deployment, zone: str) -> None:
    outages = deployment.outages[zone]
    if outages[-1].until_s == float("inf"):
        outages[-1] = replace(outages[-1], until_s=monotonic())
        deployment.platform.take_back(zone)


def _name_limit(deployment: _Deployment, endpoint: str, rate: float) -> None:
    """Let an endpoint name a rate, which may replace the one that it named."""
    _end_limit(deployment, endpoint)
    deployment.platform.name_limit(endpoint, rate)
    deployment.limits.setdefault(endpoint, []).append(LimitNamed(endpoint, rate, monotonic()))


def _end_limit(deployment: _Deployment, endpoint: str) -> None:
    named = deployment.limits.get(endpoint, [])
    if named and named[-1].until_s == float("inf"):
        named[-1] = replace(named[-1], until_s=monotonic())
        deployment.platform.name_limit(endpoint, None)


def _depart(deployment: _Deployment, endpoint: str) -> None:
    deployment.add_endpoint()
    deployment.endpoints.remove(endpoint)
    deployment.gone.append(endpoint)
    deployment.platform.drain_endpoint(endpoint)
    deployment.departed.append(Departure(endpoint, monotonic()))


def _revoke(deployment: _Deployment) -> None:
    with deployment.lock:
        key = deployment.keys.pop(0)
        deployment.keys.append(f"k{deployment.number + 1}")
    deployment.publish()
    with deployment.lock:
        deployment.revoked.append(Revocation(key, monotonic()))


def _check(deployment: _Deployment, callers: Callers, bounds: Bounds) -> list[Finding]:
    records = callers.records()
    runs = [
        RunSeen(run["call_id"], endpoint, run["at_s"])
        for endpoint in (*deployment.endpoints, *deployment.gone)
        for run in deployment.platform.runs(endpoint)
    ]
    sound_s = deployment.sound_s
    departed = [Departure(e.endpoint, max(e.at_s, sound_s)) for e in deployment.departed]
    found = check_requests(records, runs, EVENTS, deployment.revoked, departed, bounds)
    outages = [each for zone in deployment.outages.values() for each in zone]
    outages = [replace(each, at_s=max(each.at_s, sound_s)) for each in outages]
    found += check_zones(runs, outages, bounds)
    found += check_cold(runs, deployment.cold, MOST_COLD)
    arrived = {
        endpoint: [each["at_s"] for each in deployment.platform.arrivals(endpoint)]
        for endpoint in deployment.limits
    }
    found += check_limits(arrived, [each for named in deployment.limits.values() for each in named])
    return found + [
        Finding("a cold endpoint is not rushed", f"{start.endpoint} has ended")
        for start in deployment.cold
        if deployment.platform.has_ended(start.endpoint)
    ]


def _await_normal(deployment: _Deployment) -> list[Finding]:
    """Wait until every router serves every kind, has the newest configuration and all endpoints."""
    for router in deployment.live():
        try:
            eventually(partial(_is_normal, deployment, router))
        except TimeoutError:
            status = router.status()
            return [Finding("all is back to normal", f"{status}")]
    return []


def _is_normal(deployment: _Deployment, router: RouterProcess) -> bool:
    status = router.status()
    if status["configuration"] != deployment.number:
        return False
    key = deployment.keys[0]
    answers = [
        router.ask(f"/{kind}/x", f"normal-{kind}-{monotonic()}", key, model=model)
        for kind, model in (("look", None), ("order", None), ("draft", "small"))
    ]
    return all(answer.status == 200 for answer in answers)


def _check_growth(deployment: _Deployment) -> list[Finding]:
    found = []
    for router in deployment.routers:
        pid = router.process.process.pid
        now_mb, count = memory_mb(router.process), len(os.listdir(f"/proc/{pid}/fd"))
        if now_mb > router.memory_mb + GROWTH_MB:
            found.append(Finding("memory does not grow", f"{router.name}: {now_mb:.0f} MB"))
        if count > MAX_DESCRIPTORS:
            found.append(Finding("descriptors do not grow", f"{router.name}: {count}"))
    return found


def memory_mb(router: RouterProcess) -> float:
    """Return what a router's process holds."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
