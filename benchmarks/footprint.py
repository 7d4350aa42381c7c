"""``footprint``: memory and processor time of each role at rest."""

from typing import Any

from benchmarks._processes import fleet
from benchmarks.relay import list_host, platform_urls
from benchmarks.slopes import watch

__all__ = ["run"]

AGENT_LIMIT_MB = 64.0
CORE_LIMIT = 0.011


def run() -> dict[str, Any]:
    """Watch a router and an agent that know each other and have nothing to do."""
    with fleet() as procs:
        platform = procs.start("benchmarks._platform")
        router = procs.start_router("router-1", platform_urls(platform))
        agent = procs.start_agent("endpoint-1", platform.addresses["engine"], "m@1")
        list_host(platform.addresses["hosts"], "endpoint-1", "agent", agent.addresses["link"])
        rows = {"router": watch(router), "agent": watch(agent)}
    return {
        name: {
            "resident_mb": round(row["resident_mb"], 1),
            "idle_core": round(row["core"], 4),
            "link_bytes_per_s": round(row["bytes_per_s"]),
            "is_within_64_mb": row["resident_mb"] <= AGENT_LIMIT_MB,
            "is_within_1.1_percent": row["core"] <= CORE_LIMIT,
        }
        for name, row in rows.items()
    }
