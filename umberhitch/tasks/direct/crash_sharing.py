"""Tells the other routers of crashes, so that all hold the same requests within some 0.05 s.

What is told is added to what is known, so that lost, repeated and late messages do no harm: news go
to all at once, what is held is told again to a few peers as long as it is, and a router that is new
gets all of it. A router that knows that a request has ended well since tells the one router that is
asked for its probes, and that one tells all.
"""

from collections.abc import Callable
from logging import getLogger

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct import Crash, CrashRecord
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import do_nothing
from umberhitch.wire import CrashNotice, CrashUpdate, Message, ProbeNotice, RunEndNotice

__all__ = ["CrashSharing"]

log = getLogger(__name__)

MAX_CRASHES_PER_MESSAGE = 512
"""Crashes in one message, some 0.1 kB each: those of a third of a zone's running requests."""
MAX_RESENT_REQUESTS = 4
"""Requests that are told again at a time, in turn: under 1 kB."""
RESEND_S = 30.0
"""So long a crash is told again, and a request that is held as long as it is held."""


class CrashSharing:
    """One router's part in what all know of crashes.

    Parameters
    ----------
    name : str
        Of this router.
    clock : Clock
    record : CrashRecord

    Attributes
    ----------
    peers : callable
        Returns the names of the other routers.
    send : callable
        Sends a message to one of them.
    on_news : callable
        Called when there is something that the others are to be told at once.
    on_held : callable
        Called with the key of a request that is held from now on.
    on_decided : callable
        Called with the key of a request that is held, probed or free by this router's decision.
    """

    def __init__(self, name: str, clock: Clock, record: CrashRecord) -> None:
        self.record = record
        self.peers: Callable[[], list[str]] = list
        self.send: Callable[[str, Message], None] = lambda peer, message: None
        self.on_update: Callable[[], None] = do_nothing
        self.on_held: Callable[[str], None] = lambda key: None
        self.on_decided: Callable[[str], None] = lambda key: None
        self._name = name
        self._clock = clock
        self._pending_crashes: list[tuple[str, Crash]] = []
        self._pending_run_ends: set[str] = set()
        self._pending_probes: dict[str, ProbeNotice] = {}
        self._next_index = 0

    def arbiter(self, key: str) -> str:
        """Return the router that lets probes of a request through (rendezvous hash)."""
        names = [self._name, *self.peers()]
        return max(names, key=lambda name: xxh3_64_intdigest(f"{key}|{name}".encode()))

    # Own news

    def record_crash(self, key: str, crash: Crash) -> None:
        """Take note of a crash that this router has seen."""
        was_held = self.record.is_held(key)
        if not self.record.note_crash(key, crash):
            return
        self._pending_crashes.append((key, crash))
        self._check_held(key, was_held, "here")
        self.on_update()

    def record_run_end(self, key: str, at_s: float) -> None:
        """Take note that a run of a request has ended here, or gone on for long enough."""
        was_held = self.record.is_held(key)
        if self.record.note_run_end(key, at_s):
            self._queue_run_end(key, was_held)

    def _queue_run_end(self, key: str, was_held: bool) -> None:
        if was_held:
            self._notify_if_arbiter(key)
            log.info(
                "request held no more",
                extra={"key": key, "reason": "a run did not end its endpoint"},
            )
        self._pending_run_ends.add(key)
        self.on_update()

    def record_probe(self, key: str, place: str, probes: int, lease_s: float) -> None:
        """Take note that this router has let a probe through."""
        now_s = self._clock.seconds()
        if self.record.note_probe(key, place, probes, now_s, now_s + lease_s):
            self._pending_probes[key] = ProbeNotice(key, place, probes, 0.0, lease_s)
            self._notify_if_arbiter(key)
            self.on_update()

    def record_probe_end(self, key: str) -> None:
        """Take note that a probe that ran here has ended and shows nothing."""
        probed = self.record.last_probe(key)
        if self.record.note_probe_end(key) and probed is not None:
            place, probes, _ = probed
            self._pending_probes[key] = ProbeNotice(key, place, probes, 0.0, 0.0)
            self.on_update()

    def release(self, key: str) -> bool:
        """Let a request go at an operator's word; return whether it was held or suspect."""
        is_known = self.record.is_suspect(key)
        self.record_run_end(key, self._clock.seconds())
        if is_known:
            log.info("request let go", extra={"key": key, "reason": "operator"})
        return is_known

    # Telling

    def pop_updates(self) -> list[CrashUpdate]:
        """Return what the others are to be told at once, and were not."""
        crashes = [
            self._crash_notice(key, crash)
            for key, crash in self._pending_crashes[:MAX_CRASHES_PER_MESSAGE]
        ]
        self._pending_crashes = self._pending_crashes[MAX_CRASHES_PER_MESSAGE:]
        ends = [self._run_end_notice(key) for key in self._pending_run_ends]
        probes = [*self._pending_probes.values()]
        self._pending_run_ends, self._pending_probes = set(), {}
        if self._pending_crashes:
            self.on_update()
        return [CrashUpdate(crashes, ends, probes)] if crashes or ends or probes else []

    def all_updates(self) -> list[CrashUpdate]:
        """Return what a router is told that is new here, the strongest evidence first."""
        keys = sorted(self.record.suspects(), key=lambda each: -len(self.record.crashes(each)))
        return self._make_updates(keys)

    def updates_to_resend(self) -> list[CrashUpdate]:
        """Return what is told again: some of what is held or recent, in turn."""
        now_s = self._clock.seconds()
        if not len(self.record):
            return []
        self.record.forget(now_s)
        since_s = now_s - RESEND_S
        keys = [
            key
            for key in self.record.suspects()
            if self.record.is_held(key) or self.record.crashes(key)[-1].crashed_s > since_s
        ]
        self._next_index = (self._next_index + MAX_RESENT_REQUESTS) % max(1, len(keys))
        return self._make_updates(
            (keys[self._next_index :] + keys[: self._next_index])[:MAX_RESENT_REQUESTS]
        )

    def updates_for(self, key: str) -> list[CrashUpdate]:
        """Return what is held against one request."""
        return self._make_updates([key])

    def _make_updates(self, keys: list[str]) -> list[CrashUpdate]:
        now_s = self._clock.seconds()
        enough = self.record.limits.crashes
        crashes = [
            self._crash_notice(key, each)
            for key in keys
            for each in self.record.crashes(key)[:enough]
        ]
        probes = []
        for key in keys:
            probed = self.record.last_probe(key)
            if probed is not None:
                place, number, at_s = probed
                probes.append(ProbeNotice(key, place, number, now_s - at_s, 0.0))
        return [CrashUpdate(crashes[:MAX_CRASHES_PER_MESSAGE], [], probes)] if crashes else []

    def _crash_notice(self, key: str, crash: Crash) -> CrashNotice:
        now_s = self._clock.seconds()
        began_age_s = round(now_s - crash.started_s, 4)
        ended_age_s = round(now_s - crash.crashed_s, 4)
        return CrashNotice(key, crash.lifetime, crash.service_version, began_age_s, ended_age_s)

    def _run_end_notice(self, key: str) -> RunEndNotice:
        now_s = self._clock.seconds()
        ended_s = self.record.last_run_end_s(key)
        return RunEndNotice(key, 0.0 if ended_s is None else round(now_s - ended_s, 4))

    # Others' news

    def receive(self, message: CrashUpdate) -> None:
        """Take what another router tells."""
        now_s = self._clock.seconds()
        for end in message.run_ends:
            self._apply_run_end(end, now_s)
        for told in message.crashes:
            self._apply_crash(told, now_s)
        for probe in message.probes:
            self._apply_probe(probe, now_s)

    def _apply_run_end(self, end: RunEndNotice, now_s: float) -> None:
        was_held = self.record.is_held(end.key)
        is_freed = self.record.note_run_end(end.key, now_s - end.age_s)
        if is_freed and self.arbiter(end.key) == self._name:
            self._queue_run_end(end.key, was_held)
        elif is_freed and was_held:
            log.info("request held no more", extra={"key": end.key, "reason": "told"})

    def _apply_crash(self, told: CrashNotice, now_s: float) -> None:
        crash = Crash(
            told.lifetime,
            told.service_version,
            now_s - told.started_age_s,
            now_s - told.crash_age_s,
        )
        if self.record.is_refuted(told.key, crash):
            self._send_refutation(told.key)
            return
        was_held = self.record.is_held(told.key)
        self.record.note_crash(told.key, crash)
        self._check_held(told.key, was_held, "told")

    def _send_refutation(self, key: str) -> None:
        """Tell that the request has ended well since, without a message from each to each."""
        arbiter = self.arbiter(key)
        if arbiter == self._name:
            self._pending_run_ends.add(key)
            self.on_update()
        else:
            self.send(arbiter, CrashUpdate([], [self._run_end_notice(key)], []))

    def _apply_probe(self, probe: ProbeNotice, now_s: float) -> None:
        at_s = now_s - probe.age_s
        self.record.note_probe(
            probe.key, probe.service_version, probe.probes, at_s, now_s + probe.lease_s
        )
        if probe.lease_s == 0.0:
            known = self.record.last_probe(probe.key)
            if known is not None and known[1] <= probe.probes and probe.age_s == 0.0:
                self.record.note_probe_end(probe.key)

    def _check_held(self, key: str, was_held: bool, source: str) -> None:
        if was_held or not self.record.is_held(key):
            return
        now_s = self._clock.seconds()
        crashes = self.record.crashes(key)
        log.warning(
            "request held",
            extra={
                "key": key,
                "source": source,
                "endpoints": [each.lifetime for each in crashes],
                "places": sorted({each.service_version for each in crashes}),
                "run_s": [round(each.crashed_s - each.started_s, 3) for each in crashes],
                "age_s": [round(now_s - each.crashed_s, 3) for each in crashes],
            },
        )
        self.on_held(key)
        self._notify_if_arbiter(key)

    def _notify_if_arbiter(self, key: str) -> None:
        if self.arbiter(key) == self._name:
            self.on_decided(key)
