"""An in-memory log service, and a port to it with faults, on any clock."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, succeed

from umberhitch.errors import LogAnswerLostError, LogTrimmedError, LogUnavailableError
from umberhitch.ports import Clock, LogBatch
from umberhitch.ports.clock import pause

__all__ = ["FakeLog", "LogFaults", "MemoryLog"]


@dataclass
class _Stream:
    first: int = 0
    records: list[bytes] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class MemoryLog:
    """Append-only streams with offsets and limited retention.

    Attributes
    ----------
    appends : int
        Append calls that took effect.
    """

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = {}
        self.appends = 0

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records and return the offset of the first."""
        target = self._stream(stream)
        first = target.end
        target.records.extend(records)
        self.appends += 1
        return first

    def read(self, stream: str, start: int, limit: int) -> LogBatch:
        """Return records from ``start``; raises `LogTrimmedError` if they are gone."""
        source = self._stream(stream)
        if start < source.first:
            raise LogTrimmedError(source.first)
        index = start - source.first
        chosen = source.records[index : index + limit]
        records = tuple((start + pos, data) for pos, data in enumerate(chosen))
        return LogBatch(source.first, source.end, records)

    def all_records(self, stream: str) -> list[tuple[int, bytes]]:
        """Return every record that is retained."""
        source = self._stream(stream)
        return [(source.first + pos, data) for pos, data in enumerate(source.records)]

    def trim(self, stream: str, keep: int) -> None:
        """Retain only the newest records."""
        target = self._stream(stream)
        drop = max(0, len(target.records) - keep)
        del target.records[:drop]
        target.first += drop


@dataclass
class LogFaults:
    """What is wrong with the log service at the moment.

    Attributes
    ----------
    is_down : bool
        Every call fails, and nothing is appended.
    lose_answers : int
        So many of the next appends take effect while their answers are lost.
    delay_s : float
        Added to every call.
    """

    is_down: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0


class FakeLog:
    """A `LogPort` to a `MemoryLog`.

    Parameters
    ----------
    memory : MemoryLog
    clock : Clock
    faults : LogFaults
        May be shared by several ports.

    Attributes
    ----------
    own_faults : LogFaults
        Of the way between this port and the service.
    """

    def __init__(self, memory: MemoryLog, clock: Clock, faults: LogFaults | None = None) -> None:
        self.memory = memory
        self.faults = faults or LogFaults()
        self.own_faults = LogFaults()
        self._clock = clock

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records, subject to the faults."""
        await self._reach()
        offset = self.memory.append(stream, records)
        for faults in (self.faults, self.own_faults):
            if faults.lose_answers > 0:
                faults.lose_answers -= 1
                raise LogAnswerLostError("answer lost")
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> LogBatch:
        """Return records; does not wait for new ones."""
        await self._reach()
        return self.memory.read(stream, start, limit)

    async def _reach(self) -> None:
        await self._pause(self.faults.delay_s + self.own_faults.delay_s)
        if self.faults.is_down or self.own_faults.is_down:
            raise LogUnavailableError("down")

    def _pause(self, delay_s: float) -> Deferred[None]:
        if delay_s <= 0:
            return succeed(None)
        return pause(self._clock, delay_s)
