"""Callers' connections: malformed, slow and surplus input reaches nothing behind them."""

from collections.abc import Callable

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.adapters.outgoing import PIECE_BYTES
from umberhitch.core.direct import IntakeLimits
from umberhitch.ports.direct import CallerReply, HeaderList, RawRequest
from umberhitch.testing import FakeTransport

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    """Keeps what it is given."""

    def __init__(self) -> None:
        self.asked: list[tuple[RawRequest, CallerReply]] = []
        self.left: list[bytes] = []
        self.keeps = True

    def handle(self, raw: RawRequest, reply: CallerReply) -> Callable[[], None]:
        self.asked.append((raw, reply))
        return lambda: self.left.append(raw.target)

    def intake(self) -> IntakeLimits:
        return IntakeLimits(head_bytes=1000, body_bytes=100)

    def keeps_connections(self) -> bool:
        return self.keeps

    def refuse_unread(self, status: int, problem: str) -> tuple[HeaderList, bytes]:
        return [(b"Content-Length", b"2")], b"no"

    def answer(self, number: int = 0, body: bytes = b"ok") -> None:
        reply = self.asked[number][1]
        reply.head(200, [(b"Content-Length", str(len(body)).encode())])
        reply.data(body)
        reply.end()


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
def connect(clock: Clock, handler: Handler):
    factory = CallerFactory(clock, handler, 250)

    def make():
        protocol = factory.buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        return protocol, transport

    return make


def test_requests_on_one_connection_are_answered_one_after_the_other(clock, handler, connect):
    protocol, transport = connect()
    protocol.dataReceived(GET + GET.replace(b"/a", b"/b"))
    assert [raw.target for raw, _ in handler.asked] == [b"/a"]
    handler.answer()
    clock.advance(0)
    assert [raw.target for raw, _ in handler.asked] == [b"/a", b"/b"]
    handler.answer(1)
    assert transport.take().count(b"200") == 2
    assert not transport.disconnecting


def test_a_body_in_pieces_and_chunks_is_handed_over_whole(handler, connect):
    protocol, _ = connect()
    protocol.dataReceived(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chu")
    protocol.dataReceived(b"nked\r\n\r\n3\r\nabc\r\n2\r\nde")
    assert handler.asked == []
    protocol.dataReceived(b"\r\n0\r\n\r\n")
    assert handler.asked[0][0].body == b"abcde"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", b"400"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
            b"400",
        ),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", b"501"),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", b"400"),
        (b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n", b"400"),
        (b"\x00\x01\x02\r\n\r\n", b"400"),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000, b"431"),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", b"413"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n"
            + b"x" * 255
            + b"\r\n",
            b"413",
        ),
    ],
)
def test_what_is_malformed_or_too_large_is_refused_and_nothing_is_handed_over(
    clock, handler, connect, data, status
):
    protocol, transport = connect()
    protocol.dataReceived(data)
    assert transport.take().startswith(b"HTTP/1.1 " + status)
    protocol.dataReceived(GET)
    clock.advance(2.0)
    assert handler.asked == []
    assert transport.disconnected


def test_a_caller_that_sends_a_byte_a_second_is_not_waited_for(clock, handler, connect):
    protocol, transport = connect()
    for byte in GET[:20]:
        protocol.dataReceived(bytes([byte]))
        clock.advance(1.0)
    assert transport.take().startswith(b"HTTP/1.1 408")
    assert transport.disconnected
    assert handler.asked == []


def test_an_idle_connection_is_kept_for_the_whole_limit_and_not_for_ever(clock, handler, connect):
    protocol, transport = connect()
    protocol.dataReceived(GET)
    handler.answer()
    clock.advance(15.0)
    assert not transport.disconnecting
    clock.advance(1.5)
    assert transport.disconnecting


def test_bodies_of_all_callers_together_are_bounded(handler, connect):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
    connections = [connect() for _ in range(3)]
    for protocol, _ in connections:
        protocol.dataReceived(head + b"x" * 90)
    assert [transport.take()[9:12] for _, transport in connections] == [b"", b"", b"503"]
    connections[0][0].connectionLost(Failure(ConnectionDone()))
    protocol, transport = connect()
    protocol.dataReceived(head + b"x" * 100)
    assert transport.take() == b""


def test_a_caller_that_leaves_is_noticed_once(handler, connect):
    protocol, _ = connect()
    protocol.dataReceived(GET)
    protocol.connectionLost(Failure(ConnectionDone()))
    assert handler.left == [b"/a"]
    handler.answer()


def test_a_reply_that_breaks_off_does_not_look_complete(handler, connect):
    protocol, transport = connect()
    protocol.dataReceived(GET)
    reply = handler.asked[0][1]
    reply.head(200, [])
    reply.data(b"part")
    reply.abort()
    assert transport.disconnected
    assert b"0\r\n\r\n" not in transport.take()


def test_a_leaving_process_says_that_the_connection_ends(handler, connect):
    protocol, transport = connect()
    protocol.dataReceived(GET)
    handler.keeps = False
    handler.answer()
    assert b"Connection: close" in transport.take()
    assert transport.is_half_closed


def test_a_slow_reader_pauses_its_own_reply(handler, connect):
    protocol, transport = connect()
    protocol.dataReceived(GET)
    seen: list[str] = []
    reply = handler.asked[0][1]
    reply.set_flow_control(lambda: seen.append("pause"), lambda: seen.append("resume"))
    reply.head(200, [(b"Content-Length", b"100000")])
    transport.dataBuffer = b"x" * PIECE_BYTES
    reply.data(b"y")
    assert seen == ["pause"]
    transport.dataBuffer = b""
    transport.producer.resumeProducing()
    assert seen == ["pause", "resume"]
    assert transport.value().endswith(b"y")


def test_a_caller_that_waits_for_permission_to_send_its_body_gets_it(handler, connect):
    protocol, transport = connect()
    protocol.dataReceived(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    )
    assert transport.take().startswith(b"HTTP/1.1 100")
    protocol.dataReceived(b"ab")
    assert handler.asked[0][0].body == b"ab"


def test_a_connection_tells_what_is_under_way_on_it(clock, handler, connect):
    protocol, transport = connect()
    stages = [protocol.stage]
    for piece in (b"POST /a HTTP/1.1\r\nHost: h\r\n", b"Content-Length: 2\r\n\r\na", b"b"):
        protocol.dataReceived(piece)
        stages.append(protocol.stage)
    transport.dataBuffer = b"rest"
    handler.answer()
    stages.append(protocol.stage)
    transport.dataBuffer = b""
    stages.append(protocol.stage)
    protocol.connectionLost()
    stages.append(protocol.stage)
    assert [str(stage) for stage in stages] == [
        "idle",
        "receiving",
        "receiving",
        "answering",
        "delivering",
        "idle",
        "closing",
    ]


# A refusal of a HEAD request raised, and its connection was closed without an answer.
def test_head_is_answered_without_a_body_also_when_refused(clock, handler, connect):
    protocol, transport = connect()
    head = GET.replace(b"GET", b"HEAD")
    protocol.dataReceived(head + head)
    handler.answer(body=b"whole body")
    clock.advance(0)
    reply = handler.asked[1][1]
    reply.head(503, [(b"Content-Length", b"2")])
    reply.data(b"no")
    reply.end()
    sent = transport.take()
    assert (sent.count(b"200"), sent.count(b"503")) == (1, 1)
    assert b"Content-Length: 10" in sent
    assert not sent.count(b"whole body") + sent.count(b"no")
    protocol.dataReceived(GET)
    handler.answer(2)
    assert transport.take().endswith(b"ok")
