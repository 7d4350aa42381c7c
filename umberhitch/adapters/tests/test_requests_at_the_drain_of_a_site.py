"""A router of the path with agents that stops answers the requests that are coming in."""

from types import SimpleNamespace

import pytest
from klein import Klein
from twisted.internet.defer import succeed

from umberhitch.adapters.http_server import BoundedSite
from umberhitch.nodes import RouterNode
from umberhitch.testing import FakeTransport

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


def _node() -> tuple[RouterNode, BoundedSite]:
    app = Klein()
    app.route("/a", methods=["POST"])(lambda request: b"whole")
    site = BoundedSite(app, 100)
    router = SimpleNamespace(drain=lambda: succeed(None), stop=lambda: None)
    port = SimpleNamespace(stopListening=lambda: None, factory=site)
    link = SimpleNamespace(close=lambda: None)
    return RouterNode(router, link, None, "", "", port, port, site), site


def _connect(site: BoundedSite):
    protocol, transport = site.buildProtocol(None), FakeTransport()
    protocol.makeConnection(transport)
    return protocol, transport


# The drain ended under bodies that came in, and their callers got nothing.
@pytest.mark.parametrize("first", [HEAD, HEAD + b"ab", HEAD[:20]], ids=["head", "body", "line"])
def test_a_body_that_comes_in_holds_the_drain_until_it_is_answered(first):
    node, site = _node()
    protocol, transport = _connect(site)
    protocol.dataReceived(first)
    drained = node.drain()
    assert not drained.called
    protocol.dataReceived((HEAD + b"abcd")[len(first) :])
    assert b"200 OK" in transport.value()
    assert drained.called


def test_a_body_that_never_ends_is_refused_when_the_process_ends():
    node, site = _node()
    protocol, transport = _connect(site)
    protocol.dataReceived(HEAD + b"ab")
    node.drain()
    node.stop()
    assert transport.value().startswith(b"HTTP/1.1 503")
    assert b'"not_run"' in transport.value()


def test_a_connection_that_is_lost_does_not_hold_the_drain():
    node, site = _node()
    protocol, _ = _connect(site)
    protocol.dataReceived(HEAD + b"ab")
    drained = node.drain()
    protocol.connectionLost(None)
    assert drained.called


def test_a_site_without_requests_holds_nothing():
    node, site = _node()
    _connect(site)
    assert node.drain().called
    assert not node.is_delivering()
