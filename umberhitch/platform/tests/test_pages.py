"""Pages of a router over HTTP: readiness, status and metrics."""

from msgspec import json
from twisted.internet.task import Clock

from umberhitch.adapters.gateway_pages import GatewayPages
from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.core.direct import HeadSignals, Rate, ReplyHead, WaitSample
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.services import ReadyAnswerFate, RunCause
from umberhitch.testing import CrashingFleet, DirectWorld, FakeTransport


def get(pages: GatewayPages, path: str, method: str = "GET") -> bytes:
    protocol = CallerFactory(Clock(), pages, 1000).buildProtocol(None)
    transport = FakeTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
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


def test_the_fates_of_ready_answers_are_shown():
    world = DirectWorld()
    gateway = world.ready_router().gateway
    for fate in (ReadyAnswerFate.DROPPED, ReadyAnswerFate.DROPPED, ReadyAnswerFate.LOST):
        gateway.count_ready_answer(fate)
    pages = GatewayPages(gateway, dict)
    metrics = get(pages, "/metrics")
    assert b'umberhitch_ready_answers_total{reason="dropped"} 2\n' in metrics
    assert b'umberhitch_ready_answers_total{reason="lost"} 1\n' in metrics
    assert b'"ready_answers":{"dropped":2,"lost":1}' in get(pages, "/status")


def test_work_that_is_done_twice_and_learned_waits_are_shown():
    world = DirectWorld()
    gateway = world.ready_router().gateway
    gateway.count_second_run("svc", RunCause.ESCALATED)
    gateway.counters.second_runs.prompt_tokens["svc"] += 700
    sample = WaitSample(3.1, False, 1.0, 3.0)
    gateway.selector.larger_waits.record("svc", "large", sample, world.clock.seconds())
    pages = GatewayPages(gateway, dict)
    metrics = get(pages, "/metrics")
    assert b'umberhitch_second_runs_total{service="svc",cause="escalated"} 1\n' in metrics
    assert b'umberhitch_prompt_tokens_read_again_total{service="svc"} 700\n' in metrics
    assert b'larger_model_in_time_share{service="svc",model="large"} 0.8\n' in metrics
    status = json.decode(get(pages, "/status").partition(b"\r\n\r\n")[2])
    assert status["second_runs"] == {"svc": {"escalated": 1, "prompt_tokens_read_again": 700}}
    assert status["larger_model_waits"] == {"svc": {"large": {"in_time_share": 0.8, "age_s": 0.0}}}


def test_held_requests_are_shown_and_can_be_released():
    fleet = CrashingFleet(routers=1, reply=Reply(events=8))
    fleet.every(0.4, 2.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(3.0)
    pages = GatewayPages(fleet.all_routers[0].gateway, dict)
    assert b"umberhitch_requests_held 1\n" in get(pages, "/metrics")
    key = fleet.all_routers[0].gateway.crash_guard.record.suspects()[0]
    assert f'"key":"{key}"'.encode() in get(pages, "/held")
    assert get(pages, f"/held/release/{key}").startswith(b"HTTP/1.1 404")
    assert get(pages, f"/held/release/{key}", "POST").startswith(b"HTTP/1.1 200")
    assert b"umberhitch_requests_held 0\n" in get(pages, "/metrics")


def test_endpoint_signals_have_one_table_and_one_metric_per_kind():
    world = DirectWorld()
    names = ("left", "rest", "rate", "cold")
    for name in names:
        world.add_endpoint(name, cold_s=30.0 if name == "cold" else 0.0)
    gateway = world.ready_router().gateway
    signals_by_endpoint = {
        "left": HeadSignals(is_draining=True),
        "rest": HeadSignals(backoff_s=30.0),
        "rate": HeadSignals(limit=Rate(2.0), unknown=((b"server-mood", b"low"),)),
    }
    for name, signals in signals_by_endpoint.items():
        gateway.gate.apply_head(name, ReplyHead(503, not_run=True, signals=signals))
    pages = GatewayPages(gateway, dict)
    status = json.decode(get(pages, "/status").partition(b"\r\n\r\n")[2])
    rows = {row["endpoint"]: row for row in status["endpoint_signals"]}
    kinds = {name: row["signal"] for name, row in rows.items()}
    assert kinds == {"left": "leaving", "rest": "rest", "rate": "limit", "cold": "cold"}
    assert (rows["rest"]["left_s"], rows["left"]["left_s"]) == (30.0, None)
    assert {row["source"] for row in rows.values()} == {"its answer", "its entry"}
    assert status["unknown_headers"] == {"server-mood": 1}
    metrics = get(pages, "/metrics")
    for kind in kinds.values():
        assert f'umberhitch_endpoint_signals{{signal="{kind}"}} 1\n'.encode() in metrics
