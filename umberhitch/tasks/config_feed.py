"""The router's copy of the configuration: read from the log or a peer, sent to agents and peers."""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from logging import getLogger
from random import Random

from msgspec import DecodeError, ValidationError
from twisted.internet.defer import Deferred, fail

from umberhitch.config import (
    Accepted,
    CatchUp,
    Change,
    Config,
    Fold,
    Ignored,
    Rejected,
    Snapshot,
    Verdict,
    decode_record,
    encode_record,
)
from umberhitch.errors import LogError
from umberhitch.ports import Clock, LogBatch, LogPort
from umberhitch.tasks.appender import Appender
from umberhitch.tasks.follower import Follower, FollowerSettings
from umberhitch.wire import ConfigRecords, ConfigSnapshot, Message

__all__ = ["CONFIG_STREAM", "ConfigFeed", "ConfigSource"]

log = getLogger(__name__)

CONFIG_STREAM = "config"
MAX_RECENT_RECORDS = 1024
"""Records kept for agents and peers that lag by no more than this; others get a snapshot."""
SNAPSHOT_INTERVAL_RECORDS = 500
"""Records after which a snapshot is appended, well before the log's retention deletes them."""
MAX_SNAPSHOT_DELAY_S = 10.0
"""Limit in seconds of the random delay before a router writes a snapshot that is due, so that
usually only one router writes it."""


class ConfigSource(StrEnum):
    """Source of the current configuration."""

    NONE = "none"
    LOG = "log"
    PEER = "peer"


