"""Endpoints with slots and queues on a virtual clock, whose heads are decoded as those on the wire.

A plain endpoint runs as many calls at once as it has slots. An engine reads one prompt at a time
and then generates the answers of up to its slots at once. Both refuse calls when their queue is
full, or when a call's time is over before it begins.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from umberhitch.platform._headers import PlatformWire
from umberhitch.ports.clock import Clock, Timer
from umberhitch.ports.direct import (
    CallEvents,
    CallFailure,
    EndpointCall,
    HeaderList,
    ListenerStatus,
)

__all__ = ["LoadedEndpoint", "LoadedEndpoints"]

NETWORK_S = 0.001
"""One way between a router and an endpoint."""
REFUSED = [(b"Not-Executed", b"1")]


@dataclass
class LoadedEndpoint:
    """An endpoint with slots and a queue.

    Attributes
    ----------
    slots, queue_limit : int
        Calls that run at once, and that wait beyond them.
    work_s : float
        Mean time that a call holds a slot at the usual pace, exponentially distributed if
        `is_random`. Of an engine, the time to read a prompt of 1,000 tokens.
    is_random : bool
    is_engine : bool
        Whether prompts are read one after the other, and answers are streams.
    events : int
        Events of an engine's answer, ``gap_s`` apart.
    pace : callable
        Returns by what factor work takes longer at a time.
    figures : int
        Number of figures in the reported load; 0 for no report.
    lag_s : float
        Age of the reported load.
    memory_tokens : int
        Prompt and output tokens that fit into an engine; it crashes beyond. 0 for no limit.
    confidence_by_model : dict of bytes to int
        Confidence that an engine's models declare.
    """

    slots: int = 6
    queue_limit: int = 24
    work_s: float = 0.05
    is_random: bool = False
    is_engine: bool = False
    events: int = 4
    gap_s: float = 0.02
    pace: Callable[[float], float] = lambda now_s: 1.0
    figures: int = 3
    lag_s: float = 0.0
    memory_tokens: int = 0
    confidence_by_model: dict[bytes, int] = field(default_factory=dict)
    work_by_model: dict[bytes, float] = field(default_factory=dict)
    is_down: bool = False
    began: list[str] = field(default_factory=list)
    """Ids of the calls that began to run, in order."""
    begun_work_s: float = 0.0
    """Sum of the work times of these calls."""
    sent: int = 0
    """Calls that routers have sent here, of which `arrived` have arrived."""
    arrived: int = 0
    refused: int = 0
    crashes: int = 0
    busy: int = 0
    reading: int = 0
    waiting: deque["LoadedCall"] = field(default_factory=deque)
    running: list["LoadedCall"] = field(default_factory=list)
    reports: deque[tuple[float, bytes]] = field(default_factory=deque)

    def held_tokens(self) -> int:
        """Return the tokens of all calls that are here."""
        return sum(call.tokens for call in [*self.running, *self.waiting])

    def load_headers(self, now_s: float) -> HeaderList:
        """Return the reported load, as of `lag_s` ago."""
        if not self.figures:
            return []
        figures = [self.busy, len(self.waiting), self.slots, round(100 * self.pace(now_s)), 7]
        value = b",".join(b"%d" % figure for figure in figures[: self.figures])
        self.reports.append((now_s, value))
        while len(self.reports) > 1 and self.reports[1][0] <= now_s - self.lag_s:
            self.reports.popleft()
        return [(b"Replica-Load", self.reports[0][1])]

    def crash(self) -> None:
        """End at once, with all calls."""
        self.is_down = True
        self.crashes += 1
        for call in [*self.running, *self.waiting]:
            call.lose()


class LoadedCall:
    """A call at a loaded endpoint; the `RunningCall` of its router."""

    def __init__(
        self,
        port: "LoadedEndpoints",
        endpoint: LoadedEndpoint | None,
        call: EndpointCall,
        events: CallEvents,
    ) -> None:
        self._port = port
        self._clock = port.clock
        self._endpoint = endpoint
        self.call = call
        self._events: CallEvents | None = events
        self._timer: Timer | None = None
        headers = {name.lower(): value for name, value in call.headers}
        self.model = headers.get(b"model-name", b"")
        self.tokens = port.tokens(call)
        self._ends_s = self._clock.seconds() + float(headers.get(b"left", b"60"))
        self._next_event = int(headers.get(b"last-event", b"0")) + 1
        self.is_paused = False
        self.is_reading = False
        self._later(NETWORK_S, self._arrive)

    @property
    def is_sent(self) -> bool:
        """Whether there is an endpoint at the address."""
        return self._endpoint is not None and not self._endpoint.is_down

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._timer = self._clock.callLater(delay_s, action)

    def _arrive(self) -> None:
        endpoint = self._endpoint
        if endpoint is None or endpoint.is_down:
            self._fail(CallFailure.REFUSED)
            return
        endpoint.arrived += 1
        endpoint.waiting.append(self)
        if endpoint.memory_tokens and endpoint.held_tokens() > endpoint.memory_tokens:
            endpoint.crash()
            return
        self._port.start_waiting(endpoint)
        if len(endpoint.waiting) > endpoint.queue_limit:
            endpoint.waiting.remove(self)
            self.refuse()

    @property
    def is_too_late(self) -> bool:
        """Whether the time of the call is over."""
        return self._clock.seconds() >= self._ends_s

    def refuse(self) -> None:
        """Answer that the call was not run."""
        assert self._endpoint is not None
        self._endpoint.refused += 1
        self._later(NETWORK_S, lambda: self._answer(503, REFUSED, b""))

    def start(self) -> None:
        """Begin to run."""
        endpoint = self._endpoint
        assert endpoint is not None
        endpoint.began.append(self.call.call_id)
        work_s = endpoint.work_by_model.get(self.model, endpoint.work_s)
        if endpoint.is_engine:
            work_s *= self.tokens / 1000
        work_s *= endpoint.pace(self._clock.seconds())
        if endpoint.is_random:
            work_s *= self._port.rng.expovariate(1.0)
        endpoint.begun_work_s += work_s
        self._later(work_s, self._finish_work)

    def _finish_work(self) -> None:
        endpoint = self._endpoint
        assert endpoint is not None
        if not endpoint.is_engine:
            self._leave()
            self._later(NETWORK_S, lambda: self._answer(200, [], b"ok"))
            return
        self._stop_reading()
        self._port.start_waiting(endpoint)
        extra = []
        if self.model in endpoint.confidence_by_model:
            extra = [(b"Confidence", b"%d" % endpoint.confidence_by_model[self.model])]
        if self._send_head(200, extra):
            self._event()

    def _event(self) -> None:
        endpoint, events = self._endpoint, self._events
        assert endpoint is not None
        if events is None:
            return
        number, self._next_event = self._next_event, self._next_event + 1
        events.on_data(b"id: %d\ndata: e%d\n\n" % (number, number))
        if self._next_event <= endpoint.events:
            self._later(endpoint.gap_s * endpoint.pace(self._clock.seconds()), self._event)
            return
        self._leave()
        self._end()

    def _send_head(self, status: int, extra: HeaderList) -> bool:
        """Send a head; return whether somebody still wants the body."""
        endpoint, events = self._endpoint, self._events
        if endpoint is None or events is None:
            return False
        headers = [(b"Attempt-Id", self.call.call_id.encode()), *extra]
        headers += endpoint.load_headers(self._clock.seconds())
        if status == 200:
            headers.append((b"Response-Signature", b"signed"))
        events.on_head(self._port.read_reply(status, headers))
        return self._events is not None

    def _answer(self, status: int, extra: HeaderList, body: bytes) -> None:
        if self._send_head(status, extra):
            assert self._events is not None
            self._events.on_data(body)
            self._end()

    def _end(self) -> None:
        events, self._events = self._events, None
        if events is not None:
            events.on_end()

    def _leave(self) -> None:
        """Free the slot or the place in the queue."""
        endpoint = self._endpoint
        if endpoint is None:
            return
        if self in endpoint.waiting:
            endpoint.waiting.remove(self)
        if self in endpoint.running:
            endpoint.running.remove(self)
            endpoint.busy -= 1
        self._stop_reading()
        self._port.start_waiting(endpoint)

    def _stop_reading(self) -> None:
        if self.is_reading:
            assert self._endpoint is not None
            self.is_reading = False
            self._endpoint.reading -= 1

    def _fail(self, failure: CallFailure) -> None:
        events, self._events = self._events, None
        if events is not None:
            events.on_failure(failure, "loaded endpoint")

    def lose(self) -> None:
        """Break off, since the endpoint has crashed."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._leave()
        self._fail(CallFailure.BROKEN)

    def cancel(self) -> None:
        """Stop the call; the endpoint is free of it at once."""
        self._events = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._leave()

    def detach(self) -> None:
        """Want nothing more of the reply."""
        self._events = None

    def pause(self) -> None:
        """Take note."""
        self.is_paused = True

    def resume(self) -> None:
        """Take note."""
        self.is_paused = False


