"""The world around a router of the direct path, in memory and on any clock: store and endpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred, succeed

from umberhitch.core.direct import (
    Ask,
    PromptPart,
    ReplyHead,
    RolloutState,
)
from umberhitch.errors import (
    BadAskError,
    LogAnswerLostError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.ports.clock import Clock, Timer
from umberhitch.ports.direct import (
    CallEvents,
    CallExtras,
    CallFailure,
    EndpointCall,
    FeedBatch,
    FeedRecord,
    HeaderList,
    Member,
    RawRequest,
    StoredStatus,
)

__all__ = [
    "FakeEndpoint",
    "FakeEndpoints",
    "FakeFeed",
    "FakeMembers",
    "FakeReply",
    "FakeStatuses",
    "FakeWire",
    "KeyedMemory",
    "Reply",
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
    """A keyed stream."""

    def __init__(self) -> None:
        self.records: list[FeedRecord[Value]] = []
        self.first = 0
        self.waiting: list[Deferred[None]] = []

    def put(self, key: str, value: Value | None) -> None:
        """Append a record."""
        self.records.append(FeedRecord(key, value))
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done.callback(None)

    def forget_history(self) -> None:
        """Drop every record but the newest of each key, for those who read by offset."""
        self.first = len(self.records)


class FakeFeed(Generic[Value]):
    """A `FeedPort` to a `KeyedMemory`."""

    def __init__(self, memory: KeyedMemory[Value], clock: Clock, faults: StoreFaults) -> None:
        self._memory = memory
        self._clock = clock
        self._faults = faults
        self.calls = 0

    async def newest(self, patience_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key."""
        await self._reach()
        newest = {record.key: record for record in self._memory.records}
        kept = tuple(record for record in newest.values() if record.value is not None)
        return FeedBatch(kept, len(self._memory.records))

    async def since(self, offset: int, wait_s: float, patience_s: float) -> FeedBatch[Value]:
        """Return records, waiting for the first."""
        await self._reach()
        if offset < self._memory.first:
            raise LogTrimmedError(self._memory.first)
        if offset >= len(self._memory.records) and self._faults.holds:
            await self._wait(wait_s)
            if self._faults.is_down:
                raise LogUnavailableError("down")
        records = tuple(self._memory.records[offset:])
        return FeedBatch(records, offset + len(records))

    def _wait(self, wait_s: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._clock.callLater(wait_s, self._time_out, done)
        self._memory.waiting.append(done)
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
    done: Deferred[None] = Deferred()
    clock.callLater(faults.delay_s, done.callback, None)
    return done


class FakeStatuses:
    """A `StatusPort`; several routers may share the rows."""

    def __init__(self, rows: list[tuple[str, str, RolloutState]], faults: StoreFaults) -> None:
        self.rows = rows
        self._faults = faults

    async def read(self) -> StoredStatus:
        """Return all states."""
        if self._faults.is_down:
            raise LogUnavailableError("down")
        states = {service: (target, state) for service, target, state in self.rows}
        return StoredStatus(states, len(self.rows))

    async def write(self, service: str, target: str, state: RolloutState, end: int) -> bool:
        """Write a state unless anything was written since ``end``."""
        if self._faults.is_down:
            raise LogUnavailableError("down")
        if end != len(self.rows):
            return False
        self.rows.append((service, target, state))
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            raise LogAnswerLostError("answer lost")
        return True


class FakeMembers:
    """A `MembersPort`; routers share the dictionary."""

    def __init__(self, rows: dict[str, Member], faults: StoreFaults) -> None:
        self._rows = rows
        self._faults = faults

    async def join(self, member: Member, ttl_s: float) -> int:
        """Join or stay."""
        if self._faults.is_down:
            raise LogUnavailableError("down")
        self._rows[member.name] = member
        return len(self._rows)

    async def leave(self, member: Member) -> None:
        """Leave."""
        self._rows.pop(member.name, None)

    async def members(self) -> list[Member]:
        """Return all members."""
        return list(self._rows.values())


@dataclass
class Reply:
    """How a fake endpoint answers one call.

    Attributes
    ----------
    delay_s : float
        Until the head.
    events : int
        Of a stream; 0 for a plain body.
    gap_s : float
        Between events.
    break_after : int or None
        The connection is lost after so many events, within the next one.
    failure : CallFailure or None
        No reply at all.
    is_silent : bool
        Nothing ever comes.
    """

    status: int = 200
    body: bytes = b"ok"
    delay_s: float = 0.01
    is_signed: bool = True
    not_run: bool = False
    is_elsewhere: bool = False
    confidence: int | None = None
    events: int = 0
    gap_s: float = 0.05
    break_after: int | None = None
    failure: CallFailure | None = None
    is_silent: bool = False


@dataclass
class FakeEndpoint:
    """An endpoint; ``replies`` are used up one by one, then ``reply``."""

    reply: Reply = field(default_factory=Reply)
    replies: list[Reply] = field(default_factory=list)
    calls: list[EndpointCall] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)


