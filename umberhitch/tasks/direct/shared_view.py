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
from umberhitch.tasks.direct.change_encoding import (
    ChangeEncoder,
    EndpointEntryEncoder,
    OperatorChangeEncoder,
)
from umberhitch.tasks.direct.change_log import ChangeLog
from umberhitch.tasks.direct.feeds import Feed
from umberhitch.tasks.direct.read_sharing import ReadSharing, StreamName
from umberhitch.wire import ViewReply, ViewRequest

__all__ = ["ReadSharingLimits", "SharedView", "share_stream"]

Value = TypeVar("Value")

EARLY_NOTICE_S = 0.2
"""A reader that has not the whole of what is new after this says that there is something, so that
the others read it at the same time: 1.0 MB is in force at three routers of 5 Mbit/s after 1.8 s at
the most, else 2.7 s (virtual clock, 16 moments)."""
HOLD_MARGIN_S = 0.1
"""The store may hold a call a little shorter than it was asked to; its timers are its own."""


@dataclass(frozen=True, slots=True)
class ReadSharingLimits:
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
    short_hold_s: float = 0.1
    timeout_s: float = 0.15
    max_age_s: float = 1.0
    read_wait_s: float = 0.0
    read_pause_s: float = 0.4
    serving_window_s: float = 2.0
    exclusion_s: float = 2.0
    max_exclusion_s: float = 16.0
    first_retry_s: float = 0.5
    max_retry_s: float = 4.0
    requests_per_call: int = 3


LIMITS = {
    StreamName.OPERATOR: ReadSharingLimits(max_age_s=1.5, read_wait_s=0.8, read_pause_s=0.05),
    # An endpoint that leaves has to be known within 2 s: of these a view may be 1.0 s old, a hold
    # and its patience take 0.65 s, and a call to the store some ms.
    StreamName.REGISTRY: ReadSharingLimits(),
}
ENCODERS: dict[StreamName, ChangeEncoder[Any]] = {
    StreamName.OPERATOR: OperatorChangeEncoder(),
    StreamName.REGISTRY: EndpointEntryEncoder(),
}


@dataclass(slots=True)
class _HeldRequest:
    """An ask that waits for a change."""

    sender: str
    request: ViewRequest
    received_s: float
    timer: Timer


class _PeerOutcome(Enum):
    """What a peer's answer is worth that brings nothing by itself."""

    UNKNOWN = "it did not answer, or cannot tell"
    STALE = "its view is too old"
    NEWER = "there is something new in the store"


@dataclass(slots=True)
class _Exclusion:
    """A peer that is not asked for a while."""

    until_s: float
    duration_s: float


