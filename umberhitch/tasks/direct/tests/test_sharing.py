"""One router reads the store for the others, also when routers, links or the store fail."""

from umberhitch.core.direct import EndpointState
from umberhitch.testing import (
    DirectRouter,
    DirectWorld,
    make_direct_document,
    make_endpoint_entry,
    make_route,
)
from umberhitch.wire import ViewReply, ViewRequest

NEW = (make_route("look"), make_route("new"))


def _world(routers: int = 4) -> tuple[DirectWorld, list[DirectRouter]]:
    world = DirectWorld()
    world.operator.put("config", make_direct_document(1))
    for name in ("e1", "e2"):
        world.add_endpoint(name)
    added = [world.add_router(f"r{number}") for number in range(routers)]
    world.run(5.0)
    return world, added


def _calls(routers: list[DirectRouter]) -> int:
    return sum(router.operator.calls + router.registry.calls for router in routers)


def _drain(world: DirectWorld, name: str) -> None:
    world.registry.put(name, make_endpoint_entry(name, state=EndpointState.DRAINING))


def _status(world: DirectWorld, router: DirectRouter, path: str) -> int | None:
    req = world.ask(router, path)
    world.run(0.05)
    return req.status


def test_calls_to_the_store_do_not_grow_with_the_number_of_routers():
    """Guards against calls to the store in proportion to the routers: 29 routers made 100 a second,
    which cost a tenth of what their users' answers are worth."""
    made = []
    for count in (1, 4, 12):
        world, routers = _world(count)
        before = _calls(routers)
        world.run(20.0)
        made.append((_calls(routers) - before) / 20.0)
    assert made[0] < 2.0
    assert made[1] < 4.0
    assert made[2] < 1.2 * made[1]


def test_a_change_is_in_force_at_once_at_routers_that_do_not_read():
    world, routers = _world()
    world.operator.put("config", make_direct_document(2, routes=NEW))
    world.run(0.1)
    assert [_status(world, router, "/new/x") for router in routers] == [200] * 4


def test_a_draining_endpoint_is_known_in_time_to_routers_that_do_not_read():
    world, routers = _world()
    _drain(world, "e1")
    world.run(0.6)
    before = len(world.endpoints.by_address["@e1"].calls)
    for router in routers:
        assert _status(world, router, "/look/x") == 200
    assert len(world.endpoints.by_address["@e1"].calls) == before


def test_a_frozen_reader_delays_no_drain_and_no_configuration():
    world, routers = _world()
    routers[0].clock.is_paused = True
    _drain(world, "e1")
    world.operator.put("config", make_direct_document(2, routes=NEW))
    world.run(1.9)
    before = len(world.endpoints.by_address["@e1"].calls)
    assert [_status(world, router, "/new/x") for router in routers[1:]] == [200] * 3
    assert len(world.endpoints.by_address["@e1"].calls) == before


def test_a_partitioned_reader_is_not_waited_for():
    world, routers = _world()
    for number in (1, 2, 3):
        world.network.cut("r0", f"r{number}")
    _drain(world, "e1")
    world.run(1.9)
    before = len(world.endpoints.by_address["@e1"].calls)
    for router in routers:
        assert _status(world, router, "/look/x") == 200
    assert len(world.endpoints.by_address["@e1"].calls) == before


def test_a_router_that_the_store_refuses_serves_from_what_others_read():
    """The store serves three of four routers; the first, which reads for all, is refused."""
    world, routers = _world()
    routers[0].faults.is_down = True
    world.run(8.0)
    assert [_status(world, router, "/look/x") for router in routers] == [200] * 4


def test_without_the_store_no_router_proves_freshness_to_another():
    """Every router sends requests to others, which do the same; no reply makes a view newer than it
    is."""
    world, routers = _world()
    for router in routers:
        router.faults.is_down = True
    world.operator.put("config", make_direct_document(2, keys=()))
    world.run(5.2)
    assert [_status(world, router, "/look/x") for router in routers] == [503] * 4
    for router in routers:
        router.faults.is_down = False
    world.run(1.5)
    assert [_status(world, router, "/look/x") for router in routers] == [401] * 4