class _FakeCall:
    """A call that runs on a fake endpoint."""

    def __init__(
        self, clock: Clock, endpoint: FakeEndpoint | None, call: EndpointCall, events: CallEvents
    ) -> None:
        self._clock = clock
        self._endpoint = endpoint
        self._call = call
        self._events: CallEvents | None = events
        self._timer: Timer | None = None
        self.is_paused = False
        reply = self._reply()
        if reply is not None and not reply.is_silent:
            self._later(reply.delay_s, lambda: self._begin(reply))

    def _reply(self) -> Reply | None:
        if self._endpoint is None:
            return Reply(failure=CallFailure.NOT_SENT)
        self._endpoint.calls.append(self._call)
        replies = self._endpoint.replies
        reply = replies.pop(0) if replies else self._endpoint.reply
        if not reply.not_run and reply.failure is not CallFailure.NOT_SENT:
            self._endpoint.ran.append(self._call.call_id)
        return reply

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._timer = self._clock.callLater(delay_s, action)

    def _begin(self, reply: Reply) -> None:
        if self._events is None:
            return
        if reply.failure is not None:
            self._events.on_failure(reply.failure, "fake")
            return
        self._events.on_head(
            ReplyHead(
                reply.status,
                [(b"Endpoint", b"fake")],
                self._call.call_id,
                is_signed=reply.is_signed,
                not_run=reply.not_run,
                is_elsewhere=reply.is_elsewhere,
                confidence=reply.confidence,
            )
        )
        if reply.events and reply.status == 200:
            start = dict(self._call.headers).get(b"Last-Event", b"0")
            self._later(reply.gap_s, lambda: self._event(reply, int(start) + 1, 1))
        elif self._events is not None:
            self._events.on_data(reply.body)
            self._end()

    def _event(self, reply: Reply, number: int, count: int) -> None:
        if self._events is None:
            return
        if reply.break_after is not None and count > reply.break_after:
            self._events.on_data(b"id: %d\ndata: bro" % number)
            events, self._events = self._events, None
            events.on_failure(CallFailure.BROKEN, "fake")
            return
        self._events.on_data(b"id: %d\ndata: e%d\n\n" % (number, number))
        if number >= reply.events:
            self._end()
            return
        self._later(reply.gap_s, lambda: self._event(reply, number + 1, count + 1))

    def _end(self) -> None:
        events, self._events = self._events, None
        if events is not None:
            events.on_end()

    def cancel(self) -> None:
        if self._events is not None and self._endpoint is not None:
            self._endpoint.cancelled.append(self._call.call_id)
        self._events = None

    def detach(self) -> None:
        self._events = None

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False


class FakeEndpoints:
    """An `EndpointPort` to fake endpoints, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.by_address: dict[str, FakeEndpoint] = {}
        self.running: list[_FakeCall] = []

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> _FakeCall:
        """Send a call."""
        running = _FakeCall(self._clock, self.by_address.get(address), call, events)
        self.running.append(running)
        return running

    def close_idle(self, address: str) -> None:
        """Do nothing: no connection is kept."""


class FakeReply:
    """A `CallerReply` that keeps what it got."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False
        self.is_aborted = False
        self.pause: Callable[[], None] | None = None
        self.resume: Callable[[], None] | None = None

    def head(self, status: int, headers: HeaderList) -> None:
        """Begin the reply."""
        assert self.status is None, "two heads"
        self.status = status
        self.headers = dict(headers)

    def data(self, data: bytes) -> None:
        """Take more of the body."""
        assert self.status is not None
        assert not self.is_over
        self.body += data

    def end(self) -> None:
        """Take the end."""
        assert not self.is_over
        self.is_complete = True

    def abort(self) -> None:
        """Take the break."""
        assert not self.is_over
        self.is_aborted = True

    def on_pressure(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Keep the calls."""
        self.pause, self.resume = pause, resume

    @property
    def is_over(self) -> bool:
        """Whether the reply has ended, one way or the other."""
        return self.is_complete or self.is_aborted


class FakeWire:
    """A `WirePort` with headers of its own."""

    def read_ask(self, raw: RawRequest) -> Ask:
        """Decode a request."""
        headers = dict(raw.headers)
        if b"Id" not in headers:
            raise BadAskError(400, "no id")
        session = headers.get(b"Session-Name")
        prompt = headers.get(b"Prompt")
        parts = [item.split(b":") for item in prompt.split(b",")] if prompt else []
        return Ask(
            headers[b"Id"].decode(),
            raw.method,
            raw.target,
            headers.get(b"Host", b"").decode(),
            raw.target.decode(),
            [],
            headers[b"Key"].decode() if b"Key" in headers else None,
            float(headers.get(b"Patience", b"10")),
            picks_model=b"Any-Model" in headers,
            prompt=tuple(PromptPart(name.decode(), int(count)) for name, count in parts),
            session=None if session is None else session.decode(),
            body=raw.body,
        )

    def call_headers(self, ask: Ask, extras: CallExtras) -> HeaderList:
        """Return all headers of a call."""
        headers = [(b"Left", f"{extras.deadline_s:.3f}".encode())]
        headers.append((b"Incarnation", extras.incarnation.encode()))
        if extras.customer is not None:
            headers.append((b"Customer", extras.customer.encode()))
        if extras.model is not None:
            headers.append((b"Model-Name", extras.model.encode()))
        if extras.last_event is not None:
            headers.append((b"Last-Event", extras.last_event))
        return headers

    def read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        """Return a head without meaning."""
        return ReplyHead(status, headers)

    def refusal_headers(self, call_id: str | None, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer of the router's own."""
        if retry_after_s is None:
            return []
        return [(b"Come-Back", f"{retry_after_s:.3f}".encode())]
