"""One stream of the platform's store, read from a peer or from the store, and told to others.

See `tasks/direct/sharing` for who asks whom.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, Generic, TypeVar

from umberhitch.errors import (
    LogError,
    LogReplacedError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.ports.clock import Timer
from umberhitch.ports.direct import FeedBatch, FeedPort, do_nothing
from umberhitch.tasks.direct.change_log import ChangeLog
from umberhitch.tasks.direct.feeds import Feed
from umberhitch.tasks.direct.sharing import Sharing, StreamName
from umberhitch.tasks.direct.telling import ChangeTeller, EntryTeller, Teller
from umberhitch.wire import ViewReply, ViewRequest

__all__ = ["SharedView", "SharingLimits", "share_stream"]

Value = TypeVar("Value")

EARLY_S = 0.2
"""A reader that has not the whole of what is new after this says that there is something, so that
the others read it at the same time: 1.0 MB is in force at three routers of 5 Mbit/s after 1.8 s at
the most, else 2.7 s (virtual clock, 16 moments)."""
HOLD_MARGIN_S = 0.1
"""The store may hold a call a little shorter than it was asked to; its timers are its own."""


@dataclass(frozen=True, slots=True)
class SharingLimits:
    """How one stream is shared; times in seconds.

    Attributes
    ----------
    hold_s : float
        How long a router holds an ask while nothing changes.
    quick_hold_s : float
        The same where the one who asks cannot reach the store, and looks for one who can.
    patience_s : float
        An ask has failed that takes so much longer.
    stale_s : float
        A view that is older is no use: the store is asked.
    read_wait_s, read_pause_s : float
        How long a router that others ask lets the store hold its calls, and how long it pauses
        between them, at most.
    asked_s : float
        A router that was asked within this reads for others.
    shun_s, longest_shun_s : float
        A router that could not tell what another or the store could is not asked for so long,
        doubled each time up to the longest.
    first_retry_s, longest_retry_s : float
        How long a reader that the store turns away, and whom others tell, leaves the store alone,
        doubled each time. It learns from them in time what is new.
    asks_a_call : int
        While neither the store nor the reader can tell, so many asks are made for one call: the
        reader calls all the time, and tells the others as soon as the store is back.
    """

    hold_s: float = 0.5
    quick_hold_s: float = 0.1
    patience_s: float = 0.15
    stale_s: float = 1.0
    read_wait_s: float = 0.0
    read_pause_s: float = 0.4
    asked_s: float = 2.0
    shun_s: float = 2.0
    longest_shun_s: float = 16.0
    first_retry_s: float = 0.5
    longest_retry_s: float = 4.0
    asks_a_call: int = 3


LIMITS = {
    StreamName.OPERATOR: SharingLimits(stale_s=1.5, read_wait_s=0.8, read_pause_s=0.05),
    # An endpoint that leaves has to be known within 2 s: of these a view may be 1.0 s old, a hold
    # and its patience take 0.65 s, and a call to the store some ms.
    StreamName.REGISTRY: SharingLimits(),
}
TELLERS: dict[StreamName, Teller[Any]] = {
    StreamName.OPERATOR: ChangeTeller(),
    StreamName.REGISTRY: EntryTeller(),
}


@dataclass(slots=True)
class _HeldAsk:
    """An ask that waits for a change."""

    sender: str
    ask: ViewRequest
    received_s: float
    timer: Timer


class _Word(Enum):
    """What a peer's answer is worth that brings nothing by itself."""

    NOTHING = "it did not answer, or cannot tell"
    STALE = "its view is too old"
    NEWS = "there is something new in the store"


@dataclass(slots=True)
class _Shunned:
    """A peer that is not asked for a while."""

    until_s: float
    pause_s: float


