"""A request stays held when all routers lose power and others start.

Its callers go on to send it; without a record in the store, it crashed three more endpoints after
each power loss. Two routers read the records at start, and each step of a held request is written
once.
"""

from umberhitch.fakes import Reply
from umberhitch.testing import CrashingFleet, DirectRouter

STREAM = Reply(events=8, gap_s=0.05)


def _replace_all(fleet: CrashingFleet) -> list[DirectRouter]:
    for name in [*fleet.world.routers]:
        fleet.world.kill_router(name)
    return [fleet.world.add_router(f"n{number}") for number in range(fleet.routers)]


def test_new_routers_restore_the_held_requests():
    fleet = CrashingFleet(reply=STREAM)
    fleet.every(0.4, 5.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(6.0)
    assert len(fleet.world.held) == 1
    sends = len(fleet.sends_s())
    _replace_all(fleet)
    fleet.world.run(3.0)
    fleet.every(0.4, 15.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(16.0)
    assert len(fleet.sends_s()) <= sends + 1
    assert fleet.late_sends(3.0) <= 3


def test_two_routers_read_the_store_and_each_step_is_written_once():
    fleet = CrashingFleet(routers=8, reply=STREAM)
    assert sum(each.holds_port.calls for each in fleet.all_routers) == 2
    fleet.every(0.4, 5.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(20.0)
    fleet.every(0.4, 5.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(6.0)
    (held,) = fleet.world.held.values()
    assert held.probes == 2
    assert len(held.lifetimes) == 3
    assert sum(each.holds_port.calls for each in fleet.all_routers) == 2 + 3


def test_a_released_request_is_removed_from_the_store():
    fleet = CrashingFleet(reply=STREAM)
    fleet.every(0.4, 2.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(3.0)
    key = fleet.all_routers[0].gateway.crash_guard.record.suspects()[0]
    fleet.all_routers[1].gateway.crash_guard.sharing.release(key)
    fleet.world.run(1.0)
    assert fleet.world.held == {}


def test_a_held_request_is_written_when_the_store_has_recovered():
    fleet = CrashingFleet(reply=STREAM)
    for router in fleet.all_routers:
        router.faults.is_down = True
    fleet.every(0.4, 2.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(3.0)
    assert fleet.world.held == {}
    for router in fleet.all_routers:
        router.faults.is_down = False
    fleet.world.run(3.0)
    assert len(fleet.world.held) == 1


def test_a_router_that_cannot_read_the_store_retries():
    fleet = CrashingFleet(routers=1, reply=STREAM)
    fleet.every(0.4, 5.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(6.0)
    fleet.world.kill_router("r0")
    late = fleet.world.add_router("n0")
    late.holds_port._faults.is_down = True
    fleet.world.run(5.0)
    late.holds_port._faults.is_down = False
    fleet.world.run(6.0)
    assert len(late.gateway.crash_guard.record) == 1
