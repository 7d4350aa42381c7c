"""What a router of the direct path takes from the store, and what it does without it."""

from umberhitch.fakes import Reply
from umberhitch.testing import DirectWorld, make_direct_document, make_route


def test_a_new_document_replaces_the_older_whole_and_never_goes_back():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router(make_direct_document(5))
    world.operator.put("config", make_direct_document(7, routes=(make_route("new"),)))
    world.run(0.1)
    assert world.ask(router, "/look/x").status == 404
    world.operator.put("config", make_direct_document(6))
    world.run(2.0)
    assert world.ask(router, "/look/x").status == 404
    ask = world.ask(router, "/new/x")
    world.run(0.1)
    assert ask.status == 200


def test_a_key_that_was_taken_away_has_no_effect_soon():
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    router = world.ready_router(make_direct_document(1, keys=("key-1", "key-2")))
    world.operator.put("config", make_direct_document(2, keys=("key-2",)))
    world.run(0.1)
    assert world.ask(router, "/look/x", key="key-1").status == 401
    assert endpoint.calls == []


def test_without_proof_that_the_keys_are_the_newest_requests_with_keys_wait():
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
    again = world.ask(router, "/look/x")
    world.run(0.1)
    assert again.status == 200


def test_where_keys_need_not_be_proved_the_last_known_serve_while_the_store_is_away():
    """Four seconds of all requests were refused while the store was away for 8 s."""
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
    # Key and route may have come meanwhile: a refusal that is final would not be true.
    assert (unknown_key.status, unknown_route.status) == (503, 503)


def test_where_keys_need_not_be_proved_one_that_was_taken_away_has_no_effect_soon():
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document(1, keys=("key-1", "key-2")))
    router = world.add_router(is_strict=False)
    world.run(0.1)
    world.operator.put("config", make_direct_document(2, keys=("key-2",)))
    world.run(0.1)
    assert world.ask(router, "/look/x", key="key-1").status == 401


def test_a_frozen_router_that_wakes_does_not_trust_its_old_proof():
    """The request came while the process stood still, and is read when it wakes."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    router = world.ready_router(make_direct_document(1))
    router.clock.is_paused = True
    world.operator.put("config", make_direct_document(2, keys=()))
    world.run(8.0)
    router.faults.delay_s = 0.01
    router.clock.resume()
    ask = world.ask(router, "/look/x")
    assert ask.status is None
    world.run(0.1)
    assert ask.status == 401
    assert endpoint.calls == []


def test_a_frozen_router_that_wakes_serves_what_waited_for_it():
    """430 were refused in the first ms after two freezes, while the store was asked (own day
    reader-lost, Cedarline)."""
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
        asks = [world.ask(router, "/look/x") for _ in range(3)]
        gone = world.ask(router, "/look/x")
        gone.leave()
        assert [each.status for each in asks] == [None] * 3
        world.run(0.1)
        assert [each.status for each in asks] == [200] * 3
        assert gone.status is None


def test_entries_that_lapsed_while_the_store_was_away_may_return():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    router.faults.is_down = True
    world.run(3.0)
    world.registry.put("e1", None)
    router.faults.is_down = False
    world.run(1.0)
    kept = world.ask(router, "/look/x")
    world.run(0.1)
    assert kept.status == 200
    world.run(3.0)
    assert world.ask(router, "/look/x").status == 503


def test_an_entry_that_goes_soon_after_the_store_came_back_is_gone_in_time():
    """It was kept as if it had lapsed, and the endpoint got a call 2.2 s after it had left
    (hunt-9397-27, registry)."""
    world = DirectWorld()
    leaving = world.add_endpoint("e1")
    world.add_endpoint("e2")
    router = world.ready_router()
    router.faults.is_down = True
    world.run(3.0)
    router.faults.is_down = False
    world.run(1.0)
    world.registry.put("e1", None)
    world.run(1.99)
    before = len(leaving.calls)
    for _ in range(20):
        world.ask(router, "/look/x")
        world.run(0.05)
    assert len(leaving.calls) == before


def test_an_entry_that_goes_while_the_store_is_there_is_gone():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    world.registry.put("e1", None)
    world.run(1.5)
    assert world.ask(router, "/look/x").status == 503


def test_a_router_catches_up_when_the_stores_history_is_gone():
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
    ask = world.ask(router, "/new/x")
    world.run(0.1)
    assert ask.status == 200


def test_a_leaving_router_fails_its_readiness_first_and_answers_what_it_has_read():
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    noticed, done = [], []
    router.gateway.leave(lambda: noticed.append(True), lambda: done.append(True))
    assert not router.gateway.is_ready
    ask = world.ask(router, "/look/x")
    world.run(1.0)
    assert ask.status == 200
    assert (noticed, done) == ([], [])
    world.run(2.0)
    assert (noticed, done) == ([True], [True])


def test_a_stream_that_comes_too_late_to_end_is_refused_and_sent_elsewhere():
    """It was once taken, and cut 0.2 s later when the time was up (registry, trouble-2)."""
    world = DirectWorld()
    endpoint = world.add_endpoint("e1")
    endpoint.replies = [Reply(events=80)]
    router = world.ready_router()
    running = world.ask(router, "/draft/x")
    done = []
    router.gateway.leave(lambda: None, lambda: done.append(True))
    world.run(2.7)
    late = world.ask(router, "/draft/x")
    plain = world.ask(router, "/look/x")
    assert (late.status, late.reply.headers[b"Come-Back"]) == (503, b"0.100")
    assert len(endpoint.calls) == 2
    assert done == []
    world.run(3.0)
    assert running.reply.is_complete
    assert plain.status == 200
    assert done == [True]


def test_a_call_that_the_store_held_proves_up_to_its_end():
    """The proof was once as old as two waits, and callers were refused 2.4 s after an outage began
    (registry, trouble-3, seconds 20 and 21)."""
    world = DirectWorld()
    router = world.ready_router()
    ages = []
    for _ in range(100):
        world.run(0.1)
        ages.append(router.gateway.view.proof_age_s(world.clock.seconds()))
    assert max(ages) < 1.85


def test_a_call_that_was_not_held_proves_only_what_stood_when_it_was_sent():
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


def _leave(world: DirectWorld, name: str) -> None:
    world.routers[name].gateway.leave(lambda: None, lambda: None)


def test_streams_refused_while_all_routers_leave_are_told_when_the_first_is_back():
    """Three routers restarted 2 s apart refused 61 requests of six days a second time, as they had
    been told to come back at once (trouble-2, Tuul)."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for name in ("r1", "r2"):
        world.add_router(name)
    world.run(3.0)
    _leave(world, "r1")
    world.run(3.0)
    other_takes = world.ask(world.routers["r1"], "/draft/x")
    assert other_takes.reply.headers.get(b"Come-Back") == b"0.100"
    _leave(world, "r2")
    world.run(3.0)
    none_takes = world.ask(world.routers["r2"], "/draft/x")
    assert none_takes.status == 503
    # r1 began to leave 6 s ago, may take 8 s for it, and 0.7 s to start.
    assert 2.4 <= float(none_takes.reply.headers[b"Come-Back"]) <= 2.8


