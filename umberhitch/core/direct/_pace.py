"""What a figure that an endpoint reported some time ago is still worth.

An endpoint's pace, and its load, may change many times a second, while a router hears of them only
with the replies to its own calls. The expected value of such a figure lies between the one that was
reported last and the mean of those before. How close to which is a matter of how long the figures
of a service usually last, which is learned from successive reports.
"""

from math import exp, log2

__all__ = ["AgingFigure", "Persistence"]

SHORTEST_AGE_S = 0.005
AGE_STEPS = 10
"""Ages are told apart by powers of two, from `SHORTEST_AGE_S` on."""
ASSUMED_AGE_S = 0.25
"""Age at which a figure is assumed to have lost two thirds of its weight, until it is learned."""
ASSUMED_PAIRS = 8.0
"""Weight of that assumption, in pairs of reports."""
MAX_PAIRS = 400.0
"""Number of pairs of an age step after which the earlier ones begin to lose weight."""
MEAN_S = 3.0
"""Time over which the mean of an endpoint's figures is taken."""
ASSUMED_MEAN_S = 0.25
"""Weight of the mean that is assumed before the first report, in seconds."""
MAX_GAP_S = 1.0
"""Longest time for which one report counts in the mean."""


class Persistence:
    """Correlation of an endpoint's successive figures by the time between them.

    It is common to the endpoints of a service: each deviates from a mean of its own, but for about
    as long.
    """

    def __init__(self) -> None:
        self._pairs = [0.0] * AGE_STEPS
        self._products = [0.0] * AGE_STEPS
        self._squares = [0.0] * AGE_STEPS
        self._fourth_powers = [0.0] * AGE_STEPS

    def add_pair(self, age_s: float, before: float, after: float) -> None:
        """Add two successive deviations from a mean, the second of which came so much later."""
        step = _age_step(age_s)
        kept = 1.0 - 1.0 / MAX_PAIRS if self._pairs[step] >= MAX_PAIRS else 1.0
        square = (before * before + after * after) / 2
        self._pairs[step] = self._pairs[step] * kept + 1.0
        self._products[step] = self._products[step] * kept + before * after
        self._squares[step] = self._squares[step] * kept + square
        self._fourth_powers[step] = self._fourth_powers[step] * kept + square * square

    def remaining(self, age_s: float) -> float:
        """Return the share of a deviation that is still there after a time, from 0 to 1."""
        assumed = exp(-max(0.0, age_s) / ASSUMED_AGE_S)
        step = _age_step(age_s)
        squares = self._squares[step]
        if self._fourth_powers[step] <= 0.0:
            return assumed
        # Pairs without a deviation show nothing, and one large deviation is one pair.
        pairs = squares * squares / self._fourth_powers[step]
        share = (pairs * self._products[step] / squares + ASSUMED_PAIRS * assumed) / (
            pairs + ASSUMED_PAIRS
        )
        return min(1.0, max(0.0, share))


def _age_step(age_s: float) -> int:
    if age_s <= SHORTEST_AGE_S:
        return 0
    return min(AGE_STEPS - 1, int(log2(age_s / SHORTEST_AGE_S)) + 1)


class AgingFigure:
    """A figure that one endpoint reports again and again.

    Parameters
    ----------
    persistence : Persistence
        That of the endpoint's service; each report teaches it.
    assumed : float
        Mean that is assumed before the first report.
    value : float
        The first report.
    now_s : float

    Attributes
    ----------
    value : float
        The last report.
    reported_s : float
        Time of the last report.
    """

    __slots__ = ("_mean", "_mean_weight_s", "_persistence", "reported_s", "value")

    def __init__(
        self, persistence: Persistence, assumed: float, value: float, now_s: float
    ) -> None:
        self._persistence = persistence
        self._mean = assumed
        self._mean_weight_s = ASSUMED_MEAN_S
        self.value = value
        self.reported_s = now_s

    def update(self, value: float, now_s: float) -> None:
        """Record a later report.

        The mean is one over time, since an endpoint sends more reports when it is fast.
        """
        gap_s = max(0.0, now_s - self.reported_s)
        self._persistence.add_pair(gap_s, self.value - self._mean, value - self._mean)
        counted_s = min(gap_s, MAX_GAP_S)
        self._mean_weight_s = min(MEAN_S, self._mean_weight_s + counted_s)
        between = (self.value + value) / 2
        self._mean += counted_s / self._mean_weight_s * (between - self._mean)
        self.value, self.reported_s = value, now_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last report."""
        return max(0.0, now_s - self.reported_s)

    def expected(self, now_s: float) -> float:
        """Return the expected value now."""
        remaining = self._persistence.remaining(self.age_s(now_s))
        return self._mean + remaining * (self.value - self._mean)