class ConfigFeed:
    """Maintains the router's fold of the configuration stream.

    Parameters
    ----------
    port : LogPort
    clock : Clock
    rng : Random
    on_change : callable
        Called without arguments after the revision has increased.
    follower_settings : FollowerSettings
    """

    def __init__(
        self,
        port: LogPort,
        clock: Clock,
        rng: Random,
        on_change: Callable[[], None],
        follower_settings: FollowerSettings | None = None,
    ) -> None:
        self._catch_up = CatchUp(Fold())
        self._recent: deque[tuple[int, bytes]] = deque(maxlen=MAX_RECENT_RECORDS)
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._submitters: dict[str, list[Deferred[Verdict]]] = {}
        self._last_snapshot = -1
        self._snapshot_due = False
        self._encoded_snapshot: tuple[int, bytes] = (-1, b"")
        self.source = ConfigSource.NONE
        self.appender = Appender(port, CONFIG_STREAM, clock, rng)
        self.follower = Follower(
            port, CONFIG_STREAM, clock, self._next_offset, self._on_batch, follower_settings
        )

    @property
    def fold(self) -> Fold:
        """State of the configuration stream."""
        return self._catch_up.fold

    @property
    def config(self) -> Config:
        """Configuration at the current revision."""
        return self._catch_up.fold.config

    @property
    def revision(self) -> int:
        """Offset of the last record applied; -1 before the first."""
        return self._catch_up.fold.revision

    @property
    def caught_up_s(self) -> float | None:
        """Time at which this router had last applied the whole log; None if it never had."""
        return self.follower.caught_up_s

    @property
    def is_ready(self) -> bool:
        """Whether a configuration has been read or received."""
        return self.source is not ConfigSource.NONE

    def _next_offset(self) -> int:
        return self._catch_up.next_offset

    def start(self) -> None:
        """Start following the log."""
        self.follower.start()

    def stop(self) -> None:
        """Stop following the log."""
        self.follower.stop()

    def submit(self, change: Change) -> Deferred[Verdict]:
        """Append a change; the Deferred fires with the fold's verdict on it.

        A change may be resubmitted after an error, since its id makes it take effect only once.
        """
        known = self.fold.verdicts.get(change.change_id)
        done: Deferred[Verdict] = Deferred()
        if known is not None:
            done.callback(known)
            return done
        try:
            appended = self.appender.add(encode_record(change))
        except LogError as exc:
            return fail(exc)
        self._submitters.setdefault(change.change_id, []).append(done)
        appended.addErrback(lambda failure: None)
        return done

    def _on_batch(self, batch: LogBatch) -> None:
        self._apply_records(batch.records, ConfigSource.LOG)

    def apply_peer_records(self, previous: int, records: list[tuple[int, bytes]]) -> bool:
        """Apply records that a peer sent; return whether they continue the current revision."""
        if previous > self.revision:
            return False
        self._apply_records(records, ConfigSource.PEER)
        return True

    def apply_peer_snapshot(self, data: bytes) -> None:
        """Load a snapshot that a peer sent, if it is newer than the current revision."""
        try:
            record = decode_record(data)
        except (ValidationError, DecodeError) as exc:
            log.warning("malformed snapshot from a peer", extra={"error": str(exc)})
            return
        if not isinstance(record, Snapshot) or record.revision <= self.revision:
            return
        self._recent.clear()
        verdicts = self._catch_up.load(record)
        self._on_revision(verdicts, ConfigSource.PEER)

    def _apply_records(
        self, records: tuple[tuple[int, bytes], ...] | list, source: ConfigSource
    ) -> None:
        before = self.revision
        verdicts = self._catch_up.take(records)
        if self.revision == before:
            if source is ConfigSource.LOG and not self._catch_up.has_gap:
                self.source = source
            return
        if self._recent and self._recent[-1][0] != before:
            self._recent.clear()
        new_records = [rec for rec in records if before < rec[0] <= self.revision]
        if new_records and new_records[0][0] == before + 1:
            self._recent.extend(new_records)
        else:
            self._recent.clear()
        self._on_revision(verdicts, source)

    def _on_revision(self, verdicts: list[Verdict], source: ConfigSource) -> None:
        self.source = source
        for verdict in verdicts:
            self._log_verdict(verdict)
        for change_id in [cid for cid in self._submitters if cid in self.fold.verdicts]:
            self._notify_submitters(change_id, self.fold.verdicts[change_id])
        self._schedule_snapshot()
        self._on_change()

    def _log_verdict(self, verdict: Verdict) -> None:
        match verdict:
            case Accepted(change_id=change_id, revision=revision):
                log.info("change accepted", extra={"change": change_id, "revision": revision})
            case Rejected(change_id=change_id, revision=revision, findings=findings):
                log.warning(
                    "change rejected",
                    extra={
                        "change": change_id,
                        "revision": revision,
                        "findings": [str(finding) for finding in findings],
                    },
                )
            case Ignored(revision=revision, reason="snapshot"):
                self._last_snapshot = max(self._last_snapshot, revision)
            case Ignored():
                pass

    def _notify_submitters(self, change_id: str, verdict: Verdict) -> None:
        for done in self._submitters.pop(change_id, []):
            done.callback(verdict)

    def _schedule_snapshot(self) -> None:
        if self._snapshot_due or self.revision - self._last_snapshot < SNAPSHOT_INTERVAL_RECORDS:
            return
        self._snapshot_due = True
        self._clock.callLater(self._rng.random() * MAX_SNAPSHOT_DELAY_S, self._write_snapshot)

    def _write_snapshot(self) -> None:
        self._snapshot_due = False
        if self.revision - self._last_snapshot < SNAPSHOT_INTERVAL_RECORDS or self.appender.is_full:
            return
        self.appender.add(self.fold.encoded_snapshot()).addErrback(lambda failure: None)

    def updates_since(self, revision: int) -> Message | None:
        """Return a message that updates a peer to this router's revision, or None."""
        if revision >= self.revision:
            return None
        if self._recent and self._recent[0][0] <= revision + 1:
            records = [rec for rec in self._recent if rec[0] > revision]
            return ConfigRecords(revision, records)
        if self._encoded_snapshot[0] != self.revision:
            self._encoded_snapshot = (self.revision, self.fold.encoded_snapshot())
        return ConfigSnapshot(self._encoded_snapshot[1])
