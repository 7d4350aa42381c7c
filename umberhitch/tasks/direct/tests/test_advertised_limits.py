"""Rate limits that overloaded endpoints advertise, which all routers keep together.

Guards against routers that ignore an advertised limit or count only their own requests against it:
two of six engines advertised 1.6 and 2.5 requests per second, and received 20 and 23 in 4 s from
four routers that had forwarded such answers. The first test has this load.
"""

from collections.abc import Callable
from itertools import pairwise

import pytest

from umberhitch.core.direct import HeadSignals, Rate, ReplyHead, RouteKind
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.tasks.direct.membership import MembershipLimits
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing import (
    DirectWorld,
    limit_bound,
    make_direct_document,
    make_route,
    most_from_told,
    most_within,
)
from umberhitch.wire import EndpointUpdate

LIMIT_KNOWN_S = 0.5
"""Seconds after a router has forwarded an answer with a limit from which its calls count."""
SETTLED_S = 6.0
"""Seconds after which all routers have registered and know each other."""
STEP_S = 0.02


def _world(
    routers: int, free: int, limited: int, rate: float, **settings: object
) -> tuple[DirectWorld, list]:
    """Return a settled world, and its endpoints that advertise a limit from now on."""
    world = DirectWorld()
    limits = [world.add_endpoint(f"l{number}", zone="a") for number in range(limited)]
    for number in range(free):
        world.add_endpoint(f"f{number}", zone="b")
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=0.2)
    routes = (
        make_route("look"),
        make_route("order", RouteKind.NON_IDEMPOTENT),
        make_route("draft", RouteKind.STREAM, models=("small", "large")),
    )
    world.operator.put("config", make_direct_document(routes=routes))
    for number in range(routers):
        world.add_router(f"r{number:03d}", zone="c", **settings)
    world.run(SETTLED_S)
    for each in limits:
        each.limit_rate = rate
    return world, limits


def _send_traffic(
    world: DirectWorld, seconds: float, per_second: float, path: str = "/look/x"
) -> list:
    """Send requests to random routers; return them."""
    reqs, due = [], 0.0
    for _ in range(round(seconds / STEP_S)):
        due += per_second * STEP_S
        while due >= 1.0:
            due -= 1.0
            reqs.append(world.ask(world.routers[world.rng.choice(list(world.routers))], path))
        world.run(STEP_S)
    return reqs


def _assert_kept(world: DirectWorld, endpoint: FakeEndpoint, rate: float, since_s: float) -> None:
    assert most_within(endpoint, since_s) <= limit_bound(rate)


@pytest.mark.parametrize("rate", [1.6, 2.5])
def test_endpoints_that_advertise_a_limit_get_no_more_from_four_routers(rate: float):
    world, limited = _world(4, 4, 2, rate)
    known_s = world.clock.seconds() + 0.2 + LIMIT_KNOWN_S
    reqs = _send_traffic(world, 16.0, 40.0)
    for each in limited:
        _assert_kept(world, each, rate, known_s)
    assert [req.status for req in reqs[:-20]].count(200) == len(reqs) - 20


def _affinity_of_one_part(world: DirectWorld) -> None:
    """Send requests with a common prompt part, all of which prefer its affinity endpoint."""
    zones._set_replies(world, zones.STREAM)
    zones._send_many(world, "/draft/x", 120, Prompt="part:3000,own:10")


KINDS = (*zones.KINDS, _affinity_of_one_part)


@pytest.mark.parametrize("send", KINDS, ids=lambda send: send.__name__.strip("_"))
def test_no_kind_of_send_exceeds_an_advertised_limit(send: Callable[[DirectWorld], None]):
    rate = 0.5
    world = zones._world(2)
    limited = list(world.endpoints.by_address.values())
    world.run(SETTLED_S)
    for each in limited:
        each.limit_rate = rate
    _send_traffic(world, 1.0, 40.0)
    known_s = world.clock.seconds()
    for _ in range(3):
        send(world)
    for each in limited:
        _assert_kept(world, each, rate, known_s)


# How routers learn a limit


