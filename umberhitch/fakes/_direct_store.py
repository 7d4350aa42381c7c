"""The store around a router of the direct path, in memory and on any clock."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred, succeed

from umberhitch.core.direct import (
    Position,
    RolloutState,
    StoreEpoch,
    epoch_of,
    make_position,
    offset_of,
)
from umberhitch.errors import (
    LogAnswerLostError,
    LogRestoredError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import (
    FeedBatch,
    FeedRecord,
    Member,
    StoredHold,
    StoredStatus,
    do_nothing,
)

__all__ = [
    "FakeFeed",
    "FakeHolds",
    "FakeMembers",
    "FakeStatuses",
    "KeyedMemory",
    "MemberRows",
    "StatusRows",
    "StoreFaults",
]

Value = TypeVar("Value")


@dataclass
class StoreFaults:
    """What is wrong with the store for one router.

    Attributes
    ----------
    is_down : bool
        Every call is refused.
    lose_answers : int
        So many of the next writes take effect while their answers are lost.
    holds : bool
        Calls are held while there is nothing new; else they are answered at once.
    """

    is_down: bool = False
    holds: bool = True
    delay_s: float = 0.0
    lose_answers: int = 0


class KeyedMemory(Generic[Value]):
    """A keyed stream.

    Attributes
    ----------
    epoch : int
        Rises when the store returns from an older copy.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.records: list[FeedRecord[Value]] = []
        self.first = 0
        self.waiting: list[Deferred[None]] = []
        self.written: dict[str, Value | None] = {}
        """What was written last under each key, lost values included."""

    def put(self, key: str, value: Value | None) -> None:
        """Append a record."""
        self.written[key] = value
        self.records.append(FeedRecord(key, value))
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done.callback(None)

    def restore(self, end: int, *, is_noticed: bool = True) -> None:
        """Return from a copy that has the records before ``end``; the others are lost.

        Calls that are held end now if ``is_noticed``, as their connections do.
        """
        self.epoch += 1
        del self.records[end:]
        self.first = min(self.first, end)
        if is_noticed:
            waiting, self.waiting = self.waiting, []
            for done in waiting:
                done.errback(LogUnavailableError("connection lost"))

    def forget_history(self) -> None:
        """Drop every record but the newest of each key, for those who read by offset."""
        self.first = len(self.records)


