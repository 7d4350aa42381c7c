"""Routers respect endpoints that report draining, and those that refuse with a back-off.

The first two tests guard against routers that ignore these signals. A draining endpoint got
requests 10 s after it had reported draining, from routers whose registry did not list it as
draining yet. Two endpoints that refused every call with a back-off of 3 s got up to 24 calls per
second from one router.
"""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import ClosedEndpoints, HeadSignals, ReplyHead
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.tasks.direct.membership import MembershipLimits
from umberhitch.tasks.direct.send_gate import RETRY_SPREAD_S
from umberhitch.tasks.direct.tests import test_advertised_limits as limits
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing import (
    DirectWorld,
    make_direct_document,
    make_endpoint_entry,
    make_route,
    sent_after_leaving,
    sent_while_resting,
)
from umberhitch.wire import DrainNotice, EndpointUpdate

CROWD = 40.0
"""Requests per second."""
PRESS = 200.0
"""Requests per second, enough to make an endpoint attractive that refuses its calls fast."""
KINDS = limits.KINDS

Signal = Callable[[FakeEndpoint], None]


def _drain(endpoint: FakeEndpoint) -> None:
    endpoint.is_draining = True


def _back_off(endpoint: FakeEndpoint) -> None:
    endpoint.rests_s = 600.0


SIGNALS = pytest.mark.parametrize("signal", [_drain, _back_off], ids=["draining", "back-off"])


def _world(routers: int, free: int, others: int, **settings: object) -> tuple[DirectWorld, list]:
    """Return a settled deployment, and those of its endpoints that will send signals."""
    return limits._world(routers, free, others, None, **settings)  # type: ignore[arg-type]


def _crowd(world: DirectWorld, seconds: float, path: str = "/look/x") -> list:
    return limits._send_traffic(world, seconds, CROWD, path)


def _assert_signals_respected(endpoints: list[FakeEndpoint]) -> None:
    for each in endpoints:
        assert sent_after_leaving(each) == []
        assert set(sent_while_resting(each)) <= {0}


def test_a_draining_endpoint_gets_no_calls_while_listed_as_ready():
    world, (draining,) = _world(4, 5, 1)
    _crowd(world, 2.0)
    _drain(draining)
    reqs = _crowd(world, 12.0)
    world.run(1.0)
    assert sent_after_leaving(draining) == []
    assert {req.status for req in reqs} == {200}


def test_endpoints_that_refuse_with_a_backoff_get_no_calls_during_it():
    world, backing_off = _world(4, 4, 2)
    _crowd(world, 2.0)
    for each in backing_off:
        each.rests_s = 3.0
    reqs = limits._send_traffic(world, 12.0, PRESS)
    world.run(1.0)
    for each in backing_off:
        assert set(sent_while_resting(each)) == {0}
    assert {req.status for req in reqs} == {200}


@SIGNALS
@pytest.mark.parametrize("send", KINDS, ids=lambda send: send.__name__.strip("_"))
def test_no_kind_of_call_reaches_an_endpoint_that_drains_or_backs_off(
    send: Callable[[DirectWorld], None], signal: Signal
):
    world = zones._world(2)
    world.run(limits.SETTLED_S)
    unavailable = zones._in_zone(world, "b")
    for each in unavailable:
        signal(each)
    _crowd(world, 1.0)
    calls = [len(each.calls) for each in unavailable]
    assert all(calls)
    send(world)
    assert [len(each.calls) for each in unavailable] == calls
    assert zones._calls(world, "a") > 0


@SIGNALS
def test_callers_are_served_while_a_third_of_the_endpoints_drains_or_backs_off(signal: Signal):
    world, unavailable = _world(6, 8, 4)
    for each in unavailable:
        signal(each)
    reqs = _crowd(world, 10.0) + _crowd(world, 5.0, "/order/x")
    world.run(1.0)
    _assert_signals_respected(unavailable)
    assert sum(req.status == 200 for req in reqs) >= 0.95 * len(reqs)


# Sources of signals


def _one_router(reply: Reply, signal: Signal) -> tuple[DirectWorld, FakeEndpoint]:
    world, _ = _world(1, 0, 0)
    endpoint = world.add_endpoint("l0")
    endpoint.reply = reply
    signal(endpoint)
    world.run(1.2)
    return world, endpoint


