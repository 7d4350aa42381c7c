"""Tests of a router's view of the endpoints."""

from twisted.internet.task import Clock

from umberhitch.ports import Host, HostRole
from umberhitch.tasks.fleet import Fleet
from umberhitch.wire import EndpointState, Heartbeat


def make_heartbeat(
    name: str, incarnation: int = 1, state: EndpointState = EndpointState.READY
) -> Heartbeat:
    return Heartbeat(name, incarnation, "a", ["m@1"], state, 0, 0, 0, 8)


def make_fleet(count: int) -> tuple[Clock, Fleet]:
    clock = Clock()
    fleet = Fleet(clock)
    fleet.update_hosts(Host(f"e{index}", HostRole.AGENT, "a", "-") for index in range(count))
    for index in range(count):
        fleet.handle_heartbeat(make_heartbeat(f"e{index}"))
    return clock, fleet


def names(fleet: Fleet) -> list[str]:
    return [endpoint.name for endpoint in fleet.candidates("m@1")]


def test_ejections_of_a_failing_endpoint_grow_longer() -> None:
    clock, fleet = make_fleet(3)
    for _ in range(3):
        fleet.note_failure("e0")
    assert names(fleet) == ["e1", "e2"]
    clock.advance(2.1)
    for index in range(3):
        fleet.handle_heartbeat(make_heartbeat(f"e{index}"))
    fleet.refresh_pools()
    assert "e0" in names(fleet)
    fleet.note_failure("e0")
    clock.advance(2.1)
    fleet.refresh_pools()
    assert "e0" not in names(fleet)


def test_all_endpoints_are_used_if_more_than_half_are_ejected() -> None:
    _, fleet = make_fleet(4)
    for name in ("e0", "e1", "e2"):
        for _ in range(3):
            fleet.note_failure(name)
    assert len(names(fleet)) == 4


def test_a_success_resets_the_failures() -> None:
    _, fleet = make_fleet(3)
    for _ in range(10):
        fleet.note_failure("e0")
        fleet.note_success("e0")
    assert "e0" in names(fleet)


def test_a_heartbeat_of_an_older_incarnation_is_ignored() -> None:
    _, fleet = make_fleet(1)
    assert fleet.handle_heartbeat(make_heartbeat("e0", incarnation=5)) == 1
    assert (
        fleet.handle_heartbeat(make_heartbeat("e0", incarnation=4, state=EndpointState.DRAINING))
        is None
    )
    assert names(fleet) == ["e0"]


def test_load_includes_attempts_sent_since_the_last_heartbeat() -> None:
    _, fleet = make_fleet(1)
    endpoint = fleet.endpoints["e0"]
    endpoint.own_attempts = 2
    fleet.handle_heartbeat(Heartbeat("e0", 1, "a", ["m@1"], EndpointState.READY, 0, 5, 1, 8))
    endpoint.own_attempts = 6
    assert endpoint.load() == (6 + 6 - 2) / 8


def test_an_endpoint_that_another_router_serves_is_forgotten_if_it_is_idle() -> None:
    _, fleet = make_fleet(2)
    fleet.endpoints["e0"].own_attempts = 1
    fleet.forget_endpoints(["e0", "e1"])
    assert names(fleet) == ["e0"]
