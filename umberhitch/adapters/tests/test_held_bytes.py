"""Bytes held for slow readers: who is let go, when, with which end, and who is not."""

from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.held_bytes import (
    CALLER_STALL_S,
    ENDPOINT_STALL_S,
    HeldBytes,
    Side,
    WaitingBytes,
)
from umberhitch.adapters.held_pages import held_metrics, held_status
from umberhitch.adapters.tests.test_h11_callers import GET, Handler
from umberhitch.adapters.tests.test_h11_endpoints import ADDRESS, Events, make_call, read_reply
from umberhitch.ports.direct import CallFailure
from umberhitch.testing import FakeTransport, dial

STEP_S = 0.25


class Callers:
    """Callers of one router, before one account."""

    def __init__(self, max_bytes: int | None = None) -> None:
        self.clock = Clock()
        self.held = HeldBytes(self.clock, max_bytes)
        self.handler = Handler()
        self._factory = CallerFactory(self.clock, self.handler, 250, self.held)

    def connect(self, data: bytes = GET):
        protocol = self._factory.buildProtocol(None)
        transport = FakeTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(data)
        return protocol, transport

    def begin(self, body: bytes = b"x" * 100):
        """Begin an answer that the newest caller does not take."""
        protocol, transport = self.connect()
        reply = self.handler.asked[-1][1]
        reply.head(200, [(b"Content-Length", b"1000")])
        reply.data(body)
        transport.dataBuffer = transport.value()
        return protocol, transport, reply

    def pass_s(self, duration_s: float) -> None:
        self.clock.pump([STEP_S] * round(duration_s / STEP_S))


def test_a_caller_that_takes_no_byte_is_reset_and_its_call_cancelled() -> None:
    callers = Callers()
    protocol, transport, _ = callers.begin()
    callers.pass_s(CALLER_STALL_S - STEP_S)
    assert not transport.disconnected
    callers.pass_s(2 * STEP_S)
    assert transport.disconnected
    protocol.connectionLost()
    assert callers.handler.left == [b"/a"]
    assert callers.held.let_go == {(Side.CALLER, "stalled"): 1}
    assert callers.held.total_bytes == 0


def test_a_caller_that_reads_slowly_but_steadily_is_not_cut() -> None:
    callers = Callers()
    _, transport, _ = callers.begin()
    while len(transport.dataBuffer) > 1:
        callers.pass_s(CALLER_STALL_S - STEP_S)
        transport.dataBuffer = transport.dataBuffer[1:]
    assert not transport.disconnected


def test_a_finished_answer_that_is_not_read_does_not_wait_for_ever() -> None:
    callers = Callers()
    _, transport = callers.connect()
    callers.handler.answer(body=b"x" * 1000)
    transport.dataBuffer = transport.value()
    callers.pass_s(CALLER_STALL_S + STEP_S)
    assert transport.disconnected


def test_a_last_answer_is_not_cut_while_it_is_read() -> None:
    callers = Callers()
    callers.handler.keeps = False
    _, transport = callers.connect()
    callers.handler.answer(body=b"x" * 1000)
    transport.dataBuffer = transport.value()
    for _ in range(12):
        callers.pass_s(1.0)
        transport.dataBuffer = transport.dataBuffer[1:]
    assert not transport.disconnected
    transport.dataBuffer = b""
    callers.pass_s(2.0)
    assert transport.disconnected


def test_time_in_which_the_router_was_suspended_does_not_count() -> None:
    callers = Callers()
    _, transport, _ = callers.begin()
    callers.clock.advance(60.0)
    assert not transport.disconnected


def test_at_the_bound_bodies_are_refused_and_the_stillest_caller_is_let_go() -> None:
    callers = Callers(max_bytes=1500)
    _, small, _ = callers.begin(b"x" * 200)
    _, large, _ = callers.begin(b"x" * 800)
    callers.pass_s(2.0)
    assert not large.disconnected
    _, moving, _ = callers.begin(b"x" * 600)
    post = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n" + b"x" * 90
    _, refused = callers.connect(post)
    assert refused.take().startswith(b"HTTP/1.1 503")
    callers.pass_s(STEP_S)
    assert large.disconnected
    assert not small.disconnected
    assert not moving.disconnected
    assert callers.held.let_go == {(Side.CALLER, "bound"): 1}
    callers.connect(post)
    assert callers.handler.asked[-1][0].target == b"/b"


