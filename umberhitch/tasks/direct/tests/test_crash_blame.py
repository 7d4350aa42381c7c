"""Which requests a crash of an endpoint counts against.

Other requests are running wherever an endpoint crashes, some of them sent by many callers. Also,
some or all endpoints crash at once without any request as the cause.
"""

import logging

import pytest

from umberhitch.core.direct import AnswerVerdict
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.proxied_request import HELD
from umberhitch.testing import CrashingFleet, CrashShape, DirectAsk

LONG_STREAM = Reply(events=60, gap_s=0.05)
SHORT_STREAM = Reply(events=8, gap_s=0.05)


def _is_held(req: DirectAsk) -> bool:
    return req.status == 503 and HELD.encode() in req.reply.body


def _send_popular(fleet: CrashingFleet, for_s: float) -> list[DirectAsk]:
    """Send the same request to all routers, 20 times per second."""
    reqs: list[DirectAsk] = []
    fleet.every(0.05, for_s, lambda n: reqs.append(fleet.ask(n, "/draft/x", body=b"popular")))
    return reqs


@pytest.mark.parametrize("share", [0.25, 0.5])
def test_a_popular_request_is_served_while_many_endpoints_crash(share: float):
    fleet = CrashingFleet(reply=LONG_STREAM)
    reqs = _send_popular(fleet, 19.0)
    for crash_s in (5.0, 10.0, 15.0):
        fleet.world.clock.callLater(crash_s, fleet.crash_share, share)
    fleet.world.run(25.0)
    assert not any(_is_held(req) for req in reqs)
    assert all(req.status == 200 for req in reqs)


def test_a_popular_request_is_served_beside_a_crashing_request():
    fleet = CrashingFleet(reply=LONG_STREAM)
    reqs = _send_popular(fleet, 19.0)
    fleet.every(0.4, 19.0, lambda n: fleet.ask(n, "/draft/x"))
    for crash_s in (5.0, 10.0, 15.0):
        fleet.world.clock.callLater(crash_s, fleet.crash_share, 0.5)
    fleet.world.run(25.0)
    assert fleet.late_sends(3.0) <= 3
    assert sum(_is_held(req) for req in reqs) < 0.1 * len(reqs)


def _run_beside_crashes(fleet: CrashingFleet) -> DirectAsk:
    """Let a request run on three endpoints that crash for another reason."""
    req = fleet.ask(0, "/draft/x", body=b"unlucky")
    for _ in range(3):
        fleet.world.run(0.3)
        running_on = next(e for e in fleet.ever for c in e.under_way if c.body == b"unlucky")
        running_on.crash()
    fleet.world.run(0.1)
    return req


def test_a_request_that_caused_no_crash_is_released_by_one_probe():
    fleet = CrashingFleet(reply=LONG_STREAM)
    assert _run_beside_crashes(fleet).reply.is_aborted
    retried = fleet.ask(1, "/draft/x", body=b"unlucky")
    assert _is_held(retried)
    assert 0.5 < float(retried.reply.headers[b"Come-Back"]) <= 1.0
    fleet.world.run(1.0)
    probe = fleet.ask(2, "/draft/x", body=b"unlucky")
    fleet.world.run(0.1)
    beside = fleet.ask(3, "/draft/x", body=b"unlucky")
    fleet.world.run(5.0)
    assert probe.reply.is_complete
    assert _is_held(beside), "one probe at a time"
    after = [fleet.ask(n, "/draft/x", body=b"unlucky") for n in range(8)]
    fleet.world.run(5.0)
    assert all(req.reply.is_complete for req in after)


def test_a_probe_whose_caller_disconnects_allows_the_next_probe():
    fleet = CrashingFleet(reply=LONG_STREAM)
    _run_beside_crashes(fleet)
    fleet.world.run(1.0)
    probe = fleet.ask(2, "/draft/x", body=b"unlucky")
    fleet.world.run(0.2)
    probe.leave()
    fleet.world.run(10.0)
    second = fleet.ask(3, "/draft/x", body=b"unlucky")
    fleet.world.run(5.0)
    assert second.reply.is_complete


