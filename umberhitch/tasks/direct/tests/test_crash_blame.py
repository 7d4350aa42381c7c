"""Who is blamed where endpoints end, and who is not.

The load: others are under way wherever an endpoint ends, some of them asked for by many callers.
And a part of the endpoints, or all, end at once with nobody to blame.
"""

import pytest

from umberhitch.core.direct import AnswerVerdict
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.proxied_request import HELD
from umberhitch.testing import CrashingFleet, CrashShape, DirectAsk

LONG = Reply(events=60, gap_s=0.05)
SHORT = Reply(events=8, gap_s=0.05)


def _is_held(ask: DirectAsk) -> bool:
    return ask.status == 503 and HELD.encode() in ask.reply.body


def _popular(fleet: CrashingFleet, for_s: float) -> list[DirectAsk]:
    """Ask for the same at all routers, 20 times a second."""
    asks: list[DirectAsk] = []
    fleet.every(0.05, for_s, lambda n: asks.append(fleet.ask(n, "/draft/x", body=b"popular")))
    return asks


@pytest.mark.parametrize("share", [0.25, 0.5])
def test_what_many_ask_for_is_served_on_where_many_endpoints_end(share: float):
    fleet = CrashingFleet(reply=LONG)
    asks = _popular(fleet, 19.0)
    for at_s in (5.0, 10.0, 15.0):
        fleet.world.clock.callLater(at_s, fleet.crash_share, share)
    fleet.world.run(25.0)
    assert not any(_is_held(ask) for ask in asks)
    assert all(ask.status == 200 for ask in asks)


def test_what_many_ask_for_is_served_on_beside_a_request_that_ends_endpoints():
    fleet = CrashingFleet(reply=LONG)
    asks = _popular(fleet, 19.0)
    fleet.every(0.4, 19.0, lambda n: fleet.ask(n, "/draft/x"))
    for at_s in (5.0, 10.0, 15.0):
        fleet.world.clock.callLater(at_s, fleet.crash_share, 0.5)
    fleet.world.run(25.0)
    assert fleet.late_sends(3.0) <= 3
    assert sum(_is_held(ask) for ask in asks) < 0.1 * len(asks)


def _unlucky(fleet: CrashingFleet) -> DirectAsk:
    """Let a request be under way where three endpoints end that it has no part in."""
    ask = fleet.ask(0, "/draft/x", body=b"unlucky")
    for _ in range(3):
        fleet.world.run(0.3)
        at = next(e for e in fleet.ever for c in e.under_way if c.body == b"unlucky")
        at.crash()
    fleet.world.run(0.1)
    return ask


def test_one_that_only_happened_to_be_there_is_free_again_after_one_probe():
    fleet = CrashingFleet(reply=LONG)
    assert _unlucky(fleet).reply.is_aborted
    again = fleet.ask(1, "/draft/x", body=b"unlucky")
    assert _is_held(again)
    assert 0.5 < float(again.reply.headers[b"Come-Back"]) <= 1.0
    fleet.world.run(1.0)
    probe = fleet.ask(2, "/draft/x", body=b"unlucky")
    fleet.world.run(0.1)
    beside = fleet.ask(3, "/draft/x", body=b"unlucky")
    fleet.world.run(5.0)
    assert probe.reply.is_complete
    assert _is_held(beside), "one probe at a time"
    after = [fleet.ask(n, "/draft/x", body=b"unlucky") for n in range(8)]
    fleet.world.run(5.0)
    assert all(ask.reply.is_complete for ask in after)


def test_a_probe_whose_caller_leaves_makes_way_for_the_next():
    fleet = CrashingFleet(reply=LONG)
    _unlucky(fleet)
    fleet.world.run(1.0)
    probe = fleet.ask(2, "/draft/x", body=b"unlucky")
    fleet.world.run(0.2)
    probe.leave()
    fleet.world.run(10.0)
    second = fleet.ask(3, "/draft/x", body=b"unlucky")
    fleet.world.run(5.0)
    assert second.reply.is_complete


