"""Group commit: appends small records to the log in batches, one batch at a time.

A record is kept until it is in the log: a batch whose acknowledgement was lost is resent. The log
may thus contain a record twice; readers recognise duplicates by the records' own identifiers.
"""

from collections import deque
from dataclasses import dataclass, field
from logging import getLogger
from random import Random

from twisted.internet.defer import Deferred, ensureDeferred

from umberhitch.errors import AppenderFullError, LogError
from umberhitch.ports import Clock, LogPort, Timer

__all__ = ["Appender", "AppenderLimits"]

log = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AppenderLimits:
    """Limits on the batches, the queue and the retries of an appender."""

    interval_s: float = 0.02
    """Seconds that the first record of a batch waits for further records."""
    max_batch: int = 500
    """Records per append."""
    max_pending: int = 20_000
    """Records queued while the log is unavailable; further records are refused."""
    base_retry_s: float = 0.1
    max_retry_s: float = 5.0
    """Limit of the delay before a retry, which doubles from `base_retry_s` at each failure."""


@dataclass(slots=True)
class _Entry:
    data: bytes
    done: Deferred[int] = field(default_factory=Deferred)


class Appender:
    """Queues the records of one stream until they are known to be in the log.

    Parameters
    ----------
    port : LogPort
    stream : str
    clock : Clock
    rng : Random
        Adds jitter to the retries, so that many routers do not retry at the same time.
    limits : AppenderLimits
    """

    def __init__(
        self,
        port: LogPort,
        stream: str,
        clock: Clock,
        rng: Random,
        limits: AppenderLimits | None = None,
    ) -> None:
        self._port = port
        self._stream = stream
        self._clock = clock
        self._rng = rng
        self._limits = limits or AppenderLimits()
        self.interval_s = self._limits.interval_s
        """Seconds that the first record of a batch waits; grows with the number of routers."""
        self._queued: deque[_Entry] = deque()
        self._sending: list[_Entry] = []
        self._timer: Timer | None = None
        self._retry_s = self._limits.base_retry_s
        self.failures = 0
        """Number of consecutive failed appends."""
        self.appends = 0
        """Number of successful appends."""

    @property
    def pending(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._queued) + len(self._sending)

    @property
    def is_full(self) -> bool:
        """Whether the queue is full, so that `add` refuses further records."""
        return self.pending >= self._limits.max_pending

    def limit_append_rate(self, routers: int, appends_per_s: float) -> None:
        """Lengthen the interval so that all routers together stay within a rate of appends."""
        self.interval_s = max(self._limits.interval_s, routers / appends_per_s)

    def add(self, data: bytes) -> Deferred[int]:
        """Queue a record; the Deferred fires with its offset once the record is in the log.

        Raises
        ------
        AppenderFullError
            If the queue is full. The record was not queued.
        """
        if self.is_full:
            raise AppenderFullError(f"{self.pending} records wait for stream {self._stream}")
        entry = _Entry(data)
        self._queued.append(entry)
        self._schedule(self.interval_s)
        return entry.done

    def _schedule(self, delay_s: float) -> None:
        if self._timer is None and not self._sending:
            self._timer = self._clock.callLater(delay_s, self._flush)

    def _flush(self) -> None:
        self._timer = None
        while self._queued and len(self._sending) < self._limits.max_batch:
            self._sending.append(self._queued.popleft())
        if self._sending:
            ensureDeferred(self._append())

    async def _append(self) -> None:
        try:
            first = await self._port.append(self._stream, [entry.data for entry in self._sending])
        except LogError as exc:
            self._back_off(exc)
            return
        self.appends += 1
        self.failures = 0
        self._retry_s = self._limits.base_retry_s
        written, self._sending = self._sending, []
        if self._queued:
            self._schedule(0.0 if len(self._queued) >= self._limits.max_batch else self.interval_s)
        for index, entry in enumerate(written):
            entry.done.callback(first + index)

    def _back_off(self, exc: LogError) -> None:
        self.failures += 1
        if self.failures == 1:
            log.warning("append failed", extra={"stream": self._stream, "error": str(exc)})
        delay_s = self._retry_s * (0.5 + self._rng.random())
        self._retry_s = min(self._retry_s * 2, self._limits.max_retry_s)
        self._timer = self._clock.callLater(delay_s, self._flush)