def test_a_router_that_has_just_started_is_not_reached_before_the_balancer_looks():
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    router = world.add_router("r1")
    assert router.gateway.presence.available_in_s() > 1.0
    world.run(0.5)
    assert 0.3 < router.gateway.presence.available_in_s() <= 1.2
    world.run(1.5)
    assert router.gateway.presence.available_in_s() == 0.0


def test_a_peer_that_did_not_come_back_when_it_said_is_not_waited_for():
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for name in ("r1", "r2"):
        world.add_router(name)
    world.run(3.0)
    alone = world.routers["r2"].peers
    _leave(world, "r1")
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


def test_a_feed_that_ends_by_an_error_begins_anew():
    """A router whose feed had ended served by the configuration that it had, for ever."""
    world = DirectWorld()
    router = world.ready_router()
    view = router.gateway.view
    taken = view.operator_feed.on_applied

    def fail_once(*args: object) -> None:
        view.operator_feed.on_applied = taken
        raise ValueError("a bug")

    view.operator_feed.on_applied = fail_once
    world.operator.put("config", make_direct_document(2))
    world.run(0.1)
    world.operator.put("config", make_direct_document(3))
    world.run(1.5)
    assert view.table.document.number == 3


def test_while_a_router_starts_without_the_store_callers_come_back_as_late_as_they_can():
    """All routers were restarted while the store was away for 2 s more: callers who came back after
    0.5 s were refused again, and came no more."""
    world = DirectWorld()
    router = world.add_router()
    router.faults.is_down = True
    world.run(3.0)
    long, short = (world.ask(router, "/look/x", Patience=each) for each in ("12", "0.9"))
    assert [each.status for each in (long, short)] == [503, 503]
    assert long.reply.headers[b"Come-Back"] == b"4.000"
    assert short.reply.headers[b"Come-Back"] == b"0.500"


def test_while_a_store_that_answers_is_read_callers_come_back_soon():
    world = DirectWorld()
    router = world.add_router()
    world.run(3.0)
    early = world.ask(router, "/look/x", Patience="12")
    assert (early.status, early.reply.headers[b"Come-Back"]) == (503, b"0.500")
