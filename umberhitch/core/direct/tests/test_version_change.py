"""A change of the new version is found whenever it comes, and good versions are not blamed."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import (
    AnswerVerdict,
    Canary,
    CanaryLimits,
    EvidenceThreshold,
    RolloutOrder,
)
from umberhitch.core.direct._version_change import ChangeLimits, RouteTally, VersionChange

LIMITS = ChangeLimits(min_rate=0.005, alpha=1e-5)
NO_ENDPOINTS: Counter[str] = Counter()


def _feed(
    change: VersionChange, good: int, bad: int, old: tuple[int, int] = (0, 400)
) -> int | None:
    """Let a version give good answers, then bad ones; return how many of these it takes."""
    for count in range(1, good + 1):
        change.observe({"look": RouteTally(0, count, *old)}, NO_ENDPOINTS, 0.1 * count)
    for count in range(1, bad + 1):
        endpoints = Counter({"n0": count // 2, "n1": count - count // 2})
        tally = RouteTally(count, good + count, *old)
        change.observe({"look": tally}, endpoints, 0.1 * (good + count))
        if change.is_shown():
            return count
    return None


# Seven failures of 67 answers were below the rate that counts, though they were the last seven.
@pytest.mark.parametrize("good", [0, 60, 600, 6000])
def test_earlier_good_answers_do_not_hide_bad_ones(good):
    taken = _feed(VersionChange(LIMITS), good, 6)
    assert taken is not None
    assert taken <= 4


# Failures of one route raised the rate that was acceptable on all routes.
def test_failures_of_another_route_do_not_hide_bad_answers():
    change = VersionChange(LIMITS)
    look = RouteTally(0, 0, 60, 200)
    for count in range(1, 7):
        tallies = {"look": look, "order": RouteTally(count, 100 + count, 0, 200)}
        change.observe(tallies, Counter({"n0": count, "n1": count}), float(count))
    assert change.is_shown()


# Of two endpoints one failed a third of its requests; it is left out, the version stays.
def test_one_endpoint_that_fails_needs_twice_the_evidence():
    change, both = VersionChange(LIMITS), VersionChange(LIMITS)
    for count in range(1, 5):
        tally = {"look": RouteTally(count, count, 0, 400)}
        change.observe(tally, Counter({"n0": count}), float(count))
        both.observe(tally, Counter({"n0": count, "n1": count}), float(count))
    assert both.is_shown()
    assert not change.is_shown()


@given(seed=st.integers(0, 10_000), rate=st.sampled_from([0.0, 0.02, 0.14, 0.3]))
def test_a_good_version_is_not_blamed(seed, rate):
    rng, change = Random(seed), VersionChange(LIMITS)
    old_bad = sum(rng.random() < rate for _ in range(60))
    new_bad = 0
    for count in range(1, 101):
        old_bad += sum(rng.random() < rate for _ in range(5))
        new_bad += rng.random() < rate
        tally = RouteTally(new_bad, count, old_bad, 60 + 5 * count)
        change.observe({"look": tally}, Counter({"n0": new_bad, "n1": new_bad}), 0.1 * count)
        assert not change.is_shown()


# All calls of the load test were on routes that fail by themselves, the old version's were not.
def test_rates_are_compared_on_the_same_mix_of_routes():
    canary = Canary(RolloutOrder("svc", "v2", 20.0), 0.0, CanaryLimits())
    for number in range(400):
        canary.count_answer(False, "order", f"e{number % 4}", AnswerVerdict.GOOD, 1.0)
    for number in range(100):
        for is_target in (True, False):
            verdict = AnswerVerdict.FAILED if number % 4 == 0 else AnswerVerdict.GOOD
            canary.count_answer(is_target, "look", f"e{number // 4 % 4}", verdict, 1.0)
    canary.observe(2.0)
    assert not canary.is_failing()


# Four slow answers of ten on one route rolled a good version back; the old one gives 7 % of them.
def test_few_slow_answers_on_one_route_roll_no_version_back():
    canary = Canary(RolloutOrder("svc", "v2", 20.0), 0.0, CanaryLimits())
    for number in range(300):
        verdict = AnswerVerdict.SLOW if number % 14 == 0 else AnswerVerdict.GOOD
        canary.count_answer(False, "look", f"e{number // 14 % 4}", verdict, 1.0)
    for number in range(10):
        verdict = AnswerVerdict.SLOW if number < 4 else AnswerVerdict.GOOD
        canary.count_answer(True, "look", f"n{number % 4}", verdict, 1.0)
    assert not canary.is_failing()
    for number in range(3):
        canary.count_answer(True, "look", f"n{number % 4}", AnswerVerdict.SLOW, 1.0)
    assert canary.is_failing()


def test_many_answers_are_judged_without_overflow():
    threshold = EvidenceThreshold(min_count=4, rate=0.3)
    assert threshold.is_exceeded(40_000, 100_000, 0.05, 500_000, 3)
    assert not threshold.is_exceeded(5_000, 100_000, 0.05, 500_000, 3)