def test_another_customer_and_another_path_are_served():
    fleet = CrashingFleet(reply=SHORT_STREAM)
    fleet.every(0.4, 4.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(6.0)
    assert _is_held(fleet.ask(0, "/draft/x"))
    assert not _is_held(fleet.ask(0, "/draft/y", body=b"other"))


def test_an_operator_releases_a_request_at_any_router():
    fleet = CrashingFleet(reply=SHORT_STREAM)
    fleet.every(0.4, 4.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(30.0)
    key = fleet.all_routers[0].gateway.crash_guard.record.suspects()[0]
    for endpoint in fleet.ever:
        endpoint.crashing = {}
    assert fleet.all_routers[2].gateway.crash_guard.sharing.release(key)
    fleet.world.run(0.5)
    req = fleet.ask(0, "/draft/x")
    fleet.world.run(2.0)
    assert req.reply.is_complete


def _verdicts(fleet: CrashingFleet) -> list[AnswerVerdict]:
    """Collect the verdicts on versions from now on."""
    found: list[AnswerVerdict] = []
    for router in fleet.all_routers:
        record_answer = router.gateway.canary_controller.record_answer
        router.gateway.canary_controller.record_answer = (
            lambda *args, _record_answer=record_answer: (
                found.append(args[-1]),
                _record_answer(*args),
            )
        )
    return found


def test_a_crash_counts_as_one_broken_answer_of_the_version():
    fleet = CrashingFleet(routers=1, endpoints=2, reply=LONG_STREAM)
    for number in range(10):
        fleet.ask(0, "/order/x", body=b"other %d" % number)
    fleet.world.run(0.3)
    verdicts = _verdicts(fleet)
    fleet.crash_share(0.5)
    fleet.world.run(0.1)
    assert verdicts.count(AnswerVerdict.BROKEN) == 1


def test_crashes_under_a_suspect_request_do_not_count_against_the_version():
    fleet = CrashingFleet(routers=1, reply=SHORT_STREAM)
    fleet.ask(0, "/order/x")
    fleet.world.run(1.0)
    verdicts = _verdicts(fleet)
    for _ in range(2):
        fleet.ask(0, "/order/x")
        fleet.world.run(1.0)
    assert len(fleet.crashes_s) == 3
    assert AnswerVerdict.BROKEN not in verdicts


def test_a_broken_reply_counts_against_the_version_while_the_endpoint_is_alive():
    fleet = CrashingFleet(routers=1, reply=Reply(events=8, break_after=2))
    verdicts = _verdicts(fleet)
    fleet.ask(0, "/order/x", body=b"other")
    fleet.ask(0, "/draft/x", body=b"other")
    fleet.world.run(2.0)
    assert verdicts.count(AnswerVerdict.BROKEN) >= 3
    assert not fleet.all_routers[0].gateway.crash_guard.record.suspects()


def test_the_exit_of_a_draining_endpoint_is_no_crash():
    fleet = CrashingFleet(endpoints=3, reply=LONG_STREAM)
    req = fleet.ask(0, "/draft/x", body=b"other")
    fleet.world.run(0.3)
    running_on = next(e for e in fleet.ever if e.under_way)
    fleet.leave(f"e{fleet.ever.index(running_on)}")
    fleet.world.run(2.0)
    running_on.crash()
    fleet.world.run(1.0)
    assert not fleet.all_routers[0].gateway.crash_guard.record.suspects()
    fleet.world.run(5.0)
    assert req.reply.is_complete


def test_a_crash_counts_against_a_lone_call_however_soon_it_comes():
    fleet = CrashingFleet(routers=1, shape=CrashShape(after_s=0.0005))
    fleet.ask(0, "/order/x")
    fleet.world.clock.advance(0.0005)
    fleet.world.run(0.1)
    assert len(fleet.all_routers[0].gateway.crash_guard.record) == 1


def test_a_crash_does_not_count_against_a_call_just_sent_beside_an_older_one():
    fleet = CrashingFleet(routers=1, endpoints=1, reply=LONG_STREAM)
    fleet.ask(0, "/order/x", body=b"older")
    fleet.world.run(0.1)
    fleet.ask(0, "/order/x", body=b"younger")
    fleet.world.clock.advance(0.0005)
    fleet.ever[0].crash()
    fleet.world.run(0.1)
    assert len(fleet.all_routers[0].gateway.crash_guard.record) == 1


def test_the_line_on_a_crash_tells_what_the_calls_there_share(caplog: pytest.LogCaptureFixture):
    fleet = CrashingFleet(routers=1, endpoints=1, reply=LONG_STREAM)
    fleet.ask(0, "/draft/x", body=b"one", Prompt="aa:10,bb:20,c1:5")
    fleet.ask(0, "/draft/x", body=b"two", Prompt="aa:10,c2:5")
    fleet.world.run(0.3)
    with caplog.at_level(logging.INFO):
        fleet.ever[0].crash()
        fleet.world.run(0.1)
    line = next(each for each in caplog.records if each.message == "endpoint ended")
    assert [call["parts"] for call in line.calls] == [["aa", "bb"], ["aa"]]
    assert all(0.2 < call["answered_s"] < call["run_s"] for call in line.calls)
