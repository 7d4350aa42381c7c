"""Faults of admission control that callers would feel, each with the load that shows it."""

from random import Random

import pytest

from umberhitch.core.direct import Customer
from umberhitch.tasks.direct.active_routers import ActiveRouters
from umberhitch.testing import LoadWorld, Stream, make_load_document, make_route

OBJECTIVE_S = 0.5
WORK_S = 0.05


def _make_world(
    endpoints: int, slots: int, routers: int = 1, work_s: float = WORK_S, **load: object
) -> LoadWorld:
    """Return routers with admission control, before equal endpoints, with two priorities."""
    world = LoadWorld(rng=Random(1))
    for number in range(endpoints):
        world.add_loaded(f"e{number}", slots=slots, work_s=work_s, queue_limit=500, **load)
    routes = (
        make_route("look", priority=0, objective_s=OBJECTIVE_S, timeout_s=20.0),
        make_route("low", priority=2, objective_s=OBJECTIVE_S, timeout_s=20.0),
    )
    customers = tuple(Customer(f"c{number}") for number in range(1, 101))
    document = make_load_document(routes, customers, slots=slots)
    world.start_routers(routers, document, has_admission_control=True)
    return world


def test_a_call_to_a_silent_endpoint_is_replaced_though_all_places_are_taken():
    """The caller waited to the deadline, since there was no room when the timer fired."""
    world = _make_world(2, 1, work_s=0.4)
    router = world.routers["r0"]
    for _ in range(20):
        asks = [world.ask(router, "/look/x", "key-c1") for _ in range(2)]
        world.run(0.45)
        assert all(each.status == 200 for each in asks)
    world.loaded.by_address["@e0"].work_s = 1000.0
    victims = [world.ask(router, "/look/x", "key-c1", b"v%d" % number) for number in range(2)]
    for _ in range(160):
        world.ask(router, "/look/x", "key-c1", b"other")
        world.run(0.05)
    world.run(3.0)
    assert all(each.status == 200 for each in victims)


def test_an_arrival_tries_one_request_where_there_is_no_room_for_any():
    """Each arrival tried one request of every waiting customer, and the router stood still."""
    world = _make_world(2, 2)
    router = world.routers["r0"]
    world.offer([Stream("a", lambda now_s: 60.0)], 2.0)
    selector = router.gateway.selector
    selections = [0]
    select = selector.select_endpoint

    def count(*args: object) -> object:
        selections[0] += 1
        return select(*args)  # type: ignore[arg-type]

    selector.select_endpoint = count  # type: ignore[method-assign,assignment]
    most = 0
    for number in range(1, 101):
        before = selections[0]
        world.ask(router, "/look/x", f"key-c{number}")
        most = max(most, selections[0] - before)
    assert most <= 12


def _refused_by_second(routers: int, monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return how many requests of each second the only router in use refuses."""
    names = {f"p{number}" for number in range(routers - 1)}

    def hear_that_no_peer_uses_it(self: ActiveRouters, *args: object) -> None:
        self._listed, self._live, self._heard = set(names), set(names), set(names)

    monkeypatch.setattr(ActiveRouters, "note_reports", hear_that_no_peer_uses_it)
    world = _make_world(8, 6, is_random=True)
    world.run(3.0)
    start_s = world.clock.seconds()
    world.offer([Stream("a", lambda now_s: 0.3 * 8 * 6 / WORK_S)], 3.0)
    world.settle(2.0)
    refused_s = [each.sent_s - start_s for each in world.of("a") if each.is_refused]
    return [sum(int(at_s) == second for at_s in refused_s) for second in range(3)]


@pytest.mark.parametrize("routers", [10, 50])
def test_a_router_that_begins_to_use_a_service_refuses_nobody(routers, monkeypatch):
    """It counted all listed routers for 3 s, though they report that they do not use it."""
    assert _refused_by_second(routers, monkeypatch) == [0, 0, 0]


def test_a_low_priority_is_served_a_quarter_as_often_as_all():
    """Its requests are those that a full queue refuses, and its earned turns lapse with them."""
    world = _make_world(4, 4, is_random=True)
    capacity_per_s = 16 / WORK_S
    start_s = world.clock.seconds()
    streams = [
        Stream("high", lambda now_s: 1.5 * capacity_per_s),
        Stream("low", lambda now_s: 0.5 * capacity_per_s, path="/low/x", customer="c2"),
    ]
    world.offer(streams, 6.0)
    world.settle(2.0)
    late = [each for each in world.records if each.sent_s > start_s + 1.5]
    low = [each for each in late if each.label == "low"]
    served = sum(each.is_served for each in late) / len(late)
    assert sum(each.is_served for each in low) / len(low) >= 0.25 * served


def test_a_request_that_may_have_run_is_tried_again_though_there_is_no_room():
    """Its answer was lost with a 502 where the only other endpoint had no place."""
    world = _make_world(2, 1, work_s=0.4)
    router = world.routers["r0"]
    asks = [world.ask(router, "/look/x", "key-c1") for _ in range(2)]
    world.run(0.05)
    world.loaded.by_address["@e0"].crash()
    world.run(3.0)
    assert [each.status for each in asks] == [200, 200]
