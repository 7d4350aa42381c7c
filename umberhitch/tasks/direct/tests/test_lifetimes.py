"""Endpoints that restart under the same incarnation: all state of the old lifetime is discarded."""

from umberhitch.core.direct import ReportedLoad
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.testing import DirectRouter, DirectWorld, make_endpoint_entry

PROMPT = "aa:3000,bb:10"
READ_S = 1.2
"""The registry is read every 0.95 s."""


def _world() -> tuple[DirectWorld, DirectRouter]:
    world = DirectWorld()
    world.add_endpoint("e1", born=1000)
    return world, world.ready_router()


def _restart(world: DirectWorld, born: int = 2000) -> FakeEndpoint:
    endpoint = world.add_endpoint("e1", born=born)
    world.run(READ_S)
    return endpoint


def test_the_cached_prefixes_of_the_previous_lifetime_are_discarded():
    world, router = _world()
    req = world.ask(router, "/draft/x", Prompt=PROMPT)
    world.run(0.2)
    assert req.status == 200
    placement = router.gateway.placement
    before = router.gateway.directory.get("e1").lifetime
    assert [*placement._observed[before].cached] == [("", "aa")]
    _restart(world)
    after = router.gateway.directory.get("e1").lifetime
    assert before not in placement._observed
    assert after not in placement._observed or not placement._observed[after].cached


def test_idle_connections_to_the_previous_process_are_closed():
    world, _ = _world()
    _restart(world)
    assert world.endpoints.closed == ["@e1"]


def test_a_late_load_report_of_the_previous_lifetime_is_ignored():
    world, router = _world()
    endpoint = world.endpoints.by_address["@e1"]
    endpoint.reply = Reply(delay_s=2.0, load=ReportedLoad(8, 40, 8))
    world.ask(router, "/look/x")
    world.run(0.1)
    _restart(world)
    world.run(1.0)
    lifetime = router.gateway.directory.get("e1").lifetime
    seen = router.gateway.placement._observed
    assert list(seen) in ([], [lifetime])
    assert all(each.load is None for each in seen.values())


def test_calls_that_peers_report_for_the_previous_lifetime_do_not_count():
    world, router = _world()
    other = world.add_router("r2")
    world.run(2.0)
    world.endpoints.by_address["@e1"].reply = Reply(is_silent=True)
    for _ in range(5):
        world.ask(other, "/order/x")
    world.run(0.5)
    running = router.gateway.placement.all_running_calls
    assert running(router.gateway.directory.get("e1").lifetime) == 5
    _restart(world)
    world.run(1.0)
    assert running(router.gateway.directory.get("e1").lifetime) == 0


def test_a_call_open_at_the_previous_lifetime_is_unknown_and_not_repeated():
    world, router = _world()
    first = world.endpoints.by_address["@e1"]
    first.reply = Reply(delay_s=2.0, failure=CallFailure.BROKEN)
    req = world.ask(router, "/order/x")
    world.run(0.1)
    second = _restart(world)
    world.run(2.0)
    assert req.status == 502
    assert first.ran == [req.call_id]
    assert second.calls == []


def test_a_repeatable_call_is_retried_at_the_new_lifetime():
    world, router = _world()
    world.endpoints.by_address["@e1"].reply = Reply(delay_s=2.0, failure=CallFailure.BROKEN)
    req = world.ask(router, "/look/x")
    world.run(0.1)
    second = _restart(world)
    world.run(2.0)
    assert req.status == 200
    assert second.ran == [req.call_id]


def test_an_answer_of_the_previous_process_does_not_remove_the_new_one():
    """The previous process answers that another has its address, as the new one is registered."""
    world, router = _world()
    reply = Reply(status=421, not_run=True, is_elsewhere=True, delay_s=2.0)
    world.endpoints.by_address["@e1"].reply = reply
    req = world.ask(router, "/look/x")
    world.run(0.1)
    _restart(world)
    world.run(2.0)
    assert router.gateway.directory.get("e1") is not None
    assert req.status == 200


def test_routers_that_read_from_a_peer_learn_of_the_new_lifetime():
    world, _ = _world()
    for number in range(4):
        world.add_router(f"r{number + 2}")
    world.run(3.0)
    _restart(world, 5)
    found = {r.gateway.directory.get("e1").lifetime for r in world.routers.values()}
    assert found == {"e1@5"}
    world.registry.put("e1", make_endpoint_entry("e1", "v0", born=1000))  # a late write
    world.run(READ_S)
    world.registry.put("e1", make_endpoint_entry("e1", born=5))
    world.run(3.0)
    found = {r.gateway.directory.get("e1").lifetime for r in world.routers.values()}
    assert found == {"e1@5"}