def test_another_customer_and_another_path_are_served():
    fleet = CrashingFleet(reply=SHORT)
    fleet.every(0.4, 4.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(6.0)
    assert _is_held(fleet.ask(0, "/draft/x"))
    assert not _is_held(fleet.ask(0, "/draft/y", body=b"other"))


def test_an_operator_lets_a_request_go_at_any_router():
    fleet = CrashingFleet(reply=SHORT)
    fleet.every(0.4, 4.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(30.0)
    key = fleet.all_routers[0].gateway.crash_guard.record.suspects()[0]
    for endpoint in fleet.ever:
        endpoint.crashing = {}
    assert fleet.all_routers[2].gateway.crash_guard.sharing.release(key)
    fleet.world.run(0.5)
    ask = fleet.ask(0, "/draft/x")
    fleet.world.run(2.0)
    assert ask.reply.is_complete


def _verdicts(fleet: CrashingFleet) -> list[AnswerVerdict]:
    """Collect what is said against versions from now on."""
    found: list[AnswerVerdict] = []
    for router in fleet.all_routers:
        note = router.gateway.canary_controller.record_answer
        router.gateway.canary_controller.record_answer = lambda *args, _note=note: (
            found.append(args[-1]),
            _note(*args),
        )
    return found


def test_the_end_of_an_endpoint_is_one_answer_of_its_version_not_one_for_each_call():
    fleet = CrashingFleet(routers=1, endpoints=2, reply=LONG)
    for number in range(10):
        fleet.ask(0, "/order/x", body=b"other %d" % number)
    fleet.world.run(0.3)
    verdicts = _verdicts(fleet)
    fleet.crash_share(0.5)
    fleet.world.run(0.1)
    assert verdicts.count(AnswerVerdict.BROKEN) == 1


def test_what_a_request_ends_again_is_no_evidence_against_a_version():
    fleet = CrashingFleet(routers=1, reply=SHORT)
    fleet.ask(0, "/order/x")
    fleet.world.run(1.0)
    verdicts = _verdicts(fleet)
    for _ in range(2):
        fleet.ask(0, "/order/x")
        fleet.world.run(1.0)
    assert len(fleet.crashes_s) == 3
    assert AnswerVerdict.BROKEN not in verdicts


def test_a_reply_that_breaks_off_is_evidence_where_its_endpoint_lives_on():
    fleet = CrashingFleet(routers=1, reply=Reply(events=8, break_after=2))
    verdicts = _verdicts(fleet)
    fleet.ask(0, "/order/x", body=b"other")
    fleet.ask(0, "/draft/x", body=b"other")
    fleet.world.run(2.0)
    assert verdicts.count(AnswerVerdict.BROKEN) >= 3
    assert not fleet.all_routers[0].gateway.crash_guard.record.suspects()


def test_an_endpoint_that_said_that_it_leaves_is_no_crash():
    fleet = CrashingFleet(endpoints=3, reply=LONG)
    ask = fleet.ask(0, "/draft/x", body=b"other")
    fleet.world.run(0.3)
    at = next(e for e in fleet.ever if e.under_way)
    fleet.leave(f"e{fleet.ever.index(at)}")
    fleet.world.run(2.0)
    at.crash()
    fleet.world.run(1.0)
    assert not fleet.all_routers[0].gateway.crash_guard.record.suspects()
    fleet.world.run(5.0)
    assert ask.reply.is_complete


def test_what_was_there_alone_is_blamed_however_soon_the_endpoint_ends():
    fleet = CrashingFleet(routers=1, shape=CrashShape(after_s=0.0005))
    fleet.ask(0, "/order/x")
    fleet.world.clock.advance(0.0005)
    fleet.world.run(0.1)
    assert len(fleet.all_routers[0].gateway.crash_guard.record) == 1


def test_what_was_just_sent_beside_an_older_call_is_not_blamed():
    fleet = CrashingFleet(routers=1, endpoints=1, reply=LONG)
    fleet.ask(0, "/order/x", body=b"older")
    fleet.world.run(0.1)
    fleet.ask(0, "/order/x", body=b"younger")
    fleet.world.clock.advance(0.0005)
    fleet.ever[0].crash()
    fleet.world.run(0.1)
    assert len(fleet.all_routers[0].gateway.crash_guard.record) == 1
