"""Availability zones out of service: every router knows them, and sends no kind of call there."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import RouteKind
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.testing import DirectRouter, DirectWorld, make_direct_document, make_route

IN_FORCE_S = 5.0
"""The platform's bound in seconds from its order until no new call reaches the zone."""
ERROR = Reply(status=500, body=b"error")
STREAM = Reply(events=4)
PROMPT = "shared:3000,own:10"
MODELS = ("small", "large")


def _world(routers: int = 1, **document: object) -> DirectWorld:
    """Return a world with two endpoints in each of the zones a and b, and routers in c."""
    world = DirectWorld()
    for zone in "ab":
        for number in (1, 2):
            endpoint = world.add_endpoint(f"{zone}{number}", zone=zone)
            endpoint.reply = Reply(
                delay_s=0.5
            )  # many calls run at once, so that all endpoints are used
    routes = (
        make_route("look"),
        make_route("order", RouteKind.NON_IDEMPOTENT),
        make_route("draft", RouteKind.STREAM, models=MODELS),
    )
    world.operator.put("config", make_direct_document(routes=routes, **document))
    for number in range(routers):
        world.add_router(f"r{number}", zone="c")
    world.run(0.3)
    return world


def _in_zone(world: DirectWorld, zone: str) -> list[FakeEndpoint]:
    found = world.endpoints.by_address
    return [each for address, each in found.items() if address.startswith(f"@{zone}")]


def _calls(world: DirectWorld, zone: str) -> int:
    return sum(len(each.calls) for each in _in_zone(world, zone))


def _set_replies(world: DirectWorld, reply: Reply) -> None:
    for each in world.endpoints.by_address.values():
        each.reply = reply


def _send_many(world: DirectWorld, path: str, count: int = 40, **headers: str) -> list[int | None]:
    names = list(world.routers)
    reqs = []
    for number in range(count):
        router = world.routers[names[number % len(names)]]
        reqs.append(world.ask(router, path, **headers))
        world.run(0.02)
    world.run(3.0)
    return [req.status for req in reqs]


# Every kind of call


def _first_choice(world: DirectWorld) -> None:
    _send_many(world, "/look/x")


def _call_that_must_not_repeat(world: DirectWorld) -> None:
    _send_many(world, "/order/x")


def _retry_after_failures(world: DirectWorld) -> None:
    _set_replies(world, ERROR)
    _send_many(world, "/look/x")


def _failed_connections(world: DirectWorld) -> None:
    _set_replies(world, Reply(failure=CallFailure.NOT_SENT))
    _send_many(world, "/look/x")


def _shed_and_retried(world: DirectWorld) -> None:
    _set_replies(world, Reply(status=503, not_run=True, is_signed=False))
    _send_many(world, "/look/x")


def _silent_endpoints(world: DirectWorld) -> None:
    _set_replies(world, Reply(is_silent=True))
    _send_many(world, "/look/x", 8)


def _resumed_stream(world: DirectWorld) -> None:
    _set_replies(world, Reply(events=4, break_after=2))
    _send_many(world, "/draft/x", Prompt=PROMPT)


def _larger_model(world: DirectWorld) -> None:
    _set_replies(world, Reply(delay_s=0.3, events=4, confidence=1))
    _send_many(world, "/draft/x", Prompt=PROMPT, Any_Model="1")


def _affinity_of_a_prompt(world: DirectWorld) -> None:
    _set_replies(world, STREAM)
    for number in range(30):
        _send_many(world, "/draft/x", 1, Prompt=f"part{number}:3000,own:10")


def _roll_out_in_that_zone_only(world: DirectWorld) -> None:
    world.add_endpoint("b9", "v2", zone="b")
    world.run(1.2)
    world.roll_out("v2", 8.0)
    _send_many(world, "/look/x", 200)


def _roll_out_everywhere(world: DirectWorld) -> None:
    for zone in "ab":
        world.add_endpoint(f"{zone}9", "v2", zone=zone)
    world.run(1.2)
    world.roll_out("v2", 8.0)
    _send_many(world, "/look/x", 300, Session_Name="s1")


def _request_that_is_held(world: DirectWorld) -> None:
    for each in world.endpoints.by_address.values():
        each.crashing = {b"body": 0.3}
    _send_many(world, "/look/x", 10)


KINDS = (
    _first_choice,
    _call_that_must_not_repeat,
    _retry_after_failures,
    _failed_connections,
    _shed_and_retried,
    _silent_endpoints,
    _resumed_stream,
    _larger_model,
    _affinity_of_a_prompt,
    _roll_out_in_that_zone_only,
    _roll_out_everywhere,
    _request_that_is_held,
)


@pytest.mark.parametrize("send", KINDS, ids=lambda send: send.__name__.strip("_"))
def test_each_kind_of_call_goes_there_while_it_is_in_service(send: Callable[[DirectWorld], None]):
    """Without this, the next test would prove nothing."""
    world = _world(2)
    send(world)
    assert _calls(world, "b") > 0


@pytest.mark.parametrize("send", KINDS, ids=lambda send: send.__name__.strip("_"))
def test_no_kind_of_call_goes_to_a_zone_that_is_out(send: Callable[[DirectWorld], None]):
    world = _world(2)
    world.take_out("b")
    world.run(1.0)
    send(world)
    assert _calls(world, "b") == 0
    assert _calls(world, "a") > 0


