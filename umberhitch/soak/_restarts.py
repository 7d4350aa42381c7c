"""Routers restart in a good roll-out, under uploads that come in and sessions that go on."""

import signal
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import sleep

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import Answer, LocalPlatform, RouterProcess, wait_until
from umberhitch.soak._checks import Finding
from umberhitch.soak._run import Verdict

__all__ = ["Asked", "Uploaded", "check_sessions", "check_uploads", "play_restarts"]

ENDPOINTS = 3
"""Of each version."""
SESSIONS, UPLOADERS = 150, 10
BEFORE_S = 5.0
"""Traffic before the order."""
DURATION_S = 20.0
"""Of the roll-out."""
NOTICE_S = 1.5
"""The balancer notices that a router stops."""
FIRST_S, PAUSE_S = (9.5, 11.5), (0.5, 3.0)
"""Seconds from the order to the first signal, about the load test, and between restarts."""
SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT)
THINK_S = (3.0, 4.5)
"""Below the longest pause within a session, and so long that most sessions come back to a router
that has restarted without having asked another one."""
SESSION_S = 5.0
PIECES, PIECE_S = (2, 8), (0.1, 0.6)
KEY = "k0"
MAX_CHANGES = 3
"""The users' bound on sessions that change their version."""


@dataclass(frozen=True, slots=True)
class Uploaded:
    """An upload as its caller saw it; a status of 0 is no answer."""

    call_id: str
    status: int


@dataclass(frozen=True, slots=True)
class Asked:
    """A request of a session that was answered; times in seconds since the order."""

    session: str
    version: str
    sent_s: float
    ended_s: float


def check_uploads(uploads: Iterable[Uploaded], runs: dict[str, int]) -> list[Finding]:
    """Check that each upload was answered, ran once at most, and that refusals are true.

    Parameters
    ----------
    uploads : iterable of Uploaded
    runs : dict of str to int
        How often each call ran.
    """
    findings = []
    for upload in uploads:
        count = runs.get(upload.call_id, 0)
        if not upload.status:
            detail = f"{upload.call_id}, which ran {count} times"
            findings.append(Finding("a planned stop cuts off no upload", detail))
        if count and upload.status == 503:
            findings.append(Finding("a refusal is true", upload.call_id))
        if count > 1:
            findings.append(Finding("an upload runs once", f"{upload.call_id}: {count}"))
    return findings


def check_sessions(asked: Iterable[Asked], duration_s: float) -> list[Finding]:
    """Check that sessions keep their version in the first half and never move back.

    Parameters
    ----------
    asked : iterable of Asked
    duration_s : float
        Of the roll-out.
    """
    last: dict[str, Asked] = {}
    changes = []
    for each in sorted(asked, key=lambda each: each.sent_s):
        before, last[each.session] = last.get(each.session), each
        if before is None or before.version == each.version:
            continue
        is_early = each.version == "v1" or each.sent_s < duration_s / 2
        if is_early and each.sent_s - before.ended_s < SESSION_S:
            changes.append(f"{each.session} at {each.sent_s:.2f} s")
    if len(changes) <= MAX_CHANGES:
        return []
    return [Finding("sessions keep their version", f"{len(changes)}: {', '.join(changes)}")]


class _Fleet:
    """The routers of a play, some of which are just restarting."""

    def __init__(self, platform: LocalPlatform, module: tuple[str, ...], count: int) -> None:
        self._platform = platform
        self._module = module
        self._lock = threading.Lock()
        self._routers: dict[str, RouterProcess] = {}
        self.names = [f"router-{number}" for number in range(count)]
        for name in self.names:
            self._start(name)

    def _start(self, name: str) -> None:
        started = self._platform.start_router(name, module=self._module, drain_notice_s=NOTICE_S)
        with self._lock:
            self._routers[name] = started

    def choose(self, number: int) -> RouterProcess:
        """Return the router of a session, or the next one that is ready."""
        while True:
            for step in range(len(self.names)):
                with self._lock:
                    router = self._routers.get(self.names[(number + step) % len(self.names)])
                if router is not None and router.is_ready:
                    return router
            sleep(0.05)

    def restart(self, name: str, number: int) -> None:
        """Stop a router; callers that are connected stay so until it is gone."""
        with self._lock:
            router = self._routers[name]
        router.process.send_signal(number)
        router.process.wait()
        self._platform.routers.remove(router)
        self._start(name)


