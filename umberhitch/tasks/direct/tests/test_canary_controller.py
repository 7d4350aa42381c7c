"""Canary roll-outs: good versions complete in time, bad ones are rolled back soon."""

from itertools import pairwise

import pytest

from umberhitch.core.direct import AnswerVerdict, Canary, CanaryLimits, RolloutOrder, RolloutState
from umberhitch.fakes import Reply, StoreFaults
from umberhitch.testing import DirectWorld, make_direct_document

ERROR = Reply(status=500, body=b"error")
DURATION_S = 20.0


def _world(routers: int = 3) -> DirectWorld:
    world = DirectWorld()
    for name in ("e1", "e2", "e3"):
        world.add_endpoint(name)
    world.operator.put("config", make_direct_document())
    for number in range(routers):
        world.add_router(f"r{number}")
    world.run(2.0)
    return world


def _start_rollout(world: DirectWorld, reply: Reply) -> None:
    for name in ("n1", "n2"):
        world.add_endpoint(name, "v2").reply = reply
    world.run(1.2)
    world.roll_out("v2", DURATION_S)


def _send_traffic(world: DirectWorld, seconds: float, names: list[str] | None = None) -> None:
    for turn in range(round(seconds / 0.05)):
        alive = names or list(world.routers)
        router = world.routers[alive[turn % len(alive)]]
        world.ask(router, "/look/x", Session_Name=f"s{turn % 60}")
        world.run(0.05)


def _canary() -> Canary:
    return Canary(RolloutOrder("svc", "v2", 20.0), 0.0, CanaryLimits())


def _calls_by_version(world: DirectWorld) -> tuple[int, int]:
    old = sum(len(world.endpoints.by_address[f"@{n}"].calls) for n in ("e1", "e2", "e3"))
    new = sum(len(world.endpoints.by_address[f"@{n}"].calls) for n in ("n1", "n2"))
    return old, new


def test_a_good_version_is_completed_before_its_time_is_over():
    world = _world()
    _start_rollout(world, Reply())
    _send_traffic(world, 0.98 * DURATION_S)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.COMPLETED)
    states = [state for _, _, state in world.statuses]
    assert states == [RolloutState.IN_PROGRESS, RolloutState.COMPLETED]


def test_a_bad_version_is_rolled_back_and_gets_no_more_requests():
    world = _world()
    _start_rollout(world, ERROR)
    _send_traffic(world, 10.0)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.ROLLED_BACK)
    old, new = _calls_by_version(world)
    assert new <= 0.15 * (old + new) + 5
    _send_traffic(world, 10.0)
    assert _calls_by_version(world)[1] == new


def test_a_bad_version_is_stopped_while_the_store_is_unavailable():
    world = _world()
    _start_rollout(world, ERROR)
    world.run(0.5)
    for router in world.routers.values():
        router.faults.is_down = True
    _send_traffic(world, 3.5)
    new = _calls_by_version(world)[1]
    for router in world.routers.values():
        router.faults.is_down = False
    _send_traffic(world, 4.0)
    assert _calls_by_version(world)[1] <= new + 4
    assert world.statuses[-1] == ("svc", "v2", RolloutState.ROLLED_BACK)


def test_the_loss_of_any_router_does_not_stop_a_roll_out():
    world = _world()
    _start_rollout(world, Reply())
    _send_traffic(world, 8.0)
    killed = world.routers["r0"]
    killed.gateway.stop()
    killed.trials.stop()
    killed.peers.stop()
    world.network.unplug("r0")
    _send_traffic(world, 11.6, ["r1", "r2"])
    assert world.statuses[-1] == ("svc", "v2", RolloutState.COMPLETED)


def test_a_final_state_is_written_once_though_its_answer_was_lost():
    world = _world()
    _start_rollout(world, ERROR)
    world.run(0.3)
    for router in world.routers.values():
        router.faults.lose_answers = 1
    _send_traffic(world, 10.0)
    finals = [row for row in world.statuses if row[2] is RolloutState.ROLLED_BACK]
    assert len(finals) == 1


def test_a_restarted_router_learns_what_was_decided():
    world = _world()
    _start_rollout(world, ERROR)
    _send_traffic(world, 8.0)
    new = _calls_by_version(world)[1]
    world.add_router("r9")
    world.run(1.0)
    _send_traffic(world, 4.0, ["r9"])
    assert _calls_by_version(world)[1] == new


