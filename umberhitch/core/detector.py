"""Sequential detection of a version whose quality has degraded.

Each observation is a badness in [0, 1]: one minus a rating, or an indicator of a failed or a slow
answer. Under the hypothesis that the mean badness is at most ``limit``, the product of
``1 + bet * (badness - limit)`` is a test supermartingale. The detector keeps the sum of these
products over all possible change points, for several bets at once. This is an e-detector (Shin,
Ramdas and Rinaldo, "E-detectors: a nonparametric framework for sequential change detection",
2024): with a threshold of ``1 / alpha``, the mean number of observations until a false alarm is at
least ``1 / alpha`` for any distribution.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import exp, log

__all__ = ["BETS", "Baseline", "Detector", "Stratum"]

BETS = (0.15, 0.3, 0.5, 0.7, 0.9)
"""Bets as fractions of the largest safe bet; small bets detect small changes."""

MAX_SUM = 1e200
MAX_LOG = 460.0


@dataclass(frozen=True, slots=True)
class Stratum:
    """A batch of observations that are either good or bad, with the limit of their mean badness.

    Attributes
    ----------
    bad, total : int
        Bad observations, and all.
    limit : float
        Largest acceptable share of bad ones, strictly between 0 and 1.
    """

    bad: int
    total: int
    limit: float


def _log_factor(bet: float, stratum: Stratum) -> float:
    limit, good = stratum.limit, stratum.total - stratum.bad
    return stratum.bad * log(1.0 + bet / limit * (1.0 - limit)) + good * log(1.0 - bet)


@dataclass
class Detector:
    """Change detector for one stream of badness observations.

    Attributes
    ----------
    limit : float
        Largest acceptable mean badness, strictly between 0 and 1.
    alpha : float
        Inverse of the mean number of good observations between false alarms.
    count : int
        Number of observations so far.
    """

    limit: float
    alpha: float
    count: int = 0
    _sums: list[float] = field(default_factory=lambda: [0.0] * len(BETS))

    def observe(self, badness: Sequence[float]) -> bool:
        """Add a batch of observations and return whether the alarm is raised.

        A batch is one step of the test, since the order within it carries no information: failures
        that are listed first in each batch would look like a run of failures.
        """
        self.count += len(badness)
        for index, bet in enumerate(BETS):
            factor = 1.0
            for observed in badness:
                factor *= 1.0 + bet / self.limit * (observed - self.limit)
            self._multiply(index, factor)
        return self.is_alarmed

    def observe_counts(self, strata: Iterable[Stratum]) -> bool:
        """Add a batch of good and bad observations from strata with limits of their own.

        The detector's limit is not used.
        """
        strata = list(strata)
        self.count += sum(stratum.total for stratum in strata)
        for index, bet in enumerate(BETS):
            log_factor = sum(_log_factor(bet, stratum) for stratum in strata)
            self._multiply(index, exp(min(MAX_LOG, log_factor)))
        return self.is_alarmed

    def _multiply(self, index: int, factor: float) -> None:
        """Add a change point, and multiply the products of one bet by a factor."""
        value = (self._sums[index] + 1.0) * factor
        self._sums[index] = min(MAX_SUM, max(0.0, value))

    @property
    def e_value(self) -> float:
        """The e-value against the hypothesis that the version is good: the mean over the bets."""
        return sum(self._sums) / len(self._sums)

    @property
    def is_alarmed(self) -> bool:
        """Whether the e-value has reached ``1 / alpha``."""
        return self.e_value * self.alpha >= 1.0


@dataclass
class Baseline:
    """Mean badness of the first observations, which are assumed to be good.

    Attributes
    ----------
    min_observations : int
        Number of observations needed before the mean is available.
    """

    min_observations: int = 100
    count: int = 0
    total: float = 0.0

    def add(self, values: Iterable[float]) -> None:
        """Add observations until there are enough; later ones are ignored."""
        for value in values:
            if self.count < self.min_observations:
                self.count += 1
                self.total += value

    @property
    def mean(self) -> float | None:
        """The mean, or None while there are too few observations."""
        return self.total / self.count if self.count >= self.min_observations else None
