"""Shares crashes among the routers, so that all hold the same causes within about 0.05 s.

A notice is merged into the crash record, so that lost, repeated and late messages do no harm. New
notices go to all peers at once. The notices of held causes are resent to a few peers as long as
these are held, and a new router gets all notices. A router that receives a crash under a cause
which has completed since notifies the cause's arbiter, which notifies all peers.
"""

from collections.abc import Callable, Iterable
from logging import getLogger

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct import Crash, CrashRecord, part_of_key
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import do_nothing
from umberhitch.wire import CrashNotice, CrashUpdate, Message, ProbeNotice, RunEndNotice

__all__ = ["CrashSharing"]

log = getLogger(__name__)

MAX_CRASHES_PER_MESSAGE = 512
"""Maximum number of crashes in one message, of about 0.1 kB each: a third of the number of requests
that run in a zone."""
MAX_RESENT_CAUSES = 4
"""Number of causes whose notices are resent at a time, in turn; they take under 2 kB."""
MAX_RESENT_CRASHES = 6
"""Number of crashes of one cause that are resent, the newest ones."""
RESEND_S = 30.0
"""Seconds after a crash for which its notice is resent. Those of a held cause are resent as long
as the cause is held."""
RUN_ENDED = "a run did not end its endpoint"
EXPLAINED = "another cause explains the crashes"


