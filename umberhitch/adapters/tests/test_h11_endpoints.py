"""Calls to endpoints: what came back, and what it says of whether the call ran."""

from dataclasses import dataclass, field
from typing import Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from umberhitch.adapters.h11_endpoints import EndpointClient, EndpointClientLimits
from umberhitch.adapters.h11_fetch import NoReplyError, fetch
from umberhitch.core.direct import ReplyHead
from umberhitch.ports.direct import CallFailure, EndpointCall, HeaderList, ListenerStatus
from umberhitch.testing import dial

ADDRESS = "10.0.0.1:80"


@dataclass
class Events:
    """Keeps what happens to a call."""

    statuses: list[int] = field(default_factory=list)
    body: bytes = b""
    is_ended: bool = False
    failure: CallFailure | None = None
    late: list[int] = field(default_factory=list)

    def on_head(self, head: ReplyHead) -> None:
        self.statuses.append(head.status)

    def on_late_head(self, head: ReplyHead) -> None:
        self.late.append(head.status)

    def on_data(self, data: bytes) -> None:
        self.body += data

    def on_end(self) -> None:
        self.is_ended = True

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        self.failure = failure


def read_reply(status: int, headers: HeaderList) -> ReplyHead:
    found = dict(headers)
    call_id = found.get(b"Id")
    return ReplyHead(status, headers, None if call_id is None else call_id.decode())


def make_call(call_id: str = "a", is_once: bool = False) -> EndpointCall:
    headers = [(b"Host", b"h"), (b"Content-Length", b"2")]
    return EndpointCall(call_id, b"POST", b"/x", headers, b"hi", is_once)


@pytest.fixture
def reactor() -> MemoryReactorClock:
    return MemoryReactorClock()


@pytest.fixture
def client(reactor: MemoryReactorClock) -> EndpointClient:
    return EndpointClient(reactor, read_reply)


def reply(call_id: str, body: bytes = b"ok", more: bytes = b"") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n"
    return head % (call_id.encode(), more, len(body)) + body


def test_a_call_and_its_reply_pass_unchanged_and_the_connection_is_kept(reactor, client):
    events = Events()
    client.send(ADDRESS, make_call(), events)
    protocol, transport = dial(reactor)
    assert transport.take() == b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
    protocol.dataReceived(reply("a"))
    assert (events.statuses, events.body, events.is_ended) == ([200], b"ok", True)
    client.send(ADDRESS, make_call("b"), Events())
    assert len(reactor.tcpClients) == 1
    assert transport.take().startswith(b"POST")


def test_a_call_is_sent_as_soon_as_there_is_a_connection(reactor, client):
    running = client.send(ADDRESS, make_call(), Events())
    assert not running.is_sent
    dial(reactor)
    assert running.is_sent


@pytest.mark.parametrize(
    ("error", "failure"),
    [(ConnectionRefusedError(), CallFailure.REFUSED), (TimeoutError(), CallFailure.NOT_SENT)],
)
def test_without_a_connection_nothing_was_sent(reactor, client, error, failure):
    events = Events()
    client.send(ADDRESS, make_call(), events)
    factory = reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(error))
    assert events.failure is failure


@pytest.mark.parametrize(
    ("error", "expected"),
    [(ConnectionRefusedError(), ListenerStatus.NO), (TimeoutError(), ListenerStatus.UNKNOWN)],
)
def test_a_check_tells_an_ended_process_from_one_that_cannot_be_reached(
    reactor, client, error, expected
):
    found = []
    client.check(ADDRESS, found.append)
    reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(error))
    assert found == [expected]


def test_the_connection_of_a_check_serves_the_next_call(reactor, client):
    found = []
    client.check(ADDRESS, found.append)
    dial(reactor)
    assert found == [ListenerStatus.YES]
    client.send(ADDRESS, make_call(), Events())
    assert len(reactor.tcpClients) == 1


def test_a_late_reply_to_another_call_is_skipped(reactor, client):
    first, second = Events(), Events()
    client.send(ADDRESS, make_call("a"), first)
    protocol, _ = dial(reactor)
    protocol.dataReceived(reply("a"))
    client.send(ADDRESS, make_call("b"), second)
    protocol.dataReceived(reply("a", b"again"))
    assert second.statuses == []
    protocol.dataReceived(reply("b", b"mine"))
    assert (second.body, second.is_ended) == (b"mine", True)


