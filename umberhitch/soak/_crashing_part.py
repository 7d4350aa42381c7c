"""Requests with a crashing part in their prompts, beside a fault, on real routers."""

import os
import signal
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import sleep

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import LocalPlatform, RouterProcess, wait_until
from umberhitch.soak._callers import Callers
from umberhitch.soak._checks import Bounds, Finding
from umberhitch.soak._deployment import Deployment
from umberhitch.soak._run import Verdict

__all__ = ["PartSeen", "check_part", "play_crashing_part"]

ROUTERS, ENDPOINTS, CALLERS = 3, 6, 3
PART = "bad"
KEY = "k0"
BAD_GAP_S = 0.1
BAD_FOR_S = 10.0
BACK_S = 1.0
"""From the crash of an endpoint until another one is there in its place."""
FAULT_S = 2.0
KNOWN_S = 3.0
"""Seconds after the fifth crash within which all routers know the part."""
MAX_SENDS = 3
"""Maximum number of requests with the part that reach endpoints once all routers know it."""
LAST_REQUESTS = 30
FAULTS = ("none", "kill a router", "freeze a router", "store down")


@dataclass(frozen=True, slots=True)
class PartSeen:
    """What endpoints saw of the requests with the part; times in seconds.

    Attributes
    ----------
    runs_s : tuple of float
        When such requests reached endpoints.
    crashes_s : tuple of float
        When endpoints crashed, in order.
    known_s : float
        When all routers reported that they hold the part.
    sound_refused : int
        Sound requests that were refused from then on.
    """

    runs_s: tuple[float, ...]
    crashes_s: tuple[float, ...]
    known_s: float
    sound_refused: int


def check_part(seen: PartSeen, is_timed: bool) -> list[Finding]:
    """Check that the part is held, and that sound requests are not.

    Parameters
    ----------
    seen : PartSeen
    is_timed : bool
        Whether all routers must know the part some seconds after the fifth crash.
    """
    findings = []
    late = sum(at_s > seen.known_s for at_s in seen.runs_s)
    if late > MAX_SENDS:
        findings.append(Finding("a crashing part is held", f"{late} runs when all knew it"))
    if is_timed and len(seen.crashes_s) >= 5:
        known_s = seen.crashes_s[4] + KNOWN_S
        late = sum(at_s > known_s for at_s in seen.runs_s)
        if late > MAX_SENDS:
            findings.append(Finding("a crashing part is held in time", f"{late} runs too late"))
    if seen.sound_refused:
        findings.append(Finding("sound requests are not held", f"{seen.sound_refused} refused"))
    return findings


def play_crashing_part(
    seed: int, folder: Path, bounds: Bounds | None = None, mutation: str | None = None
) -> Verdict:
    """Play one run; ``mutation`` is what is broken in every router."""
    module: tuple[str, ...] = ("umberhitch.cli.daemon",)
    if mutation is not None:
        module = ("umberhitch.soak._mutations", mutation)
    platform = LocalPlatform(folder)
    try:
        return _Play(seed, Deployment(platform, module), bounds or Bounds()).run()
    finally:
        for router in platform.routers:
            router.process.send_signal(signal.SIGCONT)
        platform.close()


