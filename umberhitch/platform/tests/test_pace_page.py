"""Paces on a router's pages, and malformed figures in its log."""

from umberhitch.adapters.gateway_pages import GatewayPages
from umberhitch.core.direct import HeadSignals, ReportedLoad
from umberhitch.fakes import Reply
from umberhitch.platform.tests.test_pages import get
from umberhitch.tasks.direct.unknown_headers import MAX_LOGGED, UnknownHeaders
from umberhitch.testing import DirectWorld


def test_pages_show_the_paces_and_the_malformed_figures():
    world = DirectWorld()
    for name, pace in (("e1", 1.0), ("e2", 2.5)):
        world.add_endpoint(name).reply = Reply(delay_s=0.05, load=ReportedLoad(1, 0, 8, pace))
    router = world.ready_router()
    pages = GatewayPages(router.gateway, dict)
    assert b"umberhitch_pace_endpoints 0\n" in get(pages, "/metrics")
    for _ in range(12):
        world.ask(router, "/look/x")
    world.run(0.1)
    router.gateway.gate.unknown_headers.record("e1", HeadSignals(malformed=("load",)))
    metrics = get(pages, "/metrics")
    assert b"umberhitch_pace_endpoints 2\n" in metrics
    assert b'umberhitch_unclear_headers_total{header="load"} 1\n' in metrics
    status = get(pages, "/status")
    assert b'"pace":{"endpoints":2,"largest":2.' in status
    assert b'"unclear_headers":{"load":1}' in status


def test_a_call_names_the_pace_that_it_was_sent_by(caplog):
    caplog.set_level("INFO")
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(delay_s=0.05, load=ReportedLoad(0, 0, 8, 2.5))
    router = world.ready_router()
    for _ in range(2):
        world.ask(router, "/look/x")
        world.run(0.1)
    first, second = (record for record in caplog.records if record.message == "call sent")
    assert (first.pace, first.pace_age_s) == (None, None)
    assert 1.0 < second.pace <= 2.5
    assert 0.0 < second.pace_age_s < 0.1


def test_malformed_figures_are_logged_once_for_each_endpoint(caplog):
    unknown = UnknownHeaders()
    for number in range(3 * MAX_LOGGED):
        for _ in range(2):
            unknown.record(f"i-{number % MAX_LOGGED}", HeadSignals(malformed=("load",)))
    unknown.record("another", HeadSignals(malformed=("load",)))
    assert unknown.unclear == {"load": 6 * MAX_LOGGED + 1}
    assert len(caplog.records) == MAX_LOGGED
