"""What a router has taken of a stream, and what has changed since an offset, to be told."""

from collections import deque
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from msgspec.structs import replace

from umberhitch.ports.direct import FeedBatch, FeedRecord
from umberhitch.tasks.direct.telling import Teller
from umberhitch.wire import ViewReply

__all__ = ["ChangeLog"]

Value = TypeVar("Value")


@dataclass(slots=True)
class _Change:
    end: int
    """Offset after the batch that brought it."""
    key: str
    told: Any
    """What is told of it, None if it is too large."""
    was_away: bool


class ChangeLog(Generic[Value]):
    """The newest value of each key, and the latest changes.

    Parameters
    ----------
    teller : Teller

    Attributes
    ----------
    newest : dict of str to Value
    floor : int
        Changes after this offset are known; -1 before anything is.
    """

    def __init__(self, teller: Teller[Value]) -> None:
        self.newest: dict[str, Value] = {}
        self.floor = -1
        self._teller = teller
        self._changes: deque[_Change] = deque()

    def begin(self, batch: FeedBatch[Value]) -> None:
        """Begin anew from a batch with the newest of every key, where changes cannot go on."""
        if self._teller.tells_all or self.floor < 0:
            self._forget(batch.end)
            self.newest.clear()

    def note(
        self,
        batch: FeedBatch[Value],
        is_whole: bool,
        was_away: bool,
        is_asked: bool,
        most_bytes: float,
    ) -> None:
        """Remember the records of a batch that change anything; heartbeats do not.

        Parameters
        ----------
        batch : FeedBatch
        is_whole : bool
            Whether it has the newest of every key: what is not in it is gone.
        was_away : bool
            Whether the store had been away.
        is_asked : bool
            Whether any router asks: changes that cost work to be told are kept only then.
        most_bytes : float
            What is larger is not told.
        """
        records = batch.records
        if is_whole:
            gone = self.newest.keys() - {record.key for record in records}
            records += tuple(FeedRecord(key, None) for key in gone)
        is_kept = self.floor < batch.end and (self._teller.tells_all or is_asked)
        for record in records:
            known = self.newest.get(record.key)
            if known == record.value:
                continue
            if is_kept:
                told = self._teller.tell(record.key, known, record.value, most_bytes)
                self._changes.append(_Change(batch.end, record.key, told, was_away))
            self._set(record)
        if not is_kept:
            self._forget(batch.end)
        while len(self._changes) > self._teller.kept_changes:
            self.floor = self._changes.popleft().end

    def _set(self, record: FeedRecord[Value]) -> None:
        if record.value is None:
            del self.newest[record.key]
        else:
            self.newest[record.key] = record.value

    def _forget(self, end: int) -> None:
        self._changes.clear()
        self.floor = end

    def covers(self, offset: int) -> bool:
        """Whether all that has changed since an offset is known."""
        return 0 <= self.floor <= offset

    def has_changed(self, offset: int) -> bool:
        """Whether anything has, since an offset that is covered."""
        return bool(self._changes) and self._changes[-1].end > offset

    def add_to(self, reply: ViewReply, offset: int) -> ViewReply:
        """Return a reply that tells what has changed since an offset that is covered."""
        news = [each for each in self._changes if each.end > offset]
        if not news:
            return reply
        reply = self._teller.add(reply, [(each.key, each.told) for each in news])
        return replace(reply, is_after_outage=any(each.was_away for each in news))
