"""The newest values of a stream and its changes since an offset, for requests of peers."""

from collections import OrderedDict, deque
from collections.abc import Set
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from msgspec.structs import replace

from umberhitch.core.direct import NO_POSITION, Position, epoch_of
from umberhitch.ports.direct import FeedBatch, FeedRecord
from umberhitch.tasks.direct.change_encoding import ChangeEncoder
from umberhitch.wire import ViewReply

__all__ = ["ChangeLog"]

Value = TypeVar("Value")

MAX_REMOVED = 4096
"""Number of deleted keys that are remembered: two days of endpoints that restart or are replaced.
The store returns from copies that are seconds old."""
MAX_EPOCHS = 8
"""Number of epochs that are remembered; peers fall behind by one or two."""


@dataclass(slots=True)
class _Change:
    end: Position
    """Position after the batch with the change."""
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
    removed : ordered dict
        Keys that were deleted, the latest last.
    start : Position
        Changes after this position are kept; `NO_POSITION` before the first batch.
    end : Position
        Position after the last batch.
    """

    def __init__(self, encoder: ChangeEncoder[Value]) -> None:
        self.newest: dict[str, Value] = {}
        self.removed: OrderedDict[str, None] = OrderedDict()
        self.start: Position = NO_POSITION
        self.end: Position = NO_POSITION
        self._encoder = encoder
        self._changes: deque[_Change] = deque()
        self._spans: OrderedDict[int, tuple[Position, Position]] = OrderedDict()
        """First and last position of each epoch that this router has been at."""

    def reset(self, batch: FeedBatch[Value]) -> None:
        """Reset to a snapshot unless the changes can continue from it.

        They can when the store has returned: what differs from before is a change like any other.
        """
        is_new_epoch = epoch_of(batch.end) > epoch_of(self.end)
        if self.start == NO_POSITION or (self._encoder.encodes_every_change and not is_new_epoch):
            self._clear_changes(batch.end)
            for key in self.newest.keys() - {record.key for record in batch.records}:
                self._update_value(FeedRecord(key, None))
            self.newest.clear()

    def append(
        self,
        batch: FeedBatch[Value],
        is_snapshot: bool,
        is_after_outage: bool,
        is_serving: bool,
        max_bytes: float,
        written_again: Set[str] = frozenset(),
    ) -> None:
        """Record the records of a batch that change a value; renewals do not.

        A value may be written again after the store has returned, and be known here though not at a
        peer that has started since.

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
        written_again : set of str
            Keys that are recorded though their value stays the same.
        """
        self._note_end(batch.end)
        records = batch.records
        if is_snapshot:
            present = {record.key for record in records}
            removed = (self.newest.keys() | written_again) - present
            records += tuple(FeedRecord(key, None) for key in removed)
        is_kept = self.start < batch.end and (self._encoder.encodes_every_change or is_serving)
        for record in records:
            known = self.newest.get(record.key)
            is_renewal = is_snapshot or self._encoder.has_renewals
            if known == record.value and is_renewal and record.key not in written_again:
                continue
            if is_kept:
                encoded = self._encoder.encode(record.key, known, record.value, max_bytes)
                self._changes.append(_Change(batch.end, record.key, encoded, is_after_outage))
            self._update_value(record)
        if not is_kept:
            self._clear_changes(batch.end)
        while len(self._changes) > self._encoder.max_changes:
            self.start = self._changes.popleft().end

    def _note_end(self, end: Position) -> None:
        """Advance to the end of a batch."""
        epoch = epoch_of(end)
        first, _ = self._spans.get(epoch, (end, end))
        self._spans[epoch] = first, end
        while len(self._spans) > MAX_EPOCHS:
            self._spans.popitem(last=False)
        self.end = end

    def _update_value(self, record: FeedRecord[Value]) -> None:
        self.removed.pop(record.key, None)
        if record.value is not None:
            self.newest[record.key] = record.value
            return
        self.newest.pop(record.key, None)
        self.removed[record.key] = None
        while len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    def _clear_changes(self, end: Position) -> None:
        self._changes.clear()
        self.start = end

    def covers(self, position: Position) -> bool:
        """Whether all changes since a position are known.

        Of each epoch, only those are between the first and the last position of this router. It
        does not know what was written before it first read the store's copy, and what was written
        after its last read and then lost.
        """
        if not NO_POSITION < self.start <= position:
            return False
        first, last = self._spans.get(epoch_of(position), (NO_POSITION, NO_POSITION))
        return first <= position and (position <= last or last == self.end)

    def has_changed_since(self, position: Position) -> bool:
        """Whether there are changes since a covered position."""
        return bool(self._changes) and self._changes[-1].end > position

    def add_changes_to_reply(self, reply: ViewReply, position: Position) -> ViewReply:
        """Return a reply with the changes since a covered position, which may be none."""
        changes = [change for change in self._changes if change.end > position]
        if not changes:
            return replace(reply, is_complete=True)
        reply = self._encoder.add_to_reply(
            reply, [(change.key, change.encoded) for change in changes]
        )
        return replace(reply, is_after_outage=any(change.is_after_outage for change in changes))
