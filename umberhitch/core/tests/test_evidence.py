"""Detectors and version judges, with fixed seeds."""

from random import Random

import pytest

from umberhitch.core.detector import Detector
from umberhitch.core.evidence import EvidenceBuffer, Signal, VersionJudge

SPREAD = 8.0
GOOD = 0.86


def rate(rng: Random, mean: float) -> float:
    return rng.betavariate(mean * SPREAD, (1 - mean) * SPREAD)


def first_alarm(judge: VersionJudge, rng: Random, quality: float, limit: int, **fields):
    """Add answers in batches of ten; return the first alarm and the number of answers until it."""
    for count in range(10, limit + 1, 10):
        buffer = EvidenceBuffer()
        for _ in range(10):
            buffer.record_attempt("m@1", "draft", rng.random() >= fields.get("failing", 0.0), 0.5)
            buffer.record_rating("m@1", "draft", rate(rng, quality))
        for evidence in buffer.flush():
            alarm = judge.observe(evidence)
            if alarm is not None:
                return alarm, count
    return None, limit


@pytest.mark.parametrize(("drop", "max_answers"), [(0.4, 60), (0.15, 400)])
def test_a_drop_in_quality_is_detected_within_the_answer_limit(
    drop: float, max_answers: int
) -> None:
    for seed in range(10):
        rng, judge = Random(seed), VersionJudge()
        assert first_alarm(judge, rng, GOOD, 1000) == (None, 1000)
        alarm, count = first_alarm(judge, rng, GOOD * (1 - drop), max_answers)
        assert alarm is not None, seed
        assert alarm.signal is Signal.RATINGS
        assert count <= max_answers


def test_a_rise_in_failures_is_detected() -> None:
    rng, judge = Random(1), VersionJudge()
    assert first_alarm(judge, rng, GOOD, 500)[0] is None
    alarm, _ = first_alarm(judge, rng, GOOD, 200, failing=0.5)
    assert alarm is not None
    assert alarm.signal is Signal.FAILURES


def test_a_good_version_raises_no_alarm() -> None:
    rng, judge = Random(7), VersionJudge()
    assert first_alarm(judge, rng, GOOD, 30_000)[0] is None


def test_a_version_is_compared_with_the_one_it_replaces() -> None:
    rng, judge = Random(3), VersionJudge()
    for _ in range(40):
        buffer = EvidenceBuffer()
        for _ in range(10):
            buffer.record_attempt("m@old", "draft", True, 0.5)
            buffer.record_rating("m@old", "draft", rate(rng, GOOD))
        for evidence in buffer.flush():
            judge.observe(evidence)
    judge.set_predecessor("m@1", "m@old")
    alarm, count = first_alarm(judge, rng, GOOD * 0.6, 100)
    assert alarm is not None
    assert count <= 60


def test_a_long_good_period_does_not_delay_detection() -> None:
    rng, detector = Random(5), Detector(0.2, 1e-6)
    for _ in range(50_000):
        assert not detector.observe([rng.random() * 0.2])
    assert any(detector.observe([0.6]) for _ in range(60))


def test_failures_that_come_in_batches_raise_no_false_alarm() -> None:
    """Guard against false alarms from batches that list failures first.

    Judged one by one, failures at the head of every batch look like a run of failures.
    """
    alarms = 0
    for seed in range(6):
        rng, judge = Random(seed), VersionJudge()
        for _ in range(1000):
            buffer = EvidenceBuffer()
            for _ in range(50):
                buffer.record_attempt("m@1", "draft", rng.random() >= 0.01, 0.5)
            alarms += sum(judge.observe(evidence) is not None for evidence in buffer.flush())
    assert alarms == 0
