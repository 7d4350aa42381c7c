"""Follows the keyed streams of the platform's store: configuration, roll-outs, endpoints.

Each feed is a loop with one call at a time. The time at which the last answered call was sent is
the proof of freshness: all records acknowledged before that time have been read. If the store held
the call for the whole wait and there was no record, the proof is the end of that wait; see
`tasks/direct/read_sharing`. All this holds within one epoch of the store: once a later one is
known, the feed is behind until it has read what the store has now.
"""

from collections.abc import Callable
from logging import getLogger
from random import Random
from typing import Any, Generic, TypeVar

from twisted.internet.defer import ensureDeferred

from umberhitch.core.direct import NO_POSITION, Position, epoch_of, offset_of
from umberhitch.errors import (
    LogBrokenOffError,
    LogError,
    LogReplacedError,
    LogRestoredError,
    LogTrimmedError,
)
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import FeedBatch, FeedPort

__all__ = ["Feed", "FeedTiming"]

log = getLogger(__name__)

Value = TypeVar("Value")

FRESHNESS_MARGIN_S = 1.0
"""A view whose age exceeds the maximum hold time by more than this is not fresh: the process was
frozen."""
FROZEN_MARGIN_S = 0.3
"""A call that exceeds its time limit by more than this was not late: the process was frozen."""
RESTART_S = 1.0
"""Pause before a feed that failed with an exception restarts, so that the error does not flood the
log."""


class FeedTiming:
    """Times of a feed, in seconds.

    Parameters
    ----------
    wait_s : float
        How long the store holds a call while there are no new records.
    pause_s : float
        Pause between two calls; it also limits how often a stream with constant changes is read.
    retry_s : float
        Pause after a failed call.
    timeouts_s : tuple of float
        Time allowed for the start of the answer after the wait: the first value after a successful
        call, then the values in turn. Most are short, so that a store that has recovered is found
        soon; one is long, so that a slow store is found at all. The time for the whole answer is
        not limited here, as it depends on the size and on the link.
    """

    def __init__(
        self,
        wait_s: float,
        pause_s: float,
        retry_s: float = 0.15,
        timeouts_s: tuple[float, ...] = (1.0, 0.35, 0.35),
    ) -> None:
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.retry_s = retry_s
        self.timeouts_s = timeouts_s


