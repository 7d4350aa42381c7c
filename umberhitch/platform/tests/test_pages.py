"""Pages of a router: readiness, status and metrics, as they come over the wire."""

from twisted.internet.task import Clock

from umberhitch.adapters.gateway_pages import GatewayPages
from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.testing import DirectWorld, FakeTransport


def get(pages: GatewayPages, path: str) -> bytes:
    protocol = CallerFactory(Clock(), pages, 1000).buildProtocol(None)
    transport = FakeTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    return transport.take()


def test_pages_before_and_after_the_store_was_read():
    world = DirectWorld()
    world.add_endpoint("e1")
    pages = GatewayPages(world.add_router().gateway, lambda: {"callers_connected": 3})
    assert get(pages, "/-/readyz").startswith(b"HTTP/1.1 503")
    assert b"200" in get(pages, "/metrics")
    ready = GatewayPages(world.ready_router().gateway, lambda: {"callers_connected": 3})
    assert get(ready, "/-/readyz").startswith(b"HTTP/1.1 200")
    metrics = get(ready, "/metrics")
    assert b"umberhitch_endpoints 1\n" in metrics
    assert b"umberhitch_callers_connected 3\n" in metrics
    assert b'"configuration":1' in get(ready, "/status")
    assert get(ready, "/other").startswith(b"HTTP/1.1 404")
