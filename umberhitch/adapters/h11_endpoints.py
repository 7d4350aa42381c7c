"""Calls to endpoints over HTTP/1.1, on kept connections, with replies matched by the call's id.

The parser is h11, not treq: a router must tell "not sent" from "broken", see bytes that follow a
whole reply, skip a late reply to another call, and pass the body on as it comes
(`docs/design/0009`).
"""

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from logging import getLogger
from typing import Any

import h11
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from umberhitch.adapters.held_bytes import HeldBytes, Side, WaitingBytes
from umberhitch.adapters.silence import detect_silence
from umberhitch.adapters.unsent import unsent_bytes
from umberhitch.core.direct import ReplyHead
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import (
    CallEvents,
    CallFailure,
    EndpointCall,
    HeaderList,
    ListenerStatus,
)

__all__ = ["EndpointClient", "EndpointClientLimits"]

log = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EndpointClientLimits:
    """Times in seconds.

    Attributes
    ----------
    connect_s : float
        A host in the same region answers within a few ms; a lost packet is sent again after 1 s.
    silence_s : float
        Unacknowledged bytes and unanswered probes for so long end a connection.
    idle_s : float
        A connection is kept for so long where the endpoint does not say how long it keeps it.
    once_idle_s : float
        The same for calls that must not run twice.
    """

    connect_s: float = 0.4
    silence_s: float = 0.8
    idle_s: float = 4.0
    once_idle_s: float = 1.5


class _Call:
    """One call; the connection's side of `RunningCall`."""

    def __init__(self, call: EndpointCall, events: CallEvents) -> None:
        self.call = call
        self.events: CallEvents | None = events
        self.connection: _Connection | None = None
        """None before the call is sent, and once its reply has ended."""
        self.is_sent = False
        self.is_over = False
        self.is_paused = False

    def cancel(self) -> None:
        if self.is_over:
            return
        self.is_over = True
        self.events = None
        if self.connection is not None:
            self.connection.abort()

    def detach(self) -> None:
        self.events = None
        self.resume()

    def pause(self) -> None:
        self.is_paused = True
        if self.connection is not None:
            self.connection.set_reading(False)

    def resume(self) -> None:
        if self.is_paused:
            self.is_paused = False
            if self.connection is not None:
                self.connection.set_reading(True)

    def finish(self) -> None:
        self.is_over = True
        if self.events is not None:
            self.events.on_end()

    def fail(self, failure: CallFailure, detail: str) -> None:
        if self.is_over:
            return
        self.is_over = True
        if self.events is not None:
            self.events.on_failure(failure, detail)


ReadReply = Callable[[int, HeaderList], ReplyHead]