def _one_router(reply: Reply, rate: float | None = 2.0) -> tuple[DirectWorld, FakeEndpoint]:
    world, _ = _world(1, 0, 0, 0.0)
    endpoint = world.add_endpoint("l0")
    endpoint.reply, endpoint.limit_rate = reply, rate
    world.run(1.2)
    return world, endpoint


def _known(world: DirectWorld, name: str = "r000") -> dict[str, float]:
    limits = world.routers[name].gateway.gate.limits
    return {lifetime: limit.rate for lifetime, limit in limits}


@pytest.mark.parametrize(
    ("path", "reply"),
    [
        ("/look/x", Reply()),
        ("/look/x", Reply(status=500)),
        ("/look/x", Reply(status=404)),
        ("/look/x", Reply(status=503, not_run=True, is_signed=False)),
        ("/look/x", Reply(status=421, not_run=True)),
        ("/look/x", Reply(is_signed=False)),
        ("/order/x", Reply()),
        ("/draft/x", Reply(events=4)),
        ("/draft/x", Reply(events=4, break_after=1)),
    ],
    ids=str,
)
def test_a_limit_is_known_from_any_answer(path: str, reply: Reply):
    world, _ = _one_router(reply)
    world.ask(world.routers["r000"], path, Prompt="p:10,own:1")
    world.run(0.05)
    assert _known(world) == {"l0": 2.0}


def test_a_limit_is_known_from_the_head_of_a_stream():
    world, _ = _one_router(Reply(events=100, gap_s=0.1))
    req = world.ask(world.routers["r000"], "/draft/x", Prompt="p:10,own:1")
    world.run(0.05)
    assert _known(world) == {"l0": 2.0}
    assert not req.reply.is_over


def test_a_limit_is_known_from_a_late_reply_to_another_call():
    world, _ = _one_router(Reply(is_silent=True))
    world.ask(world.routers["r000"], "/order/x")
    world.run(0.02)
    (proxied_request,) = world.routers["r000"].gateway.running_requests
    proxied_request.on_late_head(ReplyHead(200, signals=HeadSignals(limit=Rate(3.0))))
    assert _known(world) == {"l0": 3.0}


def test_a_limit_of_another_process_at_the_address_is_ignored():
    world, _ = _one_router(Reply(status=421, not_run=True, is_elsewhere=True))
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.05)
    assert _known(world) == {}


def test_a_malformed_limit_changes_nothing():
    odd = Reply(is_limit_unclear=True)
    world, endpoint = _one_router(odd, None)
    reqs = [world.ask(world.routers["r000"], "/look/x") for _ in range(20)]
    world.run(0.1)
    assert [req.status for req in reqs] == [200] * 20
    assert _known(world) == {}
    endpoint.limit_rate, endpoint.reply = 2.0, Reply()
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.05)
    endpoint.limit_rate, endpoint.reply = None, odd
    world.run(4.0)
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.05)
    assert _known(world) == {"l0": 2.0}


@pytest.mark.parametrize("rate", [0.0, 1e6])
def test_a_limit_of_zero_is_rechecked_now_and_then_and_a_high_one_has_no_effect(rate):
    world, endpoint = _one_router(Reply(), rate)
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    start_s = world.clock.seconds()
    _send_traffic(world, 25.0, 20.0)
    calls = sum(at_s > start_s for at_s in endpoint.called_s)
    assert (2 <= calls <= 4) if rate == 0.0 else calls >= 490


def test_a_refusal_without_a_limit_does_not_end_the_limit():
    """Otherwise a full endpoint that refuses without a limit ends the limit with each refusal."""
    world, endpoint = _one_router(Reply())
    world.ask(world.routers["r000"], "/look/x")
    world.run(4.1)
    endpoint.limit_rate, endpoint.reply = None, Reply(status=503, not_run=True, is_signed=False)
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    assert _known(world) == {"l0": 2.0}
    endpoint.reply = Reply()
    world.run(4.1)
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.1)
    assert _known(world) == {}


