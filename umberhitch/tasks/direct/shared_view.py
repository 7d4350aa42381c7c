"""Reads one stream of the store from a peer or from the store, and serves its changes to peers.

`tasks/direct/read_sharing` describes which router reads for which.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from itertools import starmap
from typing import Any, Generic, TypeVar

from umberhitch.core.direct import (
    KeepS,
    KeptValue,
    Position,
    RestoredCopy,
    epoch_of,
    is_superseded,
    keep_endpoint_s,
    keep_operator_value_s,
    offset_of,
)
from umberhitch.errors import (
    LogError,
    LogReplacedError,
    LogRestoredError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.ports.clock import Timer
from umberhitch.ports.direct import STORE, FeedBatch, FeedPort, FeedRecord, do_nothing
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
"""A reader that has not received all new records after this time notifies the routers that wait
for it, so that they read the store in parallel. With three routers on 5 Mbit/s links, a
configuration of 1.0 MB is in force after at most 1.8 s, compared with 2.7 s without the notice."""
HOLD_MARGIN_S = 0.1
"""Margin for the store's own timers, which may end a held call a little too early."""


@dataclass(frozen=True, slots=True)
class ReadSharingLimits:
    """Limits for the sharing of one stream; times in seconds.

    Attributes
    ----------
    hold_s : float
        How long a reader holds a request while nothing changes.
    short_hold_s : float
        Hold time for a request whose sender cannot reach the store and searches for a peer that
        can.
    timeout_s : float
        Time allowed for the reply in addition to the hold time.
    max_age_s : float
        Maximum age of a peer's view; when the view is older, the store is read instead.
    read_wait_s : float
        Maximum time for which the store holds the calls of a router that serves peers.
    read_pause_s : float
        Maximum pause between calls to the store of a router that serves peers.
    serving_window_s : float
        A router serves peers if it has received a request from one within this time.
    exclusion_s : float
        How long a peer is not sent requests after it could not provide what another peer or the
        store could. The time doubles with each failure.
    max_exclusion_s : float
        Upper limit of the exclusion time.
    first_retry_s : float
        Back-off of a reader after the first call that the store refused. It doubles with each
        refusal; meanwhile, the reader receives the changes from peers.
    max_retry_s : float
        Upper limit of this back-off.
    requests_per_call : int
        Number of requests to the reader per call to the store while neither the store nor the
        reader can provide the stream. The reader calls the store all the time, and answers its
        peers as soon as the store has recovered.
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
    # A draining endpoint must be known within 2 s: a view may be 1.0 s old, a hold and its timeout
    # take 0.65 s, and a call to the store takes some milliseconds.
    StreamName.REGISTRY: ReadSharingLimits(),
}
ENCODERS: dict[StreamName, ChangeEncoder[Any]] = {
    StreamName.OPERATOR: OperatorChangeEncoder(),
    StreamName.REGISTRY: EndpointEntryEncoder(),
}
KEEP_S: dict[StreamName, KeepS] = {
    StreamName.OPERATOR: keep_operator_value_s,
    StreamName.REGISTRY: keep_endpoint_s,
}


@dataclass(slots=True)
class _HeldRequest:
    """A peer's request that waits for a change."""

    sender: str
    request: ViewRequest
    received_s: float
    timer: Timer


class _PeerOutcome(Enum):
    """The result of a request to a peer that returned no batch."""

    UNKNOWN = "no reply, or the peer has no view"
    STALE = "the view of the peer is too old"
    NEWER = "the store has newer records"


@dataclass(slots=True)
class _Exclusion:
    """A peer that is not sent requests for some time."""

    until_s: float
    duration_s: float


