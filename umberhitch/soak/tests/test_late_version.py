"""The soak's roll-out whose version turns bad: its check, a run, and a planted break."""

import pytest

from umberhitch.soak._late_version import Exposure, check_exposure, play_late_version

OLD_S = tuple(0.1 * number for number in range(200))


def _checks(exposure: Exposure, rollback_s: float = 5.0) -> list[str]:
    return [finding.check for finding in check_exposure(exposure, rollback_s)]


def test_more_than_the_share_up_to_the_deadline_is_found():
    allowed = tuple(0.1 * number for number in range(70))
    assert _checks(Exposure(allowed, OLD_S, 30.0, 20.0)) == []
    too_many = tuple(0.1 * number for number in range(73))
    assert _checks(Exposure(too_many, OLD_S, 30.0, 20.0)) == [
        "a bad version gets its share at most"
    ]


def test_calls_long_after_the_fiftieth_bad_answer_are_found():
    calls = tuple(21.0 + 0.1 * number for number in range(50))
    assert _checks(Exposure((*calls, 30.0), OLD_S, 20.5, 20.0)) == []
    assert _checks(Exposure((*calls, 31.0), OLD_S, 20.5, 20.0)) == [
        "a bad version gets nothing more"
    ]


# A version that turned bad after the first half was declared good by its old answers.
@pytest.mark.parametrize("seed", [3])
def test_a_version_that_turns_bad_late_is_rolled_back(tmp_path, seed):
    verdict = play_late_version(seed, tmp_path, onsets=(0.6, 0.7))
    assert verdict.findings == []
    assert verdict.done > 0
