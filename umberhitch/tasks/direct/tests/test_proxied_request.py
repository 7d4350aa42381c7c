"""One request on the direct path, against endpoints that fail in every way."""

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
    ask = world.ask(world.ready_router(), "/look/x")
    world.run(0.1)
    assert (ask.status, ask.reply.body, ask.reply.is_complete) == (200, b"ok", True)
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


def test_a_router_without_a_configuration_says_when_to_come_back():
    world = DirectWorld()
    ask = world.ask(world.add_router(), "/look/x")
    assert ask.status == 503
    assert b"Come-Back" in ask.reply.headers


def test_what_may_have_run_is_tried_again_only_where_it_may_be_repeated():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2")]
    for endpoint in endpoints:
        endpoint.replies = [BROKEN]
    router = world.ready_router()
    order = world.ask(router, "/order/x")
    world.run(0.2)
    assert order.status == 502
    assert sum(len(each.calls) for each in endpoints) == 1
    look = world.ask(router, "/look/x")
    world.run(0.2)
    assert look.status == 200


def test_a_refusal_that_says_not_run_is_true():
    """Shed by one endpoint and broken at another: it may have run, so no 503."""
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


def test_an_endpoint_that_cannot_be_reached_costs_no_attempt():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2")]
    for endpoint in endpoints:
        endpoint.replies = [UNREACHED]
    router = world.ready_router()
    ask = world.ask(router, "/order/x")
    world.run(1.0)
    assert ask.status in (200, 503)
    assert sum(each.ran.count(ask.call_id) for each in endpoints) <= 1
    again = world.ask(router, "/order/x")
    world.run(0.2)
    assert again.status == 200


def test_an_endpoints_own_failure_is_tried_elsewhere_or_passed_on_unchanged():
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


def test_a_success_without_the_endpoints_signature_is_no_success():
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(is_signed=False)
    ask = world.ask(world.ready_router(), "/order/x")
    world.run(0.2)
    assert ask.status == 502


def test_a_request_that_is_given_up_gets_its_answer_at_the_routes_timeout():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    endpoint.reply = Reply(is_silent=True)
    document = make_direct_document(
        routes=(make_route("order", RouteKind.NON_IDEMPOTENT, timeout_s=0.8),)
    )
    ask = world.ask(world.ready_router(document), "/order/x")
    world.run(0.79)
    assert ask.status is None
    world.run(0.03)
    assert ask.status == 504
    assert endpoint.cancelled == [ask.call_id]


def test_the_endpoint_stops_when_the_caller_leaves():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    endpoint.reply = Reply(is_silent=True)
    router = world.ready_router()
    ask = world.ask(router, "/draft/x")
    world.run(0.05)
    ask.leave()
    assert endpoint.cancelled == [ask.call_id]
    assert not router.gateway.running_requests
    assert all(world.clock.seconds() + 5 > call.getTime() for call in world.clock.calls)


def test_a_stream_goes_on_elsewhere_after_the_last_whole_event():
    world = DirectWorld()
    endpoints = [world.add_endpoint(name) for name in ("e1", "e2")]
    for endpoint in endpoints:
        endpoint.reply = Reply(events=6)
        endpoint.replies = [Reply(events=6, break_after=2)]
    ask = world.ask(world.ready_router(), "/draft/x")
    world.run(3.0)
    assert ask.reply.is_complete
    expected = b"".join(b"id: %d\ndata: e%d\n\n" % (each, each) for each in range(1, 7))
    assert ask.reply.body == expected


def test_a_stream_that_cannot_go_on_does_not_look_complete():
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(events=6, break_after=2)
    ask = world.ask(world.ready_router(), "/draft/x")
    world.run(3.0)
    assert ask.reply.is_aborted
    assert ask.reply.body.endswith(b"data: e2\n\n")


def test_a_silent_stream_is_cancelled_before_it_goes_on_elsewhere():
    world = DirectWorld()
    first, second = world.add_endpoint("e1"), world.add_endpoint("e2")
    first.reply = second.reply = Reply(events=3)
    first.replies, second.replies = [Reply(is_silent=True)], []
    router = world.ready_router()
    ask = world.ask(router, "/draft/x")
    world.run(4.0)
    assert ask.reply.is_complete
    assert first.cancelled == ([ask.call_id] if first.calls else [])


def test_a_small_models_doubtful_answer_is_dropped_for_the_largest_ones():
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


def test_an_endpoint_that_drains_gets_nothing_more():
    world = DirectWorld()
    leaving = world.add_endpoint("e1")
    world.add_endpoint("e2")
    router = world.ready_router()
    world.registry.put("e1", make_endpoint_entry("e1", state=EndpointState.DRAINING))
    world.run(1.5)
    before = len(leaving.calls)
    for _ in range(20):
        world.ask(router, "/look/x")
        world.run(0.05)
    assert len(leaving.calls) == before


def test_repeats_stop_where_the_shared_budget_ends():
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
    calls = sum(len(each.calls) for each in endpoints)
    assert calls <= 50 + 0.9 * 50 + 4.0


def test_a_stream_that_went_silent_while_its_caller_read_slowly_goes_on_elsewhere():
    """The watch ran out while the caller was waited for, and was not set again."""
    world = DirectWorld()
    for name in ("e1", "e2"):
        endpoint = world.add_endpoint(name)
        endpoint.reply = Reply(events=3)
    route = make_route("draft", RouteKind.STREAM, timeout_s=20.0)
    router = world.ready_router(make_direct_document(routes=(route,)))
    for name in ("e1", "e2"):
        world.endpoints.by_address[f"@{name}"].replies = [Reply(events=3, gap_s=60.0)]
    ask = world.ask(router, "/draft/x")
    world.run(0.2)
    for name in ("e1", "e2"):
        world.endpoints.by_address[f"@{name}"].replies = []
    ask.reply.pause()
    world.run(3.0)
    ask.reply.resume()
    world.run(3.0)
    assert ask.reply.is_complete


def test_a_slow_caller_holds_up_only_its_own_call():
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(events=50)
    router = world.ready_router()
    slow, quick = world.ask(router, "/draft/x"), world.ask(router, "/draft/x")
    world.run(0.2)
    slow.reply.pause()
    held = [call.is_paused for call in world.endpoints.running]
    assert held == [True, False]
    slow.reply.resume()
    world.run(4.0)
    assert quick.reply.is_complete
    assert slow.reply.is_complete
