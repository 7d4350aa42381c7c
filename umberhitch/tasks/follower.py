"""Reads one stream of the log continuously and delivers its records in order."""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from twisted.internet.defer import ensureDeferred

from umberhitch.errors import LogError, LogTrimmedError
from umberhitch.ports import Clock, LogBatch, LogPort, Timer

__all__ = ["Follower", "FollowerSettings"]

log = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Read intervals and batch size of a follower."""

    wait_s: float = 1.0
    """Seconds for which the service may hold a read that finds no new records (long poll)."""
    poll_interval_s: float = 0.05
    """Seconds between a read that found no new records and the next."""
    retry_s: float = 0.5
    """Seconds between a failed read and the next."""
    max_batch: int = 500
    """Records per read."""


class Follower:
    """Reads one stream from a given offset onwards.

    Parameters
    ----------
    port : LogPort
    stream : str
    clock : Clock
    next_offset : callable
        Returns the offset to read from; called before each read.
    deliver : callable
        Called with each batch that contains records.
    settings : FollowerSettings
    """

    def __init__(
        self,
        port: LogPort,
        stream: str,
        clock: Clock,
        next_offset: Callable[[], int],
        deliver: Callable[[LogBatch], None],
        settings: FollowerSettings | None = None,
    ) -> None:
        self._port = port
        self._stream = stream
        self._clock = clock
        self._next_offset = next_offset
        self._deliver = deliver
        self._settings = settings or FollowerSettings()
        self._timer: Timer | None = None
        self._running = False
        self.last_read_s: float | None = None
        """Time of the last reply of the service."""
        self.caught_up_s: float | None = None
        """Time at which every record of the stream was last known to be delivered."""
        self.end_offset = 0
        """Offset of the end of the stream, as of the last reply."""
        self.failures = 0
        """Number of consecutive failed reads."""

    def start(self) -> None:
        """Start reading."""
        self._running = True
        self._schedule_read(0.0)

    def stop(self) -> None:
        """Stop reading."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @property
    def is_current(self) -> bool:
        """Whether every record up to the end of the stream, as of the last reply, is delivered."""
        return (
            self.last_read_s is not None
            and self.failures == 0
            and self._next_offset() >= self.end_offset
        )

    def _schedule_read(self, delay_s: float) -> None:
        if self._running:
            self._timer = self._clock.callLater(delay_s, lambda: ensureDeferred(self._read()))

    async def _read(self) -> None:
        batch: LogBatch | None
        try:
            start = self._next_offset()
            batch = await self._port.read(
                self._stream, start, self._settings.max_batch, self._settings.wait_s
            )
        except LogTrimmedError as exc:
            batch = await self._read_from(exc.first_offset)
        except LogError as exc:
            self._note_failure(exc)
            return
        if batch is None or not self._running:
            return
        self._handle_batch(batch)

    async def _read_from(self, offset: int) -> LogBatch | None:
        try:
            return await self._port.read(self._stream, offset, self._settings.max_batch, 0.0)
        except LogError as exc:
            self._note_failure(exc)
            return None

    def _note_failure(self, exc: LogError) -> None:
        self.failures += 1
        if self.failures == 1:
            log.warning("read failed", extra={"stream": self._stream, "error": str(exc)})
        self._schedule_read(self._settings.retry_s)

    def _handle_batch(self, batch: LogBatch) -> None:
        self.last_read_s = self._clock.seconds()
        self.failures = 0
        self.end_offset = batch.end
        if batch.records:
            self._deliver(batch)
        if self._next_offset() >= batch.end:
            self.caught_up_s = self.last_read_s
        self._schedule_read(0.0 if batch.records else self._settings.poll_interval_s)
