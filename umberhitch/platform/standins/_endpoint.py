"""A stand-in of an endpoint of the users' platform: a model replica or a plain service."""

from collections import deque
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred

__all__ = ["EndpointFaults", "EndpointStandin"]

EVENT_COUNT = 4
COLD_OVERRUN = 1.5
COLD_SLACK = 5.0
"""A cold endpoint ends by more within a second than its rate times the one, plus the other."""


@dataclass
class EndpointFaults:
    """What is wrong with the endpoint at the moment.

    Attributes
    ----------
    status : int
        Status of its replies.
    is_shedding : bool
        It refuses everything, and says that nothing has run.
    loses_answers : bool
        It runs everything, and breaks the connection off instead of answering.
    break_after : int
        Streams break off within the event after so many; 0 for never.
    event_s : float
        Time between events.
    crashes_on : str
        A request with this body ends the endpoint.
    confidence : int
        What its models declare.
    limit_rate : float or None
        Requests a second that it names in each reply.
    is_leaving : bool
        It says in each reply that it leaves.
    rest_s : float or None
        It refuses everything, and wants nothing for so long.
    """

    status: int = 200
    is_shedding: bool = False
    loses_answers: bool = False
    crashes_on: str = ""
    break_after: int = 0
    event_s: float = 0.01
    confidence: int = 100
    limit_rate: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None


@dataclass
class Arrival:
    """A request that arrived, whatever became of it."""

    call_id: str
    at_s: float
    """On the machine's steady clock."""
    is_leaving: bool = False
    """Whether it was told that the endpoint leaves."""
    rest_s: float = 0.0
    """For how long it was told that the endpoint wants nothing."""


@dataclass
class Run:
    """A request that ran."""

    call_id: str
    customer: str
    model: str
    at_s: float
    """On the machine's steady clock."""


@dataclass
class EndpointStandin:
    """An endpoint; serve ``app``."""

    reactor: Any
    incarnation: str
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    port: Any = None
    """Where it listens."""
    has_crashed: bool = False
    cold_until_s: float = 0.0
    """On the machine's steady clock."""
    cold_rate: float = 0.0
    _arrived_s: deque[float] = field(default_factory=deque)
    _transports: set[Any] = field(default_factory=set)

    app = Klein()

    def crash(self) -> None:
        """End as a process does: listen no more, then break every connection."""
        self.has_crashed = True
        maybeDeferred(self.port.stopListening).addCallback(lambda _: self._break_all())

    def _break_all(self) -> None:
        for transport in self._transports:
            transport.abortConnection()

    def _is_overrun(self) -> bool:
        """Whether it is cold and has got more than it bears within the last second."""
        now_s = monotonic()
        self._arrived_s.append(now_s)
        while self._arrived_s[0] <= now_s - 1.0:
            self._arrived_s.popleft()
        bound = self.cold_rate * COLD_OVERRUN + COLD_SLACK
        return now_s < self.cold_until_s and len(self._arrived_s) > bound

    @app.route("/", branch=True)
    def handle_request(self, request: Any) -> Any:
        """Run any request."""
        self._transports.add(request.transport)
        if self.has_crashed:
            request.transport.abortConnection()
            return Deferred()
        head = request.requestHeaders
        call_id = head.getRawHeaders("Attempt-Id", [""])[0]
        arrival = Arrival(call_id, monotonic())
        self.arrivals.append(arrival)
        if self.faults.limit_rate is not None:
            request.setHeader("Server-Limit", f"{self.faults.limit_rate:g}")
        expected = head.getRawHeaders("Expect-Instance", [self.incarnation])[0]
        if expected != self.incarnation:
            request.setHeader("Replica-Id", self.incarnation)
            request.setResponseCode(421)
            return b""
        if self._is_overrun():
            self.crash()
            return Deferred()
        if self.faults.is_shedding or self.faults.rest_s is not None:
            self._say(request, arrival)
            request.setHeader("Not-Executed", "1")
            request.setResponseCode(503)
            return b""
        model = head.getRawHeaders("Model", [""])[0]
        customer = head.getRawHeaders("Tenant", [""])[0]
        self.runs.append(Run(call_id, customer, model, monotonic()))
        body = request.content.read().decode("latin-1")
        if self.faults.crashes_on and body == self.faults.crashes_on:
            self.crash()
            return Deferred()
        if self.faults.loses_answers:
            request.transport.abortConnection()
            return Deferred()
        self._say(request, arrival)
        request.setHeader("Attempt-Id", call_id)
        request.setHeader("Response-Signature", f"signed.{self.incarnation}.{call_id}")
        request.setResponseCode(self.faults.status)
        if not model or self.faults.status != 200:
            return f"{self.incarnation} has run {call_id}".encode()
        request.setHeader("Confidence", str(self.faults.confidence))
        request.setHeader("Content-Type", "text/event-stream")
        start = int(head.getRawHeaders("Last-Event-Id", ["0"])[0])
        return self._stream(request, start)

    def _say(self, request: Any, arrival: Arrival) -> None:
        """Say of itself what it has to, in an answer that is sent."""
        if self.faults.is_leaving:
            arrival.is_leaving = True
            request.setHeader("Server-Leaving", "1")
        if self.faults.rest_s is not None:
            arrival.rest_s = self.faults.rest_s
            request.setHeader("Retry-After", f"{arrival.rest_s:g}")

    def _stream(self, request: Any, start: int) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        is_left: list[bool] = []
        request.notifyFinish().addErrback(lambda failure: is_left.append(True))

        def send(number: int, count: int) -> None:
            if is_left:
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
