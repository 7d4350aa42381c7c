"""Single requests on the direct path, with endpoints that fail in different ways."""

from umberhitch.core.direct import EndpointState, RouteKind
from umberhitch.fakes import Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.testing import (
    DirectWorld,
    make_direct_document,
    make_endpoint_entry,
    make_route,
)

BROKEN = Reply(failure=CallFailure.BROKEN)
UNREACHED = Reply(failure=CallFailure.NOT_SENT)
SHED = Reply(status=503, not_run=True, is_signed=False)
ERROR = Reply(status=500, body=b"error")


def test_a_request_is_passed_on_with_the_customers_name_and_not_its_key():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    req = world.ask(world.ready_router(), "/look/x")
    world.run(0.1)
    assert (req.status, req.reply.body, req.reply.is_complete) == (200, b"ok", True)
    headers = dict(endpoint.calls[0].headers)
    assert headers[b"Customer"] == b"c1"
    assert headers[b"Incarnation"] == b"e1"
    assert not any(b"key-1" in value for value in headers.values())


def test_unknown_routes_and_keys_are_refused_and_nothing_is_passed_on():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    router = world.ready_router()
    assert world.ask(router, "/nowhere/x").status == 404
    assert world.ask(router, "/look/x", key="stolen").status == 401
    assert world.ask(router, "/look/x", key=None).status == 401
    assert endpoint.calls == []


def test_a_router_without_a_configuration_refuses_with_a_retry_time():
    world = DirectWorld()
    req = world.ask(world.add_router(), "/look/x")
    assert req.status == 503
    assert b"Come-Back" in req.reply.headers


def test_a_request_that_may_have_run_is_retried_only_on_repeatable_routes():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2")]
    for endpoint in endpoints:
        endpoint.replies = [BROKEN]
    router = world.ready_router()
    order = world.ask(router, "/order/x")
    world.run(0.2)
    assert order.status == 502
    assert sum(len(endpoint.calls) for endpoint in endpoints) == 1
    look = world.ask(router, "/look/x")
    world.run(0.2)
    assert look.status == 200


def test_requests_are_refused_as_not_run_only_if_no_call_can_have_run():
    """A request that one endpoint shed and that broke at another may have run: no 503."""
    world = DirectWorld()
    first, second = world.add_endpoint("e1"), world.add_endpoint("e2")
    for endpoint in (first, second):
        endpoint.replies = [SHED, SHED]
    router = world.ready_router()
    shed = world.ask(router, "/look/x")
    world.run(0.2)
    assert shed.status == 503
    assert b"Come-Back" in shed.reply.headers
    assert first.ran == second.ran == []
    first.replies, second.replies = [BROKEN, BROKEN], [BROKEN, BROKEN]
    broken = world.ask(router, "/look/x")
    world.run(1.0)
    assert broken.status == 502


def test_an_unreachable_endpoint_uses_up_no_attempt():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2")]
    for endpoint in endpoints:
        endpoint.replies = [UNREACHED]
    router = world.ready_router()
    req = world.ask(router, "/order/x")
    world.run(1.0)
    assert req.status in (200, 503)
    assert sum(endpoint.ran.count(req.call_id) for endpoint in endpoints) <= 1
    retried = world.ask(router, "/order/x")
    world.run(0.2)
    assert retried.status == 200


def test_an_error_of_an_endpoint_is_retried_elsewhere_or_passed_on_unchanged():
    world = DirectWorld()
    only = world.add_endpoint("e1")
    only.reply = ERROR
    router = world.ready_router()
    alone = world.ask(router, "/look/x")
    world.run(0.1)
    assert (alone.status, alone.reply.body) == (500, b"error")
    assert alone.reply.headers[b"Endpoint"] == b"fake"
    world.add_endpoint("e2")
    world.run(1.2)
    both = world.ask(router, "/look/x")
    world.run(0.2)
    assert both.status == 200


def test_a_success_without_the_endpoints_signature_is_rejected():
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(is_signed=False)
    req = world.ask(world.ready_router(), "/order/x")
    world.run(0.2)
    assert req.status == 502


def test_a_request_is_answered_at_the_timeout_of_its_route():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    endpoint.reply = Reply(is_silent=True)
    document = make_direct_document(
        routes=(make_route("order", RouteKind.NON_IDEMPOTENT, timeout_s=0.8),)
    )
    req = world.ask(world.ready_router(document), "/order/x")
    world.run(0.79)
    assert req.status is None
    world.run(0.03)
    assert req.status == 504
    assert endpoint.cancelled == [req.call_id]