class _Play:
    def __init__(self, seed: int, deployment: Deployment, bounds: Bounds) -> None:
        self._seed = seed
        self._rng = Random(seed)
        self._deployment = deployment
        self._platform = deployment.platform
        self._bounds = bounds
        self._fault = self._rng.choice(FAULTS)
        self._endpoints: list[str] = []
        self._crashes_s: dict[str, float] = {}
        self._replaced: set[str] = set()
        self._sent = 0

    def run(self) -> Verdict:
        """Play, and check what was seen."""
        self._deployment.publish()
        for _ in range(ENDPOINTS):
            self._add_endpoint()
        for number in range(ROUTERS):
            self._start_router(number)
        wait_until(lambda: all(each.status()["routers"] == ROUTERS for each in self._routers))
        callers = Callers(self._seed, CALLERS, lambda: [*self._routers], lambda: [KEY])
        callers.start()
        try:
            sleep(2.0)
            self._send_for(BAD_FOR_S, self._rng.uniform(0.0, 0.6) * BAD_FOR_S)
            known_s = self._await_known()
            for _ in range(LAST_REQUESTS):
                self._send_bad()
            self._note_crashes()
        finally:
            callers.stop()
        records = callers.records()
        refused = sum(
            record.status == 503 and record.sent_s > known_s and record.kind == "draft"
            for record in records
        )
        crashes_s = tuple(sorted(self._crashes_s.values()))
        seen = PartSeen(self._runs_s(), crashes_s, known_s, refused)
        is_timed = self._bounds != Bounds() and self._fault == "none"
        done = sum(record.status == 200 for record in records)
        return Verdict(self._seed, len(records), done, 1, check_part(seen, is_timed))

    @property
    def _routers(self) -> list[RouterProcess]:
        return self._platform.routers

    def _start_router(self, number: int) -> None:
        self._platform.start_router(f"router-{number}", module=self._deployment.module)

    def _add_endpoint(self) -> None:
        name = f"e{len(self._endpoints)}"
        self._platform.add_endpoint(name)
        self._platform.control("POST", f"/endpoints/{name}/faults", {"crashes_on_part": PART})
        self._endpoints.append(name)

    def _send_bad(self) -> None:
        """Send a request with the part, each to the next router and like no other one."""
        self._sent += 1
        prompt = f"aa:60,{PART}:40,own{self._sent}:5"
        body = b"bad %d" % self._sent
        router = self._routers[self._sent % len(self._routers)]
        call_id = f"bad{self._sent}"
        router.send_request("/draft/x", call_id, KEY, model="small", body=body, prompt=prompt)

    def _send_for(self, for_s: float, fault_after_s: float) -> None:
        """Send such requests, replace endpoints that crashed, and let the fault come."""
        began_s = steady_s()
        is_fault_due = True
        while steady_s() < began_s + for_s:
            if is_fault_due and steady_s() > began_s + fault_after_s:
                is_fault_due = False
                self._do_fault()
            self._send_bad()
            self._note_crashes()
            sleep(BAD_GAP_S)

    def _note_crashes(self) -> None:
        now_s = steady_s()
        for name in self._endpoints:
            if name not in self._crashes_s and self._platform.has_crashed(name):
                self._crashes_s[name] = now_s
        due = [name for name, at_s in self._crashes_s.items() if now_s > at_s + BACK_S]
        for name in due:
            if name not in self._replaced:
                self._replaced.add(name)
                self._platform.write_entry(name, b"")
                self._add_endpoint()

    def _do_fault(self) -> None:
        victim = self._rng.randrange(ROUTERS)
        match self._fault:
            case "kill a router":
                router = self._routers.pop(victim)
                router.kill()
                self._start_router(victim)
            case "freeze a router":
                router = self._routers.pop(victim)
                os.kill(router.process.pid, signal.SIGSTOP)
                sleep(FAULT_S)
                os.kill(router.process.pid, signal.SIGCONT)
                self._routers.append(router)
            case "store down":
                self._platform.set_store_down(True)
                sleep(FAULT_S)
                self._platform.set_store_down(False)

    def _await_known(self) -> float:
        """Wait until all routers hold the part, and return when."""

        def is_known() -> bool:
            if all(router.status()["held"] > 0 for router in self._routers):
                return True
            self._send_bad()
            self._note_crashes()
            return False

        wait_until(is_known)
        return steady_s()

    def _runs_s(self) -> tuple[float, ...]:
        runs = (run for name in self._endpoints for run in self._platform.runs(name))
        return tuple(sorted(run["at_s"] for run in runs if run["call_id"].startswith("bad")))