def test_the_limit_ends_when_no_longer_advertised():
    world, limited = _world(6, 1, 1, 2.0)
    _send_traffic(world, 3.0, 40.0)
    assert all(_known(world, name) == {"l0": 2.0} for name in world.routers)
    limited[0].limit_rate = None
    _send_traffic(world, 3.0, 40.0)
    assert all(_known(world, name) == {} for name in world.routers)


def test_a_new_lifetime_starts_without_a_limit():
    world, _ = _world(2, 1, 1, 2.0)
    _send_traffic(world, 2.0, 40.0)
    assert _known(world) == {"l0": 2.0}
    world.add_endpoint("l0", born=5)
    world.run(1.5)
    assert _known(world) == {}


def test_peers_learn_the_limit_at_once_or_after_a_lost_message_within_seconds():
    world, _ = _world(20, 0, 1, 2.0)
    world.network.drop_where(
        lambda sender, receiver, message: isinstance(message, EndpointUpdate) and receiver == "r007"
    )
    world.ask(world.routers["r000"], "/look/x")
    world.run(0.3)
    assert sum(bool(_known(world, name)) for name in world.routers) == 19
    world.network.mend_all()
    world.run(4.0)
    assert _known(world, "r007") == {"l0": 2.0}


def test_a_limit_that_often_ends_and_returns_is_not_sent_each_time():
    world, limited = _world(4, 0, 1, 50.0)
    updates = []
    world.network.drop_where(
        lambda sender, receiver, message: isinstance(message, EndpointUpdate)
        and updates.append(1) is None
    )
    for number in range(100):
        limited[0].limit_rate = None if number % 2 else 50.0
        for router in world.routers.values():
            world.ask(router, "/look/x")
        world.run(0.1)
    seconds, routers, at_once, resent = 10, 4, 3, 2
    assert len(updates) <= (seconds + 1) * routers * (at_once + resent)


def test_a_router_that_starts_learns_the_limit():
    world, _ = _world(4, 1, 1, 2.0)
    _send_traffic(world, 1.0, 40.0)
    world.add_router("new")
    world.run(MembershipLimits().propagation_s + 0.1)
    assert _known(world, "new") == {"l0": 2.0}


# Over all routers


def _play(world: DirectWorld, limited: list[FakeEndpoint], rate: float, seconds: float) -> None:
    """Let the routers learn the limits, then send requests, and check the bound."""
    _send_traffic(world, 0.6, 100.0)
    known_s = world.clock.seconds()
    _send_traffic(world, seconds, 100.0)
    for each in limited:
        _assert_kept(world, each, rate, known_s)


@pytest.mark.parametrize("rate", [0.4, 2.3, 8.0])
@pytest.mark.parametrize("routers", [1, 6, 30])
def test_the_limit_is_kept_and_used_by_any_number_of_routers(routers: int, rate: float):
    world, limited = _world(routers, 2, 1, rate)
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=0.5)
    _send_traffic(world, 3.0, 100.0)
    known_s = world.clock.seconds()
    _send_traffic(world, 16.0, 100.0)
    _assert_kept(world, limited[0], rate, known_s)
    used = sum(at_s >= known_s for at_s in limited[0].called_s)
    assert used >= 0.8 * rate * 16.0 - 1


def test_routers_cut_off_from_each_other_keep_the_limit_together():
    world, limited = _world(20, 1, 2, 1.6)
    names = list(world.routers)
    for number, one in enumerate(names):
        for other in names[:number]:
            world.network.cut(one, other)
    since_s = world.clock.seconds()
    _send_traffic(world, 12.6, 100.0)
    for each in limited:
        assert most_from_told(each, since_s, LIMIT_KNOWN_S) <= limit_bound(1.6)
        assert len(each.limit_words) > 20  # other routers learn the limit by calls of their own


def test_routers_cut_off_from_the_store_keep_the_limit_with_the_others():
    world, limited = _world(20, 1, 2, 2.3)
    names = list(world.routers)
    for name in names[:10]:
        world.routers[name].faults.is_down = True
        world.members.drop(name)
        for other in names[10:]:
            world.network.cut(name, other)
    world.run(3.0)
    _play(world, limited, 2.3, 16.0)


