"""Short runs with real processes; nothing in them is timed, so that a busy machine changes nothing.

Seeds that ever failed stay here, each with a line on its cause.
"""

import pytest

from umberhitch.soak import SoakConfig
from umberhitch.soak.__main__ import take_folder
from umberhitch.soak._run import play

SHORT = SoakConfig(routers=2, endpoints=2, callers=2, length_s=5.0, every_s=0.7)


@pytest.mark.parametrize("seed", [1, 2])
def test_all_holds(tmp_path, seed):
    verdict = play(seed, SHORT, tmp_path)
    assert verdict.findings == []
    assert verdict.done > 0


def test_what_is_broken_is_found(tmp_path):
    """Streams that broke off are ended as if they were complete."""
    cfg = SoakConfig(routers=1, endpoints=2, callers=3, length_s=8.0, every_s=0.5)
    found = []
    for seed in (72, 207):  # several endpoints break streams off for seconds
        (tmp_path / str(seed)).mkdir()
        found += play(seed, cfg, tmp_path / str(seed), mutation="end-broken").findings
        if found:
            break
    assert "streams are whole" in {each.check for each in found}


def test_two_runs_in_one_folder_are_not_let(tmp_path):
    """Their routers served from each other's stores: answers that "ran nowhere" or ran twice."""
    with take_folder(tmp_path), pytest.raises(SystemExit, match="another run"):
        take_folder(tmp_path)
    take_folder(tmp_path).close()