def test_a_late_reply_proves_no_freshness_for_the_time_since():
    """All messages of the reader are delayed by 3 s; meanwhile, a key is revoked."""
    world, routers = _world(2)
    late = routers[1]
    late.faults.is_down = True
    world.network.hold_where(lambda sender, receiver, message: sender == "r0")
    world.operator.put("config", make_direct_document(2, keys=()))
    world.run(4.0)
    world.network.release()
    world.run(0.2)
    age_s = late.gateway.view.proof_age_s(world.clock.seconds())
    assert age_s > 4.0 or late.gateway.table.document.number == 2


def test_a_restarted_router_ignores_replies_to_its_earlier_incarnation():
    _, routers = _world(2)
    sharing = routers[1].peers._sharing
    replies = []
    sharing.request_changes("nobody", "operator", 0, 1.0, 0.1).addCallback(replies.append)
    number = sharing._last_request_id
    sharing.receive("r0", ViewReply(number, 0, True, 9))
    assert replies == []
    sharing.receive("r0", ViewReply(number, 1, True, 9))
    assert [reply.end for reply in replies] == [9]


def test_a_request_from_before_the_kept_changes_is_answered_at_once():
    world, routers = _world(1)
    view = routers[0].peers._sharing.handlers["registry"]
    sent = []
    view._sharing.send = lambda peer, message: sent.append((peer, message))
    view.handle_request("r9", ViewRequest(1, 1, "registry", 0, 0.5))
    assert sent == [("r9", ViewReply(1, 1, False))]
    view.handle_request("r9", ViewRequest(2, 1, "registry", 99, 0.5))
    world.run(0.6)
    assert sent[1][1].is_offset_known
    assert sent[1][1].held_s >= 0.5


def test_a_reader_without_changes_to_offer_is_excluded_for_a_while():
    world, routers = _world(3)
    routers[0].faults.is_down = True
    world.run(4.0)
    first = _calls(routers[2:])
    world.run(10.0)
    # The second router reads now; the third sends it requests, and calls the store only
    # occasionally.
    assert _calls(routers[2:]) - first < 2 * 10.0
    assert routers[2].gateway.view.proof_age_s(world.clock.seconds()) < 2.0


def test_an_outage_of_the_store_does_not_multiply_the_calls():
    """Guards against more calls while the store is unavailable: 29 routers called it 350 times a
    second."""
    world, routers = _world(12)
    for router in routers:
        router.faults.is_down = True
    world.run(2.0)
    before = _calls(routers[1:])
    world.run(6.0)
    assert (_calls(routers[1:]) - before) / 6.0 < 12 * 1.5
    for router in routers:
        router.faults.is_down = False
    world.run(0.5)
    assert [_status(world, router, "/look/x") for router in routers] == [200] * 12


def test_a_reader_that_the_store_refuses_backs_off_and_the_others_use_the_next_one():
    """Guards against peers that wait 0.5 s for the refused reader, then each call the store, and
    return to this reader every 2 s: a change was in force after up to 1.75 s."""
    world, routers = _world(40)
    routers[0].faults.is_down = True
    world.run(3.0)
    before = _calls(routers)
    world.run(10.0)
    assert (_calls(routers) - before) / 10.0 < 12.0
    ages = [r.gateway.view.proof_age_s(world.clock.seconds()) for r in routers]
    assert max(ages) < 2.0


def test_all_routers_know_at_once_that_the_store_has_recovered():
    """Guards against requests that remain held for up to 0.5 s after the store has recovered."""
    world, routers = _world(12)
    for router in routers:
        router.faults.is_down = True
    world.run(9.0)
    for router in routers:
        router.faults.is_down = False
    world.run(0.45)
    ages = [r.gateway.view.proof_age_s(world.clock.seconds()) for r in routers]
    assert max(ages) < 0.45
