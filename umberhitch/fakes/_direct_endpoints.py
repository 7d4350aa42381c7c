"""Endpoints of a router of the direct path, in memory and on any clock."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from umberhitch.core.direct import (
    HeadSignals,
    Rate,
    ReplyHead,
    ReportedLoad,
)
from umberhitch.ports.clock import Clock, Timer
from umberhitch.ports.direct import (
    CallEvents,
    CallFailure,
    EndpointCall,
    ListenerStatus,
)

CHECK_S = 0.002

__all__ = ["FakeEndpoint", "FakeEndpoints", "Reply", "part_ids"]


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
    ends_after : int or None
        The reply ends like a complete one after so many events, within the next one.
    failure : CallFailure or None
        No reply at all.
    is_silent : bool
        Nothing ever comes.
    backoff_s : float or None
        With 503, for how long the endpoint wants nothing.
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
    ends_after: int | None = None
    failure: CallFailure | None = None
    is_silent: bool = False
    load: ReportedLoad | None = None
    is_limit_unclear: bool = False
    backoff_s: float | None = None


def part_ids(call: EndpointCall) -> list[bytes]:
    """Return the ids of the parts of a call's prompt, as `FakeWire` writes them."""
    prompt = dict(call.headers).get(b"Prompt", b"")
    return [part.partition(b":")[0] for part in prompt.split(b",") if part]


REFUSED = Reply(status=503, delay_s=0.002, is_signed=False, not_run=True)
"""Of an endpoint that is full."""


@dataclass
class FakeEndpoint:
    """An endpoint; ``replies`` are used up one by one, then ``reply``.

    Attributes
    ----------
    answer : callable or None
        Returns the reply to a call; goes before all other replies.
    replies_by_model : dict of bytes to Reply
        Replies to the calls of some models, which go before the others.
    fails_over : int
        With more calls than this under way, further ones fail; 0 for never.
    crashing : dict of bytes to float
        Bodies of calls that end the endpoint, and how long after they begin, in seconds.
    crashing_parts : dict of bytes to float
        The same for parts of the prompts of calls.
    crashes_silently : bool
        Whether its connections hang when it ends, in place of being closed.
    silence_s : float or None
        When such a connection ends after all, as it doesn't answer the kernel's keep-alives.
    on_crash : callable
        Called when it ends.
    limit_rate : float or None
        Requests a second that it names in each reply, whatever becomes of the call.
    is_draining : bool
        Whether it says in each reply that it leaves.
    rests_s : float or None
        It refuses everything, and wants nothing for so long.
    arrivals : list of (str, float)
        Who sent a call, and when.
    limit_words : list of (str, float)
        Who was told a limit, and when.
    drain_words : list of (str, float)
        Who was told that it leaves, and when.
    rest_words : list of (str, float, float)
        Who was told that it wants nothing, when, and for how long.
    """

    fails_over: int = 0
    active: int = 0
    crashing: dict[bytes, float] = field(default_factory=dict)
    crashing_parts: dict[bytes, float] = field(default_factory=dict)
    crashes_silently: bool = False
    silence_s: float | None = None
    is_down: bool = False
    on_crash: Callable[["FakeEndpoint"], None] | None = None
    limit_rate: float | None = None
    is_draining: bool = False
    rests_s: float | None = None

    answer: Callable[[EndpointCall], Reply] | None = None
    reply: Reply = field(default_factory=Reply)
    replies: list[Reply] = field(default_factory=list)
    replies_by_model: dict[bytes, Reply] = field(default_factory=dict)
    calls: list[EndpointCall] = field(default_factory=list)
    called_s: list[float] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    under_way: list["_FakeCall"] = field(default_factory=list)
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    limit_words: list[tuple[str, float]] = field(default_factory=list)
    drain_words: list[tuple[str, float]] = field(default_factory=list)
    rest_words: list[tuple[str, float, float]] = field(default_factory=list)

    def crash_after_s(self, call: EndpointCall) -> float | None:
        """Return how long after its beginning a call ends the endpoint, or None if it does not."""
        causes = [
            self.crashing_parts[part] for part in part_ids(call) if part in self.crashing_parts
        ]
        if call.body in self.crashing:
            causes.append(self.crashing[call.body])
        return min(causes, default=None)

    def crash(self) -> None:
        """End at once, with all calls under way."""
        if self.is_down:
            return
        self.is_down = True
        if self.on_crash is not None:
            self.on_crash(self)
        for call in [*self.under_way]:
            call.lose(self.crashes_silently, self.silence_s)


