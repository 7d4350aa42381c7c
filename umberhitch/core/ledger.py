"""The agent's ledger of attempts, which makes starts idempotent and refusals final.

The ledger is bounded. An entry is evicted only when it is terminal; its sequence number then raises
the floor of the router incarnation that issued it. An attempt at or below the floor that is not in
the ledger is never run, since it may have run before.
"""

from collections import OrderedDict
from dataclasses import dataclass

from umberhitch.core.attempt import (
    AttemptEntry,
    AttemptLifecycle,
    AttemptResult,
    make_attempt_lifecycle,
)
from umberhitch.core.outcome import Reason
from umberhitch.wire import AttemptId, Failed, Finished, Refused, Start

__all__ = [
    "AdmitResult",
    "BelowFloor",
    "Existing",
    "Inserted",
    "Ledger",
    "LedgerFull",
    "LedgerLimits",
]


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of a ledger.

    Attributes
    ----------
    max_entries : int
        Maximum number of attempts; if none of them has ended, new ones are refused.
    max_buffered_chars : int
        Maximum number of characters of finished answers that are kept for retransmission; the
        oldest finished answers are dropped first.
    max_routers : int
        Maximum number of routers whose floors are stored.
    """

    max_entries: int = 4096
    max_buffered_chars: int = 2_000_000
    max_routers: int = 4096


@dataclass(frozen=True, slots=True)
class Inserted:
    """The attempt was unknown and has been inserted."""

    entry: AttemptEntry


@dataclass(frozen=True, slots=True)
class Existing:
    """The attempt was already in the ledger."""

    entry: AttemptEntry


@dataclass(frozen=True, slots=True)
class BelowFloor:
    """The attempt may have run and been evicted; it must neither run nor be reported as not run."""


@dataclass(frozen=True, slots=True)
class LedgerFull:
    """No entry of the ledger has ended; the attempt is not inserted."""


AdmitResult = Inserted | Existing | BelowFloor | LedgerFull


@dataclass(slots=True)
class _Floor:
    incarnation: int
    seq: int


class Ledger:
    """Attempts of one agent incarnation, by identifier.

    Parameters
    ----------
    limits : LedgerLimits
    """

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self._limits = limits or LedgerLimits()
        self._entries: OrderedDict[AttemptId, AttemptEntry] = OrderedDict()
        self._lifecycles: dict[AttemptId, AttemptLifecycle] = {}
        self._floors: OrderedDict[str, _Floor] = OrderedDict()
        self._ended: OrderedDict[AttemptId, AttemptEntry] = OrderedDict()
        self._buffered = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def live_count(self) -> int:
        """Number of attempts that have not ended."""
        return len(self._entries) - len(self._ended)

    @property
    def buffered_chars(self) -> int:
        """Number of characters of finished answers that are kept."""
        return self._buffered

    def get(self, attempt: AttemptId) -> AttemptEntry | None:
        """Return the entry of an attempt, or None if it is not in the ledger."""
        return self._entries.get(attempt)

    def admit(self, start: Start, deadline_s: float) -> AdmitResult:
        """Insert an attempt, unless it is or may have been in the ledger."""
        entry = self._entries.get(start.attempt)
        if entry is not None:
            return Existing(entry)
        if self._is_below_floor(start.attempt):
            return BelowFloor()
        if not self._make_room():
            return LedgerFull()
        return Inserted(self._insert(AttemptEntry(start.attempt, start, deadline_s)))

    def tombstone(self, attempt: AttemptId) -> AdmitResult:
        """Refuse an attempt for good if it has not arrived; otherwise return its known state."""
        entry = self._entries.get(attempt)
        if entry is not None:
            return Existing(entry)
        if self._is_below_floor(attempt):
            return BelowFloor()
        if not self._make_room():
            return LedgerFull()
        entry = self._insert(AttemptEntry(attempt, None))
        self.record_result(entry, Refused(attempt, Reason.CANCELLED))
        return Inserted(entry)

    def _insert(self, entry: AttemptEntry) -> AttemptEntry:
        self._entries[entry.attempt] = entry
        self._lifecycles[entry.attempt] = make_attempt_lifecycle(entry)
        return entry

    def record_start(self, entry: AttemptEntry) -> None:
        """Record that the call is about to be passed to the back end."""
        self._lifecycles[entry.attempt].start()

    def record_result(self, entry: AttemptEntry, result: AttemptResult) -> None:
        """Record the terminal message of an attempt.

        Raises
        ------
        automat.NoTransition
            If the attempt cannot end in this way from its present state.
        """
        lifecycle = self._lifecycles[entry.attempt]
        match result:
            case Refused():
                lifecycle.refuse(result)
            case Finished():
                lifecycle.complete(result)
            case Failed():
                lifecycle.fail(result)
        del self._lifecycles[entry.attempt]
        self._ended[entry.attempt] = entry
        self._buffered += entry.length
        self._drop_excess_text()

    def _drop_excess_text(self) -> None:
        if self._buffered <= self._limits.max_buffered_chars:
            return
        for entry in self._ended.values():
            if self._buffered <= self._limits.max_buffered_chars:
                return
            if entry.parts:
                self._buffered -= entry.length
                entry.parts = []
                entry.text_dropped = True

    def _make_room(self) -> bool:
        while len(self._entries) >= self._limits.max_entries:
            if not self._ended:
                return False
            attempt, entry = self._ended.popitem(last=False)
            del self._entries[attempt]
            if not entry.text_dropped:
                self._buffered -= entry.length
            self._raise_floor(attempt)
        return True

    def _raise_floor(self, attempt: AttemptId) -> None:
        floor = self._floors.get(attempt.router)
        if floor is None or attempt.incarnation > floor.incarnation:
            self._floors[attempt.router] = _Floor(attempt.incarnation, attempt.seq)
        elif attempt.incarnation == floor.incarnation:
            floor.seq = max(floor.seq, attempt.seq)
        self._floors.move_to_end(attempt.router)
        while len(self._floors) > self._limits.max_routers:
            self._floors.popitem(last=False)

    def _is_below_floor(self, attempt: AttemptId) -> bool:
        floor = self._floors.get(attempt.router)
        if floor is None:
            return False
        return (attempt.incarnation, attempt.seq) <= (floor.incarnation, floor.seq)
