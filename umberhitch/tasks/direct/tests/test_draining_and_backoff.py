"""An endpoint says that it leaves, or refuses and wants nothing for a while: routers keep to that.

Seen: an engine that had said in its answers that it leaves got requests 10 s later, from routers
whose registry did not have it yet; two engines that refused all with a time of 3 s got up to 24 a
second from one router. Cause: nothing heard either word. Proved by the first two tests.
"""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import ClosedEndpoints, HeadSignals, ReplyHead
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.tasks.direct.membership import MembershipLimits
from umberhitch.tasks.direct.send_gate import RETRY_SPREAD_S
from umberhitch.tasks.direct.tests import test_named_limits as limits
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
"""Requests a second."""
PRESS = 200.0
"""Requests a second, so many that an endpoint which refuses is tempting."""
KINDS = limits.KINDS

Say = Callable[[FakeEndpoint], None]


def _leaves(endpoint: FakeEndpoint) -> None:
    endpoint.is_draining = True


def _rests(endpoint: FakeEndpoint) -> None:
    endpoint.rests_s = 600.0


SAYS = pytest.mark.parametrize("say", [_leaves, _rests], ids=["leaves", "rests"])


def _world(routers: int, free: int, others: int, **settings: object) -> tuple[DirectWorld, list]:
    """Return a settled world, and those of its endpoints that are to say something."""
    return limits._world(routers, free, others, None, **settings)  # type: ignore[arg-type]


def _crowd(world: DirectWorld, seconds: float, path: str = "/look/x") -> list:
    return limits._crowd(world, seconds, CROWD, path)


def _assert_kept(endpoints: list[FakeEndpoint]) -> None:
    for each in endpoints:
        assert sent_after_leaving(each) == []
        assert set(sent_while_resting(each)) <= {0}


def test_an_engine_that_says_it_leaves_gets_nothing_though_the_registry_has_it_as_ready():
    world, (leaving,) = _world(4, 5, 1)
    _crowd(world, 2.0)
    _leaves(leaving)
    asks = _crowd(world, 12.0)
    world.run(1.0)
    assert sent_after_leaving(leaving) == []
    assert {ask.status for ask in asks} == {200}


def test_engines_that_refuse_with_a_time_get_nothing_within_it():
    world, resting = _world(4, 4, 2)
    _crowd(world, 2.0)
    for each in resting:
        each.rests_s = 3.0
    asks = limits._crowd(world, 12.0, PRESS)
    world.run(1.0)
    for each in resting:
        assert set(sent_while_resting(each)) == {0}
    assert {ask.status for ask in asks} == {200}


@SAYS
@pytest.mark.parametrize("send", KINDS, ids=lambda send: send.__name__.strip("_"))
def test_no_kind_of_send_reaches_an_endpoint_that_leaves_or_rests(
    send: Callable[[DirectWorld], None], say: Say
):
    world = zones._world(2)
    world.run(limits.SETTLED_S)
    waiting = zones._in_zone(world, "b")
    for each in waiting:
        say(each)
    _crowd(world, 1.0)
    calls = [len(each.calls) for each in waiting]
    assert all(calls)
    send(world)
    assert [len(each.calls) for each in waiting] == calls
    assert zones._calls(world, "a") > 0


@SAYS
def test_others_are_served_while_a_third_leaves_or_rests(say: Say):
    world, waiting = _world(6, 8, 4)
    for each in waiting:
        say(each)
    asks = _crowd(world, 10.0) + _crowd(world, 5.0, "/order/x")
    world.run(1.0)
    _assert_kept(waiting)
    assert sum(ask.status == 200 for ask in asks) >= 0.95 * len(asks)


# How it is known


def _one_router(reply: Reply, say: Say) -> tuple[DirectWorld, FakeEndpoint]:
    world, _ = _world(1, 0, 0)
    endpoint = world.add_endpoint("l0")
    endpoint.reply = reply
    say(endpoint)
    world.run(1.2)
    return world, endpoint


