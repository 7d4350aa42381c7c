"""What a router has taken of a stream, and what has changed since an offset, to be told."""

from collections import deque
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from msgspec.structs import replace

from umberhitch.ports.direct import FeedBatch, FeedRecord
from umberhitch.tasks.direct.change_encoding import ChangeEncoder
from umberhitch.wire import ViewReply

__all__ = ["ChangeLog"]

Value = TypeVar("Value")


@dataclass(slots=True)
class _Change:
    end: int
    """Offset after the batch that brought it."""
    key: str
    encoded: Any
    """What is told of it, None if it is too large."""
    was_away: bool


class ChangeLog(Generic[Value]):
    """The newest value of each key, and the latest changes.

    Parameters
    ----------
    teller : ChangeEncoder

    Attributes
    ----------
    newest : dict of str to Value
    floor : int
        Changes after this offset are known; -1 before anything is.
    """

    def __init__(self, encoder: ChangeEncoder[Value]) -> None:
        self.newest: dict[str, Value] = {}
        self.start_offset = -1
        self._encoder = encoder
        self._changes: deque[_Change] = deque()

    def reset(self, batch: FeedBatch[Value]) -> None:
        """Begin anew from a batch with the newest of every key, where changes cannot go on."""
        if self._encoder.encodes_every_change or self.start_offset < 0:
            self._clear_changes(batch.end)
            self.newest.clear()

    def append(
        self,
        batch: FeedBatch[Value],
        is_snapshot: bool,
        was_away: bool,
        is_serving: bool,
        max_bytes: float,
    ) -> None:
        """Remember the records of a batch that change anything; heartbeats do not.

        Parameters
        ----------
        batch : FeedBatch
        is_snapshot : bool
            Whether it has the newest of every key: what is not in it is gone.
        was_away : bool
            Whether the store had been away.
        is_serving : bool
            Whether any router asks: changes that cost work to be told are kept only then.
        max_bytes : float
            What is larger is not told.
        """
        records = batch.records
        if is_snapshot:
            gone = self.newest.keys() - {record.key for record in records}
            records += tuple(FeedRecord(key, None) for key in gone)
        is_kept = self.start_offset < batch.end and (
            self._encoder.encodes_every_change or is_serving
        )
        for record in records:
            known = self.newest.get(record.key)
            if known == record.value:
                continue
            if is_kept:
                told = self._encoder.encode(record.key, known, record.value, max_bytes)
                self._changes.append(_Change(batch.end, record.key, told, was_away))
            self._update_value(record)
        if not is_kept:
            self._clear_changes(batch.end)
        while len(self._changes) > self._encoder.max_changes:
            self.start_offset = self._changes.popleft().end

    def _update_value(self, record: FeedRecord[Value]) -> None:
        if record.value is None:
            del self.newest[record.key]
        else:
            self.newest[record.key] = record.value

    def _clear_changes(self, end: int) -> None:
        self._changes.clear()
        self.start_offset = end

    def covers(self, offset: int) -> bool:
        """Whether all that has changed since an offset is known."""
        return 0 <= self.start_offset <= offset

    def has_changed_since(self, offset: int) -> bool:
        """Whether anything has, since an offset that is covered."""
        return bool(self._changes) and self._changes[-1].end > offset

    def add_changes_to_reply(self, reply: ViewReply, offset: int) -> ViewReply:
        """Return a reply that tells what has changed since an offset that is covered."""
        news = [each for each in self._changes if each.end > offset]
        if not news:
            return reply
        reply = self._encoder.add_to_reply(reply, [(each.key, each.encoded) for each in news])
        return replace(reply, is_after_outage=any(each.was_away for each in news))
