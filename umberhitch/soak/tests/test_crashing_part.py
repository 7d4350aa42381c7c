"""The soak's crashing part of prompts: its check, runs with real processes, and a planted break."""

import pytest

from umberhitch.soak._crashing_part import PartSeen, check_part, play_crashing_part

FIVE_S = (1.0, 1.2, 1.4, 1.6, 1.8)


def _checks(seen: PartSeen, is_timed: bool = True) -> list[str]:
    return [finding.check for finding in check_part(seen, is_timed)]


def test_runs_after_all_routers_know_the_part_are_found():
    assert _checks(PartSeen((*FIVE_S, 4.0, 4.1, 4.2), FIVE_S, 3.0, 0)) == []
    found = _checks(PartSeen((*FIVE_S, 4.0, 4.1, 4.2, 4.3), FIVE_S, 3.0, 0), is_timed=False)
    assert found == ["a crashing part is held"]


def test_runs_long_after_the_fifth_crash_are_found():
    late_s = (*FIVE_S, 4.9, 5.0, 5.1, 5.2)
    assert _checks(PartSeen(late_s, FIVE_S, 6.0, 0)) == ["a crashing part is held in time"]
    assert _checks(PartSeen(late_s, FIVE_S, 6.0, 0), is_timed=False) == []


def test_refused_sound_requests_are_found():
    assert _checks(PartSeen(FIVE_S, FIVE_S, 3.0, 1)) == ["sound requests are not held"]


# Requests that shared only a part of their prompts crashed one endpoint after the other.
@pytest.mark.parametrize("seed", [1, 3])
def test_a_crashing_part_is_held(tmp_path, seed):
    verdict = play_crashing_part(seed, tmp_path)
    assert verdict.findings == []
    assert verdict.done > 0
