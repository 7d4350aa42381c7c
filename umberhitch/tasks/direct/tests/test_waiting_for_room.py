"""Requests that wait for room at one router, one at a time."""

import logging

import pytest

from umberhitch.core.direct import Customer, Document, RouteKind
from umberhitch.tasks.direct.admission_control import AdmissionControl
from umberhitch.testing import DirectAsk, LoadWorld, make_load_document, make_route

OBJECTIVE_S = 0.5
MAX_WAIT_S = 0.125
WORK_S = 0.4
"""So long that an endpoint has no place beyond its slots."""


def _make_document() -> Document:
    routes = (
        make_route("look", timeout_s=5.0, objective_s=OBJECTIVE_S),
        make_route("order", RouteKind.NON_IDEMPOTENT, objective_s=OBJECTIVE_S, priority=0),
    )
    customers = (Customer("c1"), Customer("c2"))
    return make_load_document(routes, customers, slots=1)


def _make_world(endpoints: int = 1, work_s: float = WORK_S) -> LoadWorld:
    world = LoadWorld()
    for number in range(endpoints):
        world.add_loaded(f"e{number}", slots=1, work_s=work_s, queue_limit=50)
    world.start_routers(1, _make_document(), has_admission_control=True)
    _learn(world, endpoints)
    return world


def _learn(world: LoadWorld, endpoints: int) -> None:
    """Let the router see how long calls take."""
    for _ in range(40):
        asks = [_ask(world) for _ in range(endpoints)]
        world.run(WORK_S + 0.05)
        assert all(ask.status == 200 for ask in asks)


def _ask(world: LoadWorld, path: str = "/look/x", body: bytes = b"body") -> DirectAsk:
    return world.ask(world.routers["r0"], path, "key-c1", body)


def _control(world: LoadWorld) -> AdmissionControl:
    control = world.routers["r0"].gateway.admission_control
    assert control is not None
    return control


def test_a_request_waits_for_a_call_that_ends_and_is_sent_at_once() -> None:
    world = _make_world()
    _ask(world)
    world.run(WORK_S - 0.05)
    second = _ask(world)
    assert _control(world).waiting("svc") == 1
    assert world.loaded.by_address["@e0"].arrived == 41
    world.run(0.06)
    assert _control(world).waiting("svc") == 0
    world.run(WORK_S + 0.05)
    assert second.status == 200


def test_a_request_without_room_is_refused_as_not_run_after_a_quarter_of_the_objective() -> None:
    world = _make_world()
    _ask(world)
    second = _ask(world)
    world.run(MAX_WAIT_S - 0.01)
    assert second.status is None
    world.run(0.02)
    assert second.status == 503
    world.run(2.0)
    assert len(world.loaded.by_address["@e0"].began) == 41


def test_a_caller_that_leaves_waits_no_more() -> None:
    world = _make_world()
    _ask(world)
    second = _ask(world)
    second.leave()
    assert _control(world).waiting("svc") == 0
    world.run(2.0)
    assert len(world.loaded.by_address["@e0"].began) == 41


def test_the_most_urgent_goes_first_and_the_last_is_refused_when_the_queue_is_full() -> None:
    world = _make_world()
    _ask(world)
    world.run(WORK_S - 0.05)
    looks = [_ask(world) for _ in range(2)]
    order = _ask(world, "/order/x")
    assert [look.status for look in looks].count(503) >= 1
    assert order.status is None
    world.run(0.1 + WORK_S)
    assert order.status == 200
    assert world.loaded.by_address["@e0"].began[41] == order.call_id


def test_bodies_of_waiting_requests_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    module = "umberhitch.tasks.direct.admission_control.MAX_WAITING_BYTES"
    monkeypatch.setattr(module, 1000)
    world = _make_world()
    _ask(world)
    large = _ask(world, body=b"b" * 1001)
    assert large.status == 503
    assert _control(world).waiting("svc") == 0


def test_a_router_that_drains_refuses_what_waits() -> None:
    world = _make_world()
    _ask(world)
    second = _ask(world)
    world.routers["r0"].gateway.drain(lambda: None, lambda: None)
    assert second.status == 503
    world.run(2.0)
    assert len(world.loaded.by_address["@e0"].began) == 41


