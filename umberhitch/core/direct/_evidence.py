"""Statistics of the answers of a version, and the thresholds at which it is rolled back."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from math import exp, lgamma, log, sqrt

__all__ = ["AnswerCounts", "AnswerVerdict", "EvidenceThreshold"]

MAX_CHANCE = 1e-3
"""Greatest probability with which a version as good as the old one gives so many bad answers."""


@dataclass(frozen=True, slots=True)
class EvidenceThreshold:
    """Threshold at which answers of one kind roll a version back.

    Attributes
    ----------
    min_count : int
        Fewer answers of that kind never roll a version back.
    rate : float
        Highest acceptable rate, unless the old version's own rate times `ratio` is higher. With 1
        only the old version's rate counts.
    ratio : float
        Highest acceptable rate as a multiple of the old version's rate.
    max_assumed_rate : float
        Upper bound of the rate that is assumed of an old version which has shown a lower one.
    deviations : float
        Standard deviations by which the number must exceed the one expected from the old version's
        rate (a Poisson distribution), so that a small rate is detected too, given enough answers.
        Where all come from one endpoint, the bound is doubled, since the endpoint itself may be at
        fault.
    """

    min_count: int = 3
    rate: float = 0.12
    ratio: float = 3.0
    max_assumed_rate: float = 0.005
    deviations: float = 3.0

    def is_exceeded(
        self, new: int, new_total: int, old_rate: float, old_total: int, endpoints: int
    ) -> bool:
        """Whether ``new`` of ``new_total`` answers are too many given the old version's.

        Parameters
        ----------
        new, new_total : int
            Answers of this kind and all answers of the new version.
        old_rate : float
            Rate of such answers of the old version, on the same mix of routes.
        old_total : int
            All answers of the old version.
        endpoints : int
            Endpoints of the new version that gave such answers.
        """
        if new < self.min_count:
            return False
        # With few answers of the old version its true rate may be higher than the observed one.
        likely = max(
            old_rate, min(self.max_assumed_rate, (old_rate * old_total + 1) / (old_total + 1))
        )
        if new / new_total > max(self.rate, self.ratio * old_rate):
            error = sqrt(old_rate * (1.0 - old_rate) / max(1, old_total))
            if _chance_of(new, new_total, max(likely, old_rate + error)) <= MAX_CHANCE:
                return True
        expected = new_total * likely
        threshold = self.min_count + expected + self.deviations * sqrt(expected)
        return new > threshold and (endpoints > 1 or new > 2 * threshold)


def _chance_of(count: int, total: int, rate: float) -> float:
    """Return the probability of so many or more of ``total`` answers at a rate."""
    if not 0.0 < rate < 1.0:
        return 1.0 if rate > 0.0 or count == 0 else 0.0
    log_ways = [lgamma(total + 1) - lgamma(k + 1) - lgamma(total - k + 1) for k in range(count)]
    below = sum(
        exp(ways + k * log(rate) + (total - k) * log(1.0 - rate)) for k, ways in enumerate(log_ways)
    )
    return max(0.0, 1.0 - below)


class AnswerVerdict(StrEnum):
    """What an answer shows about the version that gave it."""

    GOOD = "good"
    UNPACED = "unpaced"
    """Good, but too short to measure its inter-token latency."""
    FAILED = "failed"
    """The endpoint itself reported a failure."""
    BROKEN = "broken"
    """The connection closed, or timed out, before the end of the answer."""
    SLOW = "slow"


@dataclass(slots=True)
class AnswerCounts:
    """Answers of one version, on one route or on all.

    Attributes
    ----------
    answers : int
        All answers.
    failed, broken : int
        Answers with that verdict.
    paced : int
        Answers whose latency is known.
    slow : int
        Slow answers among these.
    endpoints : Counter of str
        Failed, broken and slow answers of each endpoint that gave some.
    """

    answers: int = 0
    failed: int = 0
    broken: int = 0
    paced: int = 0
    slow: int = 0
    endpoints: Counter[str] = field(default_factory=Counter)

    def record(self, endpoint: str, verdict: AnswerVerdict) -> None:
        """Count an answer."""
        self.answers += 1
        match verdict:
            case AnswerVerdict.GOOD:
                self.paced += 1
                return
            case AnswerVerdict.UNPACED:
                return
            case AnswerVerdict.FAILED:
                self.failed += 1
            case AnswerVerdict.BROKEN:
                self.broken += 1
            case AnswerVerdict.SLOW:
                self.paced += 1
                self.slow += 1
        self.endpoints[endpoint] += 1

    def add(self, other: "AnswerCounts") -> None:
        """Add the answers that another object has counted."""
        self.answers += other.answers
        self.failed += other.failed
        self.broken += other.broken
        self.paced += other.paced
        self.slow += other.slow
        self.endpoints.update(other.endpoints)
