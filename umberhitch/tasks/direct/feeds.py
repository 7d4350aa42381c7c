"""Follows the keyed streams of the platform's store: configuration, roll-outs, endpoints.

Each feed is a loop of one call at a time. Its proof of freshness is the time at which the last
answered call was sent: what was not there then was acknowledged later. Where the call was held for
the whole wait and there was nothing, it is the end of that wait (`tasks/direct/sharing`).
"""

from collections.abc import Callable
from logging import getLogger
from random import Random
from typing import Any, Generic, TypeVar

from twisted.internet.defer import ensureDeferred

from umberhitch.errors import LogBrokenOffError, LogError, LogReplacedError, LogTrimmedError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import FeedBatch, FeedPort

__all__ = ["Feed", "FeedTiming"]

log = getLogger(__name__)

Value = TypeVar("Value")

FRESHNESS_MARGIN_S = 1.0
"""A view that is so much older than a call may be held is not fresh: the process stood still."""
FROZEN_MARGIN_S = 0.3
"""A call that took so much longer than it may was not late: the process stood still meanwhile."""
RESTART_S = 1.0
"""Pause before a feed that ended by an error begins anew: the error does not fill the log."""


class FeedTiming:
    """Times of a feed, in seconds.

    Parameters
    ----------
    wait_s : float
        How long the store holds a call while there is nothing new.
    pause_s : float
        Pause between two calls; a stream in which something always comes is read no more often.
    retry_s : float
        Pause after a call that failed.
    patience_s : tuple of float
        A call has failed whose answer begins so much later than the wait is over: the first after
        an answer, and then by turns. Most are short, so that a store that is back is found soon;
        one is long, so that a slow one is found at all. How long an answer takes to come whole is
        not limited here: that goes by its size and by the link.
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
    """One keyed stream.

    Parameters
    ----------
    name : str
        For logs.
    port : FeedPort
    clock : Clock
    rng : Random
    pace : FeedTiming
    on_all : callable
        Takes the newest record of every key; what is not in it is gone.
    on_records : callable
        Takes further records, and whether the store has been away lately.

    Attributes
    ----------
    proved_s : float or None
        What was acknowledged before then has been taken.
    offset : int
        Offset up to which records have been taken.
    behind_since_s : float or None
        Since when it is known that there is something newer than what has been taken.
    on_taken : callable
        Called after each batch with it, whether it was that of all keys, and whether the store had
        been away.
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
        self.offset = -1
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
    """So long after the store came back, entries that lapsed meanwhile may still return."""

    def start(self) -> None:
        """Begin to follow."""
        ensureDeferred(self._run()).addErrback(self._report)

    def stop(self) -> None:
        """Follow no more."""
        self._is_stopped = True

    def mark_behind(self) -> None:
        """Take note that there is something newer than what has been taken."""
        if self.behind_since_s is None:
            self.behind_since_s = self._clock.seconds()

    def _report(self, failure: Any) -> None:
        """Begin anew: a router whose feed has ended would serve by an old state for ever."""
        log.error("feed ended", extra={"feed": self.name, "error": failure.getTraceback()})
        if not self._is_stopped:
            self._clock.callLater(RESTART_S, self.start)

    async def _run(self) -> None:
        is_whole = False
        failures = 0
        while not self._is_stopped:
            called_s = self._clock.seconds()
            patience_s = self._timing.timeouts_s[failures % len(self._timing.timeouts_s)]
            try:
                if is_whole:
                    # With a fresh view let the store hold the call, else know at once what stands.
                    wait_s = self._timing.wait_s if self._is_fresh() else 0.0
                    batch = await self._port.since(self.offset, wait_s, patience_s)
                else:
                    batch = await self._port.newest(patience_s)
            except LogTrimmedError as exc:
                log.info("history gone", extra={"feed": self.name, "first": exc.first_offset})
                is_whole = False
                continue
            except LogReplacedError:
                is_whole = False
                continue
            except LogError as exc:
                is_broken_off = isinstance(exc, LogBrokenOffError)  # a long read, then
                if not is_broken_off and self._was_frozen(called_s, patience_s):
                    continue
                failures += 1
                self._note_failure(exc)
                await pause(self._clock, self._timing.retry_s * (0.5 + self._rng.random()))
                continue
            failures = 0
            self._note_recovery()
            self._apply(batch, is_whole, called_s)
            is_whole = True
            if self._is_fresh():
                pause_s = (
                    self._timing.pause_s
                    if batch.next_call_delay_s is None
                    else batch.next_call_delay_s
                )
                await pause(self._clock, pause_s)

    def _apply(self, batch: FeedBatch[Value], is_further: bool, called_s: float) -> None:
        if self._is_stopped:
            return
        was_away = batch.is_after_outage or self._has_recovered_lately()
        if is_further:
            self._on_changes(batch, was_away)
        else:
            self._on_snapshot(batch)
        self.offset = batch.end
        self.behind_since_s = None
        proved_s = called_s if batch.as_of_s is None else batch.as_of_s
        self.proved_s = proved_s if self.proved_s is None else max(self.proved_s, proved_s)
        self.on_applied(batch, not is_further, was_away)

    def _was_frozen(self, called_s: float, patience_s: float) -> bool:
        longest_s = self._timing.wait_s + patience_s + FROZEN_MARGIN_S
        return self._clock.seconds() - called_s > longest_s

    def _is_fresh(self) -> bool:
        if self._failed_since_s is not None or self.proved_s is None:
            return False
        return self._clock.seconds() - self.proved_s <= self._timing.wait_s + FRESHNESS_MARGIN_S

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failed_since_s is not None

    def _has_recovered_lately(self) -> bool:
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


def _ignore_batch(batch: FeedBatch[Any], is_whole: bool, was_away: bool) -> None:
    """Do nothing: no one follows."""