def _closed_lifetimes(world: DirectWorld, name: str = "r000") -> set[str]:
    closed = world.routers[name].gateway.gate.closed
    return {*closed.draining, *closed.backoffs}


REFUSED = Reply(status=503, not_run=True, is_signed=False, backoff_s=30.0)
FAILED = Reply(status=503, backoff_s=30.0)


def _quiet(endpoint: FakeEndpoint) -> None:
    """Leave all signals to the reply."""


@pytest.mark.parametrize(
    ("path", "reply", "signal"),
    [
        ("/look/x", Reply(), _drain),
        ("/look/x", Reply(status=500), _drain),
        ("/look/x", Reply(status=404), _drain),
        ("/look/x", Reply(status=503, not_run=True, is_signed=False), _drain),
        ("/look/x", Reply(status=421, not_run=True), _drain),
        ("/look/x", Reply(is_signed=False), _drain),
        ("/order/x", Reply(), _drain),
        ("/draft/x", Reply(events=4), _drain),
        ("/draft/x", Reply(events=4, break_after=1), _drain),
        ("/draft/x", REFUSED, _drain),
        ("/look/x", REFUSED, _quiet),
        ("/order/x", REFUSED, _quiet),
        ("/draft/x", REFUSED, _quiet),
        ("/look/x", FAILED, _quiet),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_signals_are_read_from_any_answer(path: str, reply: Reply, signal: Signal):
    world, _ = _one_router(reply, signal)
    world.ask(world.routers["r000"], path, Prompt="p:10,own:1")
    world.run(0.05)
    assert _closed_lifetimes(world) == {"l0"}


def test_draining_is_read_from_the_head_of_a_stream():
    world, _ = _one_router(Reply(events=40, gap_s=0.1), _drain)
    req = world.ask(world.routers["r000"], "/draft/x", Prompt="p:10,own:1")
    world.run(0.05)
    assert _closed_lifetimes(world) == {"l0"}
    world.run(12.0)
    assert req.reply.is_complete  # running streams are completed


@pytest.mark.parametrize("signal", [HeadSignals(is_draining=True), HeadSignals(backoff_s=9.0)])
def test_signals_are_read_from_a_late_reply_to_an_earlier_call(signal: HeadSignals):
    world, _ = _one_router(Reply(is_silent=True), _quiet)
    world.ask(world.routers["r000"], "/order/x")
    world.run(0.02)
    (proxied,) = world.routers["r000"].gateway.running_requests
    proxied.on_late_head(ReplyHead(503, signals=signal))
    assert _closed_lifetimes(world) == {"l0"}


@SIGNALS
def test_signals_of_another_process_at_the_address_are_ignored(signal: Signal):
    reply = Reply(status=421, not_run=True, is_elsewhere=True)
    world, _ = _one_router(reply, _drain)
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.05)
    assert _closed_lifetimes(world) == set()


@pytest.mark.parametrize("signals", [HeadSignals(malformed=("x",)), HeadSignals(backoff_s=0.0)])
def test_a_malformed_signal_and_a_backoff_of_zero_exclude_no_endpoint(signals: HeadSignals):
    world, _ = _one_router(Reply(), _quiet)
    router = world.routers["r000"]
    router.gateway.gate.apply_head("l0", ReplyHead(503, not_run=True, signals=signals))
    reqs = [world.ask(router, "/look/x") for _ in range(20)]
    world.run(0.1)
    assert {req.status for req in reqs} == {200}
    assert _closed_lifetimes(world) == set()


def test_a_malformed_signal_does_not_end_draining():
    world, endpoint = _one_router(Reply(), _drain)
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    router.gateway.gate.apply_head("l0", ReplyHead(200, signals=HeadSignals(malformed=("x",))))
    assert world.ask(router, "/look/x").status == 503
    assert len(endpoint.calls) == 1


# Draining


def test_draining_persists_when_the_registry_entry_lapses_and_returns():
    world, (draining,) = _world(2, 2, 1)
    _drain(draining)
    _crowd(world, 1.0)
    world.registry.put("l0", None)
    _crowd(world, 5.0)
    world.registry.put("l0", make_endpoint_entry("l0"))
    _crowd(world, 5.0)
    assert sent_after_leaving(draining) == []
    assert all(_closed_lifetimes(world, name) == {"l0"} for name in world.routers)


def test_a_new_lifetime_at_the_address_is_not_draining():
    world, (draining,) = _world(2, 1, 1)
    _drain(draining)
    _crowd(world, 1.0)
    restarted = world.add_endpoint("l0", born=5)
    restarted.reply = Reply(delay_s=0.2)
    world.run(1.5)
    _crowd(world, 3.0)
    assert len(restarted.calls) > 0


def test_peers_learn_of_draining_at_once_or_from_the_repeated_message():
    world, (draining,) = _world(20, 2, 1)
    _drain(draining)
    world.network.drop_where(
        lambda sender, receiver, message: isinstance(message, EndpointUpdate) and receiver == "r007"
    )
    while not draining.drain_words:
        world.ask(world.routers["r000"], "/look/x")
        world.run(0.05)
    world.run(0.3)
    assert sum("l0" in _closed_lifetimes(world, name) for name in world.routers) == 19
    world.network.mend_all()
    world.run(4.0)
    assert _closed_lifetimes(world, "r007") == {"l0"}


def test_partitioned_routers_learn_of_draining_each_by_itself():
    world, unavailable = _world(12, 3, 2)
    names = list(world.routers)
    for number, one in enumerate(names):
        for other in names[:number]:
            world.network.cut(one, other)
    for router in world.routers.values():
        router.faults.is_down = True
    for each in unavailable:
        _drain(each)
    _crowd(world, 3.0)
    for each in unavailable:
        assert sent_after_leaving(each) == []
        assert len(each.calls) <= 40  # each router sends calls until its first answer


def test_a_new_router_is_informed_of_draining():
    world, (draining,) = _world(4, 1, 1)
    _drain(draining)
    _crowd(world, 1.0)
    world.add_router("new")
    world.run(MembershipLimits().propagation_s + 0.1)
    assert _closed_lifetimes(world, "new") == {"l0"}


def test_an_old_signal_of_an_earlier_lifetime_does_not_exclude_the_new_one():
    world, _ = _world(2, 0, 0)
    world.add_endpoint("l0", born=5)
    world.run(1.2)
    sharing = world.routers["r000"].gateway.gate.sharing
    sharing.receive("r001", EndpointUpdate([], [DrainNotice("l0", 30.0), DrainNotice("l0@4", 9.0)]))
    req = world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    assert req.status == 200


def test_the_affinity_endpoint_of_a_prompt_changes_at_every_router():
    world, _ = _world(4, 0, 3)
    router = world.routers["r000"].gateway
    affinity_endpoint = router.directory.affinity_endpoint("svc", "part")
    _drain(world.endpoints.by_address[affinity_endpoint.entry.address])
    _crowd(world, 1.0)
    moved = {
        r.gateway.directory.affinity_endpoint("svc", "part").lifetime
        for r in world.routers.values()
    }
    assert len(moved) == 1
    assert affinity_endpoint.lifetime not in moved


def test_requests_are_not_blamed_when_a_draining_endpoint_exits():
    """Such requests were held, though the endpoint only left before the registry listed that."""
    world, (draining,) = _world(1, 0, 1)
    _drain(draining)
    draining.reply = Reply(events=100, gap_s=0.1)
    router = world.routers["r000"]
    for number in range(4):
        world.ask(router, "/draft/x", Prompt=f"p{number}:10,own:1")
    world.run(1.0)
    draining.crash()
    world.run(1.0)
    assert router.gateway.crash_guard.watch.crashes == 0
    assert list(router.gateway.crash_guard.record.held(world.clock.seconds())) == []


# Back-off


def test_the_latest_end_of_several_backoffs_applies():
    closed = ClosedEndpoints("r1")
    closed.apply_backoff("l0", 5.0, 1, 0.0)
    closed.apply_backoff("l0", 2.0, 1, 1.0)
    assert not closed.note_answer("l0", 3.0)
    assert not closed.accepts("l0", 4.9)
    assert closed.accepts("l0", 5.1)


def test_a_backoff_applies_only_to_the_router_that_received_it():
    world, (backing_off,) = _world(2, 0, 1)
    backing_off.rests_s = 30.0
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    backing_off.rests_s = None
    world.run(1.5)
    req = world.ask(world.routers["r001"], "/look/x")
    world.run(0.3)
    assert req.status == 200
    assert world.ask(world.routers["r000"], "/look/x").status == 503


def test_after_a_backoff_one_call_is_sent_first_and_others_once_it_is_answered():
    world, (backing_off,) = _world(1, 0, 1)
    backing_off.rests_s = 2.0
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    backing_off.rests_s = None
    world.run(2.1)
    calls = len(backing_off.calls)
    first = [world.ask(router, "/look/x").status for _ in range(5)]
    assert first == [None, 503, 503, 503, 503]
    assert len(backing_off.calls) == calls + 1
    world.run(0.3)
    assert [world.ask(router, "/look/x").status for _ in range(5)] == [None] * 5


def test_a_suspended_router_counts_the_elapsed_time_of_a_backoff():
    world, (backing_off,) = _world(1, 0, 1, is_strict=False)
    backing_off.rests_s = 8.0
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    backing_off.rests_s = None
    router.clock.is_paused = True
    world.run(5.0)
    router.clock.is_paused = False
    router.clock.resume()
    assert world.ask(router, "/look/x").status == 503
    world.run(3.5)
    req = world.ask(router, "/look/x")
    world.run(0.3)
    assert req.status == 200


# No endpoint left


def test_if_all_endpoints_drain_refusals_name_the_longest_retry_time_that_callers_honor():
    world, unavailable = _world(2, 0, 3)
    for each in unavailable:
        _drain(each)
    _crowd(world, 2.0)
    calls = sum(len(each.calls) for each in unavailable)
    req = world.ask(world.routers["r000"], "/look/x", Patience="9")
    assert req.status == 503
    assert req.reply.headers[b"Come-Back"] == b"3.000"
    world.run(10.0)
    assert sum(len(each.calls) for each in unavailable) == calls


def test_if_all_endpoints_back_off_retries_are_spread():
    world, unavailable = _world(1, 0, 3)
    for number, each in enumerate(unavailable):
        each.rests_s = 2.0 + number
    _crowd(world, 0.4)
    started_s = min(at_s for each in unavailable for _, at_s, _ in each.rest_words)
    reqs = [world.ask(world.routers["r000"], "/look/x", Patience="30") for _ in range(50)]
    now_s = world.clock.seconds()
    assert {req.status for req in reqs} == {503}
    retry_at_s = sorted(now_s + float(req.reply.headers[b"Come-Back"]) for req in reqs)
    assert retry_at_s[0] >= started_s + 2.0
    assert retry_at_s[-1] <= started_s + 2.0 + RETRY_SPREAD_S + 0.1
    assert len({round(at_s, 2) for at_s in retry_at_s}) >= 20


def test_urgent_callers_get_the_earliest_retry_times():
    routes = (make_route("look", priority=0), make_route("later", priority=5))
    world, (backing_off,) = _world(1, 0, 1)
    world.operator.put("config", make_direct_document(2, routes=routes))
    world.run(2.0)
    backing_off.rests_s = 3.0
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    reqs = {
        path: [world.ask(router, path, Patience="30") for _ in range(20)]
        for path in ("/look/x", "/later/x")
    }
    retry_after_s = {
        path: [float(req.reply.headers[b"Come-Back"]) for req in reqs[path]] for path in reqs
    }
    assert max(retry_after_s["/look/x"]) <= min(retry_after_s["/later/x"])


def test_bans_are_lifted_if_all_endpoints_fail_but_draining_and_backoff_are_not():
    world, (draining, backing_off) = _world(1, 2, 2)
    _drain(draining)
    _back_off(backing_off)
    _crowd(world, 2.0)
    for each in world.endpoints.by_address.values():
        if each not in (draining, backing_off):
            each.reply = Reply(failure=CallFailure.NOT_SENT)
    _crowd(world, 3.0)
    _assert_signals_respected([draining, backing_off])


def test_the_few_open_endpoints_of_a_large_service_are_found():
    world, unavailable = _world(1, 3, 90)
    router = world.routers["r000"]
    refusal = ReplyHead(503, not_run=True, signals=HeadSignals(backoff_s=600.0))
    for number in range(len(unavailable)):
        router.gateway.gate.apply_head(f"l{number}", refusal)
    reqs = [world.ask(router, "/look/x") for _ in range(50)]
    world.run(1.0)
    assert {req.status for req in reqs} == {200}


# Other features


@SIGNALS
def test_the_old_version_serves_if_the_only_canary_endpoint_drains_or_backs_off(signal: Signal):
    world, _ = _world(2, 4, 0)
    new = world.add_endpoint("n0", "v2")
    new.reply = Reply(delay_s=0.2)
    world.run(1.2)
    world.roll_out("v2", 30.0)
    _crowd(world, 4.0)
    assert len(new.calls) > 0
    signal(new)
    _crowd(world, 2.0)
    calls = len(new.calls)
    reqs = _crowd(world, 6.0)
    world.run(1.0)
    assert len(new.calls) == calls
    assert {req.status for req in reqs} == {200}


def test_a_broken_stream_is_not_resumed_at_a_draining_endpoint():
    world, _ = _world(1, 0, 0)
    first, second = world.add_endpoint("e0"), world.add_endpoint("e1")
    for each in (first, second):
        each.reply = Reply(events=6, break_after=2)
        _drain(each)
    world.run(1.2)
    req = world.ask(world.routers["r000"], "/draft/x", Prompt="p:10,own:1")
    world.run(3.0)
    assert req.reply.is_over
    assert {len(first.calls), len(second.calls)} == {1}


def test_no_attempts_are_spent_on_endpoints_that_back_off():
    world, unavailable = _world(1, 1, 8)
    for each in unavailable:
        _back_off(each)
    _crowd(world, 1.0)
    assert {len(each.calls) for each in unavailable} <= {0, 1}
    reqs = [world.ask(world.routers["r000"], "/order/x") for _ in range(20)]
    world.run(1.0)
    assert {req.status for req in reqs} == {200}


@SIGNALS
def test_a_session_moves_to_the_other_version_if_its_only_endpoint_is_closed(signal: Signal):
    """The session is handled as if that endpoint were unreachable."""
    world, _ = _world(2, 3, 0)
    new = world.add_endpoint("n0", "v2")
    new.reply = Reply(delay_s=0.05)
    world.run(1.2)
    world.roll_out("v2", 30.0)
    world.run(8.0)
    router = world.routers["r000"]
    names = [f"s{number}" for number in range(60)]
    for name in names:
        world.ask(router, "/look/x", Session_Name=name)
        world.run(0.05)
    assert len(new.calls) > 0
    signal(new)
    _crowd(world, 2.0)
    calls = len(new.calls)
    reqs = []
    for name in names:
        reqs.append(world.ask(router, "/look/x", Session_Name=name))
        world.run(0.05)
    world.run(1.0)
    assert len(new.calls) == calls
    assert {req.status for req in reqs} == {200}


def test_signals_are_read_from_a_dropped_answer():
    """The small model's answer is dropped, but the signals in its head are applied."""
    world, endpoint = _one_router(Reply(events=4, confidence=1), _drain)
    world.add_endpoint("e1").reply = Reply(events=4, confidence=99)
    world.run(1.2)
    for number in range(8):
        prompt = f"p{number}:3000,own:10"
        world.ask(world.routers["r000"], "/draft/x", Prompt=prompt, Any_Model="1")
    world.run(1.0)
    assert endpoint.cancelled
    assert _closed_lifetimes(world) == {"l0"}


def test_repeats_after_refusals_stay_within_the_budget_of_the_whole_fleet():
    """All endpoints refuse without a back-off; without the budget each request is sent 3 times."""
    world, endpoints = _world(6, 0, 12, slack=20.0)
    for each in endpoints:
        each.reply = Reply(status=503, delay_s=0.002, is_signed=False, not_run=True)
    reqs = limits._send_traffic(world, 10.0, PRESS)
    calls = sum(len(each.calls) for each in endpoints)
    assert 0.5 * len(reqs) <= calls - len(reqs) <= 0.9 * len(reqs) + 20.0