class SharedView(Generic[Value]):
    """One stream, read from a peer or from the store; a `FeedPort`.

    Parameters
    ----------
    sharing : Sharing
    stream : StreamName
    port : FeedPort
        The store's.
    limits : SharingLimits
    teller : Teller
    """

    def __init__(
        self,
        sharing: Sharing,
        stream: StreamName,
        port: FeedPort[Value],
        limits: SharingLimits,
        teller: Teller[Value],
    ) -> None:
        self._sharing = sharing
        self._clock = sharing.clock
        self._stream = stream
        self._port = port
        self._limits = limits
        self._teller = teller
        self._feed: Feed[Value] | None = None
        self._log: ChangeLog[Value] = ChangeLog(teller)
        self._held: list[_HeldAsk] = []
        self._asked_s = float("-inf")
        self._shunned: dict[str, _Shunned] = {}
        self._is_failing = False
        """Whether neither the store nor a peer could tell at the last try."""
        self._retry_s = 0.0
        """Pause between calls to the store that turns this router away; 0 while it does not."""
        self._next_call_s = float("-inf")
        self._is_back = False
        """Whether the store has just been reached again, so that all who wait are to know."""
        self._vain_asks = 0
        self._early: Timer | None = None
        self._is_reading = False
        """Whether something new is being read that takes long."""

    # For this router

    def follow(self, feed: Feed[Value]) -> None:
        """Tell others what a feed takes."""
        self._feed = feed
        feed.on_taken = self._note

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, from the store."""
        called_s = self._clock.seconds()
        if self._log.floor >= 0:
            self._on_begun()  # what had come is replaced by something newer
        try:
            batch = await self._port.newest(timeout_s)
        finally:
            self._stop_early()
        return replace(batch, as_of_s=called_s)

    async def since(
        self,
        offset: int,
        wait_s: float,
        timeout_s: float,
        on_response_start: Callable[[], None] = do_nothing,
    ) -> FeedBatch[Value]:
        """Return what has changed, from a peer if one can tell, else from the store."""
        reader = self._reader()
        peer = self._other_peer() if reader is None else reader
        if peer is None:
            return await self._since_by_store(offset, wait_s, timeout_s)
        found = await self._ask(peer, offset, self._hold_s(reader))
        if found in (_Word.NOTHING, _Word.STALE) and not self._is_failing:
            found = await self._ask_next(peer, offset) or found
        match found:
            case FeedBatch() as batch:
                self._is_failing = False
                return batch
            case _Word.NEWS:
                self._note_news()
                return await self._since_by_store(offset, 0.0, timeout_s)
            case _Word.STALE if self._is_failing and reader is not None:
                self._vain_asks += 1
                if self._vain_asks % self._limits.asks_a_call:
                    raise LogUnavailableError("neither the store nor the reader can tell")
        batch = await self._since_by_store(offset, 0.0, timeout_s)
        self._shun(peer)  # the store could tell what the peer could not
        return batch

    def _hold_s(self, reader: str | None) -> float:
        """Return how long an ask may be held."""
        if reader is None and self._is_failing:
            return self._limits.quick_hold_s
        if self._is_stale() and not self._is_failing:
            return 0.0  # the process stood still: what has changed meanwhile is to be known now
        return self._limits.hold_s

    def _other_peer(self) -> str | None:
        """Return whom a reader asks instead of the store: nobody, unless that turns it away."""
        if self._is_failing:
            return self._sharing.any_peer()
        if self._clock.seconds() < self._next_call_s:
            return self._sharing.reader({*self._shunned, self._sharing.name}, among_others=True)
        return None

    async def _ask(self, peer: str, offset: int, hold_s: float) -> "FeedBatch[Value] | _Word":
        """Ask a peer what has changed."""
        called_s = self._clock.seconds()
        reply = await self._sharing.ask(
            peer, self._stream, offset, hold_s, self._limits.patience_s, self._is_failing
        )
        found = self._judge(reply, called_s, offset)
        if isinstance(found, FeedBatch):
            self._shunned.pop(peer, None)
        return found

    async def _ask_next(self, failed: str, offset: int) -> "FeedBatch[Value] | _Word | None":
        """Ask another reader, where the first could not tell; None if that cannot either."""
        peer = self._sharing.reader({*self._shunned, failed})
        if peer is None:
            return None
        found = await self._ask(peer, offset, 0.0)
        if found in (_Word.NOTHING, _Word.STALE):
            return None
        self._shun(failed)
        return found

    def _shun(self, peer: str) -> None:
        """Leave a peer alone for a while."""
        limits, before = self._limits, self._shunned.get(peer)
        pause_s = limits.shun_s if before is None else 2 * before.pause_s
        pause_s = min(limits.longest_shun_s, pause_s)
        self._shunned[peer] = _Shunned(self._clock.seconds() + pause_s, pause_s)

    def _is_stale(self) -> bool:
        proved_s = None if self._feed is None else self._feed.proved_s
        return proved_s is None or self._clock.seconds() - proved_s > self._limits.stale_s

    def _reader(self) -> str | None:
        now_s = self._clock.seconds()
        return self._sharing.reader({n for n, e in self._shunned.items() if e.until_s > now_s})

    def _judge(
        self, reply: ViewReply | None, called_s: float, offset: int
    ) -> "FeedBatch[Value] | _Word":
        """Return what a peer's answer brings, or why it is of no use."""
        if reply is None or not reply.is_offset_known:
            return _Word.NOTHING
        # The peer looked at its view after it had got the ask, and after it had held it.
        proved_s = called_s + reply.held_s - reply.age_s
        is_stale = self._clock.seconds() - proved_s > self._limits.stale_s
        if is_stale and (self._teller.tells_all or reply.end <= offset):
            return _Word.STALE
        records = self._teller.take(reply, self._log.newest) if reply.end > offset else ()
        if records is None:
            return _Word.NEWS
        return FeedBatch(records, max(offset, reply.end), proved_s, 0.0, reply.is_after_outage)

    async def _since_by_store(
        self, offset: int, wait_s: float, patience_s: float
    ) -> FeedBatch[Value]:
        pause_s = None
        if self._is_asked():
            wait_s = min(wait_s, self._limits.read_wait_s)
            pause_s = self._limits.read_pause_s
        called_s = self._clock.seconds()
        try:
            batch = await self._port.since(offset, wait_s, patience_s, self._on_begun)
        except (LogTrimmedError, LogReplacedError):
            raise  # the store is there, and says that the newest are to be read
        except LogError:
            self._is_failing = True
            self._shunned.clear()  # all come back to the same readers, which call all the time
            self._leave_alone()
            raise
        finally:
            self._stop_early()
        self._is_failing = False
        self._is_back = self._retry_s > 0.0
        self._retry_s = 0.0
        self._next_call_s = float("-inf")
        proved_s = called_s
        if wait_s and not batch.records and self._clock.seconds() - called_s >= wait_s:
            proved_s = called_s + wait_s - HOLD_MARGIN_S
        return replace(batch, as_of_s=proved_s, next_call_delay_s=pause_s)

    def _leave_alone(self) -> None:
        """Put off the next call to the store, as long as others tell what is new."""
        limits = self._limits
        self._retry_s = min(limits.longest_retry_s, max(limits.first_retry_s, 2 * self._retry_s))
        self._next_call_s = self._clock.seconds() + self._retry_s

    def _on_begun(self) -> None:
        """Take note that something new is on its way here."""
        self._note_news()
        if self._early is None:
            self._early = self._clock.callLater(EARLY_S, self._tell_early)

    def _note_news(self) -> None:
        if self._feed is not None:
            self._feed.note_news()

    def _tell_early(self) -> None:
        self._is_reading = True
        self._tell_held()

    def _stop_early(self) -> None:
        early, self._early = self._early, None
        self._is_reading = False
        if early is not None and early.active():
            early.cancel()

    def _is_asked(self) -> bool:
        return self._clock.seconds() - self._asked_s < self._limits.asked_s

    # For others

    def _note(self, batch: FeedBatch[Value], is_whole: bool, was_away: bool) -> None:
        """Remember what the feed has taken, and tell it to those who wait for it."""
        if is_whole:
            self._log.begin(batch)
        self._note_changes(batch, is_whole, was_away)
        is_back, self._is_back = self._is_back, False
        self._tell_held(is_back)

    def _note_changes(self, batch: FeedBatch[Value], is_whole: bool, was_away: bool) -> None:
        most_bytes = self._sharing.tell_bytes()
        self._log.note(batch, is_whole, was_away, self._is_asked(), most_bytes)

    def _tell_held(self, is_back: bool = False) -> None:
        """Answer those for whom there is something new, or all."""
        for held in [each for each in self._held if is_back or self._has_news(each.ask)]:
            if held.timer.active():  # else it is due in this very turn
                held.timer.cancel()
            self._answer(held)

    def _has_news(self, ask: ViewRequest) -> bool:
        if self._feed is None or not self._log.covers(ask.offset):
            return True  # it cannot be told, which is to be known at once
        if not self._teller.tells_all:
            return self._end() > ask.offset
        return self._log.has_changed(ask.offset)

    def _end(self) -> int:
        """Return the offset up to which there are records, taken or on their way."""
        assert self._feed is not None
        return self._feed.offset + (self._is_reading and not self._teller.tells_all)

    def on_ask(self, sender: str, ask: ViewRequest) -> None:
        """Answer what a peer asks, at once or when something has changed."""
        now_s = self._clock.seconds()
        self._asked_s = now_s
        timer = self._clock.callLater(ask.hold_s, self._on_held, sender, ask.request_id)
        held = _HeldAsk(sender, ask, now_s, timer)
        self._held.append(held)
        has_proof = not self._retry_s and not self._is_stale()
        if (
            self._has_news(ask)
            or not self._can_tell(ask)
            or (ask.is_held_during_outage and has_proof)
        ):
            timer.cancel()
            self._answer(held)

    def _can_tell(self, ask: ViewRequest) -> bool:
        """Whether this router is worth waiting for: not while the store turns it away.

        Else those who ask it wait for it while it asks them.
        """
        return ask.is_held_during_outage or self._clock.seconds() >= self._next_call_s

    def _on_held(self, sender: str, number: int) -> None:
        for held in [e for e in self._held if (e.sender, e.ask.request_id) == (sender, number)]:
            self._answer(held)

    def _answer(self, held: _HeldAsk) -> None:
        self._held.remove(held)
        ask, feed, now_s = held.ask, self._feed, self._clock.seconds()
        reply = ViewReply(ask.request_id, ask.incarnation, False)
        is_covered = self._log.covers(ask.offset)
        can_tell = self._has_news(ask) or self._can_tell(ask)
        if can_tell and feed is not None and feed.proved_s is not None:
            if is_covered or not self._teller.tells_all:
                reply = ViewReply(
                    ask.request_id,
                    ask.incarnation,
                    True,
                    self._end(),
                    round(now_s - feed.proved_s, 4),
                    round(now_s - held.received_s, 4),
                )
            # Where more is on its way, the store is to be read.
            if is_covered and self._end() == feed.offset:
                reply = self._log.add_to(reply, ask.offset)
        self._sharing.send(held.sender, reply)


def share_stream(sharing: Sharing, stream: StreamName, port: FeedPort[Value]) -> SharedView[Value]:
    """Return a port that asks peers first, and remembers what it has to tell them."""
    view = SharedView(sharing, stream, port, LIMITS[stream], TELLERS[stream])
    sharing.answerers[stream] = view
    return view