def test_a_session_keeps_its_version_in_the_first_half_and_moves_once():
    world = _world()
    _send_traffic(world, 4.0)
    seen: dict[str, list[str]] = {}
    _start_rollout(world, Reply())
    for turn in range(round(0.95 * DURATION_S / 0.05)):
        name = f"s{turn % 60}"
        router = list(world.routers.values())[turn % 60 % 3]
        req = world.ask(router, "/look/x", Session_Name=name)
        world.run(0.05)
        for address, endpoint in world.endpoints.by_address.items():
            if req.call_id in endpoint.ran:
                seen.setdefault(name, []).append("new" if address.startswith("@n") else "old")
    assert seen
    for versions in seen.values():
        moves = sum(one != other for one, other in pairwise(versions))
        assert moves <= 1
        assert versions == sorted(versions, reverse=True) or "new" not in versions


def test_a_restarted_router_sends_nothing_to_a_new_version_before_it_knows_what_was_decided():
    world = _world()
    _start_rollout(world, ERROR)
    _send_traffic(world, 8.0)
    new = _calls_by_version(world)[1]
    for router in world.routers.values():
        router.peers.stop()
    world.add_router("r9", status_faults=StoreFaults(is_down=True))
    world.run(0.1)
    _send_traffic(world, 3.0, ["r9"])
    assert _calls_by_version(world)[1] == new


def test_a_small_rate_of_failures_is_detected_against_a_version_without_failures():
    """7.6 % of the answers failed, 18 of 235 against 0 of 711, which is below the threshold for the
    rate; such a version received 700 of 2,080 requests."""
    canary = _canary()
    for number in range(711):
        canary.count_answer(False, "draft", f"e{number % 4}", AnswerVerdict.GOOD, 0.0)
    found = 0
    for number in range(235):
        verdict = AnswerVerdict.GOOD if number % 13 else AnswerVerdict.FAILED
        canary.count_answer(True, "draft", f"n{number % 4}", verdict, 0.0)
        found = found or (number if canary.is_failing() else 0)
    assert 0 < found < 120


def test_the_usual_rate_of_failures_rolls_no_version_back():
    canary = _canary()
    for number in range(2000):
        old = AnswerVerdict.GOOD if number % 7 else AnswerVerdict.FAILED
        new = AnswerVerdict.GOOD if (number + 4) % 7 else AnswerVerdict.FAILED
        canary.count_answer(False, "look", f"e{number % 4}", old, 0.0)
        canary.count_answer(True, "look", f"n{number % 4}", new, 0.0)
        assert not canary.is_failing()


def _count_answers(
    canary: Canary, is_target: bool, verdicts: list[AnswerVerdict], now_s: float = 1.0
) -> None:
    for number, verdict in enumerate(verdicts):
        name = "n" if is_target else "e"
        canary.count_answer(is_target, "draft", f"{name}{number % 4}", verdict, now_s)


def test_lost_endpoints_roll_no_version_back():
    """Two crashes broke off three of fifteen answers of a good version."""
    canary = _canary()
    _count_answers(canary, False, [AnswerVerdict.GOOD] * 200)
    _count_answers(canary, True, [AnswerVerdict.GOOD] * 12)
    _count_answers(canary, True, [AnswerVerdict.BROKEN] * 12)
    assert canary.pooled_counts(True).broken == 4
    assert not canary.is_failing()


def test_a_version_that_keeps_breaking_off_answers_is_rolled_back():
    canary = _canary()
    _count_answers(canary, False, [AnswerVerdict.GOOD] * 200)
    _count_answers(canary, True, [AnswerVerdict.GOOD] * 12)
    for second in range(2):
        _count_answers(canary, True, [AnswerVerdict.BROKEN] * 4, now_s=2.0 + 1.5 * second)
    assert canary.is_failing()


def test_a_slow_version_is_not_hidden_by_answers_too_short_for_a_verdict():
    """4 of 15 answers were slow, but only 7 were long enough for a latency verdict."""
    canary = _canary()
    _count_answers(canary, False, [AnswerVerdict.GOOD] * 90 + [AnswerVerdict.SLOW] * 5)
    _count_answers(canary, True, [AnswerVerdict.UNPACED] * 8 + [AnswerVerdict.GOOD] * 3)
    assert not canary.is_failing()
    _count_answers(canary, True, [AnswerVerdict.SLOW] * 4)
    assert canary.is_failing()


def test_answers_slowed_by_load_roll_no_version_back():
    """17 of 163 answers were slow against 11 of 311, because of a burst."""
    canary = _canary()
    _count_answers(canary, False, [AnswerVerdict.GOOD] * 300 + [AnswerVerdict.SLOW] * 11)
    _count_answers(canary, True, [AnswerVerdict.GOOD] * 146 + [AnswerVerdict.SLOW] * 17)
    assert not canary.is_failing()