class CrashSharing:
    """One router's exchange of crashes, completed runs and probes with its peers.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
    record : CrashRecord

    Attributes
    ----------
    peers : callable
        Returns the names of the other routers that the store lists.
    is_listed : callable
        Whether the store lists this router, so that the others may choose it as arbiter.
    send : callable
        Sends a message to one of the other routers.
    on_update : callable
        Called when there is an update to send to the peers at once.
    on_held : callable
        Called with the key of a cause when it becomes held.
    on_decided : callable
        Called with the key of a cause that became held, probed or released, at its arbiter.
    """

    def __init__(self, name: str, clock: Clock, record: CrashRecord) -> None:
        self.record = record
        self.peers: Callable[[], list[str]] = list
        self.is_listed: Callable[[], bool] = lambda: True
        self.send: Callable[[str, Message], None] = lambda peer, message: None
        self.on_update: Callable[[], None] = do_nothing
        self.on_held: Callable[[str], None] = lambda key: None
        self.on_decided: Callable[[str], None] = lambda key: None
        self._name = name
        self._clock = clock
        self._pending_crashes: list[tuple[str, Crash]] = []
        self._pending_run_ends: set[str] = set()
        self._pending_probes: dict[str, ProbeNotice] = {}
        self._held: frozenset[str] = frozenset()
        """Causes that were held when this was last checked."""
        self._next_index = 0

    def arbiter(self, key: str) -> str:
        """Return the router that admits probes of a cause, by rendezvous hash."""
        names = self.peers()
        if self.is_listed() or not names:
            names = [self._name, *names]
        return max(names, key=lambda name: xxh3_64_intdigest(f"{key}|{name}".encode()))

    def is_arbiter(self, key: str) -> bool:
        """Whether this router admits the probes of a cause, and writes its state."""
        return self.arbiter(key) == self._name

    # Events at this router

    def record_crashes(self, crashes: dict[str, Crash]) -> None:
        """Record what this router has detected: crashes by the keys of their possible causes."""
        new = [(key, crash) for key, crash in crashes.items() if self.record.note_crash(key, crash)]
        if not new:
            return
        self._pending_crashes += new
        self._note_held("here")
        self.on_update()

    def record_run_ends(self, keys: Iterable[str], at_s: float) -> None:
        """Record that a run with these causes completed here, or lasted for the survival time."""
        cleared = [key for key in keys if self.record.note_run_end(key, at_s)]
        if cleared:
            self._pending_run_ends.update(cleared)
            self._note_held("here")
            self.on_update()

    def record_probe(self, key: str, service_version: str, probes: int, lease_s: float) -> None:
        """Record that this router has admitted a probe."""
        now_s = self._clock.seconds()
        if self.record.note_probe(key, service_version, probes, now_s, now_s + lease_s):
            self._pending_probes[key] = ProbeNotice(key, service_version, probes, 0.0, lease_s)
            self._notify_if_arbiter(key)
            self.on_update()

    def record_probe_end(self, key: str) -> None:
        """Record that a probe that ran here has ended without a result."""
        last_probe = self.record.last_probe(key)
        if self.record.note_probe_end(key) and last_probe is not None:
            service_version, probes, _ = last_probe
            self._pending_probes[key] = ProbeNotice(key, service_version, probes, 0.0, 0.0)
            self.on_update()

    def release(self, key: str) -> bool:
        """Release a cause on an operator's order; return whether it was held or suspect."""
        is_known = self.record.is_suspect(key)
        self.record_run_ends([key], self._clock.seconds())
        if is_known:
            log.info("request let go", extra={"key": key, "reason": "operator"})
        return is_known

    # Updates to the peers

    def pop_updates(self) -> list[CrashUpdate]:
        """Return the updates that have not been sent to the peers yet, and mark them as sent."""
        pending = self._pending_crashes[:MAX_CRASHES_PER_MESSAGE]
        crashes = [self._crash_notice(key, crash) for key, crash in pending]
        self._pending_crashes = self._pending_crashes[MAX_CRASHES_PER_MESSAGE:]
        completed = {key for key, _ in pending if self.record.has_completed(key)}
        ends = [self._run_end_notice(key) for key in self._pending_run_ends | completed]
        probes = [*self._pending_probes.values()]
        self._pending_run_ends, self._pending_probes = set(), {}
        if self._pending_crashes:
            self.on_update()
        return [CrashUpdate(crashes, ends, probes)] if crashes or ends or probes else []

    def all_updates(self) -> list[CrashUpdate]:
        """Return all notices for a new router, those of the causes with most crashes first."""
        keys = sorted(self.record.suspects(), key=lambda key: -len(self.record.crashes(key)))
        return self._make_updates(keys)

    def updates_to_resend(self) -> list[CrashUpdate]:
        """Return the notices to resend: in turn, some of the held causes and recent crashes."""
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
        self._next_index = (self._next_index + MAX_RESENT_CAUSES) % max(1, len(keys))
        return self._make_updates(
            (keys[self._next_index :] + keys[: self._next_index])[:MAX_RESENT_CAUSES]
        )

    def updates_for(self, key: str) -> list[CrashUpdate]:
        """Return the notices about one cause."""
        return self._make_updates([key])

    def _make_updates(self, keys: list[str]) -> list[CrashUpdate]:
        now_s = self._clock.seconds()
        crashes = [
            self._crash_notice(key, crash)
            for key in keys
            for crash in self.record.crashes(key)[-MAX_RESENT_CRASHES:]
        ]
        probes = []
        for key in keys:
            last_probe = self.record.last_probe(key)
            if last_probe is not None:
                service_version, probe_count, at_s = last_probe
                probes.append(ProbeNotice(key, service_version, probe_count, now_s - at_s, 0.0))
        ends = [self._run_end_notice(key) for key in keys if self.record.has_completed(key)]
        return [CrashUpdate(crashes[:MAX_CRASHES_PER_MESSAGE], ends, probes)] if crashes else []

    def _crash_notice(self, key: str, crash: Crash) -> CrashNotice:
        now_s = self._clock.seconds()
        started_age_s = round(now_s - crash.started_s, 4)
        crash_age_s = round(now_s - crash.crashed_s, 4)
        return CrashNotice(
            key,
            crash.lifetime,
            crash.service_version,
            started_age_s,
            crash_age_s,
            crash.customer,
        )

    def _run_end_notice(self, key: str) -> RunEndNotice:
        now_s = self._clock.seconds()
        completed_s = self.record.last_run_end_s(key)
        return RunEndNotice(key, 0.0 if completed_s is None else round(now_s - completed_s, 4))

    # Updates of the peers

    def receive(self, message: CrashUpdate) -> None:
        """Apply an update of another router."""
        now_s = self._clock.seconds()
        for end in message.run_ends:
            self._apply_run_end(end, now_s)
        for notice in message.crashes:
            self._apply_crash(notice, now_s)
        for probe in message.probes:
            self._apply_probe(probe, now_s)
        self._note_held("told")

    def _apply_run_end(self, end: RunEndNotice, now_s: float) -> None:
        is_cleared = self.record.note_run_end(end.key, now_s - end.age_s)
        if is_cleared and self.is_arbiter(end.key):
            self._pending_run_ends.add(end.key)
            self.on_update()

    def _apply_crash(self, notice: CrashNotice, now_s: float) -> None:
        crash = Crash(
            notice.lifetime,
            notice.service_version,
            now_s - notice.started_age_s,
            now_s - notice.crash_age_s,
            notice.customer,
        )
        if self.record.is_refuted(notice.key, crash):
            self._send_refutation(notice.key)
        else:
            self.record.note_crash(notice.key, crash)

    def _send_refutation(self, key: str) -> None:
        """Notify the peers, through the arbiter, that the cause has completed since.

        The arbiter passes this on, so that not every router sends a message to every other one.
        """
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

    def _note_held(self, source: str) -> None:
        """Log which causes have become held or released, and notify the store of those."""
        held, before = self.record.held_keys(), self._held
        if held == before:
            return
        self._held = held
        for key in sorted(held - before):
            self._log_held(key, source)
            self.on_held(key)
            self._notify_if_arbiter(key)
        for key in sorted(before - held):
            reason = EXPLAINED if self.record.is_suspect(key) else RUN_ENDED
            log.info("request held no more", extra={"key": key, "source": source, "reason": reason})
            self._notify_if_arbiter(key)

    def _log_held(self, key: str, source: str) -> None:
        now_s = self._clock.seconds()
        crashes = self.record.crashes(key)
        log.warning(
            "request held",
            extra={
                "key": key,
                "part": part_of_key(key),
                "source": source,
                "endpoints": [crash.lifetime for crash in crashes],
                "places": sorted({crash.service_version for crash in crashes}),
                "run_s": [round(crash.crashed_s - crash.started_s, 3) for crash in crashes],
                "age_s": [round(now_s - crash.crashed_s, 3) for crash in crashes],
                "completed_before": self.record.has_completed(key),
            },
        )

    def _notify_if_arbiter(self, key: str) -> None:
        if self.is_arbiter(key):
            self.on_decided(key)