class LoadedEndpoints:
    """An `EndpointPort` to loaded endpoints, by address; the same for all routers.

    Parameters
    ----------
    clock : Clock
    rng : Random
    tokens : callable
        Returns the tokens of a call; by default the length of its body.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        tokens: Callable[[EndpointCall], int] = lambda call: len(call.body),
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.tokens = tokens
        self.read_reply = PlatformWire().read_reply
        self.by_address: dict[str, LoadedEndpoint] = {}
        self.calls = 0

    def of(self, sender: str) -> "LoadedEndpoints":
        """Return the port of one router."""
        return self

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> LoadedCall:
        """Send a call."""
        self.calls += 1
        endpoint = self.by_address.get(address)
        if endpoint is not None:
            endpoint.sent += 1
        return LoadedCall(self, endpoint, call, events)

    def check(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        """Tell whether there is an endpoint."""
        endpoint = self.by_address.get(address)
        is_there = endpoint is not None and not endpoint.is_down
        found = ListenerStatus.YES if is_there else ListenerStatus.NO
        self.clock.callLater(NETWORK_S, on_found, found)

    def close_idle(self, address: str) -> None:
        """Do nothing; no connection is kept."""

    def start_waiting(self, endpoint: LoadedEndpoint) -> None:
        """Begin waiting calls while there is a slot."""
        while endpoint.waiting and endpoint.busy < endpoint.slots:
            if endpoint.is_engine and endpoint.reading:
                return
            call = endpoint.waiting.popleft()
            if call.is_too_late:
                call.refuse()
                continue
            endpoint.busy += 1
            if endpoint.is_engine:
                endpoint.reading += 1
                call.is_reading = True
            endpoint.running.append(call)
            call.start()
