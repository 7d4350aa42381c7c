"""What answers say of a version, and how much of it turns the version back."""

from dataclasses import dataclass, field
from enum import StrEnum
from math import sqrt

__all__ = ["AnswerCounts", "AnswerVerdict", "EvidenceThreshold"]


@dataclass(frozen=True, slots=True)
class EvidenceThreshold:
    """When answers of one kind turn a version back.

    Attributes
    ----------
    least : int
        So many of them at least.
    rate : float
        A rate over this is too much, if it is
    ratio : float
        so many times that of the old version.
    usual_rate : float
        What the old version's rate is taken for at most, where it has shown none.
    deviations : float
        Standard deviations by which they must exceed what the old version's rate leads to expect (a
        Poisson law): so that a small rate is found too, given answers. On one endpoint alone twice
        as many, since it may be the endpoint's own.
    """

    min_count: int = 3
    rate: float = 0.12
    ratio: float = 3.0
    max_assumed_rate: float = 0.005
    deviations: float = 3.0

    def is_exceeded(self, new: int, new_of: int, old: int, old_of: int, endpoints: int) -> bool:
        """Whether ``new`` of ``new_of`` answers are too many beside ``old`` of ``old_of``."""
        if new < self.min_count:
            return False
        old_rate = old / old_of if old_of else 0.0
        if new / new_of > max(self.rate, self.ratio * old_rate):
            return True
        # With few answers of the old version its rate may be higher than it has shown.
        likely = max(old_rate, min(self.max_assumed_rate, (old + 1) / (old_of + 1)))
        expected = new_of * likely
        bar = self.min_count + expected + self.deviations * sqrt(expected)
        return new > bar and (endpoints > 1 or new > 2 * bar)


class AnswerVerdict(StrEnum):
    """How an answer speaks for the version that made it."""

    GOOD = "good"
    UNPACED = "unpaced"
    """Good, but too short to tell its pace."""
    FAILED = "failed"
    """By the endpoint's own word."""
    BROKEN = "broken"
    """Its connection ended, or was silent, before its end."""
    SLOW = "slow"


@dataclass(slots=True)
class AnswerCounts:
    """Answers of one version, on one route or on all.

    Attributes
    ----------
    answers, failed, broken : int
    paced, slow : int
        Answers of which the pace is known, and of these the slow ones.
    endpoints : set of str
        On which failed, broken or slow answers came.
    """

    answers: int = 0
    failed: int = 0
    broken: int = 0
    paced: int = 0
    slow: int = 0
    endpoints: set[str] = field(default_factory=set)

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
        self.endpoints.add(endpoint)

    def add(self, other: "AnswerCounts") -> None:
        """Add another's answers."""
        self.answers += other.answers
        self.failed += other.failed
        self.broken += other.broken
        self.paced += other.paced
        self.slow += other.slow
        self.endpoints |= other.endpoints