def test_nobody_who_makes_progress_is_let_go_at_the_bound() -> None:
    callers = Callers(max_bytes=100)
    _, transport, _ = callers.begin(b"x" * 800)
    for _ in range(40):
        callers.pass_s(0.5)
        transport.dataBuffer = transport.dataBuffer[1:]
    assert not transport.disconnected


def test_where_nothing_waits_no_timer_runs() -> None:
    callers = Callers()
    protocol, _ = callers.connect()
    callers.handler.answer()
    callers.pass_s(2 * STEP_S)
    protocol.connectionLost()
    assert callers.clock.getDelayedCalls() == []


@pytest.mark.parametrize(("taken", "failure"), [(0, CallFailure.NOT_SENT), (1, CallFailure.BROKEN)])
def test_an_endpoint_that_takes_no_byte_has_not_run_only_if_it_got_none(
    taken: int, failure: CallFailure
) -> None:
    reactor = MemoryReactorClock()
    events = Events()
    client = EndpointClient(reactor, read_reply)
    client.send(ADDRESS, make_call(is_once=True), events)
    _, transport = dial(reactor)
    transport.dataBuffer = transport.take()[taken:]
    reactor.pump([STEP_S] * round((ENDPOINT_STALL_S + 2 * STEP_S) / STEP_S))
    assert events.failure is failure
    assert transport.disconnected
    assert transport.take() == b""
    assert client.held.let_go == {(Side.ENDPOINT, "stalled"): 1}
    assert client.held.total_bytes == 0


def test_an_endpoint_that_reads_a_request_slowly_is_waited_for() -> None:
    reactor = MemoryReactorClock()
    events = Events()
    EndpointClient(reactor, read_reply).send(ADDRESS, make_call(), events)
    _, transport = dial(reactor)
    transport.dataBuffer = transport.take()
    while transport.dataBuffer:
        reactor.pump([STEP_S] * 6)
        transport.dataBuffer = transport.dataBuffer[1:]
    reactor.pump([STEP_S] * 20)
    assert events.failure is None


def test_the_pages_tell_what_is_held_and_who_was_let_go() -> None:
    callers = Callers(max_bytes=5000)
    _, transport, _ = callers.begin()
    size = len(transport.dataBuffer)
    assert f'umberhitch_held_bytes{{kind="waiting"}} {size}' in held_metrics(callers.held)
    assert "umberhitch_held_bytes_bound 5000" in held_metrics(callers.held)
    callers.pass_s(CALLER_STALL_S + STEP_S)
    counted = 'umberhitch_slow_readers_let_go_total{side="caller",reason="stalled"} 1'
    assert counted in held_metrics(callers.held)
    assert held_status(callers.held) == {
        "held_bytes": {"bodies": 0, "waiting": 0, "buffered": 0, "total": 0, "bound": 5000},
        "slow_readers_let_go": {"caller stalled": 1},
    }


class LostTransport(FakeTransport):
    """Has no socket any more, as a connection that was lost."""

    def getHandle(self) -> Any:
        raise AttributeError("'Server' object has no attribute 'socket'")


class BrokenTransport(FakeTransport):
    """Cannot be looked at."""

    def getHandle(self) -> Any:
        raise RuntimeError


# One connection without a socket ended the check of all stalled readers for good.
@pytest.mark.parametrize("kind", [LostTransport, BrokenTransport])
def test_a_connection_that_cannot_be_checked_does_not_end_the_checks(kind) -> None:
    callers = Callers()
    strange = kind()
    strange.dataBuffer = b"x" * 100
    waiting = WaitingBytes(callers.held, Side.CALLER, strange, lambda detail: None)
    waiting.note_written(100)
    _, stalled, _ = callers.begin()
    callers.pass_s(CALLER_STALL_S + 2 * STEP_S)
    assert stalled.disconnected