def test_the_load_test_rolls_no_version_back():
    """13 of 41 answers of the loaded endpoint took over four times as long as usual, and a good
    version was rolled back in 3 of 4 runs."""
    world = _world()
    for name in ("e1", "e2", "e3"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(delay_s=0.02)
    _start_rollout(world, Reply(delay_s=0.02))
    _send_traffic(world, 0.51 * DURATION_S)
    for name in ("n1", "n2"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(delay_s=0.15)
    _send_traffic(world, 0.11 * DURATION_S)
    for name in ("n1", "n2"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(delay_s=0.02)
    _send_traffic(world, 0.36 * DURATION_S)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.COMPLETED)


def test_good_answers_of_a_plain_service_count():
    world = _world()
    _start_rollout(world, Reply())
    for name in ("n1", "n2", "e1", "e2", "e3"):
        world.endpoints.by_address[f"@{name}"].replies = [ERROR]
    _send_traffic(world, 0.98 * DURATION_S)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.COMPLETED)


def test_a_slow_version_is_rolled_back():
    world = _world()
    for _ in range(20):  # the usual latency, without sessions that stay on the old version
        for router in world.routers.values():
            world.ask(router, "/look/x")
        world.run(0.05)
    _start_rollout(world, Reply(delay_s=0.5))
    _send_traffic(world, 9.0)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.ROLLED_BACK)


def test_a_version_with_slow_streams_is_rolled_back_before_they_end():
    """The replies started in time, but their events arrived 8 times more slowly."""
    world = _world()
    for name in ("e1", "e2", "e3"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(events=30, gap_s=0.02)

    def send_drafts(seconds: float) -> None:
        for turn in range(round(seconds / 0.05)):
            world.ask(list(world.routers.values())[turn % 3], "/draft/x")
            world.run(0.05)

    send_drafts(2.0)
    _start_rollout(world, Reply(events=30, gap_s=0.16))
    send_drafts(9.0)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.ROLLED_BACK)


def test_a_session_that_started_without_the_new_version_stays_on_the_old_one():
    """Its draw was within the traffic share, but the new version had no registered endpoint yet."""
    world = _world(1)
    router = world.routers["r0"]
    world.roll_out("v2", DURATION_S)
    world.run(0.5)
    sessions = [f"s{number}" for number in range(100)]
    for session in sessions:
        world.ask(router, "/look/x", Session_Name=session)
    world.run(0.1)
    for name in ("n1", "n2"):
        world.add_endpoint(name, "v2")
    world.run(1.5)
    for session in sessions:
        world.ask(router, "/look/x", Session_Name=session)
    world.run(0.1)
    assert _calls_by_version(world) == (200, 0)


def test_a_session_that_changes_routers_stays_on_its_version():
    world = _world(2)
    sessions = [f"s{number}" for number in range(100)]
    for session in sessions:
        world.ask(world.routers["r0"], "/look/x", Session_Name=session)
    _start_rollout(world, Reply())
    world.run(0.6)
    for session in sessions:
        world.ask(world.routers["r1"], "/look/x", Session_Name=session)
    world.run(0.1)
    assert _calls_by_version(world)[1] == 0


