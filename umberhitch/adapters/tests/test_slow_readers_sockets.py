"""Callers that read nothing, over real sockets: what is held stays bounded, others are served."""

import socket
import time
from collections.abc import Callable, Iterator

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.held_bytes import HeldBytes, Side
from umberhitch.adapters.tests.test_h11_callers import GET
from umberhitch.core.direct import IntakeLimits, ReplyHead
from umberhitch.ports.direct import CallerReply, CallFailure, EndpointCall, HeaderList, RawRequest
from umberhitch.tasks.direct.relay import Relay

READERS = 300
REPLY_BYTES = 262_144
BOUND_BYTES = 8 * 1024 * 1024
READ_BYTES = 65_536
PER_READER_BYTES = 65_536 + READ_BYTES
"""What a transport takes before it asks for a pause, and what was read at that moment."""
MAX_WAIT_S = 30.0


class Endpoint(Protocol):
    """Answers each request with a long plain reply."""

    def dataReceived(self, data: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % REPLY_BYTES
        self.transport.write(head + b"x" * REPLY_BYTES)


class Request:
    """One request: an endpoint's reply, by a relay."""

    def __init__(self, router: "Router", reply: CallerReply) -> None:
        self._relay = Relay(reply, None, self._pause, self._resume, router.held.buffered)
        call = EndpointCall("a", b"GET", b"/", [(b"Host", b"h")], b"", False)
        self._running = router.client.send(router.endpoint, call, self)

    def _pause(self) -> None:
        self._running.pause()

    def _resume(self) -> None:
        self._running.resume()

    def leave(self) -> None:
        self._running.cancel()
        self._relay.release()

    def on_head(self, head: ReplyHead) -> None:
        self._head = head

    def on_late_head(self, head: ReplyHead) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        self._relay.plain_data(self._head, data)

    def on_end(self) -> None:
        self._relay.end(self._head)
        self._relay.release()

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        self._relay.abort()


class Router:
    """The two sides of a router with one account between them."""

    def __init__(self, reactor: EPollReactor) -> None:
        self.held = HeldBytes(reactor, BOUND_BYTES)
        self.held.buffered.has_room = self.held.has_room
        self.client = EndpointClient(reactor, self._read_reply, held=self.held)
        at = reactor.listenTCP(0, Factory.forProtocol(Endpoint), interface="127.0.0.1").getHost()
        self.endpoint = f"127.0.0.1:{at.port}"
        callers = CallerFactory(reactor, self, BOUND_BYTES // 2, self.held)
        self.port = reactor.listenTCP(0, callers, backlog=READERS, interface="127.0.0.1")
        # Else the kernel takes whole replies, and nothing waits in the process.
        self.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)

    def _read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        return ReplyHead(status, headers, "a")

    def handle(self, raw: RawRequest, reply: CallerReply) -> Callable[[], None]:
        return Request(self, reply).leave

    def intake(self) -> IntakeLimits:
        return IntakeLimits()

    def keeps_connections(self) -> bool:
        return True

    def refuse_unread(self, status: int, problem: str) -> tuple[HeaderList, bytes]:
        return [(b"Content-Length", b"0")], b""

    def connect(self) -> socket.socket:
        """Return a caller with a request and little room of its own."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", self.port.getHost().port))
        caller.sendall(GET)
        caller.setblocking(False)
        return caller


@pytest.fixture
def reactor() -> Iterator[EPollReactor]:
    reactor = EPollReactor()
    reactor.startRunning(installSignalHandlers=False)
    yield reactor
    for reader in reactor.removeAll():
        reader.connectionLost(Failure(ConnectionDone()))


def run_until(reactor: EPollReactor, is_done: Callable[[], bool]) -> None:
    end_s = time.monotonic() + MAX_WAIT_S
    while not is_done():
        assert time.monotonic() < end_s
        reactor.iterate(0.01)


def read(caller: socket.socket) -> int:
    try:
        return len(caller.recv(READ_BYTES))
    except BlockingIOError:
        return 0


def test_callers_that_read_nothing_are_let_go_at_the_bound_and_another_is_served(reactor):
    router = Router(reactor)
    callers = [router.connect() for _ in range(READERS)]
    peak_bytes = 0

    def is_relieved() -> bool:
        nonlocal peak_bytes
        peak_bytes = max(peak_bytes, router.held.total_bytes)
        return bool(router.held.let_go) and router.held.total_bytes <= BOUND_BYTES

    run_until(reactor, is_relieved)
    other = router.connect()
    received = 0

    def is_served() -> bool:
        nonlocal received
        is_relieved()
        received += read(other)
        return received > REPLY_BYTES

    run_until(reactor, is_served)
    assert set(router.held.let_go) <= {(Side.CALLER, "bound"), (Side.CALLER, "stalled")}
    assert peak_bytes <= BOUND_BYTES + READERS * PER_READER_BYTES
    for caller in [*callers, other]:
        caller.close()