class SharedView(Generic[Value]):
    """One stream, read from a peer or from the store; a `FeedPort`.

    Parameters
    ----------
    sharing : ReadSharing
    stream : StreamName
    port : FeedPort
        The store's.
    limits : ReadSharingLimits
    teller : ChangeEncoder
    """

    def __init__(
        self,
        sharing: ReadSharing,
        stream: StreamName,
        port: FeedPort[Value],
        limits: ReadSharingLimits,
        encoder: ChangeEncoder[Value],
    ) -> None:
        self._sharing = sharing
        self._clock = sharing.clock
        self._stream = stream
        self._port = port
        self._limits = limits
        self._encoder = encoder
        self._feed: Feed[Value] | None = None
        self._log: ChangeLog[Value] = ChangeLog(encoder)
        self._held: list[_HeldRequest] = []
        self._last_request_s = float("-inf")
        self._excluded: dict[str, _Exclusion] = {}
        self._is_failing = False
        """Whether neither the store nor a peer could tell at the last try."""
        self._retry_s = 0.0
        """Pause between calls to the store that turns this router away; 0 while it does not."""
        self._next_call_s = float("-inf")
        self._has_recovered = False
        """Whether the store has just been reached again, so that all who wait are to know."""
        self._failed_requests = 0
        self._early_timer: Timer | None = None
        self._is_reading = False
        """Whether something new is being read that takes long."""

    # For this router

    def attach_feed(self, feed: Feed[Value]) -> None:
        """Tell others what a feed takes."""
        self._feed = feed
        feed.on_applied = self._record_batch

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, from the store."""
        called_s = self._clock.seconds()
        if self._log.start_offset >= 0:
            self._on_read_started()  # what had come is replaced by something newer
        try:
            batch = await self._port.newest(timeout_s)
        finally:
            self._finish_read()
        return replace(batch, as_of_s=called_s)

    async def since(
        self,
        offset: int,
        wait_s: float,
        timeout_s: float,
        on_response_start: Callable[[], None] = do_nothing,
    ) -> FeedBatch[Value]:
        """Return what has changed, from a peer if one can tell, else from the store."""
        reader = self._choose_reader()
        peer = self._fallback_peer() if reader is None else reader
        if peer is None:
            return await self._since_from_store(offset, wait_s, timeout_s)
        found = await self._request_changes(peer, offset, self._hold_s(reader))
        if found in (_PeerOutcome.UNKNOWN, _PeerOutcome.STALE) and not self._is_failing:
            found = await self._request_from_next(peer, offset) or found
        match found:
            case FeedBatch() as batch:
                self._is_failing = False
                return batch
            case _PeerOutcome.NEWER:
                self._mark_behind()
                return await self._since_from_store(offset, 0.0, timeout_s)
            case _PeerOutcome.STALE if self._is_failing and reader is not None:
                self._failed_requests += 1
                if self._failed_requests % self._limits.requests_per_call:
                    raise LogUnavailableError("neither the store nor the reader can tell")
        batch = await self._since_from_store(offset, 0.0, timeout_s)
        self._exclude(peer)  # the store could tell what the peer could not
        return batch

    def _hold_s(self, reader: str | None) -> float:
        """Return how long an ask may be held."""
        if reader is None and self._is_failing:
            return self._limits.short_hold_s
        if self._is_stale() and not self._is_failing:
            return 0.0  # the process stood still: what has changed meanwhile is to be known now
        return self._limits.hold_s

    def _fallback_peer(self) -> str | None:
        """Return whom a reader asks instead of the store: nobody, unless that turns it away."""
        if self._is_failing:
            return self._sharing.random_peer()
        if self._clock.seconds() < self._next_call_s:
            return self._sharing.choose_reader(
                {*self._excluded, self._sharing.name}, excludes_self=True
            )
        return None

    async def _request_changes(
        self, peer: str, offset: int, hold_s: float
    ) -> "FeedBatch[Value] | _PeerOutcome":
        """Ask a peer what has changed."""
        called_s = self._clock.seconds()
        reply = await self._sharing.request_changes(
            peer, self._stream, offset, hold_s, self._limits.timeout_s, self._is_failing
        )
        found = self._evaluate_reply(reply, called_s, offset)
        if isinstance(found, FeedBatch):
            self._excluded.pop(peer, None)
        return found

    async def _request_from_next(
        self, failed: str, offset: int
    ) -> "FeedBatch[Value] | _PeerOutcome | None":
        """Ask another reader, where the first could not tell; None if that cannot either."""
        peer = self._sharing.choose_reader({*self._excluded, failed})
        if peer is None:
            return None
        found = await self._request_changes(peer, offset, 0.0)
        if found in (_PeerOutcome.UNKNOWN, _PeerOutcome.STALE):
            return None
        self._exclude(failed)
        return found

    def _exclude(self, peer: str) -> None:
        """Leave a peer alone for a while."""
        limits, before = self._limits, self._excluded.get(peer)
        pause_s = limits.exclusion_s if before is None else 2 * before.duration_s
        pause_s = min(limits.max_exclusion_s, pause_s)
        self._excluded[peer] = _Exclusion(self._clock.seconds() + pause_s, pause_s)

    def _is_stale(self) -> bool:
        proved_s = None if self._feed is None else self._feed.proved_s
        return proved_s is None or self._clock.seconds() - proved_s > self._limits.max_age_s

    def _choose_reader(self) -> str | None:
        now_s = self._clock.seconds()
        return self._sharing.choose_reader(
            {n for n, e in self._excluded.items() if e.until_s > now_s}
        )

    def _evaluate_reply(
        self, reply: ViewReply | None, called_s: float, offset: int
    ) -> "FeedBatch[Value] | _PeerOutcome":
        """Return what a peer's answer brings, or why it is of no use."""
        if reply is None or not reply.is_offset_known:
            return _PeerOutcome.UNKNOWN
        # The peer looked at its view after it had got the ask, and after it had held it.
        proved_s = called_s + reply.held_s - reply.age_s
        is_stale = self._clock.seconds() - proved_s > self._limits.max_age_s
        if is_stale and (self._encoder.encodes_every_change or reply.end <= offset):
            return _PeerOutcome.STALE
        records = self._encoder.decode(reply, self._log.newest) if reply.end > offset else ()
        if records is None:
            return _PeerOutcome.NEWER
        return FeedBatch(records, max(offset, reply.end), proved_s, 0.0, reply.is_after_outage)

    async def _since_from_store(
        self, offset: int, wait_s: float, patience_s: float
    ) -> FeedBatch[Value]:
        pause_s = None
        if self._is_serving():
            wait_s = min(wait_s, self._limits.read_wait_s)
            pause_s = self._limits.read_pause_s
        called_s = self._clock.seconds()
        try:
            batch = await self._port.since(offset, wait_s, patience_s, self._on_read_started)
        except (LogTrimmedError, LogReplacedError):
            raise  # the store is there, and says that the newest are to be read
        except LogError:
            self._is_failing = True
            self._excluded.clear()  # all come back to the same readers, which call all the time
            self._back_off()
            raise
        finally:
            self._finish_read()
        self._is_failing = False
        self._has_recovered = self._retry_s > 0.0
        self._retry_s = 0.0
        self._next_call_s = float("-inf")
        proved_s = called_s
        if wait_s and not batch.records and self._clock.seconds() - called_s >= wait_s:
            proved_s = called_s + wait_s - HOLD_MARGIN_S
        return replace(batch, as_of_s=proved_s, next_call_delay_s=pause_s)

    def _back_off(self) -> None:
        """Put off the next call to the store, as long as others tell what is new."""
        limits = self._limits
        self._retry_s = min(limits.max_retry_s, max(limits.first_retry_s, 2 * self._retry_s))
        self._next_call_s = self._clock.seconds() + self._retry_s

    def _on_read_started(self) -> None:
        """Take note that something new is on its way here."""
        self._mark_behind()
        if self._early_timer is None:
            self._early_timer = self._clock.callLater(EARLY_NOTICE_S, self._notify_early)

    def _mark_behind(self) -> None:
        if self._feed is not None:
            self._feed.mark_behind()

    def _notify_early(self) -> None:
        self._is_reading = True
        self._answer_held()

    def _finish_read(self) -> None:
        early, self._early_timer = self._early_timer, None
        self._is_reading = False
        if early is not None and early.active():
            early.cancel()

    def _is_serving(self) -> bool:
        return self._clock.seconds() - self._last_request_s < self._limits.serving_window_s

    # For others

    def _record_batch(self, batch: FeedBatch[Value], is_snapshot: bool, was_away: bool) -> None:
        """Remember what the feed has taken, and tell it to those who wait for it."""
        if is_snapshot:
            self._log.reset(batch)
        self._record_changes(batch, is_snapshot, was_away)
        is_back, self._has_recovered = self._has_recovered, False
        self._answer_held(is_back)

    def _record_changes(self, batch: FeedBatch[Value], is_snapshot: bool, was_away: bool) -> None:
        most_bytes = self._sharing.max_change_bytes()
        self._log.append(batch, is_snapshot, was_away, self._is_serving(), most_bytes)

    def _answer_held(self, has_recovered: bool = False) -> None:
        """Answer those for whom there is something new, or all."""
        for held in [
            each for each in self._held if has_recovered or self._has_changes(each.request)
        ]:
            if held.timer.active():  # else it is due in this very turn
                held.timer.cancel()
            self._answer(held)

    def _has_changes(self, request: ViewRequest) -> bool:
        if self._feed is None or not self._log.covers(request.offset):
            return True  # it cannot be told, which is to be known at once
        if not self._encoder.encodes_every_change:
            return self._end() > request.offset
        return self._log.has_changed_since(request.offset)

    def _end(self) -> int:
        """Return the offset up to which there are records, taken or on their way."""
        assert self._feed is not None
        return self._feed.offset + (self._is_reading and not self._encoder.encodes_every_change)

    def handle_request(self, sender: str, request: ViewRequest) -> None:
        """Answer what a peer asks, at once or when something has changed."""
        now_s = self._clock.seconds()
        self._last_request_s = now_s
        timer = self._clock.callLater(
            request.hold_s, self._on_hold_expired, sender, request.request_id
        )
        held = _HeldRequest(sender, request, now_s, timer)
        self._held.append(held)
        has_proof = not self._retry_s and not self._is_stale()
        if (
            self._has_changes(request)
            or not self._can_answer(request)
            or (request.is_held_during_outage and has_proof)
        ):
            timer.cancel()
            self._answer(held)

    def _can_answer(self, request: ViewRequest) -> bool:
        """Whether this router is worth waiting for: not while the store turns it away.

        Else those who ask it wait for it while it asks them.
        """
        return request.is_held_during_outage or self._clock.seconds() >= self._next_call_s

    def _on_hold_expired(self, sender: str, number: int) -> None:
        for held in [e for e in self._held if (e.sender, e.request.request_id) == (sender, number)]:
            self._answer(held)

    def _answer(self, held: _HeldRequest) -> None:
        self._held.remove(held)
        ask, feed, now_s = held.request, self._feed, self._clock.seconds()
        reply = ViewReply(ask.request_id, ask.incarnation, False)
        is_covered = self._log.covers(ask.offset)
        can_tell = self._has_changes(ask) or self._can_answer(ask)
        if can_tell and feed is not None and feed.proved_s is not None:
            if is_covered or not self._encoder.encodes_every_change:
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
                reply = self._log.add_changes_to_reply(reply, ask.offset)
        self._sharing.send(held.sender, reply)


def share_stream(
    sharing: ReadSharing, stream: StreamName, port: FeedPort[Value]
) -> SharedView[Value]:
    """Return a port that asks peers first, and remembers what it has to tell them."""
    view = SharedView(sharing, stream, port, LIMITS[stream], ENCODERS[stream])
    sharing.handlers[stream] = view
    return view
