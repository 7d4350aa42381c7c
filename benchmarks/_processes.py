"""Processes that benchmarks start, watch and end."""

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from msgspec import json

__all__ = ["Fleet", "Running", "fleet"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1:0"


@dataclass
class Running:
    """One process."""

    process: subprocess.Popen
    addresses: dict[str, str]

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory."""
        fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES


@dataclass
class Fleet:
    """The processes of one benchmark, ended together."""

    folder: Path
    running: list[Running] = field(default_factory=list)

    def start(self, module: str, *args: str) -> Running:
        """Start ``python -m module`` and wait for its addresses on standard output."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert process.stdout is not None
        text = process.stdout.readline()
        if not text:
            raise RuntimeError(f"{module} {' '.join(args)} ended before it was ready")
        line = json.decode(text)
        return self._add(process, line if isinstance(line, dict) else {})

    def start_daemon(self, settings: dict[str, Any]) -> Running:
        """Start ``umberhitchd`` and wait for its addresses in its log."""
        path = self.folder / f"{settings['name']}.json"
        path.write_bytes(json.encode(settings))
        log_path = self.folder / f"{settings['name']}.log"
        with log_path.open("wb") as log_file:
            process = subprocess.Popen(
                [sys.executable, "-m", "umberhitch.cli.daemon", f"--settings={path}"],
                stderr=log_file,
            )
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            for line in log_path.read_bytes().splitlines():
                record = json.decode(line)
                if "addresses" in record:
                    return self._add(process, record["addresses"])
            time.sleep(0.02)
        process.kill()
        raise RuntimeError(f"{settings['name']} did not start: {log_path.read_text()}")

    def _add(self, process: subprocess.Popen, addresses: dict[str, str]) -> Running:
        running = Running(process, addresses)
        self.running.append(running)
        return running

    def start_router(self, name: str, platform: dict[str, str], **extra: Any) -> Running:
        """Start a router on loopback."""
        return self.start_daemon(
            {
                "role": "router",
                "name": name,
                "zone": "a",
                "listen": {"callers": LOOPBACK, "operators": LOOPBACK, "link": LOOPBACK},
                "platform": platform,
                "hosts_s": 0.5,
                **extra,
            }
        )

    def start_agent(self, name: str, backend: str, target: str, **extra: Any) -> Running:
        """Start an agent on loopback."""
        return self.start_daemon(
            {
                "role": "agent",
                "name": name,
                "zone": "a",
                "listen": {"link": LOOPBACK, "health": LOOPBACK},
                "backend": {"url": f"http://{backend}", "targets": [target], "slots": 64},
                **extra,
            }
        )


@contextmanager
def fleet() -> Iterator[Fleet]:
    """Start processes in a scratch folder; on exit, end exactly those."""
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(Path(folder))
        try:
            yield made
        finally:
            for running in made.running:
                running.process.kill()
            for running in made.running:
                running.process.wait(STOP_TIMEOUT_S)
