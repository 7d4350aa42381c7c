"""What each fault of a schedule does to a deployment, and what ends it."""

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from time import sleep

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import LocalPlatform
from umberhitch.soak._deployment import Deployment, Router
from umberhitch.soak._proxy import Way
from umberhitch.soak._records import Departure, Grant, LimitNamed, Revocation, ZoneOutage
from umberhitch.soak._schedule import Fault, Step, StoreReturn, return_of

__all__ = ["do_step"]

REST_S = (0.5, 2.0)
"""For how long endpoints want nothing, in turn."""
LIMIT_RATES = (0.5, 2.0)
"""Requests a second that endpoints name, in turn."""
LOST_CHANGES = 3
"""Changes just before the store returns."""
LOST_AFTER_S = 0.3
"""Until routers know of them; most copies are older."""
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


def do_step(step: Step, deployment: Deployment) -> Callable[[], None] | None:
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
            platform.set_store_down(True)
            return lambda: _end_store_fault(deployment)
        case Fault.STORE_LOSES:
            platform.control("POST", "/store/faults", {"lose_answers": 3})
        case Fault.STORE_FORGETS:
            platform.control("POST", "/store/forget", {})
        case Fault.LINK_DELAY | Fault.LINK_RESET | Fault.LINK_SILENT | Fault.LINK_ONE_WAY:
            router.way.set_way(WAYS[step.fault])
            return lambda: router.way.set_way(Way.OPEN)
        case Fault.STORE_RETURNS:
            _return_store(deployment, return_of(step), step.target)
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
        case Fault.SAYS_LEAVING:
            _replace_endpoint(deployment, endpoint)
            platform.signal_draining(endpoint)
            return lambda: platform.drain_endpoint(endpoint)
        case Fault.REST:
            platform.request_backoff(endpoint, REST_S[step.target % len(REST_S)])
            return lambda: platform.request_backoff(endpoint, None)
        case Fault.DEPART:
            _depart(deployment, endpoint)
        case Fault.REBORN:
            deployment.born += 1
            deployment.reborn.add(endpoint)
            deployment.reborn_s.setdefault(endpoint, []).append(steady_s())
            _change_entry(platform, endpoint, {"born": deployment.born})
        case Fault.BROKEN_ENTRY:
            entry = BROKEN_ENTRIES[step.target % len(BROKEN_ENTRIES)]
            platform.write_entry(f"other-{step.target % 8}", entry)
        case Fault.CHANGE:
            deployment.publish()
        case Fault.REVOKE:
            _revoke(deployment)
    return None


def _replace(deployment: Deployment, router: Router, end: Callable[[], None]) -> None:
    """End a router, and start another under its name."""
    with deployment.lock:
        deployment.routers.remove(router)
    _wake(router.process.process.pid)
    end()
    deployment.platform.routers.remove(router.process)
    router.way.set_way(Way.OPEN)
    deployment.platform.set_store_down(False)
    started = deployment.start(router.name, router.way)
    with deployment.lock:
        deployment.routers.append(started)
        deployment.routers.sort(key=lambda each: each.name)


def _terminate(router: Router) -> None:
    router.process.process.terminate()
    router.process.process.wait()


def _wake(pid: int) -> None:
    with suppress(ProcessLookupError):
        os.kill(pid, signal.SIGCONT)


def _end_store_fault(deployment: Deployment) -> None:
    deployment.platform.set_store_down(False)
    deployment.sound_s = steady_s()


def _return_store(deployment: Deployment, how: StoreReturn, seed: int) -> None:
    """Let the store return and lose changes in series that the routers know of."""
    for _ in range(LOST_CHANGES):
        deployment.publish()
    sleep(LOST_AFTER_S)
    """Let the store lose changes in series, and confirm another one after its return."""
    for _ in range(LOST_CHANGES):
        deployment.publish()
    deployment.platform.restore_store(how.age_s, how.away_s, how.written_s, seed)
    complete_s = steady_s() + how.away_s + how.written_s
    deployment.sound_s = max(deployment.sound_s, complete_s)


def _set_fault(platform: LocalPlatform, endpoint: str, faults: dict[str, object]) -> None:
    platform.control("POST", f"/endpoints/{endpoint}/faults", faults)


def _change_entry(platform: LocalPlatform, endpoint: str, fields: dict[str, object]) -> None:
    platform.control("POST", f"/endpoints/{endpoint}/entry", fields)


def _take_out(deployment: Deployment, zone: str) -> None:
    outages = deployment.outages.setdefault(zone, [])
    if outages and outages[-1].until_s == float("inf"):
        return
    deployment.platform.evacuate_zone(zone)
    found = tuple(name for name, where in deployment.zone_of.items() if where == zone)
    outages.append(ZoneOutage(zone, found, steady_s()))


def _take_back(deployment: Deployment, zone: str) -> None:
    outages = deployment.outages[zone]
    if outages[-1].until_s == float("inf"):
        outages[-1] = replace(outages[-1], until_s=steady_s())
        deployment.platform.restore_zone(zone)


def _name_limit(deployment: Deployment, endpoint: str, rate: float) -> None:
    """Let an endpoint name a rate, which may replace the one that it named."""
    _end_limit(deployment, endpoint)
    deployment.platform.set_rate_limit(endpoint, rate)
    deployment.limits.setdefault(endpoint, []).append(LimitNamed(endpoint, rate, steady_s()))


def _end_limit(deployment: Deployment, endpoint: str) -> None:
    named = deployment.limits.get(endpoint, [])
    if named and named[-1].until_s == float("inf"):
        named[-1] = replace(named[-1], until_s=steady_s())
        deployment.platform.set_rate_limit(endpoint, None)


def _replace_endpoint(deployment: Deployment, endpoint: str) -> None:
    deployment.add_endpoint()
    deployment.endpoints.remove(endpoint)
    deployment.gone.append(endpoint)


def _depart(deployment: Deployment, endpoint: str) -> None:
    _replace_endpoint(deployment, endpoint)
    deployment.platform.drain_endpoint(endpoint)
    deployment.departed.append(Departure(endpoint, steady_s()))


def _revoke(deployment: Deployment) -> None:
    with deployment.lock:
        key = deployment.keys.pop(0)
        granted = f"k{deployment.number + 1}"
        deployment.keys.append(granted)
    deployment.publish()
    with deployment.lock:
        deployment.granted.append(Grant(granted, steady_s()))
        deployment.revoked.append(Revocation(key, steady_s()))