class _Connection(Protocol):
    """One connection to an endpoint; carries one call at a time."""

    transport: Any

    def __init__(self, client: "EndpointClient", address: str) -> None:
        self._client = client
        self.address = address
        self._call: _Call | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._is_foreign = False
        self._is_closed = False
        self._is_lost = False
        """Whether there is no connection any more, though its last reply may still be read."""
        self.idle_since_s = 0.0
        self.keeps_s: float | None = None
        self._request_bytes = 0
        self._waiting: WaitingBytes | None = None

    def connectionMade(self) -> None:
        detect_silence(self.transport, self._client.limits.silence_s)
        self._waiting = WaitingBytes(self._client.held, Side.ENDPOINT, self.transport, self._let_go)

    def start(self, call: _Call) -> None:
        """Send a call."""
        self._call = call
        call.connection = self
        call.is_sent = True
        data = self._begin(call.call)
        self._request_bytes = len(data)
        self.transport.write(data)
        if self._waiting is not None:
            self._waiting.note_written(len(data))
        if call.is_paused:
            self.set_reading(False)

    def _begin(self, call: EndpointCall) -> bytes:
        """Tell the parser of the request, and return its bytes."""
        request = h11.Request(method=call.method, target=call.target, headers=call.headers)
        out = self._parser.send(request) or b""
        if call.body:
            out += self._parser.send(h11.Data(data=call.body)) or b""
        return out + (self._parser.send(h11.EndOfMessage()) or b"")

    def dataReceived(self, data: bytes) -> None:
        if self._call is None:
            log.info("surplus bytes", extra={"endpoint": self.address, "bytes": len(data)})
            self.abort()
            return
        try:
            self._parser.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as exc:
            self._break(f"not a reply: {exc}")

    def _read(self) -> None:
        while self._call is not None and not self._is_closed:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._on_head(event)
                case h11.Data():
                    if not self._is_foreign and self._call.events is not None:
                        self._call.events.on_data(bytes(event.data))
                case h11.EndOfMessage():
                    self._on_end()
                case h11.InformationalResponse():
                    continue
                case _:
                    return

    def _on_head(self, event: h11.Response) -> None:
        headers = list(event.headers.raw_items())
        head = self._client.read_reply(event.status_code, headers)
        assert self._call is not None
        self._is_foreign = head.call_id is not None and head.call_id != self._call.call.call_id
        if self._is_foreign:
            log.info("late reply to another call", extra={"endpoint": self.address})
            if self._call.events is not None:
                self._call.events.on_late_head(head)
            return
        self.keeps_s = _kept_s(headers)
        if self._call.events is not None:
            self._call.events.on_head(head)

    def _on_end(self) -> None:
        assert self._call is not None
        rest, _ = self._parser.trailing_data
        if self._is_foreign:
            # Ours is still to come: read on as if the request had just been sent.
            self._is_foreign = False
            if self._parser.their_state is h11.MUST_CLOSE:
                self._break("closed after a reply to another call")
                return
            self._parser = h11.Connection(h11.CLIENT)
            self._begin(self._call.call)
            if rest:
                self._parser.receive_data(rest)
            return
        call, self._call = self._call, None
        call.connection = None  # it serves the next call, which a pause of this one must not stop
        if call.is_paused:
            self.set_reading(True)
        is_kept = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if rest or not is_kept or self._is_lost:
            self._close()
        else:
            self._parser.start_next_cycle()
            self._client.keep(self)
        call.finish()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        was_closed, self._is_closed = self._is_closed, True
        self._is_lost = True
        if self._waiting is not None:
            self._waiting.close()
        self._client.dropped(self)
        if self._call is None or was_closed:
            return
        if reason.check(ConnectionDone):
            self._is_closed = False
            try:
                self._parser.receive_data(b"")
                self._read()
            except h11.RemoteProtocolError as exc:
                self._break(f"ended early: {exc}")
            self._is_closed = True
        self._break(f"lost: {reason.value!r}")

    def _break(self, detail: str, failure: CallFailure = CallFailure.BROKEN) -> None:
        call, self._call = self._call, None
        self.abort()
        if call is not None:
            call.fail(failure, detail)

    def _let_go(self, detail: str) -> None:
        """End a connection whose endpoint takes no bytes.

        Its call may have run unless none of its bytes was sent.
        """
        is_whole = unsent_bytes(self.transport) >= self._request_bytes
        self._break(detail, CallFailure.NOT_SENT if is_whole else CallFailure.BROKEN)

    def set_reading(self, is_reading: bool) -> None:
        """Stop or start to read."""
        if self._is_closed:
            return
        if is_reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def abort(self) -> None:
        """Reset the connection."""
        self._call = None
        self._close()

    def _close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            if self._waiting is not None:
                self._waiting.close()
            self._client.dropped(self)
            self.transport.abortConnection()


def _kept_s(headers: HeaderList) -> float | None:
    """Return how long the endpoint keeps an idle connection, if it says so (RFC 9112, 9.3)."""
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None