class FakeFeed(Generic[Value]):
    """A `FeedPort` to a `KeyedMemory`."""

    def __init__(
        self,
        memory: KeyedMemory[Value],
        clock: Clock,
        faults: StoreFaults,
        epochs: StoreEpoch | None = None,
    ) -> None:
        self._memory = memory
        self._clock = clock
        self._faults = faults
        self._epochs = epochs or StoreEpoch()
        self._epochs.on_change.append(self._end_waits)
        self._own_waits: list[Deferred[None]] = []
        self.calls = 0

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key."""
        await self._reach()
        self._note_epoch()
        newest = {record.key: record for record in self._memory.records}
        kept = tuple(record for record in newest.values() if record.value is not None)
        return FeedBatch(kept, make_position(self._memory.epoch, len(self._memory.records)))

    async def since(
        self,
        position: Position,
        wait_s: float,
        timeout_s: float,
        on_response_start: Callable[[], None] = do_nothing,
    ) -> FeedBatch[Value]:
        """Return records, waiting for the first."""
        await self._reach()
        offset = offset_of(position)
        self._check(position)
        if not self._memory.first <= offset <= len(self._memory.records):
            raise LogTrimmedError(self._memory.first)
        if offset >= len(self._memory.records) and self._faults.holds:
            await self._wait(wait_s)
            if self._faults.is_down:
                raise LogUnavailableError("down")
            self._check(position)
        records = tuple(self._memory.records[offset:])
        return FeedBatch(records, position + len(records))

    def _check(self, position: Position) -> None:
        self._note_epoch()
        if epoch_of(position) != self._memory.epoch:
            raise LogRestoredError("position of another epoch")

    def _note_epoch(self) -> None:
        now_s = self._clock.seconds()
        self._epochs.note_answer(self._memory.epoch, now_s, now_s)

    def _end_waits(self, before: int, epoch: int) -> None:
        waits, self._own_waits = self._own_waits, []
        for done in waits:
            self._clock.callLater(0.0, self._end_wait, done)

    def _end_wait(self, done: Deferred[None]) -> None:
        if done in self._memory.waiting:
            self._memory.waiting.remove(done)
            done.errback(LogRestoredError("held while the store returned"))

    def _wait(self, wait_s: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._clock.callLater(wait_s, self._time_out, done)
        self._memory.waiting.append(done)
        self._own_waits = [each for each in self._own_waits if not each.called]
        self._own_waits.append(done)
        return done

    def _time_out(self, done: Deferred[None]) -> None:
        if done in self._memory.waiting:
            self._memory.waiting.remove(done)
            done.callback(None)

    def _reach(self) -> Deferred[None]:
        self.calls += 1
        return _reach(self._clock, self._faults)


def _reach(clock: Clock, faults: StoreFaults) -> Deferred[None]:
    if faults.is_down:
        raise LogUnavailableError("down")
    if not faults.delay_s:
        return succeed(None)
    return pause(clock, faults.delay_s)


class StatusRows(list[tuple[str, str, RolloutState]]):
    """The states of roll-outs that were written, in order.

    Attributes
    ----------
    epoch : int
        Rises when the store returns from an older copy.
    written : int
        Number of rows that were written in this epoch.
    """

    def __init__(self) -> None:
        super().__init__()
        self.epoch = 0
        self.written = 0

    def restore(self, end: int) -> None:
        """Return from a copy that has the rows before ``end``."""
        del self[end:]
        self.epoch += 1
        self.written = 0

    def ends_at(self, position: Position) -> bool:
        """Whether the rows are still those that were read up to a position."""
        if offset_of(position) != len(self):
            return False
        return epoch_of(position) == self.epoch or self.written == 0


class FakeStatuses:
    """A `StatusPort`; several routers may share the rows."""

    def __init__(
        self, rows: StatusRows, faults: StoreFaults, epochs: StoreEpoch, clock: Clock
    ) -> None:
        self.rows = rows
        self.calls = 0
        self.faults = faults
        self._epochs = epochs
        self._clock = clock

    def _note_epoch(self) -> None:
        now_s = self._clock.seconds()
        self._epochs.note_answer(self.rows.epoch, now_s, now_s)

    async def read(self) -> StoredStatus:
        """Return all states."""
        self.calls += 1
        if self.faults.is_down:
            raise LogUnavailableError("down")
        self._note_epoch()
        states = {service: (target, state) for service, target, state in self.rows}
        return StoredStatus(states, make_position(self.rows.epoch, len(self.rows)))

    async def write(self, service: str, target: str, state: RolloutState, end: Position) -> bool:
        """Write a state unless anything was written since ``end``."""
        self.calls += 1
        if self.faults.is_down:
            raise LogUnavailableError("down")
        self._note_epoch()
        if not self.rows.ends_at(end):
            return False
        self.rows.append((service, target, state))
        self.rows.written += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise LogAnswerLostError("answer lost")
        return True


class MemberRows:
    """The members of a group, which its generation counts the changes of.

    Attributes
    ----------
    seats : int or None
        So many members are listed at most; further ones join, and nobody hears of them.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Member] = {}
        self.generation = 0
        self.epoch = 0
        self.seats: int | None = None

    def restore(self, rows: dict[str, Member], generation: int) -> None:
        """Return from an older copy with these members."""
        self.rows = dict(rows)
        self.generation = generation
        self.epoch += 1

    def put(self, member: Member) -> None:
        """Let a member join or stay."""
        if self.rows.get(member.name) != member:
            self.rows[member.name] = member
            self.generation += 1

    def deal(self, rng: Random) -> None:
        """Give the seats to other members."""
        names = list(self.rows)
        rng.shuffle(names)
        self.rows = {name: self.rows[name] for name in names}
        self.generation += 1

    def drop(self, name: str) -> None:
        """Let a member go."""
        if self.rows.pop(name, None) is not None:
            self.generation += 1


class FakeHolds:
    """A `HoldsPort`; routers share ``rows``."""

    def __init__(self, rows: dict[str, StoredHold], faults: StoreFaults) -> None:
        self._rows = rows
        self._faults = faults
        self.calls = 0

    async def read(self) -> list[StoredHold]:
        """Return all requests that are held."""
        self._reach()
        return list(self._rows.values())

    async def write(self, key: str, hold: StoredHold | None) -> None:
        """Let a hold stand, or none."""
        self._reach()
        self._rows.pop(key, None)
        if hold is not None:
            self._rows[key] = hold

    def _reach(self) -> None:
        self.calls += 1
        if self._faults.is_down:
            raise LogUnavailableError("down")


class FakeMembers:
    """A `MembersPort`; routers share the group.

    Attributes
    ----------
    joins, lists : int
        Calls so far.
    """

    def __init__(
        self, group: MemberRows, faults: StoreFaults, epochs: StoreEpoch, clock: Clock
    ) -> None:
        self._group = group
        self._faults = faults
        self._epochs = epochs
        self._clock = clock
        self.joins = 0
        self.lists = 0

    async def join(self, member: Member, ttl_s: float) -> Position:
        """Join or stay."""
        self.joins += 1
        if self._faults.is_down:
            raise LogUnavailableError("down")
        now_s = self._clock.seconds()
        self._epochs.note_answer(self._group.epoch, now_s, now_s)
        self._group.put(member)
        return make_position(self._group.epoch, self._group.generation)

    async def leave(self, member: Member) -> None:
        """Leave."""
        self._group.drop(member.name)

    async def members(self) -> list[Member]:
        """Return all members."""
        self.lists += 1
        if self._faults.is_down:
            raise LogUnavailableError("down")
        return list(self._group.rows.values())[: self._group.seats]
