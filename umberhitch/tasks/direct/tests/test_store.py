"""How a router of the direct path applies records of the store, and behaves without the store."""

from umberhitch.fakes import Reply
from umberhitch.testing import DirectWorld, make_direct_document, make_route


def test_a_new_document_replaces_the_older_and_is_never_replaced_by_an_older():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router(make_direct_document(5))
    world.operator.put("config", make_direct_document(7, routes=(make_route("new"),)))
    world.run(0.1)
    assert world.ask(router, "/look/x").status == 404
    world.operator.put("config", make_direct_document(6))
    world.run(2.0)
    assert world.ask(router, "/look/x").status == 404
    req = world.ask(router, "/new/x")
    world.run(0.1)
    assert req.status == 200


def test_a_revoked_key_is_refused_soon():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    router = world.ready_router(make_direct_document(1, keys=("key-1", "key-2")))
    world.operator.put("config", make_direct_document(2, keys=("key-2",)))
    world.run(0.1)
    assert world.ask(router, "/look/x", key="key-1").status == 401
    assert endpoint.calls == []


def test_without_proof_that_the_keys_are_the_newest_requests_with_keys_are_refused():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    document = make_direct_document(routes=(make_route("look"), make_route("open", is_public=True)))
    router = world.ready_router(document)
    router.faults.is_down = True
    world.run(4.0)
    early = world.ask(router, "/look/x")
    world.run(2.2)
    late = world.ask(router, "/look/x")
    public = world.ask(router, "/open/x", key=None)
    world.run(0.1)
    assert early.status == 200
    assert (late.status, late.reply.headers.get(b"Come-Back")) == (503, b"0.500")
    assert public.status == 200
    assert len(endpoint.calls) == 2
    router.faults.is_down = False
    world.run(1.0)
    retry = world.ask(router, "/look/x")
    world.run(0.1)
    assert retry.status == 200


def test_without_strict_revocation_the_last_known_keys_serve_while_the_store_is_unavailable():
    """Guards against refusals while the store is unavailable: all requests were refused for 4 s of
    an outage of 8 s."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    router = world.add_router(is_strict=False)
    world.run(0.1)
    router.faults.is_down = True
    world.run(30.0)
    known = world.ask(router, "/look/x")
    unknown_key = world.ask(router, "/look/x", key="key-2")
    unknown_route = world.ask(router, "/new/x")
    world.run(0.1)
    assert known.status == 200
    # Key and route may have been added meanwhile: a final refusal could be wrong.
    assert (unknown_key.status, unknown_route.status) == (503, 503)


def test_without_strict_revocation_a_revoked_key_is_refused_soon():
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document(1, keys=("key-1", "key-2")))
    router = world.add_router(is_strict=False)
    world.run(0.1)
    world.operator.put("config", make_direct_document(2, keys=("key-2",)))
    world.run(0.1)
    assert world.ask(router, "/look/x", key="key-1").status == 401


def test_a_router_that_resumes_after_a_freeze_does_not_trust_its_old_proof():
    """The request arrived while the process was frozen, and is read when it resumes."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    router = world.ready_router(make_direct_document(1))
    router.clock.is_paused = True
    world.operator.put("config", make_direct_document(2, keys=()))
    world.run(8.0)
    router.faults.delay_s = 0.01
    router.clock.resume()
    req = world.ask(router, "/look/x")
    assert req.status is None
    world.run(0.1)
    assert req.status == 401
    assert endpoint.calls == []


def test_a_router_that_resumes_after_a_freeze_serves_the_waiting_requests():
    """Guards against refusals in the first milliseconds after a freeze, before the store has
    answered: there were 430 of them after two freezes."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    routers = [world.add_router(f"r{number}") for number in range(3)]
    world.run(5.0)
    for router in routers:
        router.clock.is_paused = True
        world.run(6.0)
        router.faults.delay_s = 0.01
        router.clock.resume()
        requests = [world.ask(router, "/look/x") for _ in range(3)]
        cancelled = world.ask(router, "/look/x")
        cancelled.leave()
        assert [req.status for req in requests] == [None] * 3
        world.run(0.1)
        assert [req.status for req in requests] == [200] * 3
        assert cancelled.status is None


def test_entries_that_lapsed_while_the_store_was_unavailable_may_return():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    router.faults.is_down = True
    world.run(3.0)
    world.registry.put("e1", None)
    router.faults.is_down = False
    world.run(1.0)
    before_grace = world.ask(router, "/look/x")
    world.run(0.1)
    assert before_grace.status == 200
    world.run(3.0)
    assert world.ask(router, "/look/x").status == 503


def test_an_entry_removed_soon_after_the_store_recovered_is_removed_in_time():
    """Guards against treating the entry as lapsed, which let a call reach the endpoint 2.2 s after
    it was deregistered."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    world.add_endpoint("e2")
    router = world.ready_router()
    router.faults.is_down = True
    world.run(3.0)
    router.faults.is_down = False
    world.run(1.0)
    world.registry.put("e1", None)
    world.run(1.99)
    before = len(endpoint.calls)
    for _ in range(20):
        world.ask(router, "/look/x")
        world.run(0.05)
    assert len(endpoint.calls) == before


def test_an_entry_removed_while_the_store_is_available_is_removed():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    world.registry.put("e1", None)
    world.run(1.5)
    assert world.ask(router, "/look/x").status == 503


def test_a_router_catches_up_when_the_stores_history_is_trimmed():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    router.faults.is_down = True
    world.run(1.5)
    world.operator.put("config", make_direct_document(9, routes=(make_route("new"),)))
    world.operator.forget_history()
    world.registry.forget_history()
    router.faults.is_down = False
    world.run(1.5)
    req = world.ask(router, "/new/x")
    world.run(0.1)
    assert req.status == 200


