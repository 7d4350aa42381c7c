"""Detection of a new version that turns bad at any time of its roll-out.

The answers are compared with those of the old version route by route, since usual rates of failure
differ between routes. What the new version was like before it changed does not matter: an
e-detector (`umberhitch.core.detector`) considers each moment at which it may have changed.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, sqrt

from umberhitch.core.detector import Detector, Stratum

__all__ = ["ChangeLimits", "RouteTally", "VersionChange"]

PRIOR_ANSWERS = 10
"""Answers that the rate of all routes counts for in the estimate of one route's rate, and that the
rate since the order counts for in the estimate of the recent rate."""
RECENT_S = 3.0
"""Time constant of the recent rates of the old version."""
MAX_LIMIT = 0.9
NO_EVIDENCE = 10.0
"""Good answers alone keep the e-value below this."""
ONE_ENDPOINT_SHARE = 0.8
"""An endpoint that gave so many of the bad answers may itself be at fault."""


@dataclass(frozen=True, slots=True)
class ChangeLimits:
    """When the answers of one kind show that the version has changed.

    Attributes
    ----------
    min_rate : float
        Rate that is always acceptable.
    alpha : float
        Inverse of the mean number of batches of a good version's answers between false alarms.
        Where one endpoint gave nearly all of the bad answers, its square is used.
    """

    min_rate: float
    alpha: float


@dataclass(frozen=True, slots=True)
class RouteTally:
    """Answers of one route since the order.

    Attributes
    ----------
    new_bad, new_total, old_bad, old_total : int
        Answers of one kind and all answers, of the new and of the old version.
    """

    new_bad: int = 0
    new_total: int = 0
    old_bad: int = 0
    old_total: int = 0


class _Recent:
    """Answers of the old version with weights that decay with their age."""

    def __init__(self) -> None:
        self.bad = 0.0
        self.total = 0.0

    def add(self, bad: int, total: int, decay: float) -> None:
        self.bad = self.bad * decay + bad
        self.total = self.total * decay + total


class VersionChange:
    """Test of the answers of one kind: failed, broken or slow.

    Parameters
    ----------
    limits : ChangeLimits
    """

    def __init__(self, limits: ChangeLimits) -> None:
        self._limits = limits
        self._all = self._make_detector()
        self._detectors: dict[str, Detector] = {}
        self._seen: dict[str, RouteTally] = {}
        self._recent: dict[str, _Recent] = {}
        self._observed_s = 0.0
        self._bad_by_endpoint: Counter[str] = Counter()
        self._bad_before: Counter[str] = Counter()
        """Bad answers by endpoint when there was last no evidence against the version."""

    def _make_detector(self) -> Detector:
        return Detector(MAX_LIMIT, self._limits.alpha)

    def observe(
        self, tallies: Mapping[str, RouteTally], bad_by_endpoint: Counter[str], now_s: float
    ) -> None:
        """Take note of the answers so far.

        Parameters
        ----------
        tallies : mapping of str to RouteTally
            By route.
        bad_by_endpoint : Counter of str
            Bad answers of each endpoint of the new version.
        now_s : float
        """
        decay = exp(-max(0.0, now_s - self._observed_s) / RECENT_S)
        self._observed_s = now_s
        old_bad = sum(tally.old_bad for tally in tallies.values())
        old_total = sum(tally.old_total for tally in tallies.values())
        rate = (old_bad + 0.5) / (old_total + PRIOR_ANSWERS)
        strata: dict[str, Stratum] = {}
        for route, tally in tallies.items():
            seen = self._seen.get(route, RouteTally())
            self._seen[route] = tally
            recent = self._recent.setdefault(route, _Recent())
            recent.add(tally.old_bad - seen.old_bad, tally.old_total - seen.old_total, decay)
            total = tally.new_total - seen.new_total
            if total > 0:
                bad = min(total, max(0, tally.new_bad - seen.new_bad))
                strata[route] = Stratum(bad, total, self._acceptable_rate(tally, recent, rate))
        if not strata:
            return
        if self._all.e_value < NO_EVIDENCE:
            self._bad_before = self._bad_by_endpoint
        self._bad_by_endpoint = bad_by_endpoint
        self._all.observe_counts(strata.values())
        for route, stratum in strata.items():
            detector = self._detectors.setdefault(route, self._make_detector())
            detector.observe_counts([stratum])

    def _acceptable_rate(self, tally: RouteTally, recent: _Recent, rate: float) -> float:
        """Return the highest rate that a good version may have on a route.

        It is the old version's rate since the order, with one standard error, or its recent rate
        if that is higher.
        """
        answers = tally.old_total + PRIOR_ANSWERS
        mean = min(1.0, (tally.old_bad + PRIOR_ANSWERS * rate) / answers)
        usual = mean + sqrt(mean * (1.0 - mean) / answers)
        lately = (recent.bad + PRIOR_ANSWERS * usual) / (recent.total + PRIOR_ANSWERS)
        return min(MAX_LIMIT, max(self._limits.min_rate, usual, lately))

    @property
    def e_value(self) -> float:
        """Evidence against the version: the highest e-value over all routes together and each."""
        return max([self._all.e_value, *(each.e_value for each in self._detectors.values())])

    def is_shown(self) -> bool:
        """Whether the answers show that the version is bad."""
        alpha = self._limits.alpha
        if self._is_one_endpoint():
            alpha *= alpha
        return self.e_value * alpha >= 1.0

    def _is_one_endpoint(self) -> bool:
        """Whether one endpoint gave nearly all of the bad answers that are the evidence."""
        bad = self._bad_by_endpoint - self._bad_before
        return not bad or max(bad.values()) >= ONE_ENDPOINT_SHARE * bad.total()