def test_a_version_that_fails_only_under_load_is_detected_with_little_exposure():
    """Such a version answered well at its usual share and was declared good."""
    world = _world()
    for name in ("e1", "e2", "e3"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(delay_s=0.4)
    _start_rollout(world, Reply(delay_s=0.4))
    loaded = [world.endpoints.by_address[f"@{name}"] for name in ("n1", "n2")]
    for endpoint in loaded:
        endpoint.fails_over = 3
    _send_traffic(world, 0.9 * DURATION_S)
    assert world.statuses[-1] == ("svc", "v2", RolloutState.ROLLED_BACK)
    old, new = _calls_by_version(world)
    assert new <= 0.15 * (old + new)


def test_a_fully_loaded_version_gets_all_work_once_the_exposure_bound_covers_it():
    """All work moved to it at 0.62 of the roll-out: it had half of all requests by the deadline,
    and nobody could know whether it would turn bad."""
    world = _world()
    for name in ("e1", "e2", "e3"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(delay_s=0.4)
    _start_rollout(world, Reply(delay_s=0.4))
    _send_traffic(world, 0.955 * DURATION_S)
    old, new = _calls_by_version(world)
    _send_traffic(world, 0.045 * DURATION_S)
    assert _calls_by_version(world)[0] == old
    assert _calls_by_version(world)[1] > new
    old, new = _calls_by_version(world)
    assert new <= 0.15 * (old + new) + 30
    assert world.statuses[-1] == ("svc", "v2", RolloutState.COMPLETED)


def test_a_version_without_load_test_stays_within_the_exposure_bound():
    """With too little traffic to load one endpoint to three quarters, a version that fails only
    under load received 333 of 580 requests, where 117 are allowed."""
    world = _world()
    _start_rollout(world, Reply())
    for turn in range(round(0.99 * DURATION_S / 0.04)):
        world.ask(list(world.routers.values())[turn % 3], "/look/x")
        world.run(0.04)
    old, new = _calls_by_version(world)
    assert new <= 0.15 * (old + new) + 30
    assert world.statuses[-1] == ("svc", "v2", RolloutState.COMPLETED)


def test_a_session_that_moved_for_the_load_test_does_not_move_back_at_any_router():
    """The traffic share falls after the load test. Without reports, other routers then send these
    sessions back, which violates PINNED."""
    world = _world()
    _start_rollout(world, Reply())
    seen: dict[str, list[str]] = {}
    for turn in range(round(0.9 * DURATION_S / 0.05)):
        name = f"s{turn % 60}"
        router = list(world.routers.values())[turn % 7 % 3]
        req = world.ask(router, "/look/x", Session_Name=name)
        world.run(0.05)
        for address, endpoint in world.endpoints.by_address.items():
            if req.call_id in endpoint.ran:
                seen.setdefault(name, []).append("new" if address.startswith("@n") else "old")
    assert any(versions[-1] == "new" for versions in seen.values())
    for versions in seen.values():
        assert "old" not in versions[versions.index("new") :] if "new" in versions else True


def test_a_moved_session_is_known_at_once_to_many_routers():
    """With 28 peers each gets a report every 0.9 s; sessions with earlier requests moved back."""
    world = _world(24)
    _start_rollout(world, Reply())
    world.run(0.52 * DURATION_S)
    for session in range(40):
        moved = world.ask(world.routers["r0"], "/look/x", Session_Name=f"m{session}")
        world.run(0.1)
        later = world.ask(world.routers["r20"], "/look/x", Session_Name=f"m{session}")
        world.run(0.02)
        assert moved.status == later.status == 200
        ran = [_version(world, each.call_id) for each in (moved, later)]
        assert ran != ["v2", "v1"]


def _version(world: DirectWorld, call_id: str) -> str:
    names = [n for n in ("n1", "n2") if call_id in world.endpoints.by_address[f"@{n}"].ran]
    return "v2" if names else "v1"


@pytest.mark.parametrize("is_peer", [False, True])
def test_the_session_timeout_runs_from_the_end_of_the_last_request(is_peer):
    """Otherwise, after a stream of some seconds, a session counts as a new one and moves to the new
    version in the first half."""
    world = _world(2)
    for name in ("e1", "e2", "e3"):
        world.endpoints.by_address[f"@{name}"].reply = Reply(events=120, gap_s=0.05)
    sessions = [f"s{number}" for number in range(200)]
    for session in sessions:
        world.ask(world.routers["r0"], "/draft/x", Session_Name=session)
    world.run(5.0)
    _start_rollout(world, Reply(events=1))
    world.run(2.0)  # the streams ran for 6 s and ended 2.2 s ago
    router = world.routers["r1" if is_peer else "r0"]
    for session in sessions:
        world.ask(router, "/draft/x", Session_Name=session)
    world.run(0.1)
    assert _calls_by_version(world) == (400, 0)


def test_a_session_keeps_its_version_at_another_router_just_after_the_order():
    """With 23 peers a report is sent every 0.7 s. Until the first one after the order, reports do
    not show the other routers which sessions are on the old version."""
    world = _world(24)
    sessions = [f"s{number}" for number in range(200)]
    for session in sessions:
        world.ask(world.routers["r0"], "/look/x", Session_Name=session)
    _start_rollout(world, Reply())
    world.run(0.1)
    for session in sessions:
        world.ask(world.routers["r20"], "/look/x", Session_Name=session)
    world.run(0.1)
    assert _calls_by_version(world) == (400, 0)


def test_a_new_version_gets_no_requests_until_all_routers_have_reported_their_sessions():
    world = _world()
    _start_rollout(world, Reply())
    _send_traffic(world, 0.9 * CanaryLimits().settle_s)
    assert _calls_by_version(world)[1] == 0
    _send_traffic(world, 0.4 * DURATION_S)
    assert _calls_by_version(world)[1] > 0


# In a burst after all work had moved, another router would have sent a moved session back.
def test_no_session_moves_back_once_all_work_has_moved():
    canary, now_s = _canary(), 0.96 * 20.0
    assert canary.takes_all_traffic(now_s)
    assert canary.routes_to_target("s1", 0.9, now_s, max_share=0.0)
    assert not canary.routes_to_target(None, 0.9, now_s, max_share=0.0)