def test_the_late_reply_and_the_own_one_may_come_together(reactor, client):
    first, second = Events(), Events()
    client.send(ADDRESS, make_call("a"), first)
    protocol, _ = dial(reactor)
    protocol.dataReceived(reply("a"))
    client.send(ADDRESS, make_call("b"), second)
    protocol.dataReceived(reply("a", b"again") + reply("b", b"mine"))
    assert (second.body, second.is_ended) == (b"mine", True)


def test_surplus_bytes_end_the_connection(reactor, client):
    events = Events()
    client.send(ADDRESS, make_call(), events)
    protocol, transport = dial(reactor)
    protocol.dataReceived(reply("a") + b"surplus")
    assert events.is_ended
    assert transport.disconnected
    client.send(ADDRESS, make_call("b"), Events())
    assert len(reactor.tcpClients) == 2


def test_bytes_on_an_idle_connection_end_it(reactor, client):
    client.send(ADDRESS, make_call(), Events())
    protocol, transport = dial(reactor)
    protocol.dataReceived(reply("a"))
    protocol.dataReceived(b"HTTP/1.1 200 OK\r\n")
    assert transport.disconnected


@pytest.mark.parametrize(
    "data",
    [
        b"not http at all\r\n\r\n",
        reply("a", b"x" * 50)[:-10],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
    ],
)
def test_a_torn_reply_is_never_whole(reactor, client, data):
    events = Events()
    client.send(ADDRESS, make_call(), events)
    protocol, _ = dial(reactor)
    protocol.dataReceived(data)
    protocol.connectionLost(Failure(ConnectionDone()))
    assert not events.is_ended
    assert events.failure is CallFailure.BROKEN


@pytest.mark.parametrize(
    ("reason", "is_whole"), [(ConnectionDone(), True), (ConnectionLost(), False)]
)
def test_a_reply_without_a_length_is_whole_only_if_the_connection_was_closed(
    reactor, client, reason, is_whole
):
    events = Events()
    client.send(ADDRESS, make_call(), events)
    protocol, _ = dial(reactor)
    protocol.dataReceived(b"HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody")
    protocol.connectionLost(Failure(reason))
    assert events.is_ended is is_whole
    assert (events.failure is CallFailure.BROKEN) is not is_whole


def test_a_cancelled_call_resets_its_connection_and_says_nothing(reactor, client):
    events = Events()
    running = client.send(ADDRESS, make_call(), events)
    protocol, transport = dial(reactor)
    running.cancel()
    assert transport.disconnected
    protocol.connectionLost(Failure(ConnectionLost()))
    assert (events.failure, events.is_ended) == (None, False)


def test_a_call_that_must_not_run_twice_uses_no_old_connection(reactor, client):
    client.send(ADDRESS, make_call(), Events())
    protocol, _ = dial(reactor)
    protocol.dataReceived(reply("a"))
    reactor.advance(2.0)
    client.send(ADDRESS, make_call("b", is_once=True), Events())
    assert len(reactor.tcpClients) == 2
    client.send(ADDRESS, make_call("c"), Events())
    assert len(reactor.tcpClients) == 2


def test_a_connection_is_not_used_near_the_end_of_the_time_that_the_endpoint_keeps_it(
    reactor, client
):
    client.send(ADDRESS, make_call(), Events())
    protocol, _ = dial(reactor)
    protocol.dataReceived(reply("a", more=b"Keep-Alive: timeout=2\r\n"))
    reactor.advance(1.5)
    client.send(ADDRESS, make_call("b"), Events())
    assert len(reactor.tcpClients) == 2


def test_a_fetch_that_takes_too_long_may_have_had_its_effect(reactor, client):
    failures: list[Failure] = []
    fetch(client, reactor, ADDRESS, make_call(), 1.0).addErrback(failures.append)
    dial(reactor)
    reactor.advance(1.1)
    assert failures[0].check(NoReplyError)
    assert failures[0].value.was_sent


