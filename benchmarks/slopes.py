"""``slopes``: what each role costs as the deployment grows, at three sizes or more.

Real processes on loopback; agents that only talk stand for agents. The result is what
docs/CAPACITY.md is computed from: ``python -m benchmarks slopes > docs/capacity/slopes.json``.
"""

import subprocess
import sys
import time
import urllib.request
from typing import Any

from benchmarks._fit import fit_line
from benchmarks._load import call_repeatedly, stream_tokens
from benchmarks._processes import Fleet, Running, fleet
from benchmarks.relay import list_host, platform_urls, wait_until_served

__all__ = ["run"]

AGENT_COUNTS = (32, 128, 256, 512)
ROUTER_COUNTS = (1, 2, 4, 8)
CUSTOMER_COUNTS = (10, 500, 1500, 3000)
STREAM_COUNTS = (0, 200, 400, 800)
CHANGE_COUNTS = (0, 100, 200, 400)
PENDING_COUNTS = (0, 5_000, 10_000, 20_000)
WATCH_S = 8.0
SETTLE_S = 4.0
BEAT_S = 1.0
TOKEN_RATES = (0.5, 0.128, 0.064)


def link_bytes(process: Running) -> float:
    """Return the bytes that a process's link has carried, from its metrics."""
    address = process.addresses.get("operators") or process.addresses["health"]
    text = urllib.request.urlopen(f"http://{address}/metrics", timeout=5).read().decode()
    rows = [line for line in text.splitlines() if line.startswith("umberhitch_link_bytes")]
    return sum(float(line.split()[-1]) for line in rows)


def watch(process: Running) -> dict[str, float]:
    """Return processor share, bytes a second and memory of a process at rest."""
    time.sleep(SETTLE_S)
    cpu_s, carried, began_s = process.cpu_s(), link_bytes(process), time.perf_counter()
    time.sleep(WATCH_S)
    seconds = time.perf_counter() - began_s
    return {
        "core": (process.cpu_s() - cpu_s) / seconds,
        "bytes_per_s": (link_bytes(process) - carried) / seconds,
        "resident_mb": process.resident_bytes() / 1e6,
    }


def pump(procs: Fleet, count: int, hosts: str, token_s: float = 0.064, tokens: int = 100) -> None:
    """Start talking agents."""
    args = (count, 0.005, tokens, token_s, BEAT_S, hosts)
    procs.start("benchmarks._pump", *map(str, args))


def router_by_agents(count: int) -> dict[str, float]:
    """Watch an idle router with so many agents."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        router = procs.start_router("router-1", platform_urls(platform))
        pump(procs, count, platform.addresses["hosts"])
        return watch(router)


def agent_by_routers(count: int) -> dict[str, float]:
    """Watch an idle agent with so many routers."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        agent = procs.start_agent("endpoint-1", platform.addresses["engine"], "m@1")
        list_host(platform.addresses["hosts"], "endpoint-1", "agent", agent.addresses["link"])
        for index in range(count):
            procs.start_router(f"router-{index}", platform_urls(platform))
        return watch(agent)


def memory_by_customers(count: int) -> dict[str, float]:
    """Return the memory of router and agent with so many customers."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform", str(count))
        router = procs.start_router("router-1", platform_urls(platform))
        agent = procs.start_agent("endpoint-1", platform.addresses["engine"], "m@1")
        list_host(platform.addresses["hosts"], "endpoint-1", "agent", agent.addresses["link"])
        time.sleep(SETTLE_S)
        return {
            "router_mb": router.resident_bytes() / 1e6,
            "agent_mb": agent.resident_bytes() / 1e6,
        }


def memory_by_streams(count: int) -> float:
    """Return a router's memory, in MB, at the end of so many concurrent streams."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        router = procs.start_router("router-1", platform_urls(platform))
        pump(procs, 32, platform.addresses["hosts"], 0.05, 40)
        time.sleep(2.5)
        if count:
            stream_tokens(router.addresses["callers"], count, 0.5)
        return router.resident_bytes() / 1e6


def token_cost() -> list[tuple[float, float]]:
    """Return a router's processor share at three rates of tokens."""
    points = []
    for token_s in TOKEN_RATES:
        with fleet() as procs:
            platform = procs.start("benchmarks._platform")
            router = procs.start_router("router-1", platform_urls(platform))
            pump(procs, 65, platform.addresses["hosts"], token_s, round(6.0 / token_s))
            time.sleep(2.5)
            cpu_s, began_s = router.cpu_s(), time.perf_counter()
            tokens, _ = stream_tokens(router.addresses["callers"], 500, 0.5)
            seconds = time.perf_counter() - began_s
            points.append((tokens / seconds, (router.cpu_s() - cpu_s) / seconds))
    return points


