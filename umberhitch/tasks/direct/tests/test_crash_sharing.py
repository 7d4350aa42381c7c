"""Crash notices among the routers: lost and late messages, partitions, new routers, arbiters.

The load is that of `test_crashing_requests`; each test has another fault between the routers.
"""

import pytest

from umberhitch.fakes import Reply
from umberhitch.testing import CrashingFleet
from umberhitch.wire import CrashUpdate, ProbeReply, ProbeRequest

STREAM = Reply(events=8, gap_s=0.05)


def _send_crashing(fleet: CrashingFleet, for_s: float = 19.0, after_s: float = 6.0) -> None:
    fleet.every(0.4, for_s, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(for_s + after_s)


@pytest.mark.parametrize("routers", [1, 2, 12, 30])
def test_the_bound_holds_for_any_number_of_routers(routers: int):
    fleet = CrashingFleet(routers=routers, endpoints=20, reply=STREAM)
    _send_crashing(fleet)
    assert len(fleet.crashes_s) >= 3
    assert fleet.late_sends(3.0) <= 3


def test_the_bound_holds_with_lost_and_late_messages():
    fleet = CrashingFleet(routers=8, reply=STREAM)
    fleet.world.network.faults.drop = 0.3
    fleet.world.network.faults.late = 0.3
    _send_crashing(fleet)
    assert fleet.late_sends(3.0) <= 3


def test_a_router_that_starts_later_learns_the_held_requests():
    fleet = CrashingFleet(reply=STREAM)
    _send_crashing(fleet, 4.0, 1.0)
    fleet.world.add_router("new")
    fleet.world.run(3.0)
    req = fleet.ask(len(fleet.all_routers) - 1, "/draft/x")
    assert req.status == 503
    assert fleet.late_sends(3.0) <= 3


def test_a_router_that_was_cut_off_learns_the_held_requests_on_reconnection():
    fleet = CrashingFleet(reply=STREAM)
    for name in ("r1", "r2", "r3"):
        fleet.world.network.cut("r0", name)
    fleet.every(0.4, 4.0, lambda n: fleet.ask(1 + n % 3, "/draft/x"))
    fleet.world.run(6.0)
    fleet.world.network.mend_all()
    fleet.world.run(3.0)
    assert fleet.ask(0, "/draft/x").status == 503


def test_a_request_is_refused_while_its_arbiter_does_not_answer():
    fleet = CrashingFleet(reply=STREAM)
    _send_crashing(fleet, 2.0, 20.0)
    reqs = []
    fleet.world.network.drop_where(
        lambda _, __, message: isinstance(message, ProbeRequest | ProbeReply)
    )
    sends = len(fleet.sends_s())
    for number in range(8):
        reqs.append(fleet.ask(number, "/draft/x"))
        fleet.world.run(0.5)
    arbiter = fleet.all_routers[0].gateway.crash_guard.sharing.arbiter(
        fleet.all_routers[0].gateway.crash_guard.record.suspects()[0]
    )
    refused = [req.status for n, req in enumerate(reqs) if f"r{n % 4}" != arbiter]
    assert refused == [503] * 6
    assert len(fleet.sends_s()) <= sends + 1


def test_updates_are_bounded_and_sent_once():
    fleet = CrashingFleet(routers=6, reply=STREAM)
    updates = []
    fleet.world.network.drop_where(
        lambda _, __, message: isinstance(message, CrashUpdate) and updates.append(message)
    )
    fleet.every(0.05, 3.0, lambda n: fleet.ask(n, "/draft/x", body=b"other %d" % n))
    fleet.world.run(5.0)
    assert updates == [], "no update is sent while nothing crashes"
    fleet.crash_share(0.5)
    fleet.world.run(0.2)
    assert len(updates) <= 6 * 5
