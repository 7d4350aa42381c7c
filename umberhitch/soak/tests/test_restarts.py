"""The soak's restarts under uploads and sessions: its checks, and a run."""

import pytest

from umberhitch.soak._restarts import (
    Asked,
    Uploaded,
    check_sessions,
    check_uploads,
    play_restarts,
)

DURATION_S = 20.0


def _checks(uploads: list[Uploaded], runs: dict[str, int]) -> list[str]:
    return [finding.check for finding in check_uploads(uploads, runs)]


def test_uploads_without_an_answer_and_untrue_refusals_are_found():
    uploads = [Uploaded("a", 200), Uploaded("b", 503), Uploaded("c", 502)]
    assert _checks(uploads, {"a": 1, "c": 1}) == []
    assert _checks([Uploaded("a", 0)], {"a": 1}) == ["a planned stop cuts off no upload"]
    assert _checks([Uploaded("a", 0)], {}) == ["a planned stop cuts off no upload"]
    assert _checks([Uploaded("a", 503)], {"a": 1}) == ["a refusal is true"]
    assert _checks([Uploaded("a", 200)], {"a": 2}) == ["an upload runs once"]


def _sessions(*versions: tuple[str, float], count: int = 4) -> list[Asked]:
    return [
        Asked(f"s{number}", version, at_s, at_s + 0.1)
        for number in range(count)
        for version, at_s in versions
    ]


def test_sessions_that_move_back_or_in_the_first_half_are_found():
    moved_back = _sessions(("v1", 9.0), ("v2", 12.0), ("v1", 15.0))
    assert len(check_sessions(moved_back, DURATION_S)) == 1
    assert len(check_sessions(_sessions(("v1", 2.0), ("v2", 4.0)), DURATION_S)) == 1
    assert check_sessions(_sessions(("v1", 9.0), ("v2", 12.0)), DURATION_S) == []
    assert check_sessions(_sessions(("v2", 12.0), ("v1", 17.2)), DURATION_S) == []  # timed out
    few = _sessions(("v2", 12.0), ("v1", 15.0), count=3)
    assert check_sessions(few, DURATION_S) == []


# Uploads that came in were cut off, and sessions moved back, as routers restarted.
@pytest.mark.parametrize("seed", [400])
def test_restarts_lose_no_upload_and_move_no_session(tmp_path, seed):
    verdict = play_restarts(seed, tmp_path)
    assert verdict.findings == []
    assert verdict.done > 0
