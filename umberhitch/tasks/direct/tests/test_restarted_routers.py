"""Sessions keep their version over restarts of routers in a roll-out."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import RolloutState
from umberhitch.testing import DirectWorld, SessionPlay, make_direct_document
from umberhitch.wire import CanaryUpdate, Message, PeerReport, RecoveryReply

MAX_CHANGES = 3
"""The users' bound, where messages are lost or processes killed."""
MAX_START_S = 0.4
SESSION_S = 5.0


def _one(play: SessionPlay) -> None:
    play.restart("r0", 11.4)


def _later(play: SessionPlay) -> None:
    play.restart("r0", 14.0)


def _before_all_work_moves(play: SessionPlay) -> None:
    play.restart("r0", 18.5)


def _in_turn(play: SessionPlay) -> None:
    for number in range(play.routers):
        play.restart(f"r{number}", 9.0 + 4.5 * number)


def _second_as_first_is_back(play: SessionPlay) -> None:
    play.restart("r0", 11.4)
    play.restart("r1", 14.6)


def _overlapping(play: SessionPlay) -> None:
    play.restart("r0", 11.4)
    play.restart("r1", 12.0)


def _twice(play: SessionPlay) -> None:
    play.restart("r0", 10.5)
    play.restart("r0", 14.5)


def _first_half(play: SessionPlay) -> None:
    play.restart("r0", 3.0)
    play.restart("r1", 7.0)


def _before_the_order(play: SessionPlay) -> None:
    play.restart("r0", -3.5)


def _around_the_order(play: SessionPlay) -> None:
    play.restart("r0", -1.0)


SHAPES = pytest.mark.parametrize(
    "plan",
    [
        _one,
        _later,
        _before_all_work_moves,
        _in_turn,
        _second_as_first_is_back,
        _overlapping,
        _twice,
        _first_half,
        _before_the_order,
        _around_the_order,
    ],
    ids=lambda plan: plan.__name__.strip("_"),
)


# The next process went by the draw: sessions that its predecessor had moved went back.
@SHAPES
@pytest.mark.parametrize("routers", [2, 4])
def test_sessions_keep_their_version_over_planned_restarts(
    plan: Callable[[SessionPlay], None], routers: int
):
    play = SessionPlay(1, routers=routers)
    plan(play)
    play.play()
    assert play.changes == []
    assert play.moved > 0
    assert play.state() is RolloutState.COMPLETED


# With many routers reports are rare: the last words of a process have to do.
def test_sessions_keep_their_version_as_all_of_many_routers_restart_in_turn():
    play = SessionPlay(1, routers=12, sessions=240, hops=0.1)
    for number in range(play.routers):
        play.restart(f"r{number}", 1.0 + 1.5 * number)
    play.play()
    assert play.changes == []


def test_sessions_keep_their_version_over_a_kill_up_to_the_last_messages():
    play = SessionPlay(2, routers=3)
    play.restart("r0", 13.0, is_killed=True)
    play.play()
    assert len(play.changes) <= MAX_CHANGES


@pytest.mark.parametrize("fault", ["repeat", "late", "drop"])
def test_late_doubled_and_lost_messages_move_few_sessions(fault: str):
    play = SessionPlay(3, routers=4)
    setattr(play.world.network.faults, fault, 0.2)
    _one(play)
    _twice(play)
    play.play()
    assert len(play.changes) <= MAX_CHANGES


@given(seed=st.integers(0, 10_000))
def test_no_series_of_restarts_moves_sessions_back(seed: int):
    """Restarts at any moments, also overlapping, with hops between routers and late messages."""
    rng = Random(seed)
    play = SessionPlay(seed, routers=rng.randint(2, 5), sessions=60, hops=rng.choice((0.0, 0.2)))
    play.world.network.faults.late = rng.choice((0.0, 0.2))
    play.world.network.faults.repeat = rng.choice((0.0, 0.2))
    for name in range(play.routers - 1):
        play.restart(f"r{name}", rng.uniform(-4.0, 20.0))
    play.play()
    assert len(play.changes) <= MAX_CHANGES


# Knowledge


def _rolling_out(routers: int = 3) -> DirectWorld:
    """Return a world in the second half of a roll-out."""
    world = DirectWorld()
    for name in ("e0", "e1"):
        world.add_endpoint(name)
    world.operator.put("config", make_direct_document())
    for number in range(routers):
        world.add_router(f"r{number}")
    world.run(3.0)
    world.roll_out("v2", 20.0)
    world.run(0.3)
    for name in ("n0", "n1"):
        world.add_endpoint(name, "v2")
    world.run(10.5)
    return world


