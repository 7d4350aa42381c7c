"""All routers together: cut off, late, lost messages, new ones, and ones that decide for others.

The load is that of `test_crashing_requests`; in each case something is wrong between the routers.
"""

import pytest

from umberhitch.fakes import Reply
from umberhitch.testing import CrashingFleet
from umberhitch.wire import CrashUpdate, ProbeReply, ProbeRequest

STREAM = Reply(events=8, gap_s=0.05)


def _play(fleet: CrashingFleet, for_s: float = 19.0, after_s: float = 6.0) -> None:
    fleet.every(0.4, for_s, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(for_s + after_s)


@pytest.mark.parametrize("routers", [1, 2, 12, 30])
def test_the_bound_holds_for_any_number_of_routers(routers: int):
    fleet = CrashingFleet(routers=routers, endpoints=20, reply=STREAM)
    _play(fleet)
    assert len(fleet.crashes_s) >= 3
    assert fleet.late_sends(3.0) <= 3


def test_lost_and_late_messages_are_made_up_for():
    fleet = CrashingFleet(routers=8, reply=STREAM)
    fleet.world.network.faults.drop = 0.3
    fleet.world.network.faults.late = 0.3
    _play(fleet)
    assert fleet.late_sends(3.0) <= 3


def test_a_router_that_starts_after_it_learns_what_is_held():
    fleet = CrashingFleet(reply=STREAM)
    _play(fleet, 4.0, 1.0)
    fleet.world.add_router("new")
    fleet.world.run(3.0)
    ask = fleet.ask(len(fleet.all_routers) - 1, "/draft/x")
    assert ask.status == 503
    assert fleet.late_sends(3.0) <= 3


def test_a_router_that_was_cut_off_from_the_others_learns_it_when_they_are_back():
    fleet = CrashingFleet(reply=STREAM)
    for name in ("r1", "r2", "r3"):
        fleet.world.network.cut("r0", name)
    fleet.every(0.4, 4.0, lambda n: fleet.ask(1 + n % 3, "/draft/x"))
    fleet.world.run(6.0)
    fleet.world.network.mend_all()
    fleet.world.run(3.0)
    assert fleet.ask(0, "/draft/x").status == 503


def test_without_the_one_that_decides_a_request_is_refused_not_run():
    fleet = CrashingFleet(reply=STREAM)
    _play(fleet, 2.0, 20.0)
    decided = []
    fleet.world.network.drop_where(
        lambda _, __, message: isinstance(message, ProbeRequest | ProbeReply)
    )
    sent = len(fleet.sends_s())
    for number in range(8):
        decided.append(fleet.ask(number, "/draft/x"))
        fleet.world.run(0.5)
    own = fleet.all_routers[0].gateway.crash_guard.sharing.arbiter(
        fleet.all_routers[0].gateway.crash_guard.record.suspects()[0]
    )
    refused = [ask.status for n, ask in enumerate(decided) if f"r{n % 4}" != own]
    assert refused == [503] * 6
    assert len(fleet.sends_s()) <= sent + 1


def test_what_is_told_is_bounded_and_told_once():
    fleet = CrashingFleet(routers=6, reply=STREAM)
    news = []
    fleet.world.network.drop_where(
        lambda _, __, message: isinstance(message, CrashUpdate) and news.append(message)
    )
    fleet.every(0.05, 3.0, lambda n: fleet.ask(n, "/draft/x", body=b"other %d" % n))
    fleet.world.run(5.0)
    assert news == [], "nothing is told while nothing ends"
    fleet.crash_share(0.5)
    fleet.world.run(0.2)
    assert len(news) <= 6 * 5
