"""The agent's ledger of attempts: what makes a start idempotent and a refusal final.

The ledger is bounded. An entry leaves it only when it is terminal, and its number then raises the
floor of the router incarnation that issued it: an attempt at or below the floor that is not in the
ledger is never run, since it may have run before.
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
    """Bounds of a ledger.

    Attributes
    ----------
    entries : int
        Attempts held; when all of them are running, new ones are refused.
    buffered_chars : int
        Characters of answers held for a repeat; the oldest ended answers go first.
    routers : int
        Routers whose floors are remembered.
    """

    max_entries: int = 4096
    max_buffered_chars: int = 2_000_000
    max_routers: int = 4096


@dataclass(frozen=True, slots=True)
class Inserted:
    """The attempt was not known and is now in the ledger, queued."""

    entry: AttemptEntry


@dataclass(frozen=True, slots=True)
class Existing:
    """The attempt is in the ledger already."""

    entry: AttemptEntry


@dataclass(frozen=True, slots=True)
class BelowFloor:
    """The attempt may have run and been forgotten; it must not run, nor be called not run."""


@dataclass(frozen=True, slots=True)
class LedgerFull:
    """Every entry of the ledger is live; the attempt is not taken."""


AdmitResult = Inserted | Existing | BelowFloor | LedgerFull


@dataclass(slots=True)
class _Floor:
    incarnation: int
    seq: int


class Ledger:
    """Attempts of one agent incarnation, by id.

    Parameters
    ----------
    limits : LedgerLimits
    """

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self._limits = limits or LedgerLimits()
        self._entries: OrderedDict[AttemptId, AttemptEntry] = OrderedDict()
        self._lives: dict[AttemptId, AttemptLifecycle] = {}
        self._floors: OrderedDict[str, _Floor] = OrderedDict()
        self._ended: OrderedDict[AttemptId, AttemptEntry] = OrderedDict()
        self._buffered = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def live_count(self) -> int:
        """Attempts that have not ended."""
        return len(self._entries) - len(self._ended)

    @property
    def buffered_chars(self) -> int:
        """Characters of ended answers that are held."""
        return self._buffered

    def get(self, attempt: AttemptId) -> AttemptEntry | None:
        """Return the entry of an attempt, if the ledger holds it."""
        return self._entries.get(attempt)

    def admit(self, start: Start, deadline_s: float) -> AdmitResult:
        """Take an attempt into the ledger, unless it is there or was there."""
        entry = self._entries.get(start.attempt)
        if entry is not None:
            return Existing(entry)
        if self._is_below_floor(start.attempt):
            return BelowFloor()
        if not self._make_room():
            return LedgerFull()
        return Inserted(self._insert(AttemptEntry(start.attempt, start, deadline_s)))

    def tombstone(self, attempt: AttemptId) -> AdmitResult:
        """Refuse for ever an attempt that has not arrived; otherwise return what is known."""
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
        self._lives[entry.attempt] = make_attempt_lifecycle(entry)
        return entry

    def record_start(self, entry: AttemptEntry) -> None:
        """Record that the back end is about to be given the call."""
        self._lives[entry.attempt].start()

    def record_result(self, entry: AttemptEntry, result: AttemptResult) -> None:
        """Record the last message on an attempt; raises ``automat.NoTransition`` on a second."""
        life = self._lives[entry.attempt]
        match result:
            case Refused():
                life.refuse(result)
            case Finished():
                life.complete(result)
            case Failed():
                life.fail(result)
        del self._lives[entry.attempt]
        self._ended[entry.attempt] = entry
        self._buffered += entry.length
        self._trim_text()

    def _trim_text(self) -> None:
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