class _Dial(ClientFactory):
    """Connects for one call."""

    noisy = False

    def __init__(self, client: "EndpointClient", address: str, call: _Call) -> None:
        self._client = client
        self._address = address
        self._call = call

    def buildProtocol(self, addr: Any) -> Protocol:
        return _Dialed(self._client, self._address, self._call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        is_refused = reason.check(ConnectionRefusedError) is not None
        failure = CallFailure.REFUSED if is_refused else CallFailure.NOT_SENT
        self._call.fail(failure, f"no connection: {reason.value!r}")


class _Dialed(_Connection):
    """A connection that was made for a call."""

    def __init__(self, client: "EndpointClient", address: str, call: _Call) -> None:
        super().__init__(client, address)
        self._first = call

    def connectionMade(self) -> None:
        super().connectionMade()
        if self._first.is_over:  # cancelled meanwhile; the connection serves the next call
            self._client.keep(self)
            return
        self.start(self._first)


class _Check(ClientFactory):
    """Connects to see whether a process listens; the connection serves the next call."""

    noisy = False

    def __init__(
        self, client: "EndpointClient", address: str, on_found: Callable[[ListenerStatus], None]
    ) -> None:
        self._client = client
        self._address = address
        self._on_found = on_found

    def buildProtocol(self, addr: Any) -> Protocol:
        self._on_found(ListenerStatus.YES)
        return _Kept(self._client, self._address)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        is_refused = reason.check(ConnectionRefusedError) is not None
        self._on_found(ListenerStatus.NO if is_refused else ListenerStatus.UNKNOWN)


class _Kept(_Connection):
    """A connection that was made for no call."""

    def connectionMade(self) -> None:
        super().connectionMade()
        self._client.keep(self)


class EndpointClient:
    """Owns the connections to endpoints.

    Parameters
    ----------
    reactor : IReactorTCP and Clock
    read_reply : callable
        Decodes the head of a reply.
    limits : EndpointClientLimits
    held : HeldBytes or None
        The account of all that is held; None for one without a bound.

    Attributes
    ----------
    opened : int
        Connections opened since the start.
    """

    def __init__(
        self,
        reactor: Any,
        read_reply: ReadReply,
        limits: EndpointClientLimits | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        self.held = held or HeldBytes(reactor)
        self._reactor = reactor
        self._clock: Clock = reactor
        self.read_reply = read_reply
        self.limits = limits or EndpointClientLimits()
        self._idle: dict[str, list[_Connection]] = {}
        self.opened = 0

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> _Call:
        """Send a call to ``IP:PORT``; events come later, never from within."""
        running = _Call(call, events)
        kept = self._take(address, call.is_non_repeatable)
        if kept is not None:
            kept.start(running)
            return running
        self._connect(address, _Dial(self, address, running))
        return running

    def check(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        """Find out whether a process listens at ``IP:PORT``; the answer comes later."""
        self._connect(address, _Check(self, address, on_found))

    def _connect(self, address: str, factory: ClientFactory) -> None:
        self.opened += 1
        host, _, port = address.rpartition(":")
        self._reactor.connectTCP(
            str(ip_address(host)), int(port), factory, timeout=self.limits.connect_s
        )

    def _take(self, address: str, is_once: bool) -> _Connection | None:
        idle = self._idle.get(address)
        now_s = self._clock.seconds()
        while idle:
            conn = idle.pop()
            limit_s = self.limits.idle_s if conn.keeps_s is None else 0.6 * conn.keeps_s
            age_s = now_s - conn.idle_since_s
            if age_s > limit_s:
                conn.abort()
                continue
            if is_once and age_s > self.limits.once_idle_s:
                idle.append(conn)
                return None
            return conn
        return None

    def keep(self, conn: _Connection) -> None:
        """Keep a connection for the next call."""
        conn.idle_since_s = self._clock.seconds()
        self._idle.setdefault(conn.address, []).append(conn)

    def dropped(self, conn: _Connection) -> None:
        """Forget a connection."""
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
            if not idle:
                del self._idle[conn.address]

    def close_idle(self, address: str) -> None:
        """Close the kept connections to an address."""
        for conn in list(self._idle.get(address, ())):
            conn.abort()

    def close(self) -> None:
        """Close every kept connection."""
        for address in list(self._idle):
            self.close_idle(address)