def _knows(world: DirectWorld, name: str = "r000") -> set[str]:
    closed = world.routers[name].gateway.gate.closed
    return {*closed.draining, *closed.backoffs}


REFUSED = Reply(status=503, not_run=True, is_signed=False, backoff_s=30.0)
FAILED = Reply(status=503, backoff_s=30.0)


def _quiet(endpoint: FakeEndpoint) -> None:
    """All is said by the reply."""


@pytest.mark.parametrize(
    ("path", "reply", "say"),
    [
        ("/look/x", Reply(), _leaves),
        ("/look/x", Reply(status=500), _leaves),
        ("/look/x", Reply(status=404), _leaves),
        ("/look/x", Reply(status=503, not_run=True, is_signed=False), _leaves),
        ("/look/x", Reply(status=421, not_run=True), _leaves),
        ("/look/x", Reply(is_signed=False), _leaves),
        ("/order/x", Reply(), _leaves),
        ("/draft/x", Reply(events=4), _leaves),
        ("/draft/x", Reply(events=4, break_after=1), _leaves),
        ("/draft/x", REFUSED, _leaves),
        ("/look/x", REFUSED, _quiet),
        ("/order/x", REFUSED, _quiet),
        ("/draft/x", REFUSED, _quiet),
        ("/look/x", FAILED, _quiet),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_it_is_known_from_any_answer(path: str, reply: Reply, say: Say):
    world, _ = _one_router(reply, say)
    world.ask(world.routers["r000"], path, Prompt="p:10,own:1")
    world.run(0.05)
    assert _knows(world) == {"l0"}


def test_it_is_known_as_the_head_of_a_stream_is_seen():
    world, _ = _one_router(Reply(events=40, gap_s=0.1), _leaves)
    ask = world.ask(world.routers["r000"], "/draft/x", Prompt="p:10,own:1")
    world.run(0.05)
    assert _knows(world) == {"l0"}
    world.run(12.0)
    assert ask.reply.is_complete  # what is under way goes on to its end


@pytest.mark.parametrize("say", [HeadSignals(is_draining=True), HeadSignals(backoff_s=9.0)])
def test_it_is_known_from_a_late_reply_to_another_call(say: HeadSignals):
    world, _ = _one_router(Reply(is_silent=True), _quiet)
    world.ask(world.routers["r000"], "/order/x")
    world.run(0.02)
    (exchange,) = world.routers["r000"].gateway.running_requests
    exchange.on_late_head(ReplyHead(503, signals=say))
    assert _knows(world) == {"l0"}


@SAYS
def test_what_another_process_at_the_address_says_counts_for_nothing(say: Say):
    reply = Reply(status=421, not_run=True, is_elsewhere=True)
    world, _ = _one_router(reply, _leaves)
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.05)
    assert _knows(world) == set()


@pytest.mark.parametrize("signals", [HeadSignals(malformed=("x",)), HeadSignals(backoff_s=0.0)])
def test_an_odd_word_and_a_time_of_zero_close_nothing(signals: HeadSignals):
    world, _ = _one_router(Reply(), _quiet)
    router = world.routers["r000"]
    router.gateway.gate.apply_head("l0", ReplyHead(503, not_run=True, signals=signals))
    asks = [world.ask(router, "/look/x") for _ in range(20)]
    world.run(0.1)
    assert {ask.status for ask in asks} == {200}
    assert _knows(world) == set()


def test_an_odd_word_opens_nothing():
    world, endpoint = _one_router(Reply(), _leaves)
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    router.gateway.gate.apply_head("l0", ReplyHead(200, signals=HeadSignals(malformed=("x",))))
    assert world.ask(router, "/look/x").status == 503
    assert len(endpoint.calls) == 1


# Leaving


def test_it_stands_though_the_entry_lapses_and_comes_back():
    world, (leaving,) = _world(2, 2, 1)
    _leaves(leaving)
    _crowd(world, 1.0)
    world.registry.put("l0", None)
    _crowd(world, 5.0)
    world.registry.put("l0", make_endpoint_entry("l0"))
    _crowd(world, 5.0)
    assert sent_after_leaving(leaving) == []
    assert all(_knows(world, name) == {"l0"} for name in world.routers)


def test_a_new_lifetime_at_the_address_begins_without():
    world, (leaving,) = _world(2, 1, 1)
    _leaves(leaving)
    _crowd(world, 1.0)
    born = world.add_endpoint("l0", born=5)
    born.reply = Reply(delay_s=0.2)
    world.run(1.5)
    _crowd(world, 3.0)
    assert len(born.calls) > 0


def test_peers_stop_sooner_and_who_lost_the_word_within_seconds():
    world, (leaving,) = _world(20, 2, 1)
    _leaves(leaving)
    world.network.drop_where(
        lambda sender, receiver, message: isinstance(message, EndpointUpdate) and receiver == "r007"
    )
    while not leaving.drain_words:
        world.ask(world.routers["r000"], "/look/x")
        world.run(0.05)
    world.run(0.3)
    assert sum("l0" in _knows(world, name) for name in world.routers) == 19
    world.network.mend_all()
    world.run(4.0)
    assert _knows(world, "r007") == {"l0"}


def test_routers_that_do_not_see_each_other_stop_each_by_itself():
    world, waiting = _world(12, 3, 2)
    names = list(world.routers)
    for number, one in enumerate(names):
        for other in names[:number]:
            world.network.cut(one, other)
    for router in world.routers.values():
        router.faults.is_down = True
    for each in waiting:
        _leaves(each)
    _crowd(world, 3.0)
    for each in waiting:
        assert sent_after_leaving(each) == []
        assert len(each.calls) <= 40  # each router until it has its first answer


def test_a_router_that_starts_is_told():
    world, (leaving,) = _world(4, 1, 1)
    _leaves(leaving)
    _crowd(world, 1.0)
    world.add_router("new")
    world.run(MembershipLimits().propagation_s + 0.1)
    assert _knows(world, "new") == {"l0"}


def test_an_old_word_of_a_lifetime_before_closes_nothing_new():
    world, _ = _world(2, 0, 0)
    world.add_endpoint("l0", born=5)
    world.run(1.2)
    sharing = world.routers["r000"].gateway.gate.sharing
    sharing.receive("r001", EndpointUpdate([], [DrainNotice("l0", 30.0), DrainNotice("l0@4", 9.0)]))
    ask = world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    assert ask.status == 200


def test_the_home_of_a_prompt_moves_on_at_every_router():
    world, _ = _world(4, 0, 3)
    router = world.routers["r000"].gateway
    home = router.directory.affinity_endpoint("svc", "part")
    _leaves(world.endpoints.by_address[home.entry.address])
    _crowd(world, 1.0)
    moved = {
        r.gateway.directory.affinity_endpoint("svc", "part").lifetime
        for r in world.routers.values()
    }
    assert len(moved) == 1
    assert home.lifetime not in moved


def test_requests_are_not_blamed_when_an_endpoint_that_said_it_leaves_ends_under_them():
    """They were held as if they had ended it, though it had only left before the registry knew."""
    world, (leaving,) = _world(1, 0, 1)
    _leaves(leaving)
    leaving.reply = Reply(events=100, gap_s=0.1)
    router = world.routers["r000"]
    for number in range(4):
        world.ask(router, "/draft/x", Prompt=f"p{number}:10,own:1")
    world.run(1.0)
    leaving.crash()
    world.run(1.0)
    assert router.gateway.crash_guard.watch.crashes == 0
    assert list(router.gateway.crash_guard.record.held(world.clock.seconds())) == []


# Rest


def test_the_latest_end_of_several_rests_counts_and_a_refusal_without_a_time_ends_none():
    closed = ClosedEndpoints("r1")
    closed.apply_backoff("l0", 5.0, 1, 0.0)
    closed.apply_backoff("l0", 2.0, 1, 1.0)
    assert not closed.note_answer("l0", 3.0)
    assert not closed.accepts("l0", 4.9)
    assert closed.accepts("l0", 5.1)


def test_it_binds_the_router_that_got_it_and_not_the_others():
    world, (resting,) = _world(2, 0, 1)
    resting.rests_s = 30.0
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    resting.rests_s = None
    world.run(1.5)
    ask = world.ask(world.routers["r001"], "/look/x")
    world.run(0.3)
    assert ask.status == 200
    assert world.ask(world.routers["r000"], "/look/x").status == 503


def test_after_it_one_call_goes_first_and_the_rest_once_that_is_answered():
    world, (resting,) = _world(1, 0, 1)
    resting.rests_s = 2.0
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    resting.rests_s = None
    world.run(2.1)
    calls = len(resting.calls)
    first = [world.ask(router, "/look/x").status for _ in range(5)]
    assert first == [None, 503, 503, 503, 503]
    assert len(resting.calls) == calls + 1
    world.run(0.3)
    assert [world.ask(router, "/look/x").status for _ in range(5)] == [None] * 5


def test_a_router_that_stood_still_goes_by_the_time_that_has_passed():
    world, (resting,) = _world(1, 0, 1, is_strict=False)
    resting.rests_s = 8.0
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    resting.rests_s = None
    router.clock.is_paused = True
    world.run(5.0)
    router.clock.is_paused = False
    router.clock.resume()
    assert world.ask(router, "/look/x").status == 503
    world.run(3.5)
    ask = world.ask(router, "/look/x")
    world.run(0.3)
    assert ask.status == 200


# When nothing is left


def test_where_all_leave_callers_are_refused_at_once_and_told_to_come_as_late_as_they_honour():
    world, waiting = _world(2, 0, 3)
    for each in waiting:
        _leaves(each)
    _crowd(world, 2.0)
    calls = sum(len(each.calls) for each in waiting)
    ask = world.ask(world.routers["r000"], "/look/x", Patience="9")
    assert ask.status == 503
    assert ask.reply.headers[b"Come-Back"] == b"3.000"
    world.run(10.0)
    assert sum(len(each.calls) for each in waiting) == calls


def test_where_all_rest_callers_are_told_when_the_first_rest_ends_and_come_spread():
    world, waiting = _world(1, 0, 3)
    for number, each in enumerate(waiting):
        each.rests_s = 2.0 + number
    _crowd(world, 0.4)
    began_s = min(at_s for each in waiting for _, at_s, _ in each.rest_words)
    asks = [world.ask(world.routers["r000"], "/look/x", Patience="30") for _ in range(50)]
    now_s = world.clock.seconds()
    assert {ask.status for ask in asks} == {503}
    backs_s = sorted(now_s + float(ask.reply.headers[b"Come-Back"]) for ask in asks)
    assert backs_s[0] >= began_s + 2.0
    assert backs_s[-1] <= began_s + 2.0 + RETRY_SPREAD_S + 0.1
    assert len({round(at_s, 2) for at_s in backs_s}) >= 20


def test_urgent_callers_are_told_to_come_first():
    routes = (make_route("look", priority=0), make_route("later", priority=5))
    world, (resting,) = _world(1, 0, 1)
    world.operator.put("config", make_direct_document(2, routes=routes))
    world.run(2.0)
    resting.rests_s = 3.0
    router = world.routers["r000"]
    world.ask(router, "/look/x")
    world.run(0.1)
    asks = {
        path: [world.ask(router, path, Patience="30") for _ in range(20)]
        for path in ("/look/x", "/later/x")
    }
    backs = {path: [float(ask.reply.headers[b"Come-Back"]) for ask in asks[path]] for path in asks}
    assert max(backs["/look/x"]) <= min(backs["/later/x"])


def test_bans_are_dropped_where_all_fail_but_no_word_is():
    world, (leaving, resting) = _world(1, 2, 2)
    _leaves(leaving)
    _rests(resting)
    _crowd(world, 2.0)
    for each in world.endpoints.by_address.values():
        if each not in (leaving, resting):
            each.reply = Reply(failure=CallFailure.NOT_SENT)
    _crowd(world, 3.0)
    _assert_kept([leaving, resting])


def test_in_a_large_service_those_that_are_open_are_found():
    world, waiting = _world(1, 3, 90)
    router = world.routers["r000"]
    refusal = ReplyHead(503, not_run=True, signals=HeadSignals(backoff_s=600.0))
    for number in range(len(waiting)):
        router.gateway.gate.apply_head(f"l{number}", refusal)
    asks = [world.ask(router, "/look/x") for _ in range(50)]
    world.run(1.0)
    assert {ask.status for ask in asks} == {200}


# Others


@SAYS
def test_the_only_endpoint_of_a_new_version_is_left_and_the_old_version_serves(say: Say):
    world, _ = _world(2, 4, 0)
    new = world.add_endpoint("n0", "v2")
    new.reply = Reply(delay_s=0.2)
    world.run(1.2)
    world.roll_out("v2", 30.0)
    _crowd(world, 4.0)
    assert len(new.calls) > 0
    say(new)
    _crowd(world, 2.0)
    calls = len(new.calls)
    asks = _crowd(world, 6.0)
    world.run(1.0)
    assert len(new.calls) == calls
    assert {ask.status for ask in asks} == {200}


def test_a_stream_that_broke_goes_on_elsewhere_than_where_it_leaves():
    world, _ = _world(1, 0, 0)
    first, second = world.add_endpoint("e0"), world.add_endpoint("e1")
    for each in (first, second):
        each.reply = Reply(events=6, break_after=2)
        _leaves(each)
    world.run(1.2)
    ask = world.ask(world.routers["r000"], "/draft/x", Prompt="p:10,own:1")
    world.run(3.0)
    assert ask.reply.is_over
    assert {len(first.calls), len(second.calls)} == {1}


def test_no_request_spends_its_tries_on_endpoints_that_wait():
    world, waiting = _world(1, 1, 8)
    for each in waiting:
        _rests(each)
    _crowd(world, 1.0)
    assert {len(each.calls) for each in waiting} <= {0, 1}
    asks = [world.ask(world.routers["r000"], "/order/x") for _ in range(20)]
    world.run(1.0)
    assert {ask.status for ask in asks} == {200}


@SAYS
def test_a_session_goes_on_at_the_other_version_when_its_only_endpoint_waits(say: Say):
    """As when that endpoint cannot be reached."""
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
    say(new)
    _crowd(world, 2.0)
    calls = len(new.calls)
    asks = []
    for name in names:
        asks.append(world.ask(router, "/look/x", Session_Name=name))
        world.run(0.05)
    world.run(1.0)
    assert len(new.calls) == calls
    assert {ask.status for ask in asks} == {200}


def test_it_is_known_from_a_model_that_lost():
    """The small model's answer is dropped; what its head said of the endpoint is kept."""
    world, endpoint = _one_router(Reply(events=4, confidence=1), _leaves)
    world.add_endpoint("e1").reply = Reply(events=4, confidence=99)
    world.run(1.2)
    for number in range(8):
        prompt = f"p{number}:3000,own:10"
        world.ask(world.routers["r000"], "/draft/x", Prompt=prompt, Any_Model="1")
    world.run(1.0)
    assert endpoint.cancelled
    assert _knows(world) == {"l0"}


def test_repeats_after_refusals_stay_within_the_budget_of_the_whole_fleet():
    """All refuse without a time, and each request would be sent three times."""
    world, endpoints = _world(6, 0, 12, slack=20.0)
    for each in endpoints:
        each.reply = Reply(status=503, delay_s=0.002, is_signed=False, not_run=True)
    asks = limits._crowd(world, 10.0, PRESS)
    calls = sum(len(each.calls) for each in endpoints)
    assert 0.5 * len(asks) <= calls - len(asks) <= 0.9 * len(asks) + 20.0
