"""Applying records to a fold when some are missing."""

from collections.abc import Iterable

from msgspec import DecodeError, ValidationError

from umberhitch.config._change import Snapshot, decode_record
from umberhitch.config._fold import Fold, Verdict

__all__ = ["CatchUp"]

MAX_HELD_RECORDS = 100_000


class CatchUp:
    """Feeds a fold from the log, also when the log no longer has the records it needs next.

    Records beyond a gap are held until a snapshot closes the gap; a snapshot stands in the log
    behind the revision that it covers, so the records between the two are applied after it.

    Parameters
    ----------
    fold : Fold
    """

    def __init__(self, fold: Fold) -> None:
        self.fold = fold
        self._held: dict[int, bytes] = {}

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return max(self._held, default=self.fold.revision) + 1

    @property
    def has_gap(self) -> bool:
        """Whether records are held that cannot be applied yet."""
        return bool(self._held)

    def take(self, records: Iterable[tuple[int, bytes]]) -> list[Verdict]:
        """Apply what can be applied and return the verdicts, in order."""
        verdicts: list[Verdict] = []
        for offset, data in sorted(records):
            if offset <= self.fold.revision:
                continue
            if offset == self.fold.revision + 1 and not self._held:
                verdicts.append(self.fold.apply(offset, data))
                continue
            self._hold(offset, data)
            if self._closes_gap(data):
                verdicts.extend(self._drain())
        verdicts.extend(self._drain())
        return verdicts

    def load(self, snapshot: Snapshot) -> list[Verdict]:
        """Load a snapshot that came from a peer, then apply what it makes applicable."""
        self.fold.load(snapshot)
        return self._drain()

    def _hold(self, offset: int, data: bytes) -> None:
        self._held[offset] = data
        while len(self._held) > MAX_HELD_RECORDS:
            del self._held[min(self._held)]

    def _closes_gap(self, data: bytes) -> bool:
        if not data.startswith(b'{"type":"snapshot"'):
            return False
        try:
            record = decode_record(data)
        except (ValidationError, DecodeError):
            return False
        if not isinstance(record, Snapshot) or record.revision + 1 < min(self._held):
            return False
        self.fold.load(record)
        return True

    def _drain(self) -> list[Verdict]:
        verdicts = []
        for offset in sorted(self._held):
            if offset <= self.fold.revision:
                del self._held[offset]
            elif offset == self.fold.revision + 1:
                verdicts.append(self.fold.apply(offset, self._held.pop(offset)))
            else:
                break
        return verdicts
