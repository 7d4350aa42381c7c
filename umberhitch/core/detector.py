"""Sequential detection of a version that has turned bad.

Each observation is a badness in [0, 1]: one minus a rating, or whether an answer failed, or whether
it was slow. Under the hypothesis that the mean badness is at most ``limit`` the product of
``1 + bet * (badness - limit)`` is a test supermartingale. The detector keeps the sum of such
products over every possible moment of the change, for a few bets at once, which is an e-detector
(Shin, Ramdas and Rinaldo, "E-detectors: a nonparametric framework for sequential change
detection", 2024): with a threshold of ``1 / alpha`` the mean number of observations to a false
alarm is at least ``1 / alpha``, whatever the distribution.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

__all__ = ["BETS", "Baseline", "Detector"]

BETS = (0.15, 0.3, 0.5, 0.7, 0.9)
"""Bets as fractions of the largest that is safe; small ones find small changes."""

MAX_SUM = 1e200


@dataclass
class Detector:
    """Watches one stream of badness.

    Attributes
    ----------
    limit : float
        Mean badness that is still good, strictly between 0 and 1.
    alpha : float
        One over the mean number of good observations between false alarms.
    count : int
        Observations so far.
    """

    limit: float
    alpha: float
    count: int = 0
    _sums: list[float] = field(default_factory=lambda: [0.0] * len(BETS))

    def observe(self, badness: Sequence[float]) -> bool:
        """Take a batch of observations; returns whether the alarm is raised.

        A batch is one step of the test, since the order within it says nothing: a count of failures
        that was put first in its batch would look like a run of failures.
        """
        self.count += len(badness)
        for index, bet in enumerate(BETS):
            value = self._sums[index] + 1.0
            for observed in badness:
                value *= 1.0 + bet / self.limit * (observed - self.limit)
            self._sums[index] = min(MAX_SUM, max(0.0, value))
        return self.is_alarmed

    @property
    def e_value(self) -> float:
        """The e-value by which the version is bad: the mean over the bets."""
        return sum(self._sums) / len(self._sums)

    @property
    def is_alarmed(self) -> bool:
        """Whether the evidence has reached ``1 / alpha``."""
        return self.e_value * self.alpha >= 1.0


@dataclass
class Baseline:
    """The mean of what is known to be good, learned from the first observations.

    Attributes
    ----------
    needed : int
        Observations before it is used.
    """

    min_observations: int = 100
    count: int = 0
    total: float = 0.0

    def add(self, values: Iterable[float]) -> None:
        """Take observations, until enough are known."""
        for value in values:
            if self.count < self.min_observations:
                self.count += 1
                self.total += value

    @property
    def mean(self) -> float | None:
        """The mean, or None while too little is known."""
        return self.total / self.count if self.count >= self.min_observations else None