def test_a_fetch_goes_on_as_long_as_the_reply_does(reactor, client):
    """A reply of 0.8 MB over 5 Mbit/s was given up after 1.0 s each time, and never had whole."""
    done: list[object] = []
    fetch(client, reactor, ADDRESS, make_call(), 1.0).addCallback(done.append)
    protocol, _ = dial(reactor)
    body = b"x" * 10
    protocol.dataReceived(reply("a", body)[: -len(body)])
    for _ in body:
        reactor.advance(0.5)
        assert not done
        protocol.dataReceived(b"x")
    assert done[0][1] == body


def test_a_fetch_whose_reply_stops_is_given_up(reactor, client):
    failures: list[Failure] = []
    fetch(client, reactor, ADDRESS, make_call(), 1.0).addErrback(failures.append)
    protocol, _ = dial(reactor)
    protocol.dataReceived(reply("a", b"xx")[:-1])
    reactor.advance(0.9)
    assert not failures
    reactor.advance(0.2)
    assert failures[0].value.has_begun
    assert "1 bytes read" in str(failures[0].value)


def test_a_fetch_whose_reply_only_trickles_is_given_up(reactor, client):
    failures: list[Failure] = []
    fetch(client, reactor, ADDRESS, make_call(), 1.0).addErrback(failures.append)
    protocol, _ = dial(reactor)
    body = b"x" * 100
    protocol.dataReceived(reply("a", body)[: -len(body)])
    for _ in range(40):
        if not failures:
            protocol.dataReceived(b"x")
        reactor.advance(0.5)
    assert failures


def test_a_fetch_of_a_process_that_stood_still_reads_what_has_come(reactor, client):
    done: list[object] = []
    fetch(client, reactor, ADDRESS, make_call(), 1.0).addCallback(done.append)
    protocol, _ = dial(reactor)
    protocol.dataReceived(reply("a", b"xx")[:-1])
    reactor.advance(4.0)
    protocol.dataReceived(b"x")
    assert done


def test_a_call_leaves_soon_after_it_was_placed_or_not_at_all():
    """What is sent half a second after a limit is known counts: none of it was placed before."""
    assert EndpointClientLimits().connect_s < 0.5


UNSIZED = b"HTTP/1.1 200 OK\r\nId: a\r\n\r\nid: 1\ndata: e1\n\n"


@pytest.mark.parametrize(
    ("reason", "is_ended", "failure"),
    [(ConnectionDone(), True, None), (ConnectionLost(), False, CallFailure.BROKEN)],
    ids=["closed", "reset"],
)
def test_a_reply_without_a_length_ends_with_its_connection_unless_that_is_reset(
    reactor, client, reason, is_ended, failure
):
    events = Events()
    client.send(ADDRESS, make_call(), events)
    protocol, _ = dial(reactor)
    protocol.dataReceived(UNSIZED)
    assert not events.is_ended
    protocol.connectionLost(Failure(reason))
    assert events.body == UNSIZED.partition(b"\r\n\r\n")[2]
    assert (events.is_ended, events.failure) == (is_ended, failure)


def test_a_connection_that_ends_a_reply_is_not_kept_for_another_call(reactor, client):
    client.send(ADDRESS, make_call(), Events())
    protocol, _ = dial(reactor)
    protocol.dataReceived(UNSIZED)
    protocol.connectionLost(Failure(ConnectionDone()))
    client.send(ADDRESS, make_call("b"), Events())
    assert len(reactor.tcpClients) == 2


class PausingEvents(Events):
    """Pauses its call at the first bytes, as a caller that reads slowly does."""

    running: Any = None

    def on_data(self, data: bytes) -> None:
        super().on_data(data)
        self.running.pause()


# The next call on the connection got nothing until its time was up.
def test_a_connection_whose_reply_ended_while_paused_reads_on_for_the_next_call(reactor, client):
    first, second = PausingEvents(), Events()
    first.running = client.send(ADDRESS, make_call(), first)
    protocol, transport = dial(reactor)
    protocol.dataReceived(reply("a"))
    assert first.is_ended
    client.send(ADDRESS, make_call("b"), second)
    assert transport.producerState == "producing"
    first.running.pause()
    first.running.resume()
    assert transport.producerState == "producing"
    protocol.dataReceived(reply("b"))
    assert second.is_ended