def test_an_endpoint_that_appears_takes_what_waits() -> None:
    world = _make_world()
    world.add_loaded("new", slots=1, work_s=0.01)
    directory = world.routers["r0"].gateway.directory
    _ask(world)
    waiting = _ask(world)
    while len(directory) == 1:
        assert world.loaded.by_address["@new"].arrived == 0
        if _control(world).waiting("svc") == 0:
            waiting = _ask(world)
        world.run(0.002)
    world.run(0.05)
    assert waiting.status == 200
    assert world.loaded.by_address["@new"].arrived == 1


def test_a_retry_goes_before_those_that_wait() -> None:
    world = _make_world(endpoints=2)
    _ask(world)
    _ask(world)
    world.run(0.05)
    waiting = _ask(world)
    one, other = (world.loaded.by_address[name] for name in ("@e0", "@e1"))
    refused, ended = one.running[0], other.running[0]
    for call in (refused, ended):
        assert call._timer is not None
        call._timer.cancel()
    ended._finish_work()
    refused._leave()
    refused.refuse()
    world.run(0.01)
    assert other.began[-1] == refused.call.call_id
    assert one.began[-1] == waiting.call_id


def test_a_retry_never_waits() -> None:
    world = _make_world(endpoints=2)
    first, second = _ask(world), _ask(world)
    world.run(0.05)
    refused = world.loaded.by_address["@e0"].running[0]
    assert refused._timer is not None
    refused._timer.cancel()
    refused._leave()
    refused.refuse()
    world.run(0.01)
    assert sorted([first.status is None, second.status is None]) == [False, True]
    assert _control(world).waiting("svc") == 0


def test_nothing_is_scheduled_while_nothing_waits() -> None:
    world = _make_world()
    _ask(world)
    _ask(world)
    world.run(3.0)
    pending = [call.func for call in world.clock.getDelayedCalls()]
    control = _control(world)
    assert control._check not in pending
    assert control._serve_all not in pending


def test_the_log_tells_why_a_request_waited_and_was_refused(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = _make_world()
    with caplog.at_level(logging.INFO):
        _ask(world)
        world.run(WORK_S - 0.05)
        _ask(world)
        world.run(0.06)
        _ask(world)
        world.run(MAX_WAIT_S + 0.01)
    by_message = {record.message: record for record in caplog.records}
    assert by_message["waits for room"].position == 1  # type: ignore[attr-defined]
    assert by_message["sent after waiting"].waited_s > 0.0  # type: ignore[attr-defined]
    refused = by_message["refused for lack of room"]
    assert refused.reason == "waited in vain"  # type: ignore[attr-defined]
    assert refused.objective_s == OBJECTIVE_S  # type: ignore[attr-defined]
    assert refused.expected_wait_s > MAX_WAIT_S  # type: ignore[attr-defined]


def test_a_cold_endpoint_gets_no_more_than_it_sustains() -> None:
    world = LoadWorld()
    cold = world.add_loaded("e0", slots=4, work_s=0.01)
    route = make_route("look", objective_s=OBJECTIVE_S)
    document = make_load_document((route,), cold_start_s=5.0, cold_rate=2.0)
    world.start_routers(1, document, has_admission_control=True)
    endpoint = next(iter(world.routers["r0"].gateway.directory.of_service("svc")))
    endpoint.presume_cold(world.clock.seconds() + 5.0, "test")
    for _ in range(40):
        _ask(world)
        world.run(0.025)
    assert cold.arrived <= 4
    world.run(1.0)


def test_without_admission_control_nothing_waits() -> None:
    world = LoadWorld()
    world.add_loaded("e0", slots=1, work_s=WORK_S)
    world.start_routers(1, _make_document())
    asks = [_ask(world) for _ in range(3)]
    world.run(0.01)
    assert world.loaded.by_address["@e0"].arrived == 3
    world.run(3 * WORK_S + 0.1)
    assert [ask.status for ask in asks] == [200] * 3
