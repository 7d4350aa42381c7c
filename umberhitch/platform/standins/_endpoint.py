"""Stand-in for an endpoint of the users' platform: a model replica or a plain service."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred

from umberhitch.adapters.steady import steady_s

__all__ = ["EndpointFaults", "EndpointStandin"]

EVENT_COUNT = 4
COLD_OVERRUN = 1.5
COLD_SLACK = 5.0
"""A cold endpoint crashes if more requests arrive in a second than `COLD_OVERRUN` times its rate,
plus this many."""


@dataclass
class EndpointFaults:
    """Faults that the endpoint shows at the moment.

    Attributes
    ----------
    status : int
        Status of the replies.
    is_shedding : bool
        Whether the endpoint refuses every request and states that it did not run.
    loses_answers : bool
        Whether the endpoint runs every request and aborts the connection instead of replying.
    crashes_on_part : str
        Id of a part of prompts that crashes the endpoint once an answer on it begins; empty for
        none.
    break_after : int
        Number of events after which a stream is cut off within the next event; 0 for never.
    event_s : float
        Seconds between the events of a stream.
    crashes_on : str
        Body of requests that crash the endpoint; empty for none.
    confidence : int
        Confidence that the endpoint's models declare in their replies.
    limit_rate : float or None
        Limit in requests per second that each reply names; None for no limit.
    is_leaving : bool
        Whether each reply states that the endpoint is draining.
    rest_s : float or None
        Back-off in seconds that the endpoint asks for while it refuses every request, or None.
    """

    status: int = 200
    is_shedding: bool = False
    loses_answers: bool = False
    crashes_on: str = ""
    crashes_on_part: str = ""
    break_after: int = 0
    event_s: float = 0.01
    confidence: int = 100
    limit_rate: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None


@dataclass
class Arrival:
    """A request that arrived, whether or not it ran."""

    call_id: str
    at_s: float
    """Time on the steady clock."""
    is_leaving: bool = False
    """Whether the reply stated that the endpoint is draining."""
    rest_s: float = 0.0
    """Back-off in seconds that the reply asked for."""
    is_told_limit: bool = False
    """Whether the reply named a limit."""


@dataclass
class Run:
    """A request that ran."""

    call_id: str
    customer: str
    model: str
    at_s: float
    """Time on the steady clock."""


@dataclass
class EndpointStandin:
    """A stand-in endpoint, served by the Klein application ``app``."""

    reactor: Any
    incarnation: str
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    port: Any = None
    """Listening port of the endpoint."""
    has_crashed: bool = False
    cold_until_s: float = 0.0
    """Time on the steady clock."""
    cold_rate: float = 0.0
    _arrival_times_s: deque[float] = field(default_factory=deque)
    _transports: set[Any] = field(default_factory=set)

    app = Klein()

    def crash(self) -> None:
        """Stop listening, then abort every connection, as when the process crashes."""
        self.has_crashed = True
        maybeDeferred(self.port.stopListening).addCallback(lambda _: self._abort_all())

    def _abort_all(self) -> None:
        for transport in self._transports:
            transport.abortConnection()

    def _is_cold_and_overloaded(self) -> bool:
        """Return whether the endpoint is cold and received too many requests in the last second."""
        now_s = steady_s()
        self._arrival_times_s.append(now_s)
        while self._arrival_times_s[0] <= now_s - 1.0:
            self._arrival_times_s.popleft()
        max_arrivals = self.cold_rate * COLD_OVERRUN + COLD_SLACK
        return now_s < self.cold_until_s and len(self._arrival_times_s) > max_arrivals

    @app.route("/", branch=True)
    def handle_request(self, request: Any) -> Any:
        """Run or refuse any request."""
        self._transports.add(request.transport)
        if self.has_crashed:
            request.transport.abortConnection()
            return Deferred()
        head = request.requestHeaders
        call_id = head.getRawHeaders("Attempt-Id", [""])[0]
        arrival = Arrival(call_id, steady_s())
        self.arrivals.append(arrival)
        if self.faults.limit_rate is not None:
            request.setHeader("Server-Limit", f"{self.faults.limit_rate:g}")
            arrival.is_told_limit = not self.faults.loses_answers
        expected_incarnation = head.getRawHeaders("Expect-Instance", [self.incarnation])[0]
        if expected_incarnation != self.incarnation:
            request.setHeader("Replica-Id", self.incarnation)
            request.setResponseCode(421)
            return b""
        if self._is_cold_and_overloaded():
            self.crash()
            return Deferred()
        if self.faults.is_shedding or self.faults.rest_s is not None:
            self._add_signals(request, arrival)
            request.setHeader("Not-Executed", "1")
            request.setResponseCode(503)
            return b""
        model = head.getRawHeaders("Model", [""])[0]
        customer = head.getRawHeaders("Tenant", [""])[0]
        self.runs.append(Run(call_id, customer, model, steady_s()))
        body = request.content.read().decode("latin-1")
        if self.faults.crashes_on and body == self.faults.crashes_on:
            self.crash()
            return Deferred()
        part = self.faults.crashes_on_part
        if part and f"{part}:" in head.getRawHeaders("Prompt-Prefix", [""])[0]:
            self.reactor.callLater(self.faults.event_s, self.crash)
        if self.faults.loses_answers:
            request.transport.abortConnection()
            return Deferred()
        self._add_signals(request, arrival)
        request.setHeader("Attempt-Id", call_id)
        request.setHeader("Response-Signature", f"signed.{self.incarnation}.{call_id}")
        request.setResponseCode(self.faults.status)
        if not model or self.faults.status != 200:
            return f"{self.incarnation} has run {call_id}".encode()
        request.setHeader("Confidence", str(self.faults.confidence))
        request.setHeader("Content-Type", "text/event-stream")
        start = int(head.getRawHeaders("Last-Event-Id", ["0"])[0])
        return self._stream(request, start)

    def _add_signals(self, request: Any, arrival: Arrival) -> None:
        """Add the headers of the endpoint's signals to a reply, and record them in the arrival."""
        if self.faults.is_leaving:
            arrival.is_leaving = True
            request.setHeader("Server-Leaving", "1")
        if self.faults.rest_s is not None:
            arrival.rest_s = self.faults.rest_s
            request.setHeader("Retry-After", f"{arrival.rest_s:g}")

    def _stream(self, request: Any, start: int) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        disconnected: list[bool] = []
        request.notifyFinish().addErrback(lambda failure: disconnected.append(True))

        def send(number: int, count: int) -> None:
            if disconnected:
                return
            if self.faults.break_after and count > self.faults.break_after:
                request.write(b"id: %d\ndata: bro" % number)
                request.transport.abortConnection()
                return
            request.write(b"id: %d\ndata: e%d\n\n" % (number, number))
            if number >= EVENT_COUNT:
                done.callback(None)
                return
            self.reactor.callLater(self.faults.event_s, send, number + 1, count + 1)

        self.reactor.callLater(self.faults.event_s, send, start + 1, 1)
        return done