def test_without_the_store_half_of_the_limit_is_still_used():
    """Registrations expire 9 s after the last reply of the store; the last list is kept."""
    world, limited = _world(6, 1, 1, 8.0, is_strict=False)
    for each in world.endpoints.by_address.values():
        each.reply = Reply(delay_s=0.5)
    _send_traffic(world, 1.0, 100.0)
    for router in world.routers.values():
        router.faults.is_down = True
    world.run(12.0)
    since_s = world.clock.seconds()
    _send_traffic(world, 8.0, 100.0)
    _assert_kept(world, limited[0], 8.0, since_s)
    assert sum(at_s >= since_s for at_s in limited[0].called_s) >= 0.5 * 8.0 * 8.0


def test_calls_that_run_when_the_limit_is_received_count():
    """After a burst sent before the limit was known, no more is sent than the rate allows."""
    world, limited = _world(1, 0, 1, 3.0)
    router = world.routers["r000"]
    for _ in range(30):
        world.ask(router, "/look/x")
    world.run(0.21)
    assert _known(world) == {"l0": 3.0}
    received_s = world.clock.seconds()
    _send_traffic(world, 1.0, 50.0)
    assert sum(at_s >= received_s for at_s in limited[0].called_s) <= 3.0 * 1.0


def test_routers_that_start_and_stop_keep_the_limit():
    world, limited = _world(12, 1, 2, 2.0)
    _send_traffic(world, 0.6, 100.0)
    known_s = world.clock.seconds()
    for number in range(10):
        world.kill_router(f"r{number:03d}")
        world.add_router(f"n{number:03d}", zone="c")
        _send_traffic(world, 1.5, 100.0)
    for each in limited:
        _assert_kept(world, each, 2.0, known_s)


def test_after_the_loss_of_all_routers_the_limit_is_kept():
    """Each router learns the limit from its own first answers, and has just registered."""
    world, limited = _world(20, 2, 2, 2.0)
    _send_traffic(world, 2.0, 100.0)
    for name in list(world.routers):
        world.kill_router(name)
    world.run(1.0)
    for number in range(20):
        world.add_router(f"r{number:03d}", zone="c")
    _send_traffic(world, 1.0, 100.0)
    known_s = world.clock.seconds()
    _send_traffic(world, 9.0, 100.0)
    for each in limited:
        _assert_kept(world, each, 2.0, known_s)


def test_a_router_that_was_frozen_sends_nothing_until_its_rank_is_known():
    world, limited = _world(1, 1, 1, 4.0, is_strict=False)
    _send_traffic(world, 2.0, 40.0)
    router = world.routers["r000"]
    router.clock.is_paused = True
    world.run(12.0)
    calls = len(limited[0].calls)
    reqs = [world.ask(router, "/look/x") for _ in range(20)]
    assert len(limited[0].calls) == calls
    router.clock.is_paused = False
    router.clock.resume()
    world.run(1.0)
    assert {req.status for req in reqs} == {200}


@pytest.mark.parametrize("rates", [(8.0, 1.0), (1.0, 8.0), (4.0, None), (6.0, 4.0, 2.0, 0.5)])
def test_the_maximum_of_a_rate_that_changes_each_second_is_kept(rates: tuple):
    """Requests sent at a high rate still count after the rate falls."""
    world, limited = _world(8, 2, 1, rates[0])
    _send_traffic(world, 0.6, 100.0)
    known_s = world.clock.seconds()
    max_rate = max(rate for rate in rates if rate is not None)
    for second in range(16):
        limited[0].limit_rate = rates[second % len(rates)]
        _send_traffic(world, 1.0, 60.0)
    if None not in rates:
        _assert_kept(world, limited[0], max_rate, known_s)


def test_a_rate_that_has_fallen_is_kept_after_the_contact_time():
    world, limited = _world(8, 2, 1, 10.0)
    _send_traffic(world, 5.0, 100.0)
    limited[0].limit_rate = 1.0
    _send_traffic(world, 3.0, 100.0)
    fallen_s = world.clock.seconds()
    _send_traffic(world, 10.0, 100.0)
    _assert_kept(world, limited[0], 1.0, fallen_s)


