"""Callers over HTTP/1.1: strict heads, bounded bodies, replies that stream.

The parser is h11, not klein: klein and Twisted's own server keep whole bodies in files, add headers
and hide when a caller has left (`docs/design/0009`). Each connection is a task of its own; it hands
over whole requests and gets back calls of `CallerReply`.
"""

from collections import Counter
from collections.abc import Callable
from logging import getLogger
from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from umberhitch.adapters.accept_gate import AcceptGate
from umberhitch.adapters.held_bytes import HeldBytes, Side, WaitingBytes
from umberhitch.adapters.outgoing import FlowControl, Outgoing
from umberhitch.adapters.silence import detect_silence
from umberhitch.adapters.unsent import unacknowledged_bytes
from umberhitch.core.direct import IntakeLimits
from umberhitch.ports.caller_connections import UNDER_WAY, ConnectionStage
from umberhitch.ports.clock import Clock, Timer
from umberhitch.ports.direct import CallerReply, HeaderList, RawRequest

__all__ = ["CALLER_SILENCE_S", "CallerFactory", "RequestHandler"]

log = getLogger(__name__)

CALLER_SILENCE_S = 5.0
"""Seconds without an acknowledgement after which a caller counts as gone."""
CLOSE_S = 1.0
"""After a last answer, bytes that still come are read for so long, so that the close does not reset
the connection before the answer has been read (RFC 9112, 9.6)."""
MAX_PIPELINED_BYTES = 262_144
"""Bytes after a request that is being answered; a caller that sends more is cut off."""
IDLE_MARGIN_S = 1.0
"""Kept connections stay open a little longer than the limit says."""
BODY_TIMEOUT_S = 10.0
"""Time for a whole body; callers that send a byte a second are not waited for."""
LEAVING = "leaving"
"""Reason of the refusals of a router that stops."""


class RequestHandler(Interface):
    """Takes whole requests."""

    def handle(self, raw: RawRequest, reply: CallerReply) -> Callable[[], None]:
        """Begin to answer; returns what is to be called if the caller leaves before the end."""
        ...

    def intake(self) -> IntakeLimits:
        """Return the limits that are in force."""
        ...

    def keeps_connections(self) -> bool:
        """Whether connections are kept after an answer."""
        ...

    def refuse_unread(self, status: int, problem: str) -> tuple[HeaderList, bytes]:
        """Return headers and body of an answer to a request that was not taken."""
        ...


