"""Follows one stream of the log and hands its records on in order."""

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
    """How often a follower asks."""

    wait_s: float = 1.0
    """How long the service may hold a read that finds nothing new."""
    poll_interval_s: float = 0.05
    retry_s: float = 0.5
    max_batch: int = 500


class Follower:
    """Owns the read position of one stream.

    Parameters
    ----------
    port : LogPort
    stream : str
    clock : Clock
    start : callable
        Returns the offset to read from; asked before each read.
    deliver : callable
        Receives each batch that holds records.
    pace : FollowerSettings
    """

    def __init__(
        self,
        port: LogPort,
        stream: str,
        clock: Clock,
        start: Callable[[], int],
        deliver: Callable[[LogBatch], None],
        pace: FollowerSettings | None = None,
    ) -> None:
        self._port = port
        self._stream = stream
        self._clock = clock
        self._start = start
        self._deliver = deliver
        self._pace = pace or FollowerSettings()
        self._timer: Timer | None = None
        self._running = False
        self.last_read_s: float | None = None
        """When the service last answered."""
        self.caught_up_s: float | None = None
        """When everything up to the stream's end was last known to be delivered."""
        self.end_offset = 0
        """The stream's end as of the last answer."""
        self.failures = 0

    def start(self) -> None:
        """Begin to read."""
        self._running = True
        self._next(0.0)

    def stop(self) -> None:
        """Read no more."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @property
    def is_current(self) -> bool:
        """Whether everything that the last answer knew of has been delivered."""
        return (
            self.last_read_s is not None and self.failures == 0 and self._start() >= self.end_offset
        )

    def _next(self, delay_s: float) -> None:
        if self._running:
            self._timer = self._clock.callLater(delay_s, lambda: ensureDeferred(self._read()))

    async def _read(self) -> None:
        batch: LogBatch | None
        try:
            start = self._start()
            batch = await self._port.read(
                self._stream, start, self._pace.max_batch, self._pace.wait_s
            )
        except LogTrimmedError as exc:
            batch = await self._read_from(exc.first_offset)
        except LogError as exc:
            self._note_failure(exc)
            return
        if batch is None or not self._running:
            return
        self._accept(batch)

    async def _read_from(self, offset: int) -> LogBatch | None:
        try:
            return await self._port.read(self._stream, offset, self._pace.max_batch, 0.0)
        except LogError as exc:
            self._note_failure(exc)
            return None

    def _note_failure(self, exc: LogError) -> None:
        self.failures += 1
        if self.failures == 1:
            log.warning("read failed", extra={"stream": self._stream, "error": str(exc)})
        self._next(self._pace.retry_s)

    def _accept(self, batch: LogBatch) -> None:
        self.last_read_s = self._clock.seconds()
        self.failures = 0
        self.end_offset = batch.end
        if batch.records:
            self._deliver(batch)
        if self._start() >= batch.end:
            self.caught_up_s = self.last_read_s
        self._next(0.0 if batch.records else self._pace.poll_interval_s)