class _Traffic:
    """Threads of callers."""

    def __init__(self, seed: int, fleet: _Fleet) -> None:
        self.uploads: list[Uploaded] = []
        self.answered: list[tuple[str, str, float, float]] = []
        """Session, call, and when it was sent and had ended."""
        self._fleet = fleet
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=run, args=(number, Random(f"{seed}.{run.__name__}.{number}")))
            for run, count in ((self._use, SESSIONS), (self._upload, UPLOADERS))
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no more, and wait for the answers that are due."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _use(self, number: int, rng: Random) -> None:
        session = f"s{number}-{rng.getrandbits(32):08x}"
        sent = 0
        sleep(rng.uniform(0.0, BEFORE_S))
        while not self._is_stopped.is_set():
            sent += 1
            call_id, sent_s = f"{session}-{sent}", steady_s()
            router = self._fleet.choose(number)
            answer = router.send_request("/look/x", call_id, KEY, session=session)
            if answer.status == 200:
                self.answered.append((session, call_id, sent_s, steady_s()))
            sleep(rng.uniform(*THINK_S))

    def _upload(self, number: int, rng: Random) -> None:
        sent = 0
        while not self._is_stopped.is_set():
            sent += 1
            call_id = f"u{number}-{sent}"
            pieces = [b"x" * 1000] * rng.randint(*PIECES)
            router = self._fleet.choose(rng.randrange(8))
            answer: Answer = router.upload("/order/x", call_id, KEY, pieces, rng.uniform(*PIECE_S))
            self.uploads.append(Uploaded(call_id, answer.status))


def play_restarts(
    seed: int, folder: Path, routers: int = 3, mutation: str | None = None
) -> Verdict:
    """Play one roll-out; ``mutation`` is what is broken in every router."""
    module: tuple[str, ...] = ("umberhitch.cli.daemon",)
    if mutation is not None:
        module = ("umberhitch.soak._mutations", mutation)
    platform = LocalPlatform(folder)
    try:
        return _play(seed, platform, module, routers)
    finally:
        platform.close()


def _play(seed: int, platform: LocalPlatform, module: tuple[str, ...], routers: int) -> Verdict:
    rng = Random(seed)
    platform.publish(2, (KEY,))
    old = [f"e{number}" for number in range(ENDPOINTS)]
    new = [f"n{number}" for number in range(ENDPOINTS)]
    for name in old:
        platform.add_endpoint(name)
    fleet = _Fleet(platform, module, routers)
    wait_until(lambda: fleet.choose(0).status()["routers"] == routers)
    traffic = _Traffic(seed, fleet)
    restarts = 0
    try:
        sleep(BEFORE_S)
        ordered_s = steady_s()
        order = {"service": "svc", "target": "v2", "durationS": DURATION_S}
        platform.control("POST", "/operator/rollout/svc", order)
        for name in new:
            platform.add_endpoint(name, "v2")
        sleep(rng.uniform(*FIRST_S))
        while steady_s() < ordered_s + DURATION_S:
            fleet.restart(rng.choice(fleet.names), rng.choice(SIGNALS))
            restarts += 1
            sleep(rng.uniform(*PAUSE_S))
    finally:
        traffic.stop()
    return _verdict(seed, platform, traffic, ordered_s, restarts, (old, new))


def _verdict(
    seed: int,
    platform: LocalPlatform,
    traffic: _Traffic,
    ordered_s: float,
    restarts: int,
    endpoints: tuple[list[str], list[str]],
) -> Verdict:
    runs: dict[str, int] = {}
    versions: dict[str, str] = {}
    for version, names in zip(("v1", "v2"), endpoints, strict=True):
        for run in (run for name in names for run in platform.runs(name)):
            runs[run["call_id"]] = runs.get(run["call_id"], 0) + 1
            versions[run["call_id"]] = version
    asked = [
        Asked(session, versions[call_id], sent_s - ordered_s, ended_s - ordered_s)
        for session, call_id, sent_s, ended_s in traffic.answered
        if call_id in versions
    ]
    findings = check_uploads(traffic.uploads, runs) + check_sessions(asked, DURATION_S)
    done = len(asked) + sum(upload.status == 200 for upload in traffic.uploads)
    requests = len(traffic.answered) + len(traffic.uploads)
    return Verdict(seed, requests, done, restarts, findings)
