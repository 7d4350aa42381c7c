"""Changes of configurations between routers: all converge to the same, whatever fails."""

from random import Random

import pytest

from umberhitch.core.direct import Document, RolloutOrder
from umberhitch.testing import DirectRouter, DirectWorld, make_direct_document, make_route
from umberhitch.wire import Message, ViewReply, unpack_value

ROUTERS = 5
STEPS = 60


def _document(number: int, rng: Random) -> Document:
    routes = [make_route(f"route{each}", priority=rng.randrange(3)) for each in range(8)]
    keys = tuple(f"key-{each}" for each in rng.sample(range(6), 3))
    return make_direct_document(number, tuple(rng.sample(routes, rng.randint(1, 8))), keys)


def _content(document: Document | None) -> tuple[object, ...]:
    assert document is not None
    routes = {(route.host, route.prefix): route for route in document.routes}
    return document.number, routes, document.services, document.customers, document.intake


def _inject_fault(world: DirectWorld, routers: list[DirectRouter], rng: Random) -> None:
    router = rng.choice(routers)
    match rng.randrange(6):
        case 0:
            router.clock.is_paused = True
        case 1:
            for each in routers:
                if each.clock.is_paused:
                    each.clock.resume()
        case 2:
            world.network.faults.drop = rng.choice((0.0, 0.3))
            world.network.faults.repeat = rng.choice((0.0, 0.3))
        case 3:
            router.faults.is_down = not router.faults.is_down
        case 4:
            world.operator.forget_history()
        case _:
            order = RolloutOrder("svc", f"v{rng.randrange(3)}", 5.0)
            world.operator.put("rollout/svc", rng.choice((order, None)))


def _clear_faults(world: DirectWorld, routers: list[DirectRouter]) -> None:
    world.network.faults.drop = world.network.faults.repeat = 0.0
    for router in routers:
        router.faults.is_down = False
        if router.clock.is_paused:
            router.clock.resume()


@pytest.mark.parametrize("seed", range(12))
def test_all_routers_converge_to_the_newest_configuration(seed):
    rng = Random(seed)
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document(1))
    routers = [world.add_router(f"r{number}", link_mbps=100.0) for number in range(ROUTERS)]
    world.run(3.0)
    number = 1
    for _ in range(STEPS):
        if rng.random() < 0.5:
            number += rng.randint(1, 3)
            newest = _document(number, rng)
            world.operator.put("config", newest)
        else:
            _inject_fault(world, routers, rng)
        world.run(rng.choice((0.02, 0.1, 0.7)))
    _clear_faults(world, routers)
    world.run(3.0)
    tables = [router.gateway.table for router in routers]
    expected = _content(newest)
    assert [_content(table and table.document) for table in tables] == [expected] * ROUTERS


def test_few_routers_read_the_operator_stream_from_the_store():
    world = DirectWorld()
    world.operator.put("config", make_direct_document(1))
    routers = [world.add_router(f"r{number}", link_mbps=100.0) for number in range(ROUTERS)]
    world.run(12.0)  # until all send their requests to the same reader
    others = [router.operator for router in routers[1:]]
    before = sum(feed.calls for feed in others)
    for number in range(2, 12):
        world.operator.put("config", make_direct_document(number))
        world.run(0.2)
    assert sum(feed.calls for feed in others) == before
    assert {router.gateway.table.document.number for router in routers} == {11}


def test_no_key_of_a_customer_is_sent_to_peers():
    """The link between routers may be unencrypted."""
    world = DirectWorld()
    world.operator.put("config", make_direct_document(1))
    for number in range(ROUTERS):
        world.add_router(f"r{number}", link_mbps=100.0)
    sent: list[str] = []

    def note(sender: str, peer: str, message: Message) -> bool:
        if isinstance(message, ViewReply):
            sent.extend(repr(unpack_value(packed)) for _, packed in message.packed)
        return False

    world.network.drop_where(note)
    world.run(12.0)
    world.operator.put("config", make_direct_document(2, keys=("a-secret",)))
    world.run(0.5)
    assert any("customers={'" in each for each in sent)
    assert not any("a-secret" in each for each in sent)
    req = world.ask(world.routers["r3"], "/look/x", key="a-secret")
    assert req.status != 401


def test_a_reader_that_the_store_refuses_receives_changes_from_peers():
    world = DirectWorld()
    world.operator.put("config", make_direct_document(1))
    routers = [world.add_router(f"r{number}", link_mbps=100.0) for number in range(ROUTERS)]
    world.run(12.0)
    routers[0].faults.is_down = True
    world.run(3.0)
    for number in (2, 3):
        world.operator.put("config", make_direct_document(number))
        world.run(1.0)
        assert {router.gateway.table.document.number for router in routers} == {number}