def _restart(world: DirectWorld, name: str) -> None:
    world.stop_router(name)
    world.run(3.0)
    assert name not in world.routers
    world.add_router(name)


def _known(world: DirectWorld, name: str) -> set[str]:
    """Return the sessions on the new version that a router would tell a process that starts."""
    (report,) = world.routers[name].peers.recovery.answer(set()).canaries
    return set(report.moved_to_new)


def _move_sessions(world: DirectWorld, router: str) -> set[str]:
    before = _known(world, router)
    for number in range(40):
        world.ask(world.routers[router], "/look/x", Session_Name=f"s{number}")
        world.run(0.02)
    world.run(0.1)
    return _known(world, router) - before


# Two routers told each other again and again of a session that had long ended.
def test_a_session_is_forgotten_everywhere_once_it_has_timed_out():
    world = _rolling_out()
    moved = _move_sessions(world, "r0")
    assert moved
    _restart(world, "r0")
    world.run(0.3)
    assert moved <= _known(world, "r0")
    world.run(SESSION_S - 3.0)
    for name in world.routers:
        assert not moved & _known(world, name)


def test_a_restarted_router_is_ready_once_it_knows_and_soon_if_nobody_tells():
    world = _rolling_out()
    moved = _move_sessions(world, "r0")
    _restart(world, "r0")
    restarted = world.routers["r0"]
    while not restarted.gateway.is_ready:
        world.run(0.01)
    assert moved <= _known(world, "r0")
    assert world.clock.seconds() - restarted.peers.recovery._started_s < 0.1
    world.network.drop_where(lambda sender, to, message: isinstance(message, RecoveryReply))
    _restart(world, "r1")
    world.run(MAX_START_S - 0.05)
    assert not world.routers["r1"].gateway.is_ready
    world.run(0.1)
    assert world.routers["r1"].gateway.is_ready


# A peer that has just started itself answered first, with nothing.
def test_a_peer_that_is_new_itself_is_not_the_last_word():
    world = _rolling_out(4)
    moved = _move_sessions(world, "r0")
    world.network.drop_where(_is_from_r3_or_general)
    for name in ("r1", "r2"):
        world.kill_router(name)
        world.add_router(name)
    world.kill_router("r0")
    world.run(0.3)
    world.add_router("r0")
    world.run(0.5)
    assert moved <= _known(world, "r0")


def _is_from_r3_or_general(sender: str, receiver: str, message: Message) -> bool:
    """Whether a message would tell of sessions otherwise than by a reply."""
    return isinstance(message, PeerReport | CanaryUpdate)


# Its evidence began anew, so that its verdict differed from that of its peers.
def test_a_restarted_router_has_the_counts_of_the_processes_that_have_ended():
    world = _rolling_out()
    _move_sessions(world, "r0")
    _restart(world, "r0")
    world.run(1.0)
    (own,), (peer,) = (world.routers[name].trials.canaries() for name in ("r0", "r1"))
    for is_target in (False, True):
        assert own.pooled_counts(is_target).answers == peer.pooled_counts(is_target).answers
    assert own.pooled_counts(False).answers + own.pooled_counts(True).answers >= 40


def test_a_restarted_router_sends_nothing_to_a_version_that_was_rolled_back_meanwhile():
    world = _rolling_out()
    _move_sessions(world, "r0")
    world.stop_router("r0")
    world.run(3.0)
    for name in ("n0", "n1"):
        world.endpoints.by_address[f"@{name}"].reply.status = 500
    for number in range(60):
        world.ask(world.routers["r1"], "/look/x", Session_Name=f"s{number}")
        world.run(0.02)
    assert world.statuses[-1][2] is RolloutState.ROLLED_BACK
    world.add_router("r0")
    world.run(0.2)
    calls = [len(world.endpoints.by_address[f"@{name}"].calls) for name in ("n0", "n1")]
    for number in range(40):
        world.ask(world.routers["r0"], "/look/x", Session_Name=f"s{number}")
    world.run(0.2)
    assert calls == [len(world.endpoints.by_address[f"@{name}"].calls) for name in ("n0", "n1")]
