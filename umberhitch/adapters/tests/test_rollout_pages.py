"""Roll-outs on the pages of operators, and the error when a completed version fails."""

import logging

import pytest

from umberhitch.adapters.rollout_pages import rollout_metrics, rollout_status
from umberhitch.testing import RolloutPlay, VersionFault

FAILING = 'umberhitch_completed_version_failing{service="svc",version="v2"} '


# A version that turned bad after it was declared good: no line and no page said anything.
@pytest.mark.parametrize(("fault", "value"), [(VersionFault(26.0), 1), (None, 0)])
def test_a_completed_version_that_fails_is_told_once(caplog, fault, value):
    caplog.set_level(logging.ERROR)
    play = RolloutPlay(1, fault).play(10.0)
    router = play.world.routers["r0"]
    canaries = router.trials.canaries()
    assert rollout_metrics(canaries) == [f"{FAILING}{value}"]
    (row,) = rollout_status(canaries, router.clock.seconds())
    assert (row["state"], row["failing_after_completion"]) == ("completed", bool(value))
    told = [each for each in caplog.records if each.message == "completed version is failing"]
    assert len(told) == value * play.routers


def test_what_was_declared_good_is_never_taken_back():
    play = RolloutPlay(1, VersionFault(26.0)).play(10.0)
    assert [state for _, _, state in play.world.statuses] == ["in_progress", "completed"]