def request_cost() -> dict[str, float]:
    """Return the processor time of router and agent for one whole request, in ms."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        router = procs.start_router("router-1", platform_urls(platform))
        agent = procs.start_agent("endpoint-1", platform.addresses["engine"], "m@1")
        list_host(platform.addresses["hosts"], "endpoint-1", "agent", agent.addresses["link"])
        wait_until_served(router.addresses["callers"])
        call_repeatedly(router.addresses["callers"], "m@1", 4, 100)
        before = router.cpu_s(), agent.cpu_s()
        result = call_repeatedly(router.addresses["callers"], "m@1", 4, 500)
        count = len(result.latencies_s)
        return {
            "router_ms": (router.cpu_s() - before[0]) / count * 1000,
            "agent_ms": (agent.cpu_s() - before[1]) / count * 1000,
        }


def change_cost() -> dict[str, list[tuple[float, float]]]:
    """Return the processor time of router and agent for so many changes, in seconds."""
    points: dict[str, list[tuple[float, float]]] = {"router": [], "agent": []}
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        router = procs.start_router("router-1", platform_urls(platform))
        agent = procs.start_agent("endpoint-1", platform.addresses["engine"], "m@1")
        list_host(platform.addresses["hosts"], "endpoint-1", "agent", agent.addresses["link"])
        wait_until_served(router.addresses["callers"])
        for count in CHANGE_COUNTS:
            before, began_s = (router.cpu_s(), agent.cpu_s()), time.perf_counter()
            for index in range(count):
                change_once(platform.addresses["log"], f"{count}-{index}")
            time.sleep(max(0.0, 4.0 - (time.perf_counter() - began_s)))
            points["router"].append((float(count), router.cpu_s() - before[0]))
            points["agent"].append((float(count), agent.cpu_s() - before[1]))
    return points


def memory_by_pending_bills(count: int) -> float:
    """Return the memory, in MB, that so many usage records take while the log is down."""
    args = [sys.executable, "-m", "benchmarks._pending", str(count)]
    return float(subprocess.run(args, capture_output=True, text=True, check=True).stdout)


def change_once(log: str, name: str) -> None:
    """Append one change of a version's share."""
    import json

    share = 0.5 + (hash(name) % 100) / 1000
    op = {"type": "state", "version": "m@1", "state": "active", "share": share}
    record = {"type": "change", "change_id": name, "author": "benchmark", "ops": [op]}
    body = json.dumps({"records": [json.dumps(record, separators=(",", ":"))]}).encode()
    request = urllib.request.Request(f"http://{log}/streams/config/records", body, method="POST")
    urllib.request.urlopen(request, timeout=5).read()


def _fits(rows: dict[int, dict[str, float]]) -> dict[str, Any]:
    names = next(iter(rows.values()))
    return {
        name: fit_line([(float(size), row[name]) for size, row in rows.items()]).as_dict()
        for name in names
    }


def _rounded(rows: dict[int, dict[str, float]]) -> dict[str, Any]:
    return {
        str(size): {name: round(value, 5) for name, value in row.items()}
        for size, row in rows.items()
    }


def run() -> dict[str, Any]:
    """Measure every slope."""
    by_agents = {count: router_by_agents(count) for count in AGENT_COUNTS}
    by_routers = {count: agent_by_routers(count) for count in ROUTER_COUNTS}
    by_customers = {count: memory_by_customers(count) for count in CUSTOMER_COUNTS}
    streams = [(float(count), memory_by_streams(count)) for count in STREAM_COUNTS]
    pending = [(float(count), memory_by_pending_bills(count)) for count in PENDING_COUNTS]
    tokens = token_cost()
    changes = change_cost()
    return {
        "beat_s": BEAT_S,
        "router_by_agents": {"rows": _rounded(by_agents), "fits": _fits(by_agents)},
        "agent_by_routers": {"rows": _rounded(by_routers), "fits": _fits(by_routers)},
        "memory_by_customers": {"rows": _rounded(by_customers), "fits": _fits(by_customers)},
        "router_mb_by_streams": {"rows": streams, "fit": fit_line(streams).as_dict()},
        "router_core_by_tokens_per_s": {"rows": tokens, "fit": fit_line(tokens).as_dict()},
        "cpu_s_by_changes": {
            name: {"rows": rows, "fit": fit_line(rows).as_dict()} for name, rows in changes.items()
        },
        "request_ms": request_cost(),
        "mb_by_pending_bills": {"rows": pending, "fit": fit_line(pending).as_dict()},
    }
