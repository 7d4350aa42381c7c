"""Routers that all lose power while a request is held: those that come after them know it.

Its callers go on; without a word in the store it took three endpoints more each time. Two reads for
all routers that start, and one write for each step of a request that is held.
"""

from umberhitch.fakes import Reply
from umberhitch.testing import CrashingFleet, DirectRouter

STREAM = Reply(events=8, gap_s=0.05)


def _replace_all(fleet: CrashingFleet) -> list[DirectRouter]:
    for name in [*fleet.world.routers]:
        fleet.world.kill_router(name)
    return [fleet.world.add_router(f"n{number}") for number in range(fleet.routers)]


def test_new_routers_hold_what_was_held():
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


def test_the_store_is_read_by_two_and_written_at_each_step():
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


def test_what_is_free_again_is_taken_out():
    fleet = CrashingFleet(reply=STREAM)
    fleet.every(0.4, 2.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(3.0)
    key = fleet.all_routers[0].gateway.crashes.record.suspects()[0]
    fleet.all_routers[1].gateway.crashes.sharing.release(key)
    fleet.world.run(1.0)
    assert fleet.world.held == {}


def test_it_is_written_when_the_store_is_back():
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


def test_a_router_that_cannot_read_goes_on_trying():
    fleet = CrashingFleet(routers=1, reply=STREAM)
    fleet.every(0.4, 5.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(6.0)
    fleet.world.kill_router("r0")
    late = fleet.world.add_router("n0")
    late.holds_port._faults.is_down = True
    fleet.world.run(5.0)
    late.holds_port._faults.is_down = False
    fleet.world.run(6.0)
    assert len(late.gateway.crashes.record) == 1
