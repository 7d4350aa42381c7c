"""What waits for a slow caller takes the memory that is counted, and less as it is sent."""

import pytest

from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.adapters.held_bytes import HeldBytes, Side, WaitingBytes
from umberhitch.adapters.outgoing import PIECE_BYTES, FlowControl, Outgoing
from umberhitch.adapters.tests.test_h11_callers import GET
from umberhitch.adapters.tests.test_held_bytes import Callers
from umberhitch.testing import FakeTransport


class SlowTransport:
    """A transport as Twisted's: it joins what it is given, and keeps it until all of it is sent."""

    def __init__(self) -> None:
        self.dataBuffer = b""
        self.offset = 0
        self._tempDataLen = 0
        self.taken = b""
        self.producer: Outgoing | None = None

    def write(self, data: bytes) -> None:
        self.dataBuffer = self.dataBuffer[self.offset :] + data
        self.offset = 0

    def registerProducer(self, producer: Outgoing, streaming: bool) -> None:
        assert self.producer is None
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def getHandle(self) -> "SlowTransport":
        return self

    def fileno(self) -> int:
        return -1

    def take(self, count: int) -> None:
        """Let the caller take bytes."""
        while count and self.offset < len(self.dataBuffer):
            part = self.dataBuffer[self.offset : self.offset + count]
            self.offset += len(part)
            count -= len(part)
            self.taken += part
            if self.offset == len(self.dataBuffer):
                self.dataBuffer, self.offset = b"", 0
                if self.producer is not None:
                    self.producer.resumeProducing()


def _answer(size: int) -> bytes:
    return bytes(number % 251 for number in range(size))


# A whole answer stayed in memory while only what was still to be sent was counted.
def test_memory_falls_as_an_answer_is_sent():
    transport = SlowTransport()
    outgoing = Outgoing(transport)
    answer = _answer(1_000_000)
    outgoing.write(answer)
    while outgoing.unsent:
        assert outgoing.held <= outgoing.unsent + PIECE_BYTES
        assert len(transport.dataBuffer) <= PIECE_BYTES
        transport.take(10_000)
    assert transport.taken == answer
    assert outgoing.held == 0
    assert transport.producer is None


def test_what_is_held_is_what_is_counted():
    held = HeldBytes(_Clock(), 10_000_000)
    transport = SlowTransport()
    outgoing = Outgoing(transport)
    waiting = WaitingBytes(held, Side.CALLER, transport, lambda detail: None, outgoing)
    outgoing.write(_answer(500_000))
    waiting.note_written(500_000)
    for _ in range(9):
        transport.take(50_000)
        held._refresh()
        assert held.waiting_bytes == outgoing._queued + len(transport.dataBuffer)


class _Clock:
    def seconds(self) -> float:
        return 0.0

    def callLater(self, delay: float, *args: object) -> None:
        """Keep nothing."""


@pytest.mark.parametrize("sizes", [[1] * 5, [70_000, 1, 1], [PIECE_BYTES, 1], [1, 300_000, 5]])
def test_pieces_arrive_in_order_whatever_their_sizes(sizes: list[int]):
    transport = SlowTransport()
    outgoing = Outgoing(transport)
    sent = b""
    for number, size in enumerate(sizes):
        data = bytes([number]) * size
        outgoing.write(data)
        sent += data
        transport.take(1000)
    transport.take(10_000_000)
    assert transport.taken == sent


def test_a_source_is_paused_while_bytes_wait_and_resumed_once():
    transport = SlowTransport()
    outgoing = Outgoing(transport)
    seen: list[str] = []
    outgoing.set_source(FlowControl(lambda: seen.append("pause"), lambda: seen.append("resume")))
    outgoing.write(b"x" * PIECE_BYTES)
    assert seen == []
    outgoing.write(b"y" * PIECE_BYTES)
    outgoing.write(b"z")
    assert seen == ["pause"]
    transport.take(PIECE_BYTES)
    assert seen == ["pause"]
    transport.take(2 * PIECE_BYTES)
    assert seen == ["pause", "resume"]


# Answers were let in beyond the memory that there is, since nobody had stood still.
def test_beyond_the_bound_a_request_is_refused_before_it_is_begun():
    callers = Callers(max_bytes=300)
    callers.begin(b"x" * 400)
    _, transport = callers.connect(GET.replace(b"/a", b"/b"))
    assert transport.value().startswith(b"HTTP/1.1 503")
    assert [raw.target for raw, _ in callers.handler.asked] == [b"/a"]


# The balancer would have taken a router out for slow callers, and no page would have told why.
def test_the_balancer_and_operators_are_answered_beyond_the_bound():
    callers = Callers(max_bytes=300)
    callers.begin(b"x" * 400)
    pages = CallerFactory(callers.clock, callers.handler, 250, callers.held, is_bounded=False)
    protocol = pages.buildProtocol(None)
    protocol.makeConnection(FakeTransport())
    protocol.dataReceived(GET.replace(b"/a", b"/readyz"))
    assert callers.handler.asked[-1][0].target == b"/readyz"


def test_whole_replies_leave_room_for_those_that_are_passed_on():
    held = HeldBytes(_Clock(), 1_000_000)
    held.body_bytes = 400_000
    assert held.has_room_to_buffer(50_000)
    assert not held.has_room_to_buffer(150_000)
    assert held.has_room(0)
