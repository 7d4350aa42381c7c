"""Detectors and judges, with fixed seeds."""

from random import Random

import pytest

from umberhitch.core.detector import Detector
from umberhitch.core.evidence import EvidenceBuffer, Signal, VersionJudge

SPREAD = 8.0
GOOD = 0.86


def rate(rng: Random, mean: float) -> float:
    return rng.betavariate(mean * SPREAD, (1 - mean) * SPREAD)


def first_alarm(judge: VersionJudge, rng: Random, quality: float, limit: int, **fields):
    """Feed rounds of ten answers; returns the alarm and the answers it took."""
    for count in range(10, limit + 1, 10):
        book = EvidenceBuffer()
        for _ in range(10):
            book.record_attempt("m@1", "draft", rng.random() >= fields.get("failing", 0.0), 0.5)
            book.record_rating("m@1", "draft", rate(rng, quality))
        for evidence in book.flush():
            alarm = judge.observe(evidence)
            if alarm is not None:
                return alarm, count
    return None, limit


@pytest.mark.parametrize(("drop", "most"), [(0.4, 60), (0.15, 400)])
def test_a_drop_of_quality_is_found_within_the_aim(drop: float, most: int) -> None:
    for seed in range(10):
        rng, judge = Random(seed), VersionJudge()
        assert first_alarm(judge, rng, GOOD, 1000) == (None, 1000)
        alarm, count = first_alarm(judge, rng, GOOD * (1 - drop), most)
        assert alarm is not None, seed
        assert alarm.signal is Signal.RATINGS
        assert count <= most


def test_a_rise_of_failures_is_found() -> None:
    rng, judge = Random(1), VersionJudge()
    assert first_alarm(judge, rng, GOOD, 500)[0] is None
    alarm, _ = first_alarm(judge, rng, GOOD, 200, failing=0.5)
    assert alarm is not None
    assert alarm.signal is Signal.FAILURES


def test_a_good_version_is_left_alone() -> None:
    rng, judge = Random(7), VersionJudge()
    assert first_alarm(judge, rng, GOOD, 30_000)[0] is None


def test_a_version_is_compared_with_the_one_it_replaces() -> None:
    rng, judge = Random(3), VersionJudge()
    for _ in range(40):
        book = EvidenceBuffer()
        for _ in range(10):
            book.record_attempt("m@old", "draft", True, 0.5)
            book.record_rating("m@old", "draft", rate(rng, GOOD))
        for evidence in book.flush():
            judge.observe(evidence)
    judge.set_predecessor("m@1", "m@old")
    alarm, count = first_alarm(judge, rng, GOOD * 0.6, 100)
    assert alarm is not None
    assert count <= 60


def test_the_detector_recovers_no_credit_from_long_good_times() -> None:
    rng, detector = Random(5), Detector(0.2, 1e-6)
    for _ in range(50_000):
        assert not detector.observe([rng.random() * 0.2])
    assert any(detector.observe([0.6]) for _ in range(60))


def test_failures_that_come_in_batches_raise_no_false_alarm() -> None:
    """Found by the exposure benchmark: failures were put first in each batch, which biased it."""
    alarms = 0
    for seed in range(6):
        rng, judge = Random(seed), VersionJudge()
        for _ in range(1000):
            book = EvidenceBuffer()
            for _ in range(50):
                book.record_attempt("m@1", "draft", rng.random() >= 0.01, 0.5)
            alarms += sum(judge.observe(evidence) is not None for evidence in book.flush())
    assert alarms == 0