def test_a_draining_router_fails_its_readiness_first_and_answers_what_it_has_read():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    noticed, done = [], []
    router.gateway.drain(lambda: noticed.append(True), lambda: done.append(True))
    assert not router.gateway.is_ready
    req = world.ask(router, "/look/x")
    world.run(1.0)
    assert req.status == 200
    assert (noticed, done) == ([], [])
    world.run(2.0)
    assert (noticed, done) == ([True], [True])


def test_a_stream_that_arrives_too_late_to_finish_is_refused_with_an_immediate_retry():
    """Guards against accepting a stream during the drain that is cut off 0.2 s later at the
    deadline."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    endpoint.replies = [Reply(events=80)]
    router = world.ready_router()
    running = world.ask(router, "/draft/x")
    done = []
    router.gateway.drain(lambda: None, lambda: done.append(True))
    world.run(2.7)
    late = world.ask(router, "/draft/x")
    unary = world.ask(router, "/look/x")
    assert (late.status, late.reply.headers[b"Come-Back"]) == (503, b"0.100")
    assert len(endpoint.calls) == 2
    assert done == []
    world.run(3.0)
    assert running.reply.is_complete
    assert unary.status == 200
    assert done == [True]


def test_a_call_that_the_store_held_proves_freshness_up_to_its_end():
    """Guards against a proof as old as two waits, which refused callers 2.4 s after an outage of
    the store began."""
    world = DirectWorld()
    router = world.ready_router()
    ages = []
    for _ in range(100):
        world.run(0.1)
        ages.append(router.gateway.view.proof_age_s(world.clock.seconds()))
    assert max(ages) < 1.85


def test_a_call_that_was_not_held_proves_freshness_only_up_to_its_start():
    world = DirectWorld()
    router = world.ready_router()
    router.faults.holds = False
    router.faults.delay_s = 0.4
    world.run(5.0)
    calls = router.operator.calls
    assert router.gateway.view.proof_age_s(world.clock.seconds()) >= 0.0
    while router.operator.calls == calls:
        world.run(0.01)
    assert router.gateway.view.proof_age_s(world.clock.seconds()) >= 0.4


def _drain(world: DirectWorld, name: str) -> None:
    world.routers[name].gateway.drain(lambda: None, lambda: None)


def test_streams_refused_while_all_routers_drain_retry_when_the_first_is_available():
    """Guards against an immediate retry while no router accepts streams: three routers that
    restarted 2 s apart refused 61 requests of six days a second time."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for name in ("r1", "r2"):
        world.add_router(name)
    world.run(3.0)
    _drain(world, "r1")
    world.run(3.0)
    while_other_accepts = world.ask(world.routers["r1"], "/draft/x")
    assert while_other_accepts.reply.headers.get(b"Come-Back") == b"0.100"
    _drain(world, "r2")
    world.run(3.0)
    while_none_accepts = world.ask(world.routers["r2"], "/draft/x")
    assert while_none_accepts.status == 503
    # r1 began to drain 6 s ago, may take 8 s to drain, and 0.7 s to start.
    assert 2.4 <= float(while_none_accepts.reply.headers[b"Come-Back"]) <= 2.8


def test_a_router_that_has_just_started_is_not_available_before_the_balancer_checks():
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    router = world.add_router("r1")
    assert router.gateway.presence.available_in_s() > 1.0
    world.run(0.5)
    assert 0.3 < router.gateway.presence.available_in_s() <= 1.2
    world.run(1.5)
    assert router.gateway.presence.available_in_s() == 0.0


def test_a_peer_that_did_not_return_in_time_is_not_waited_for():
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for name in ("r1", "r2"):
        world.add_router(name)
    world.run(3.0)
    alone = world.routers["r2"].peers
    _drain(world, "r1")
    world.run(1.0)
    lost = world.routers["r1"]
    lost.peers.stop()
    lost.gateway.stop()
    world.network.unplug("r1")
    world.run(3.0)
    assert 3.0 < alone.peer_available_in_s() < 6.0
    world.run(6.0)
    assert alone.peer_available_in_s() == 0.0
    assert alone._last_reports == {}


def test_a_feed_that_fails_with_an_exception_restarts():
    """Guards against a feed that ends for good, so that the router serves an old configuration."""
    world = DirectWorld()
    router = world.ready_router()
    view = router.gateway.view
    original = view.operator_feed.on_applied

    def fail_once(*args: object) -> None:
        view.operator_feed.on_applied = original
        raise ValueError("a bug")

    view.operator_feed.on_applied = fail_once
    world.operator.put("config", make_direct_document(2))
    world.run(0.1)
    world.operator.put("config", make_direct_document(3))
    world.run(1.5)
    assert view.table.document.number == 3


def test_while_a_router_starts_without_the_store_callers_retry_as_late_as_they_can():
    """Guards against a retry time that is too short while all routers start without the store, here
    for 2 s more: callers that retried after 0.5 s were refused again, and gave up."""
    world = DirectWorld()
    router = world.add_router()
    router.faults.is_down = True
    world.run(3.0)
    long, short = (world.ask(router, "/look/x", Patience=patience) for patience in ("12", "0.9"))
    assert [req.status for req in (long, short)] == [503, 503]
    assert long.reply.headers[b"Come-Back"] == b"4.000"
    assert short.reply.headers[b"Come-Back"] == b"0.500"


def test_while_a_store_that_answers_is_read_callers_retry_soon():
    world = DirectWorld()
    router = world.add_router()
    world.run(3.0)
    early = world.ask(router, "/look/x", Patience="12")
    assert (early.status, early.reply.headers[b"Come-Back"]) == (503, b"0.500")