class SharedView(Generic[Value]):
    """One stream, read from a peer or from the store; implements `FeedPort`.

    Parameters
    ----------
    sharing : ReadSharing
    stream : StreamName
    port : FeedPort
        Reads the stream from the store.
    limits : ReadSharingLimits
    encoder : ChangeEncoder
    restored : RestoredCopy
        Decides what stays known when the store returns from an older copy.
    """

    def __init__(
        self,
        sharing: ReadSharing,
        stream: StreamName,
        port: FeedPort[Value],
        limits: ReadSharingLimits,
        encoder: ChangeEncoder[Value],
        restored: RestoredCopy[Value],
    ) -> None:
        self._sharing = sharing
        self._epochs = sharing.epochs
        self._clock = sharing.clock
        self._stream = stream
        self._port = port
        self._limits = limits
        self._encoder = encoder
        self._feed: Feed[Value] | None = None
        self._log: ChangeLog[Value] = ChangeLog(encoder)
        self._restored = restored
        self._read_epoch: int | None = None
        """Epoch of the store whose copy was merged last, here or by a peer."""
        self._written_again: set[str] = set()
        """Keys of the last batch that were kept and have been written again."""
        self._held: list[_HeldRequest] = []
        self._last_request_s = float("-inf")
        self._excluded: dict[str, _Exclusion] = {}
        self._is_failing = False
        """Whether neither the store nor a peer could provide the stream at the last attempt."""
        self._retry_s = 0.0
        """Back-off between calls to a store that refuses this router; 0 while it does not."""
        self._next_call_s = float("-inf")
        self._has_recovered = False
        """Whether the store has just recovered, which all routers that wait must be notified of."""
        self._failed_requests = 0
        self._early_timer: Timer | None = None
        self._is_reading = False
        """Whether a read of new records is taking long."""

    # Reads for this router

    def attach_feed(self, feed: Feed[Value]) -> None:
        """Serve the batches that a feed applies to peers."""
        self._feed = feed
        feed.on_applied = self._record_batch

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, from the store."""
        called_s = self._clock.seconds()
        if self._log.start >= 0:
            self._on_read_started()  # the records received so far are superseded by newer ones
        try:
            batch = await self._port.newest(timeout_s)
        finally:
            self._finish_read()
        return replace(self._merge(batch), as_of_s=called_s)

    def _merge(self, batch: FeedBatch[Value]) -> FeedBatch[Value]:
        """Return what is in force after a read of the newest records.

        In the first read in an epoch of the store, they may be those of an older copy.
        """
        epoch, read_epoch = epoch_of(batch.end), self._read_epoch
        self._read_epoch = epoch
        read = {record.key: record.value for record in batch.records if record.value is not None}
        known, removed = self._log.newest, self._log.removed
        kept = set(self._restored.kept)
        is_copy = read_epoch not in (None, epoch)
        if is_copy:
            values = self._restored.merge(read, known, removed, self._clock.seconds())
        else:
            values = self._restored.keep_in_force(read, known)
        self._written_again = kept - self._restored.kept.keys()
        records = tuple(starmap(FeedRecord, values.items()))
        return replace(batch, records=records, is_after_outage=is_copy)

    async def since(
        self,
        position: Position,
        wait_s: float,
        timeout_s: float,
        on_response_start: Callable[[], None] = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the changes, from a peer if one can provide them, else from the store."""
        until_s = max(0.0, self._restored.next_expiry_s() - self._clock.seconds())
        batch = await self._read_changes(position, min(wait_s, until_s), timeout_s)
        newest = self._log.newest
        records = tuple(r for r in batch.records if not is_superseded(r.value, newest.get(r.key)))
        self._written_again = self._restored.note_written(record.key for record in records)
        if batch.source != STORE:
            # A peer sends a value that is known here only if it was written again.
            self._written_again = {record.key for record in records}
            self._adopt_kept(batch, position)
        expired = self._restored.pop_expired(self._clock.seconds())
        return replace(batch, records=records + tuple(starmap(FeedRecord, expired.items())))

    def _adopt_kept(self, batch: FeedBatch[Value], position: Position) -> None:
        """Settle at the same time as a peer what the store's copy contradicts.

        What the peer no longer keeps after the store's return, it has settled.
        """
        now_s = self._clock.seconds()
        if epoch_of(batch.end) != epoch_of(position):
            self._read_epoch = epoch_of(batch.end)
            self._restored.expire_all(now_s)
        for key, value, left_s in batch.kept:
            self._restored.kept[key] = KeptValue(value, now_s + left_s)

    async def _read_changes(
        self, position: Position, wait_s: float, timeout_s: float
    ) -> FeedBatch[Value]:
        reader = self._choose_reader()
        peer = self._fallback_peer() if reader is None else reader
        if peer is None:
            return await self._since_from_store(position, wait_s, timeout_s)
        outcome = await self._request_changes(peer, position, self._hold_s(reader))
        if outcome in (_PeerOutcome.UNKNOWN, _PeerOutcome.STALE) and not self._is_failing:
            outcome = await self._request_from_next(peer, position) or outcome
        match outcome:
            case FeedBatch() as batch:
                self._is_failing = False
                return batch
            case _PeerOutcome.NEWER:
                self._mark_behind()
                return await self._since_from_store(position, 0.0, timeout_s)
            case _PeerOutcome.STALE if self._is_failing and reader is not None:
                self._failed_requests += 1
                if self._failed_requests % self._limits.requests_per_call:
                    raise LogUnavailableError(
                        "neither the store nor the reader can provide the stream"
                    )
        batch = await self._since_from_store(position, 0.0, timeout_s)
        self._exclude(peer)  # the store provided what the peer could not
        return batch

    def _hold_s(self, reader: str | None) -> float:
        """Return how long the peer may hold a request."""
        if reader is None and self._is_failing:
            return self._limits.short_hold_s
        if self._is_stale() and not self._is_failing:
            return 0.0  # the process was frozen: changes in the meantime must be known now
        return self._limits.hold_s

    def _fallback_peer(self) -> str | None:
        """Return the peer from which a reader requests the changes instead of the store.

        The result is None unless the store refuses this router.
        """
        if self._is_failing:
            return self._sharing.random_peer()
        if self._clock.seconds() < self._next_call_s:
            return self._sharing.choose_reader(
                {*self._excluded, self._sharing.name}, excludes_self=True
            )
        return None

    async def _request_changes(
        self, peer: str, position: Position, hold_s: float
    ) -> "FeedBatch[Value] | _PeerOutcome":
        """Request the changes from a peer."""
        called_s = self._clock.seconds()
        reply = await self._sharing.request_changes(
            peer, self._stream, position, hold_s, self._limits.timeout_s, self._is_failing
        )
        outcome = self._evaluate_reply(reply, called_s, position)
        if isinstance(outcome, FeedBatch):
            assert reply is not None
            self._excluded.pop(peer, None)
            kept = tuple(self._encoder.decode_kept(reply))
            return replace(outcome, source=peer, kept=kept)
        return outcome

    async def _request_from_next(
        self, failed: str, position: Position
    ) -> "FeedBatch[Value] | _PeerOutcome | None":
        """Request the changes from another reader after one failed; None if it fails too."""
        peer = self._sharing.choose_reader({*self._excluded, failed})
        if peer is None:
            return None
        outcome = await self._request_changes(peer, position, 0.0)
        if outcome in (_PeerOutcome.UNKNOWN, _PeerOutcome.STALE):
            return None
        self._exclude(failed)
        return outcome

    def _exclude(self, peer: str) -> None:
        """Send no requests to a peer for some time."""
        limits, previous = self._limits, self._excluded.get(peer)
        duration_s = limits.exclusion_s if previous is None else 2 * previous.duration_s
        duration_s = min(limits.max_exclusion_s, duration_s)
        self._excluded[peer] = _Exclusion(self._clock.seconds() + duration_s, duration_s)

    def _is_stale(self) -> bool:
        proved_s = None if self._feed is None else self._feed.proved_s
        return proved_s is None or self._clock.seconds() - proved_s > self._limits.max_age_s

    def _choose_reader(self) -> str | None:
        now_s = self._clock.seconds()
        return self._sharing.choose_reader(
            {n for n, e in self._excluded.items() if e.until_s > now_s}
        )

    def _evaluate_reply(
        self, reply: ViewReply | None, called_s: float, position: Position
    ) -> "FeedBatch[Value] | _PeerOutcome":
        """Return the batch in a peer's reply, or why there is none."""
        if reply is None or not reply.is_offset_known:
            return _PeerOutcome.UNKNOWN
        if reply.epoch < max(self._epochs.current, epoch_of(position)):
            return _PeerOutcome.UNKNOWN  # what the peer knows of is not what the store has now
        # The peer checked its view after it had received the request and held it.
        proved_s = called_s + reply.held_s - reply.age_s
        is_stale = self._clock.seconds() - proved_s > self._limits.max_age_s
        has_advanced = reply.position > position
        if is_stale and (self._encoder.encodes_every_change or not has_advanced):
            return _PeerOutcome.STALE
        records = self._encoder.decode(reply, self._log.newest) if has_advanced else ()
        if records is None:
            return _PeerOutcome.NEWER
        end = max(position, reply.position)
        return FeedBatch(records, end, proved_s, 0.0, reply.is_after_outage)

    async def _since_from_store(
        self, position: Position, wait_s: float, timeout_s: float
    ) -> FeedBatch[Value]:
        pause_s = None
        if self._is_serving():
            wait_s = min(wait_s, self._limits.read_wait_s)
            pause_s = self._limits.read_pause_s
        called_s = self._clock.seconds()
        try:
            batch = await self._port.since(position, wait_s, timeout_s, self._on_read_started)
        except (LogTrimmedError, LogReplacedError, LogRestoredError):
            raise  # the store is reachable, and requires a read of the newest records
        except LogError:
            self._is_failing = True
            self._excluded.clear()  # all return to the readers that call the store all the time
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
        """Delay the next call to the store; meanwhile, peers provide the changes."""
        limits = self._limits
        self._retry_s = min(limits.max_retry_s, max(limits.first_retry_s, 2 * self._retry_s))
        self._next_call_s = self._clock.seconds() + self._retry_s

    def _on_read_started(self) -> None:
        """Mark the feed as behind, and schedule the early notice to waiting peers."""
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
        timer, self._early_timer = self._early_timer, None
        self._is_reading = False
        if timer is not None and timer.active():
            timer.cancel()

    def _is_serving(self) -> bool:
        return self._clock.seconds() - self._last_request_s < self._limits.serving_window_s

    # Answers to peers

    def _record_batch(
        self, batch: FeedBatch[Value], is_snapshot: bool, is_after_outage: bool
    ) -> None:
        """Record a batch that the feed has applied, and answer the peers that wait for it."""
        if is_snapshot:
            self._log.reset(batch)
        self._record_changes(batch, is_snapshot, is_after_outage)
        has_recovered, self._has_recovered = self._has_recovered, False
        self._answer_held(has_recovered)

    def _record_changes(
        self, batch: FeedBatch[Value], is_snapshot: bool, is_after_outage: bool
    ) -> None:
        max_bytes = self._sharing.max_change_bytes()
        written_again, self._written_again = self._written_again, set()
        self._log.append(
            batch, is_snapshot, is_after_outage, self._is_serving(), max_bytes, written_again
        )

    def _answer_held(self, has_recovered: bool = False) -> None:
        """Answer the held requests for which there are changes, or all of them."""
        for held in [
            pending for pending in self._held if has_recovered or self._has_changes(pending.request)
        ]:
            if held.timer.active():  # otherwise the hold expires in this turn of the reactor
                held.timer.cancel()
            self._answer(held)

    def _has_changes(self, request: ViewRequest) -> bool:
        if self._is_ahead(request):
            return False  # the peer is answered when this router has read what the store has now
        if self._feed is None or not self._log.covers(request.position):
            return True  # the changes cannot be provided, which the peer must know at once
        if not self._encoder.encodes_every_change:
            return self._end() > request.position
        return self._log.has_changed_since(request.position)

    def _is_ahead(self, request: ViewRequest) -> bool:
        """Whether a peer knows of a later epoch of the store than this router has read."""
        if self._feed is None or self._feed.position < 0:
            return False
        return max(request.epoch, request.known_epoch) > epoch_of(self._feed.position)

    def _end(self) -> Position:
        """Return the position up to which records have been applied or are being read."""
        assert self._feed is not None
        return self._feed.position + (self._is_reading and not self._encoder.encodes_every_change)

    def handle_request(self, sender: str, request: ViewRequest) -> None:
        """Answer a peer's request, at once or when there is a change."""
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
        """Whether a peer may wait for this router: not while the store refuses it.

        Otherwise, routers could wait for this one while it sends its requests to them.
        """
        return request.is_held_during_outage or self._clock.seconds() >= self._next_call_s

    def _on_hold_expired(self, sender: str, request_id: int) -> None:
        for held in [
            e for e in self._held if (e.sender, e.request.request_id) == (sender, request_id)
        ]:
            self._answer(held)

    def _answer(self, held: _HeldRequest) -> None:
        self._held.remove(held)
        request, feed, now_s = held.request, self._feed, self._clock.seconds()
        reply = ViewReply(request.request_id, request.incarnation, False)
        is_covered = self._log.covers(request.position)
        can_answer = self._has_changes(request) or self._can_answer(request)
        if can_answer and feed is not None and feed.proved_s is not None:
            if is_covered or not self._encoder.encodes_every_change:
                reply = ViewReply(
                    request.request_id,
                    request.incarnation,
                    True,
                    offset_of(self._end()),
                    round(now_s - feed.proved_s, 4),
                    round(now_s - held.received_s, 4),
                    epoch=epoch_of(self._end()),
                )
            # While more records are being read, the peer must read the store.
            if is_covered and self._end() == feed.position:
                reply = self._log.add_changes_to_reply(reply, request.position)
                reply = self._add_kept(reply)
        self._sharing.send(held.sender, reply)

    def _add_kept(self, reply: ViewReply) -> ViewReply:
        """Return a reply with what is kept here, as the peer relies on the end of this view."""
        now_s = self._clock.seconds()
        kept = [
            (key, each.restored, each.until_s - now_s) for key, each in self._restored.kept.items()
        ]
        return self._encoder.add_kept(reply, kept)


def share_stream(
    sharing: ReadSharing, stream: StreamName, port: FeedPort[Value]
) -> SharedView[Value]:
    """Return a port that reads from peers first, and records the changes to serve them."""
    restored: RestoredCopy[Value] = RestoredCopy(KEEP_S[stream])
    view = SharedView(sharing, stream, port, LIMITS[stream], ENCODERS[stream], restored)
    sharing.handlers[stream] = view
    return view
