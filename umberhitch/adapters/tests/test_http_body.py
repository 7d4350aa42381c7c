"""Bodies that come whole, break off, or stop coming."""

from typing import Any

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from umberhitch.adapters.http_body import StalledError, read_body
from umberhitch.testing import FakeTransport


class FakeResponse:
    """A response whose body the test delivers."""

    length = 10

    def deliverBody(self, protocol: Any) -> None:
        self.body = protocol
        protocol.makeConnection(FakeTransport())


@pytest.fixture
def clock() -> Clock:
    return Clock()


def _read(clock: Clock) -> tuple[FakeResponse, list[Any]]:
    response, results = FakeResponse(), []
    read_body(response, clock).addBoth(results.append)
    return response, results


def test_a_body_is_read_however_long_it_takes_while_it_goes_on(clock):
    response, results = _read(clock)
    for _ in range(10):
        clock.advance(2.0)
        response.body.dataReceived(b"x")
    response.body.connectionLost(Failure(ResponseDone()))
    assert results == [b"x" * 10]
    assert not clock.getDelayedCalls()


def test_a_body_that_stops_coming_is_given_up_and_its_connection_closed(clock):
    """A connection that went silent after the head was waited for without end."""
    response, results = _read(clock)
    response.body.dataReceived(b"x")
    clock.advance(3.1)
    assert results[0].check(StalledError)
    assert response.body.transport.disconnected
    response.body.connectionLost(Failure(ConnectionLost()))
    assert len(results) == 1


def test_a_body_that_breaks_off_is_an_error(clock):
    response, results = _read(clock)
    response.body.connectionLost(Failure(ConnectionLost()))
    assert results[0].check(ConnectionLost)
