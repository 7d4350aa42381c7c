"""How much processor time a router's start takes, from the process to where it takes callers.

``python -m benchmarks start``. Each start is a process of its own, with settings that name a store
at which nothing listens, so that what is measured is the start alone: the interpreter, imports,
settings, sockets. On a host with a share of a core it takes as much longer.
"""

import json
import os
import subprocess
import sys
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic

__all__ = ["measure", "run"]

RUNS = 15
LIMIT_S = 20.0
ANY = "127.0.0.1:0"
SMALL_HOST = 0.387
"""Share of a core that a small entry host has (`docs/CAPACITY.md`)."""


def measure(folder: Path, *options: str) -> float:
    """Return the processor time of one start in seconds."""
    settings = {
        "role": "gateway",
        "name": "start",
        "zone": "a",
        "listen": dict.fromkeys(("callers", "readiness", "pages", "link"), ANY),
        "store": "127.0.0.1:9",
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    env = {**os.environ, "UMBERHITCH_NODE_FILE": str(path)}
    command = [sys.executable, *options, "-m", "umberhitch.cli.early"]
    process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE)
    assert process.stderr is not None
    try:
        end_s = monotonic() + LIMIT_S
        for line in process.stderr:
            if b'"started"' in line:
                return _processor_s(process.pid)
            if monotonic() > end_s:
                break
        raise RuntimeError("the router did not start")
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def _processor_s(pid: int) -> float:
    """Return the processor time of a process's first thread, which imports and starts."""
    running_ns, _, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(running_ns) / 1e9


def run() -> dict[str, float]:
    """Return the median start."""
    with TemporaryDirectory() as folder:
        taken_s = sorted(measure(Path(folder)) for _ in range(RUNS))
    middle_s = median(taken_s)
    return {
        "starts": RUNS,
        "processor_ms": round(1000 * middle_s),
        "fastest_ms": round(1000 * taken_s[0]),
        "slowest_ms": round(1000 * taken_s[-1]),
        "small_host_s": round(middle_s / SMALL_HOST, 2),
    }