def test_the_limit_is_kept_with_lost_and_late_messages():
    world, limited = _world(20, 1, 2, 2.0)
    world.network.faults.drop = 0.3
    world.network.faults.late = 0.3
    world.network.faults.repeat = 0.1
    _play(world, limited, 2.0, 12.0)


# Replies to callers


def test_requests_over_all_limits_are_refused_at_once_with_a_retry_time():
    world, _ = _world(1, 0, 1, 2.0)
    _send_traffic(world, 4.0, 20.0)
    router = world.routers["r000"]
    reqs = [world.ask(router, "/order/x", Patience="30") for _ in range(6)]
    refused = [req for req in reqs if req.status == 503]
    assert len(refused) >= 5
    waits = [float(req.reply.headers[b"Come-Back"]) for req in refused]
    assert all(later - sooner >= 0.4 for sooner, later in pairwise(waits) if later < 10.0)
    assert waits[-1] <= 10.0


def test_a_refusal_for_another_reason_has_a_short_retry_time():
    """One endpoint advertises a limit; the other can't be reached, and is back soon."""
    world, _ = _world(1, 1, 1, 0.2)
    _send_traffic(world, 2.0, 20.0)
    world.endpoints.by_address["@f0"].reply = Reply(failure=CallFailure.NOT_SENT)
    reqs = [world.ask(world.routers["r000"], "/look/x", Patience="30") for _ in range(4)]
    world.run(0.2)
    refused = [req for req in reqs if req.status == 503]
    assert len(refused) >= 3
    assert {req.reply.headers[b"Come-Back"] for req in refused} == {b"0.100"}


def test_requests_over_the_limit_go_to_the_other_endpoints():
    world, _ = _world(6, 1, 1, 1.0)
    reqs = _send_traffic(world, 6.0, 60.0)
    assert {req.status for req in reqs[:-60]} == {200}


def test_urgent_work_goes_first():
    """After a refusal of urgent requests for lack of quota, quota is reserved for them."""
    world = DirectWorld()
    endpoint = world.add_endpoint("l0")
    endpoint.limit_rate = 2.0
    routes = (make_route("urgent", priority=0), make_route("later", priority=5))
    world.operator.put("config", make_direct_document(routes=routes))
    router = world.add_router("r000")
    world.run(SETTLED_S)
    served = {"urgent": [], "later": []}
    for _ in range(200):
        served["later"] += [world.ask(router, "/later/x") for _ in range(2)]
        served["urgent"].append(world.ask(router, "/urgent/x"))
        world.run(0.1)
    done = {what: sum(req.status == 200 for req in reqs) for what, reqs in served.items()}
    assert done["urgent"] + done["later"] >= 0.8 * 2.0 * 20.0
    assert done["urgent"] >= 0.1 * (done["urgent"] + done["later"])


def test_a_stream_that_can_be_resumed_elsewhere_does_not_wait_for_quota():
    world, _ = _world(1, 1, 1, 0.2)
    _send_traffic(world, 1.0, 20.0)
    for each in world.endpoints.by_address.values():
        each.reply = Reply(events=6, gap_s=0.05)
        each.replies = [Reply(events=6, gap_s=0.05, break_after=2)] * 3
    req = world.ask(world.routers["r000"], "/draft/x", Prompt="part:3000,own:10", Patience="4")
    world.run(4.5)
    assert req.reply.is_over


# No cost


def test_without_a_limit_nothing_is_counted_or_sent():
    world, _ = _world(4, 2, 0, 0.0)
    updates = []
    world.network.drop_where(
        lambda sender, receiver, message: isinstance(message, EndpointUpdate)
        and updates.append(1) is None
    )
    _send_traffic(world, 2.0, 50.0)
    assert updates == []
    for router in world.routers.values():
        assert router.gateway.gate.shares._send_times == {}
        assert not router.gateway.gate.limits.recently_ended(world.clock.seconds())
