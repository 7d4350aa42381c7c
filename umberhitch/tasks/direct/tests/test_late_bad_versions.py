"""A version that turns bad late in its roll-out is found, whatever it was like before."""

from functools import partial

import pytest

from umberhitch.core.direct import CanaryLimits, RolloutState
from umberhitch.testing import RolloutPlay, RolloutTraffic, VersionFault

BOUND = CanaryLimits()
DURATION_S = 24.0
MAX_UNWATCHED_S = 5.0
"""A bad version must be without requests so long after its 50th bad answer."""
ALL_WORK_S = 0.2
PLAIN = RolloutTraffic()
FAILING = RolloutTraffic(usual_failures=0.14)
LOADED = RolloutTraffic(reply_s=0.4)
MANY = RolloutTraffic(per_s=60.0)
CROWDED = RolloutTraffic(usual_failures=0.14, at_once=1)
FEW = RolloutTraffic(per_s=8.0, usual_failures=0.14)


def _burst(play: RolloutPlay) -> None:
    play.at(20.0, lambda: play.burst(3.0, 3.0))


def _lost_endpoints_of_the_new_version(play: RolloutPlay) -> None:
    for name in ("n1", "n2"):
        play.at(22.2, partial(play.lose_endpoint, name, 3.0))


def _lost_endpoints_of_both(play: RolloutPlay) -> None:
    play.at(10.0, lambda: play.lose_endpoint("n1", 2.0))
    play.at(21.0, lambda: play.lose_endpoint("e2", 2.0))


def _lost_router(play: RolloutPlay) -> None:
    play.at(15.0, lambda: play.world.kill_router("r1"))


def _restarted_router(play: RolloutPlay) -> None:
    play.at(16.0, lambda: play.world.add_router("r9"))
    play.at(17.0, lambda: play.world.kill_router("r0"))


EVENTS = (
    _burst,
    _lost_endpoints_of_the_new_version,
    _lost_endpoints_of_both,
    _lost_router,
    _restarted_router,
)


def _check_exposure(play: RolloutPlay) -> None:
    new, total = play.exposure()
    assert new <= BOUND.exposure_share * total + BOUND.exposure_slack


# A version that had answered well for 17 s and more was declared good, and got all requests.
@pytest.mark.parametrize("onset_s", [15.0, 17.0, 19.0, 20.0, 21.0, 22.0, 22.5])
@pytest.mark.parametrize("traffic", [PLAIN, FAILING, LOADED], ids=["plain", "failing", "loaded"])
def test_a_version_that_turns_bad_late_is_rolled_back(onset_s, traffic):
    play = RolloutPlay(7, VersionFault(onset_s), traffic, DURATION_S).play()
    assert play.state is RolloutState.ROLLED_BACK
    assert play.decided_s() >= onset_s
    assert play.calls_after_bound() == 0
    _check_exposure(play)


# One route's failures were hidden by the good answers that it had given since the order.
@pytest.mark.parametrize("onset_s", [17.0, 19.0, 21.0])
@pytest.mark.parametrize("traffic", [PLAIN, FAILING], ids=["plain", "failing"])
def test_a_version_that_turns_bad_late_on_one_route_is_rolled_back(onset_s, traffic):
    fault = VersionFault(onset_s, path="/order/")
    play = RolloutPlay(6, fault, traffic, DURATION_S).play()
    assert play.state is RolloutState.ROLLED_BACK
    assert play.decided_s() >= onset_s
    assert play.calls_after_bound() == 0


# All work moved to a fully loaded version at 0.62: half of the requests ran on it before anyone
# could know whether it would turn bad.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("traffic", [PLAIN, MANY, LOADED], ids=["plain", "many", "loaded"])
def test_no_version_gets_more_than_the_bound_before_its_deadline(seed, traffic):
    play = RolloutPlay(seed, None, traffic, DURATION_S).play(1.0)
    _check_exposure(play)


# The load test used the whole bound; for seven seconds nothing was known of the new version.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("traffic", [PLAIN, FAILING, LOADED], ids=["plain", "failing", "loaded"])
def test_the_new_version_gets_work_all_the_time(seed, traffic):
    play = RolloutPlay(seed, None, traffic, DURATION_S).play(0.0)
    assert play.longest_pause_s(2.0, DURATION_S) <= MAX_UNWATCHED_S


# It was enough that no call ran on the old version just then, as is usual for a plain service.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("traffic", [PLAIN, FAILING], ids=["plain", "failing"])
def test_no_version_is_declared_good_before_all_work_has_moved(seed, traffic):
    play = RolloutPlay(seed, None, traffic, DURATION_S).play(0.0)
    assert play.state is RolloutState.COMPLETED
    decided_s = play.deadline_s - DURATION_S + play.decided_s()
    assert play.calls_s(False)[-1] < decided_s - ALL_WORK_S


# Three failures of seven on a route that fails one in seven by itself rolled good versions back.
@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("traffic", [FEW, FAILING], ids=["few", "failing"])
def test_a_good_version_of_a_route_that_fails_by_itself_is_completed_in_time(seed, traffic):
    play = RolloutPlay(seed, None, traffic, DURATION_S).play(0.0)
    assert play.state is RolloutState.COMPLETED


# What was to come up to the deadline was reckoned from the mean rate since the order.
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("at_s", [19.0, 21.5])
def test_a_burst_before_the_deadline_does_not_exceed_the_bound(seed, at_s):
    play = RolloutPlay(seed, None, CROWDED, DURATION_S)
    play.at(at_s, lambda: play.burst(2.0, 3.0))
    play.play(0.0)
    assert play.state is RolloutState.COMPLETED
    _check_exposure(play)


# A good version is completed in time, whatever else happens.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__[1:])
def test_a_good_version_is_completed_in_time(seed, event):
    play = RolloutPlay(seed, None, CROWDED, DURATION_S)
    event(play)
    assert play.play(0.0).state is RolloutState.COMPLETED


# The load test moves few sessions, since they stay: endpoints that fail with five calls at once
# had no five before the decision.
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_a_version_that_fails_under_load_is_rolled_back_though_all_calls_have_sessions(seed):
    play = RolloutPlay(seed, None, RolloutTraffic(reply_s=0.4, has_sessions=True), DURATION_S)
    play.at(0.5, lambda: play.fail_over(4))
    play.play(0.0)
    assert play.state is RolloutState.ROLLED_BACK


def _fail_at(play: RolloutPlay, router: str, at_s: float) -> None:
    """Let one router have enough evidence against the version from a moment on."""

    def fail() -> None:
        play.world.routers[router].trials.canaries()[0]._is_failing_by = lambda counts: True

    play.at(at_s, fail)


# One router had rolled the version back, another one declared it good 0.05 s later: that stood.
@pytest.mark.parametrize("before_s", [0.05, 0.15, 0.25])
def test_a_version_that_one_router_rolls_back_is_not_declared_good_by_another(before_s):
    natural = RolloutPlay(3, None, PLAIN, DURATION_S).play()
    assert natural.state is RolloutState.COMPLETED
    play = RolloutPlay(3, None, PLAIN, DURATION_S)
    _fail_at(play, "r2", natural.decided_s() - before_s)
    play.play()
    assert play.state is RolloutState.ROLLED_BACK
    states = {router.trials.canaries()[0].state for router in play.world.routers.values()}
    assert states == {RolloutState.ROLLED_BACK}