def test_all_calls_get_their_endpoints_from_the_selector(monkeypatch):
    """A call that gets its endpoint in another way is sent though the selector returns none."""
    world = _world()
    monkeypatch.setattr(
        EndpointSelector, "select_endpoint", lambda self, admitted, model, tried: None
    )
    for send in KINDS:
        send(world)
    assert _calls(world, "a") == _calls(world, "b") == 0


# Running and refused requests


def test_a_running_stream_completes():
    world = _world()
    _set_replies(world, Reply(events=40, gap_s=0.1))
    router = world.routers["r0"]
    reqs = [world.ask(router, "/draft/x", Prompt=f"p{n}:30,own:1") for n in range(8)]
    world.run(0.5)
    assert _calls(world, "b") > 0
    world.take_out("b")
    world.run(6.0)
    assert all(req.reply.is_complete for req in reqs)
    assert all(not each.cancelled for each in world.endpoints.by_address.values())


def test_with_all_zones_out_requests_are_refused_at_once_with_a_late_retry_time():
    world = _world()
    world.take_out("a")
    world.take_out("b")
    world.run(1.0)
    req = world.ask(world.routers["r0"], "/look/x", Patience="9")
    assert req.status == 503
    assert req.reply.headers[b"Come-Back"] == b"3.000"
    assert _calls(world, "a") == _calls(world, "b") == 0


# How routers learn the state of a zone


def _is_out(router: DirectRouter, zone: str = "b") -> bool:
    return zone in router.gateway.directory.zones_out


def test_a_zone_is_taken_out_and_restored():
    world = _world()
    world.take_out("b")
    world.run(0.2)
    assert _is_out(world.routers["r0"])
    world.take_back("b")
    world.run(0.2)
    assert not _is_out(world.routers["r0"])
    _set_replies(world, Reply(delay_s=1.0))
    _send_many(world, "/look/x")
    assert _calls(world, "b") > 0


def test_a_zone_taken_out_repeatedly_within_a_second_is_out():
    world = _world(3)
    for _ in range(3):
        world.take_out("b")
        world.run(0.1)
        world.take_back("b")
        world.run(0.1)
    world.take_out("b")
    world.run(1.0)
    assert all(map(_is_out, world.routers.values()))


def test_a_record_missing_from_a_snapshot_restores_the_zone():
    """Its deletion was dropped with the history, so that a snapshot has no record of the zone."""
    world = _world()
    router = world.routers["r0"]
    world.take_out("b")
    world.run(0.2)
    router.faults.is_down = True
    world.run(2.5)  # a long poll ends meanwhile
    records = world.operator.records
    world.operator.records = [each for each in records if each.key != "zone/b"]
    world.operator.records += [records[0]] * 3
    world.operator.forget_history()
    router.faults.is_down = False
    world.run(3.0)
    assert not _is_out(router)


def test_dropped_history_alone_changes_nothing():
    world = _world()
    world.take_out("b")
    world.run(0.2)
    world.operator.put("config", make_direct_document(9))
    world.operator.forget_history()
    world.run(2.0)
    assert _is_out(world.routers["r0"])


def test_records_of_other_things_change_nothing():
    world = _world()
    world.take_out("b")
    world.run(0.2)
    world.take_back("nowhere")
    world.operator.put("config", make_direct_document(9))
    world.run(1.0)
    assert _is_out(world.routers["r0"])


def test_a_router_that_starts_knows_before_it_sends_anything():
    world = _world()
    world.take_out("b")
    world.run(1.0)
    late = world.add_router("late", zone="c")
    reqs = []
    for _ in range(60):
        reqs.append(world.ask(late, "/look/x"))
        world.run(0.01)
    world.run(1.0)
    assert 200 in {req.status for req in reqs}
    assert _calls(world, "b") == 0


def test_routers_without_the_store_learn_zones_from_peers():
    world = _world(6)
    world.run(2.0)
    cut_off = [world.routers[name] for name in ("r1", "r3", "r4")]
    for router in cut_off:
        router.faults.is_down = True
    world.run(3.0)
    world.take_out("b")
    world.run(IN_FORCE_S)
    assert all(map(_is_out, cut_off))
    world.take_back("b")
    world.run(IN_FORCE_S)
    assert not any(map(_is_out, cut_off))


def test_a_router_that_was_frozen_sends_nothing_to_the_zone_on_resumption():
    world = _world(2)
    router = world.routers["r0"]
    router.clock.is_paused = True
    world.run(1.0)
    world.take_out("b")
    world.run(6.0)
    before = _calls(world, "b")
    router.clock.is_paused = False
    for _ in range(40):
        world.ask(router, "/look/x")
        world.run(0.02)
    assert _calls(world, "b") == before


@pytest.mark.parametrize("routers", [6, 30, 100])
def test_a_zone_change_is_in_force_at_every_router_within_the_bound(routers):
    """Messages are lost or late, and a fifth of the routers are cut off from the others."""
    world = _world(routers)
    world.run(4.0)
    world.network.faults.drop = 0.1
    world.network.faults.late = 0.1
    names = list(world.routers)
    cut = names[: routers // 5]
    for one in cut:
        for other in names[routers // 5 :]:
            world.network.cut(one, other)
    for zone in ("b", "z"):
        world.take_out(zone)
    world.run(IN_FORCE_S)
    assert all(_is_out(each) and _is_out(each, "z") for each in world.routers.values())
    world.take_back("b")
    world.run(IN_FORCE_S)
    assert not any(map(_is_out, world.routers.values()))
