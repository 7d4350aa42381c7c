"""``relay``: what router and agent add to a request, and what a relayed token costs a router."""

import json
import time
import urllib.request
from typing import Any

from benchmarks._load import call_repeatedly, percentile, stream_tokens
from benchmarks._processes import Fleet, Running, fleet

__all__ = ["run"]

CALLERS = 4
WARM_UP = 50
COUNT = 300
STREAMS = 900
TOKENS = 150
TOKEN_S = 0.064
TALKERS = 65
SPREAD_S = 4.0
TARGET_TOKENS_PER_S = 14_000


def list_host(hosts: str, name: str, role: str, address: str) -> None:
    """Put a host on the stand-in's list."""
    row = {"name": name, "role": role, "zone": "a", "address": address}
    request = urllib.request.Request(
        f"http://{hosts}/hosts", json.dumps(row).encode(), method="POST"
    )
    urllib.request.urlopen(request, timeout=5).read()


def platform_urls(platform: Running) -> dict[str, str]:
    """Return the ``platform`` section of a router's settings."""
    return {
        "log": f"http://{platform.addresses['log']}",
        "hosts": f"http://{platform.addresses['hosts']}",
    }


def wait_until_served(address: str, limit_s: float = 20.0) -> None:
    """Wait until a router answers a request."""
    end_s = time.monotonic() + limit_s
    while True:
        try:
            call_repeatedly(address, "m@1", 1, 1)
            return
        except (RuntimeError, OSError):
            if time.monotonic() > end_s:
                raise
            time.sleep(0.1)


def measure_latency(procs: Fleet) -> dict[str, Any]:
    """Compare the way through router and agent with a bare forwarder and with no one between."""
    platform = procs.start("benchmarks._platform")
    engine = platform.addresses["engine"]
    forwarder = procs.start("benchmarks._forwarder", engine)
    router = procs.start_router("router-1", platform_urls(platform))
    agent = procs.start_agent("endpoint-1", engine, "m@1")
    list_host(platform.addresses["hosts"], "endpoint-1", "agent", agent.addresses["link"])
    wait_until_served(router.addresses["callers"])
    rows: dict[str, Any] = {}
    ways = {
        "direct": engine,
        "forwarder": forwarder.addresses["callers"],
        "umberhitch": router.addresses["callers"],
    }
    for name, address in ways.items():
        call_repeatedly(address, "m@1", CALLERS, WARM_UP)
        one = call_repeatedly(address, "m@1", 1, COUNT)
        before = (router.cpu_s(), agent.cpu_s())
        many = call_repeatedly(address, "m@1", CALLERS, COUNT)
        rows[name] = {
            "p50_ms": round(percentile(one.latencies_s, 0.5) * 1000, 3),
            "p99_ms": round(percentile(one.latencies_s, 0.99) * 1000, 3),
            "requests_per_s": round(many.rate, 1),
            "router_cpu_ms": round((router.cpu_s() - before[0]) / len(many.latencies_s) * 1000, 3),
            "agent_cpu_ms": round((agent.cpu_s() - before[1]) / len(many.latencies_s) * 1000, 3),
        }
    for name in ("forwarder", "umberhitch"):
        rows[name]["added_p50_ms"] = round(rows[name]["p50_ms"] - rows["direct"]["p50_ms"], 3)
    return rows


def measure_tokens(flush_s: float) -> dict[str, Any]:
    """Stream tokens through one router from agents that flush after ``flush_s``."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        router = procs.start_router("router-1", platform_urls(platform))
        procs.start(
            "benchmarks._pump",
            *map(str, (TALKERS, flush_s, TOKENS, TOKEN_S, 1.0)),
            platform.addresses["hosts"],
        )
        time.sleep(2.5)
        cpu_s, began_s = router.cpu_s(), time.perf_counter()
        tokens, gaps_s = stream_tokens(router.addresses["callers"], STREAMS, SPREAD_S)
        seconds = time.perf_counter() - began_s
        used_s = router.cpu_s() - cpu_s
    return {
        "tokens": tokens,
        "expected_tokens": STREAMS * TOKENS,
        "tokens_per_s": round(tokens / seconds),
        "router_cpu_us_per_token": round(used_s / tokens * 1e6, 1),
        "router_core_at_14000_per_s": round(used_s / tokens * TARGET_TOKENS_PER_S, 3),
        "gap_p50_ms": round(percentile(gaps_s, 0.5) * 1000, 1),
        "gap_p95_ms": round(percentile(gaps_s, 0.95) * 1000, 1),
    }


def run() -> dict[str, Any]:
    """Measure both."""
    with fleet() as procs:
        latency = measure_latency(procs)
    flushes = {"none": 0.0, "5_ms": 0.005, "25_ms": 0.025}
    return {
        "latency": latency,
        "tokens": {name: measure_tokens(flush_s) for name, flush_s in flushes.items()},
    }