class _Reply:
    """The way back to one caller, for one request."""

    def __init__(self, connection: "_CallerConnection") -> None:
        self._connection: _CallerConnection | None = connection

    def head(self, status: int, headers: HeaderList) -> None:
        if self._connection is not None:
            self._connection.send_head(status, headers)

    def data(self, data: bytes) -> None:
        if self._connection is not None:
            self._connection.send_data(data)

    def end(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.finish()

    def abort(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def set_flow_control(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        if self._connection is not None:
            self._connection.set_source(FlowControl(pause, resume))


class _CallerConnection(Protocol):
    """One connection of a caller."""

    transport: Any

    def __init__(self, factory: "CallerFactory") -> None:
        self._factory = factory
        self._handler = factory.handler
        self._clock = factory.clock
        self._limits = factory.handler.intake()
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        self._timer: Timer | None = None
        self._request: h11.Request | None = None
        self._is_head = False
        """Whether the reply under way is one to HEAD."""
        self._first_byte_s: float | None = None
        self._body = bytearray()
        self._leave: Callable[[], None] | None = None
        self._is_answering = False
        self._is_closing = False
        self._is_over = False
        """Whether the connection was lost or broken."""
        self._is_refused_unread = False
        """Whether the caller may still be sending a request that was refused."""
        self._pipelined = 0
        self._waiting: WaitingBytes | None = None
        self._outgoing: Outgoing | None = None

    # From the caller

    def connectionMade(self) -> None:
        detect_silence(self.transport, CALLER_SILENCE_S)
        self._outgoing = Outgoing(self.transport)
        self._waiting = WaitingBytes(
            self._factory.held, Side.CALLER, self.transport, self._let_go, self._outgoing
        )
        self._factory.connections.add(self)
        self._wait(self._limits.idle_timeout_s + IDLE_MARGIN_S, self._on_idle)

    def dataReceived(self, data: bytes) -> None:
        if self._is_closing:
            return
        if self._first_byte_s is None:
            self._first_byte_s = self._clock.seconds()
            if not self._is_answering:
                self._wait(self._limits.head_timeout_s, self._on_slow)
        if self._is_answering:
            self._pipelined += len(data)
            if self._pipelined > MAX_PIPELINED_BYTES:
                self.abort()
                return
        self._parser.receive_data(data)
        self._read()
        if self._factory.refuses_incomplete:
            self.refuse_incomplete()

    def _read(self) -> None:
        while not self._is_answering and not self._is_closing:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as exc:
                self._refuse(exc.error_status_hint, str(exc))
                return
            match event:
                case h11.Request():
                    self._on_head(event)
                case h11.Data():
                    self._on_body(bytes(event.data))
                case h11.EndOfMessage():
                    self._on_whole()
                case _:
                    return

    def _on_head(self, request: h11.Request) -> None:
        problem = _framing_problem(request)
        if problem:
            self._refuse(400, problem)
            return
        length = _length(request)
        if length > self._limits.body_bytes:
            self._refuse(413, "body too large")
            return
        self._request = request
        self._is_head = request.method == b"HEAD"
        self._wait(BODY_TIMEOUT_S, self._on_slow)
        if self._parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._parser.send(go_on))

    def _on_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._limits.body_bytes:
            self._refuse(413, "body too large")
            return
        if not self._factory.hold(len(data)):
            self._refuse(503, "no room for more bodies")
            return
        self._body += data

    def _on_whole(self) -> None:
        request, self._request = self._request, None
        assert request is not None
        self._stop_waiting()
        if self._factory.refuses_all:
            self._refuse(503, LEAVING)
            return
        if not self._factory.has_room_for_reply():
            self._refuse(503, "no room for more answers")
            return
        received_s = self._first_byte_s
        self._first_byte_s = None
        self._is_answering = True
        self._pipelined = 0
        raw = RawRequest(
            bytes(request.method),
            bytes(request.target),
            list(request.headers.raw_items()),
            bytes(self._body),
            self._clock.seconds() if received_s is None else received_s,
        )
        leave = self._handler.handle(raw, _Reply(self))
        if self._is_answering:
            self._leave = leave

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._is_closing = self._is_over = True
        self._stop_waiting()
        self._release()
        if self._waiting is not None:
            self._waiting.close()
        self._factory.connections.discard(self)
        leave, self._leave = self._leave, None
        if leave is not None:
            leave()

    def _release(self) -> None:
        self._factory.hold(-len(self._body))
        self._body = bytearray()

    # Timers

    def _wait(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_waiting()
        self._timer = self._clock.callLater(delay_s, action)

    def _stop_waiting(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _on_idle(self) -> None:
        self._timer = None
        self._is_closing = True
        self.transport.loseConnection()

    def _on_slow(self) -> None:
        self._timer = None
        self._refuse(408, "too slow")

    # To the caller

    def _refuse(self, status: int, problem: str) -> None:
        """Answer a request that was not taken, and close."""
        self._is_refused_unread = self._parser.their_state is not h11.DONE
        log.info("request refused", extra={"status": status, "problem": problem})
        self._factory.refused[status] = self._factory.refused.get(status, 0) + 1
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers, body = self._handler.refuse_unread(status, problem)
            headers = [*headers, (b"Connection", b"close")]
            self.send_head(status, headers)
            self.send_data(body)
            self._write(self._parser.send(h11.EndOfMessage()))
        self.close_soon()

    def send_head(self, status: int, headers: HeaderList) -> None:
        """Begin a reply."""
        if not self._handler.keeps_connections():
            headers = [*headers, (b"Connection", b"close")]
        self._write(self._parser.send(h11.Response(status_code=status, headers=headers)))

    def send_data(self, data: bytes) -> None:
        """Send more of a reply; one to HEAD has no body (RFC 9110, 9.3.2)."""
        if not self._is_head:
            self._write(self._parser.send(h11.Data(data=data)))

    def _write(self, data: bytes | None) -> None:
        if data and self._outgoing is not None and self._waiting is not None:
            self._outgoing.write(data)
            self._waiting.note_written(len(data))

    def set_source(self, source: FlowControl) -> None:
        """Set what is paused while the caller does not read the reply."""
        if self._outgoing is not None:
            self._outgoing.set_source(source)

    def finish(self) -> None:
        """End a reply, and go on with the next request."""
        self._write(self._parser.send(h11.EndOfMessage()))
        if self._outgoing is not None:
            self._outgoing.set_source(None)
        self._leave = None
        self._is_answering = False
        self._release()
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            self.close_soon()
            return
        self._parser.start_next_cycle()
        self._limits = self._handler.intake()
        self._wait(self._limits.idle_timeout_s + IDLE_MARGIN_S, self._on_idle)
        self._clock.callLater(0, self._read_next)

    def _read_next(self) -> None:
        if not self._is_closing and not self._is_answering:
            if self._pipelined:
                self._pipelined = 0
                self._first_byte_s = self._clock.seconds()
            self._read()

    def close_soon(self) -> None:
        """Close once what was sent has been read."""
        self._is_closing = True
        self._wait(CLOSE_S, self._close_if_taken)
        self.transport.loseWriteConnection()

    def _close_if_taken(self) -> None:
        """Close, but leave a caller that still reads its answer the time to do so."""
        self._timer = None
        if self._is_unsent():
            self._wait(CLOSE_S, self._close_if_taken)
        else:
            self.abort()

    def _is_unsent(self) -> bool:
        """Whether the caller has not taken all that was written."""
        unsent = 0 if self._outgoing is None else self._outgoing.unsent
        return bool(unsent or unacknowledged_bytes(self.transport))

    def refuse_incomplete(self) -> None:
        """Refuse a request that was not read whole."""
        if self.stage is ConnectionStage.RECEIVING:
            self._refuse(503, LEAVING)

    def refuse_unanswered(self) -> None:
        """Refuse a request that was read and for which nothing has been done."""
        if self.stage is not ConnectionStage.ANSWERING:
            return
        leave, self._leave = self._leave, None
        if leave is not None:
            leave()
        if self._is_answering:
            self._is_answering = False
            self._refuse(503, LEAVING)

    def _let_go(self, detail: str) -> None:
        """Reset the connection; what was asked is cancelled once it is lost."""
        self._is_closing = self._is_over = True
        self.transport.abortConnection()

    def abort(self) -> None:
        """Break the connection."""
        self._is_closing = self._is_over = True
        self._leave = None
        self.transport.abortConnection()

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has come that is not answered."""
        return not self._is_answering and self._request is None and self._first_byte_s is None

    @property
    def is_closing(self) -> bool:
        """Whether nothing more is read on the connection."""
        return self._is_closing

    @property
    def stage(self) -> ConnectionStage:
        """How far the connection is with its request."""
        if self._is_over:
            return ConnectionStage.CLOSING
        if self._is_answering:
            return ConnectionStage.ANSWERING
        if not self._is_closing and (not self.is_idle or self._pipelined):
            return ConnectionStage.RECEIVING
        if self._is_refused_unread or self._is_unsent():
            return ConnectionStage.DELIVERING
        return ConnectionStage.CLOSING if self._is_closing else ConnectionStage.IDLE


def _length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _framing_problem(request: h11.Request) -> str:
    """Return what makes the end of a request doubtful (RFC 9112, 6.1 and 6.3), or nothing."""
    names = [name for name, _ in request.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        return "both a length and chunks"
    if names.count(b"host") != 1:
        return "not one host"
    if not request.target.startswith(b"/"):
        return "not a path"
    return ""


class CallerFactory(Factory):
    """Makes the connections of callers.

    Parameters
    ----------
    clock : Clock
    handler : RequestHandler
    max_held_bytes : int
        Bodies held at once, over all connections.
    held : HeldBytes or None
        The account of all that is held; None for one without a bound.
    gate : AcceptGate or None
        Decides which new connections are read; None if all are.
    is_bounded : bool
        Whether requests are refused while more is held than may be; those of the balancer and of
        operators are not.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        handler: RequestHandler,
        max_held_bytes: int,
        held: HeldBytes | None = None,
        gate: AcceptGate | None = None,
        is_bounded: bool = True,
    ) -> None:
        self._is_bounded = is_bounded
        self.held = held or HeldBytes(clock)
        self.gate = gate
        self.clock = clock
        self.handler = handler
        self.connections: set[_CallerConnection] = set()
        self.refused: dict[int, int] = {}
        self.refuses_incomplete = False
        """Whether requests are refused that do not come whole."""
        self.refuses_all = False
        self.held_bytes = 0
        self._max_held_bytes = max_held_bytes

    def buildProtocol(self, addr: Any) -> Protocol | None:
        """Return a connection, or None if it is to be closed unread."""
        if self.gate is not None and not self.gate.admits():
            return None
        return _CallerConnection(self)

    def hold(self, count: int) -> bool:
        """Count bytes that are held from now on, or no longer; return whether there is room."""
        if count > 0 and self.held_bytes + count > self._max_held_bytes:
            return False
        if not self.held.hold_body(count):
            return False
        self.held_bytes += count
        return True

    def has_room_for_reply(self) -> bool:
        """Whether another request may be begun, whose caller may read slowly."""
        return not self._is_bounded or self.held.has_room(0)

    def stages(self) -> Counter[ConnectionStage]:
        """Return the number of connections in each stage."""
        return Counter(connection.stage for connection in self.connections)

    def is_under_way(self) -> bool:
        """Whether the end of the process would cost any caller something."""
        return any(connection.stage in UNDER_WAY for connection in self.connections)

    def refuse_incomplete(self) -> None:
        """Refuse what is not read whole, from now on."""
        self.refuses_incomplete = True
        for connection in list(self.connections):
            connection.refuse_incomplete()

    def refuse_new(self) -> None:
        """Refuse every request that is not handed over yet, from now on."""
        self.refuses_all = True
        self.refuse_incomplete()

    def refuse_unanswered(self) -> None:
        """Refuse the requests that were handed over and are not answered; none of them has run."""
        for connection in list(self.connections):
            connection.refuse_unanswered()

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.is_idle and not connection.is_closing:
                connection.close_soon()