class _FakeCall:
    """A call that runs on a fake endpoint."""

    def __init__(
        self,
        clock: Clock,
        endpoint: FakeEndpoint | None,
        call: EndpointCall,
        events: CallEvents,
        sender: str = "",
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._endpoint = endpoint
        self._call = call
        self._events: CallEvents | None = events
        self._timer: Timer | None = None
        self.is_paused = False
        reply = self._reply()
        self._failure = None if reply is None else reply.failure
        if reply is not None and not reply.is_silent:
            self._later(reply.delay_s, lambda: self._begin(reply))
        if endpoint is not None:
            endpoint.under_way.append(self)
            crash_after_s = endpoint.crash_after_s(call)
            if crash_after_s is not None:
                clock.callLater(crash_after_s, endpoint.crash)

    @property
    def body(self) -> bytes:
        """Return the body of the call."""
        return self._call.body

    @property
    def call_id(self) -> str:
        """Return the id of the call's request."""
        return self._call.call_id

    @property
    def model(self) -> bytes:
        """Return the model of the call."""
        return dict(self._call.headers).get(b"Model-Name", b"")

    @property
    def is_sent(self) -> bool:
        """Whether the call has reached the endpoint."""
        return self._failure not in (CallFailure.NOT_SENT, CallFailure.REFUSED)

    def _reply(self) -> Reply | None:
        if self._endpoint is None:
            return Reply(failure=CallFailure.REFUSED)
        self._endpoint.calls.append(self._call)
        self._endpoint.called_s.append(self._clock.seconds())
        self._endpoint.arrivals.append((self._sender, self._clock.seconds()))
        endpoint = self._endpoint
        reply = endpoint.replies_by_model.get(self.model)
        if endpoint.answer is not None:
            reply = endpoint.answer(self._call)
        elif reply is None:
            reply = endpoint.replies.pop(0) if endpoint.replies else endpoint.reply
        if endpoint.rests_s is not None:
            reply = replace(REFUSED, backoff_s=endpoint.rests_s)
        if endpoint.fails_over and endpoint.active > endpoint.fails_over:
            reply = Reply(status=500, delay_s=reply.delay_s)
        endpoint.active += 1
        if not reply.not_run and reply.failure is not CallFailure.NOT_SENT:
            self._endpoint.ran.append(self._call.call_id)
        return reply

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._timer = self._clock.callLater(delay_s, action)

    def _begin(self, reply: Reply) -> None:
        if self._events is None:
            return
        if reply.failure is not None:
            events = self._events
            self._stop()
            events.on_failure(reply.failure, "fake")
            return
        self._note_words(reply)
        self._events.on_head(
            ReplyHead(
                reply.status,
                [(b"Endpoint", b"fake")],
                self._call.call_id,
                is_signed=reply.is_signed,
                not_run=reply.not_run,
                is_wrong_incarnation=reply.is_elsewhere,
                confidence=reply.confidence,
                signals=self._signals(reply),
            )
        )
        if self._events is None:
            self._stop()
        elif reply.events and reply.status == 200:
            start = dict(self._call.headers).get(b"Last-Event", b"0")
            self._later(reply.gap_s, lambda: self._event(reply, int(start) + 1, 1))
        else:
            self._events.on_data(reply.body)
            self._end()

    def _note_words(self, reply: Reply) -> None:
        """Keep whom the endpoint tells what."""
        endpoint, now_s = self._endpoint, self._clock.seconds()
        if endpoint is None or reply.is_elsewhere:
            return
        if endpoint.limit_rate is not None:
            endpoint.limit_words.append((self._sender, now_s))
        if endpoint.is_draining:
            endpoint.drain_words.append((self._sender, now_s))
        if reply.status == 503 and reply.backoff_s:
            endpoint.rest_words.append((self._sender, now_s, reply.backoff_s))

    def _signals(self, reply: Reply) -> HeadSignals:
        endpoint = self._endpoint
        if endpoint is None:
            return HeadSignals()
        return HeadSignals(
            endpoint.is_draining,
            reply.backoff_s if reply.status == 503 else None,
            Rate(endpoint.limit_rate, reply.is_limit_unclear),
            reply.load,
        )

    def _event(self, reply: Reply, number: int, count: int) -> None:
        if self._events is None:
            return
        if reply.break_after is not None and count > reply.break_after:
            self._events.on_data(b"id: %d\ndata: bro" % number)
            events = self._events
            self._stop()
            events.on_failure(CallFailure.BROKEN, "fake")
            return
        if reply.ends_after is not None and count > reply.ends_after:
            self._events.on_data(b"id: %d\ndata: bro" % number)
            self._end()
            return
        self._events.on_data(b"id: %d\ndata: e%d\n\n" % (number, number))
        if number >= reply.events:
            self._end()
            return
        self._later(reply.gap_s, lambda: self._event(reply, number + 1, count + 1))

    def lose(self, is_silent: bool, silence_s: float | None = None) -> None:
        """Lose the endpoint; the caller sees that unless it is silent, or after a time."""
        if is_silent and silence_s is not None:
            if self._timer is not None and self._timer.active():
                self._timer.cancel()
            self._clock.callLater(silence_s, self.lose, False)
            return
        events = self._events
        self._stop()
        if events is not None and not is_silent:
            events.on_failure(CallFailure.BROKEN, "lost")

    def _stop(self) -> None:
        """Nothing more happens to the call."""
        self._events = None
        if self._endpoint is not None and self in self._endpoint.under_way:
            self._endpoint.under_way.remove(self)

    def _end(self) -> None:
        events = self._events
        self._stop()
        if self._endpoint is not None:
            self._endpoint.active -= 1
        if events is not None:
            events.on_end()

    def cancel(self) -> None:
        if self._events is not None and self._endpoint is not None:
            self._endpoint.cancelled.append(self._call.call_id)
        self._stop()

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
        self.closed: list[str] = []
        """Addresses to which the kept connections were closed."""

    def of(self, sender: str) -> "_SenderPort":
        """Return the port of one router."""
        return _SenderPort(self, sender)

    def send(
        self, address: str, call: EndpointCall, events: CallEvents, sender: str = ""
    ) -> _FakeCall:
        """Send a call."""
        running = _FakeCall(self._clock, self.by_address.get(address), call, events, sender)
        self.running.append(running)
        return running

    def check(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        """Tell whether there is an endpoint."""
        self._clock.callLater(CHECK_S, self._found, address, on_found)

    def _found(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        endpoint = self.by_address.get(address)
        is_there = endpoint is not None and not endpoint.is_down
        on_found(ListenerStatus.YES if is_there else ListenerStatus.NO)

    def close_idle(self, address: str) -> None:
        """Take note; no connection is kept."""
        self.closed.append(address)


@dataclass(frozen=True)
class _SenderPort:
    """The `EndpointPort` of one router."""

    endpoints: FakeEndpoints
    sender: str

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> _FakeCall:
        return self.endpoints.send(address, call, events, self.sender)

    def check(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        self.endpoints.check(address, on_found)

    def close_idle(self, address: str) -> None:
        self.endpoints.close_idle(address)