def test_the_call_is_cancelled_when_the_caller_disconnects():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    endpoint.reply = Reply(is_silent=True)
    router = world.ready_router()
    req = world.ask(router, "/draft/x")
    world.run(0.05)
    req.leave()
    assert endpoint.cancelled == [req.call_id]
    assert not router.gateway.running_requests
    assert all(world.clock.seconds() + 5 > call.getTime() for call in world.clock.calls)


def test_a_stream_is_resumed_elsewhere_after_the_last_complete_event():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2")]
    for endpoint in endpoints:
        endpoint.reply = Reply(events=6)
        endpoint.replies = [Reply(events=6, break_after=2)]
    req = world.ask(world.ready_router(), "/draft/x")
    world.run(3.0)
    assert req.reply.is_complete
    expected = b"".join(b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(1, 7))
    assert req.reply.body == expected


def test_a_stream_that_cannot_be_resumed_does_not_look_complete():
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(events=6, break_after=2)
    req = world.ask(world.ready_router(), "/draft/x")
    world.run(3.0)
    assert req.reply.is_aborted
    assert req.reply.body.endswith(b"data: e2\n\n")


def test_a_stream_without_events_is_cancelled_before_it_is_resumed_elsewhere():
    world = DirectWorld()
    first, second = world.add_endpoint("e1"), world.add_endpoint("e2")
    first.reply = second.reply = Reply(events=3)
    first.replies, second.replies = [Reply(is_silent=True)], []
    router = world.ready_router()
    req = world.ask(router, "/draft/x")
    world.run(4.0)
    assert req.reply.is_complete
    assert first.cancelled == ([req.call_id] if first.calls else [])


def test_a_low_confidence_answer_is_dropped_for_the_largest_model():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    route = make_route("draft", RouteKind.STREAM, models=("small", "large"))
    router = world.ready_router(make_direct_document(routes=(route,)))
    endpoint.replies = [Reply(events=2, confidence=5), Reply(events=2, confidence=5)]
    doubtful = world.ask(router, "/draft/x", Any_Model="1", Prompt="p:10")
    world.run(1.0)
    assert doubtful.reply.is_complete
    models = [dict(call.headers)[b"Model-Name"] for call in endpoint.calls]
    assert models == [b"small", b"large"]
    assert endpoint.cancelled == [doubtful.call_id]
    endpoint.replies = [Reply(events=2, confidence=100)]
    sure = world.ask(router, "/draft/x", Any_Model="1", Prompt="p:10")
    world.run(1.0)
    assert sure.reply.is_complete
    assert len(endpoint.calls) == 3


def test_a_draining_endpoint_gets_no_more_calls():
    world = DirectWorld()
    draining = world.add_endpoint("e1")
    world.add_endpoint("e2")
    router = world.ready_router()
    world.registry.put("e1", make_endpoint_entry("e1", state=EndpointState.DRAINING))
    world.run(1.5)
    before = len(draining.calls)
    for _ in range(20):
        world.ask(router, "/look/x")
        world.run(0.05)
    assert len(draining.calls) == before


def test_retries_stop_when_the_shared_budget_is_used_up():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2", "e3")]
    for endpoint in endpoints:
        endpoint.reply = ERROR
    world.operator.put("config", make_direct_document())
    router = world.add_router(slack=4.0)
    world.run(0.1)
    for _ in range(50):
        world.ask(router, "/look/x")
        world.run(0.05)
    calls = sum(len(endpoint.calls) for endpoint in endpoints)
    assert calls <= 50 + 0.9 * 50 + 4.0


def test_a_stream_that_stalled_while_its_caller_read_slowly_is_resumed_elsewhere():
    """The idle timer expired while the caller was slow, and was not restarted."""
    world = DirectWorld()
    for name in ("e1", "e2"):
        endpoint = world.add_endpoint(name)
        endpoint.reply = Reply(events=3)
    route = make_route("draft", RouteKind.STREAM, timeout_s=20.0)
    router = world.ready_router(make_direct_document(routes=(route,)))
    for name in ("e1", "e2"):
        world.endpoints.by_address[f"@{name}"].replies = [Reply(events=3, gap_s=60.0)]
    req = world.ask(router, "/draft/x")
    world.run(0.2)
    for name in ("e1", "e2"):
        world.endpoints.by_address[f"@{name}"].replies = []
    req.reply.pause()
    world.run(3.0)
    req.reply.resume()
    world.run(3.0)
    assert req.reply.is_complete


def test_a_slow_caller_pauses_only_its_own_call():
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(events=50)
    router = world.ready_router()
    slow, quick = world.ask(router, "/draft/x"), world.ask(router, "/draft/x")
    world.run(0.2)
    slow.reply.pause()
    paused = [call.is_paused for call in world.endpoints.running]
    assert paused == [True, False]
    slow.reply.resume()
    world.run(4.0)
    assert quick.reply.is_complete
    assert slow.reply.is_complete