class Feed(Generic[Value]):
    """Follows one keyed stream.

    Parameters
    ----------
    name : str
        Name in log lines.
    port : FeedPort
    clock : Clock
    rng : Random
    timing : FeedTiming
    on_snapshot : callable
        Called with the newest record of every key; keys that are not in it were removed.
    on_changes : callable
        Called with further records, and with whether the store was unavailable recently.

    Attributes
    ----------
    proved_s : float or None
        All records acknowledged before this time have been applied.
    position : Position
        Position up to which records have been applied.
    source : str
        Who provided the last batch: the name of a peer, or ``STORE``.
    behind_since_s : float or None
        Time since which newer records are known to exist that have not been applied.
    on_applied : callable
        Called after each batch with the batch, whether it is a snapshot of all keys, and whether
        the store was unavailable recently.
    """

    def __init__(
        self,
        name: str,
        port: FeedPort[Value],
        clock: Clock,
        rng: Random,
        timing: FeedTiming,
        on_snapshot: Callable[[FeedBatch[Value]], None],
        on_changes: Callable[[FeedBatch[Value], bool], None],
    ) -> None:
        self.name = name
        self.proved_s: float | None = None
        self.behind_since_s: float | None = None
        self.position: Position = NO_POSITION
        self.source = ""
        self._port = port
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self.on_applied: Callable[[FeedBatch[Value], bool, bool], None] = _ignore_batch
        self._is_stopped = False
        self._failed_since_s: float | None = None
        self._recovered_s = float("-inf")

    LAPSE_GRACE_S = 3.0
    """Time after a recovery of the store in which entries that lapsed may still return."""

    def start(self) -> None:
        """Start to follow the stream."""
        ensureDeferred(self._run()).addErrback(self._report)

    def stop(self) -> None:
        """Stop following the stream."""
        self._is_stopped = True

    def mark_behind(self) -> None:
        """Record that there are newer records than those that have been applied."""
        if self.behind_since_s is None:
            self.behind_since_s = self._clock.seconds()

    def _report(self, failure: Any) -> None:
        """Log the failure and restart the feed.

        Without the restart, the router would serve from an old state indefinitely.
        """
        log.error("feed failed", extra={"feed": self.name, "error": failure.getTraceback()})
        if not self._is_stopped:
            self._clock.callLater(RESTART_S, self.start)

    async def _run(self) -> None:
        is_loaded = False
        failures = 0
        while not self._is_stopped:
            called_s = self._clock.seconds()
            timeout_s = self._timing.timeouts_s[failures % len(self._timing.timeouts_s)]
            try:
                if is_loaded:
                    # The store may hold the call if the view is fresh; else the state is urgent.
                    wait_s = self._timing.wait_s if self._is_fresh() else 0.0
                    batch = await self._port.since(self.position, wait_s, timeout_s)
                else:
                    batch = await self._port.newest(timeout_s)
            except LogTrimmedError as exc:
                facts = {"feed": self.name, "first": exc.first_offset}
                log.info("history gone", extra={**facts, "asked": offset_of(self.position)})
                is_loaded = False
                continue
            except (LogReplacedError, LogRestoredError):
                is_loaded = False
                continue
            except LogError as exc:
                is_broken_off = isinstance(exc, LogBrokenOffError)  # after a long read
                if not is_broken_off and self._was_frozen(called_s, timeout_s):
                    continue
                failures += 1
                self._note_failure(exc)
                await pause(self._clock, self._timing.retry_s * (0.5 + self._rng.random()))
                continue
            failures = 0
            self._note_recovery()
            self._apply(batch, is_loaded, called_s)
            is_loaded = True
            if self._is_fresh():
                pause_s = (
                    self._timing.pause_s
                    if batch.next_call_delay_s is None
                    else batch.next_call_delay_s
                )
                await pause(self._clock, pause_s)

    def _apply(self, batch: FeedBatch[Value], is_change: bool, called_s: float) -> None:
        if self._is_stopped:
            return
        if self.is_new_epoch(batch):
            self._recovered_s = self._clock.seconds()
        is_after_outage = batch.is_after_outage or self._has_recovered_recently()
        if is_change:
            self._on_changes(batch, is_after_outage)
        else:
            self._on_snapshot(batch)
        self._note_position(batch)
        self.behind_since_s = None
        proved_s = called_s if batch.as_of_s is None else batch.as_of_s
        self.proved_s = proved_s if self.proved_s is None else max(self.proved_s, proved_s)
        self.on_applied(batch, not is_change, is_after_outage)

    def _note_position(self, batch: FeedBatch[Value]) -> None:
        """Advance to the end of a batch; log it if the source or the epoch has changed."""
        if batch.source != self.source or self.is_new_epoch(batch):
            facts = {"feed": self.name, "source": batch.source, "offset": offset_of(batch.end)}
            facts |= {"epoch": epoch_of(batch.end), "before": offset_of(self.position)}
            log.info("view read", extra=facts)
        self.position, self.source = batch.end, batch.source

    def is_new_epoch(self, batch: FeedBatch[Value]) -> bool:
        """Whether a batch is the first one since the store returned from another copy."""
        return self.position != NO_POSITION and epoch_of(batch.end) != epoch_of(self.position)

    def _was_frozen(self, called_s: float, timeout_s: float) -> bool:
        max_duration_s = self._timing.wait_s + timeout_s + FROZEN_MARGIN_S
        return self._clock.seconds() - called_s > max_duration_s

    def _is_fresh(self) -> bool:
        if self._failed_since_s is not None or self.proved_s is None:
            return False
        if self.behind_since_s is not None:
            return False
        return self._clock.seconds() - self.proved_s <= self._timing.wait_s + FRESHNESS_MARGIN_S

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failed_since_s is not None

    def _has_recovered_recently(self) -> bool:
        return self._clock.seconds() - self._recovered_s < self.LAPSE_GRACE_S

    def _note_failure(self, exc: LogError) -> None:
        if self._failed_since_s is None:
            self._failed_since_s = self._clock.seconds()
            log.warning("store lost", extra={"feed": self.name, "error": str(exc)})

    def _note_recovery(self) -> None:
        if self._failed_since_s is not None:
            self._recovered_s = self._clock.seconds()
            away_s = self._recovered_s - self._failed_since_s
            self._failed_since_s = None
            log.info("store regained", extra={"feed": self.name, "away_s": round(away_s, 3)})


def _ignore_batch(batch: FeedBatch[Any], is_snapshot: bool, is_after_outage: bool) -> None:
    """Do nothing, as no callback is set."""
