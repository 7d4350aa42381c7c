"""The newest values of a stream and its changes since an offset, for requests of peers."""

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
    """Offset after the batch with the change."""
    key: str
    encoded: Any
    """The encoded change, None if it is too large."""
    is_after_outage: bool


class ChangeLog(Generic[Value]):
    """The newest value of each key, and the latest changes.

    Parameters
    ----------
    encoder : ChangeEncoder

    Attributes
    ----------
    newest : dict of str to Value
        The newest value of each key.
    start_offset : int
        Changes after this offset are kept; -1 before the first batch.
    """

    def __init__(self, encoder: ChangeEncoder[Value]) -> None:
        self.newest: dict[str, Value] = {}
        self.start_offset = -1
        self._encoder = encoder
        self._changes: deque[_Change] = deque()

    def reset(self, batch: FeedBatch[Value]) -> None:
        """Reset to a snapshot unless the changes can continue from it."""
        if self._encoder.encodes_every_change or self.start_offset < 0:
            self._clear_changes(batch.end)
            self.newest.clear()

    def append(
        self,
        batch: FeedBatch[Value],
        is_snapshot: bool,
        is_after_outage: bool,
        is_serving: bool,
        max_bytes: float,
    ) -> None:
        """Record the records of a batch that change a value; heartbeats do not.

        Parameters
        ----------
        batch : FeedBatch
        is_snapshot : bool
            Whether the batch has the newest record of every key; other keys were removed.
        is_after_outage : bool
            Whether the store was unavailable shortly before the batch.
        is_serving : bool
            Whether this router serves peers: changes that are expensive to encode are kept only
            then.
        max_bytes : float
            Maximum size of an encoded change.
        """
        records = batch.records
        if is_snapshot:
            removed = self.newest.keys() - {record.key for record in records}
            records += tuple(FeedRecord(key, None) for key in removed)
        is_kept = self.start_offset < batch.end and (
            self._encoder.encodes_every_change or is_serving
        )
        for record in records:
            known = self.newest.get(record.key)
            if known == record.value:
                continue
            if is_kept:
                encoded = self._encoder.encode(record.key, known, record.value, max_bytes)
                self._changes.append(_Change(batch.end, record.key, encoded, is_after_outage))
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
        """Whether all changes since an offset are known."""
        return 0 <= self.start_offset <= offset

    def has_changed_since(self, offset: int) -> bool:
        """Whether there are changes since a covered offset."""
        return bool(self._changes) and self._changes[-1].end > offset

    def add_changes_to_reply(self, reply: ViewReply, offset: int) -> ViewReply:
        """Return a reply with the changes since a covered offset."""
        changes = [change for change in self._changes if change.end > offset]
        if not changes:
            return reply
        reply = self._encoder.add_to_reply(
            reply, [(change.key, change.encoded) for change in changes]
        )
        return replace(reply, is_after_outage=any(change.is_after_outage for change in changes))
