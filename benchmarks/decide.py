"""``decide``: microseconds for one decision, by the number of endpoints known."""

import time
from random import Random
from typing import Any

from umberhitch.config import Fold, encode_record
from umberhitch.core.outcome import NotRun
from umberhitch.core.selection import choose_endpoint, choose_version, permitted_versions
from umberhitch.ports import Host, HostRole
from umberhitch.tasks.fleet import Fleet
from umberhitch.testing import make_change, make_version
from umberhitch.wire import EndpointState, Heartbeat

__all__ = ["run"]

SIZES = (60, 600, 12_000)
VERSIONS = 36
ZONES = 8
ROUNDS = 2000
REPEATS = 5


class _Still:
    """A clock that stands still."""

    def seconds(self) -> float:
        return 0.0


def make_fleet(size: int) -> Fleet:
    """Return a fleet of so many endpoints, spread over versions and availability zones."""
    fleet = Fleet(_Still())  # type: ignore[arg-type]
    hosts = [Host(f"e{index}", HostRole.AGENT, f"z{index % ZONES}", "-") for index in range(size)]
    fleet.update_hosts(hosts)
    rng = Random(1)
    for index, host in enumerate(hosts):
        target = f"m@{index % VERSIONS}"
        running = rng.randrange(8)
        fleet.handle_heartbeat(
            Heartbeat(host.name, 1, host.zone, [target], EndpointState.READY, 0, running, 0, 8)
        )
    return fleet


def measure(size: int) -> float:
    """Return the best time of several, in microseconds a decision."""
    versions = [
        make_version(str(index), input_micros_per_token=float(index)) for index in range(VERSIONS)
    ]
    fold = Fold()
    fold.apply(0, encode_record(make_change(versions=versions)))
    config, fleet, rng = fold.config, make_fleet(size), Random(2)
    klass = config.classes["lookup"]
    best = float("inf")
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        for index in range(ROUNDS):
            allowed = permitted_versions(config, "acme", "auto", None)
            assert not isinstance(allowed, NotRun)
            ver = choose_version(allowed, klass, fleet.has_endpoint, rng)
            assert ver is not None
            pool = fleet.candidates(ver.key)
            choose_endpoint(pool.endpoints, pool.by_zone.get(f"z{index % ZONES}", ()), rng)
        best = min(best, time.perf_counter() - began_s)
    return best / ROUNDS * 1e6


def run() -> dict[str, Any]:
    """Measure at each size."""
    return {
        "versions": VERSIONS,
        "us_per_decision": {str(size): round(measure(size), 1) for size in SIZES},
    }
