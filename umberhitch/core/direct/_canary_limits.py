"""Schedule and thresholds of a canary roll-out, and its stages."""

from dataclasses import dataclass
from enum import StrEnum

from umberhitch.core.direct._evidence import EvidenceThreshold
from umberhitch.core.direct._version_change import ChangeLimits

__all__ = ["CanaryLimits", "RolloutStage"]


@dataclass(frozen=True, slots=True)
class CanaryLimits:
    """Schedule and thresholds of a roll-out; its progress runs from 0 to 1.

    Attributes
    ----------
    exposure_share : float
        The users' bound for a bad version, as a share of all requests.
    exposure_slack : float
        Requests that the bound allows in addition.
    canary_use : float
        Share of `exposure_share` that is used all the time; the rest is for the load test and for
        all work before the deadline.
    load_test_start : float
        Progress from which light work goes to one endpoint of the new version, as far as that
        endpoint has capacity.
    load_test_end : float
        Progress at which the load test ends.
    load_test_use : float
        Share of the bound up to which the load test may use it.
    full_load : float
        Share of an endpoint's slots that must be in use for it to count as fully loaded.
    min_full_shift : float
        Progress from which all new work may go to the new version, provided the remaining exposure
        bound covers it to the end.
    max_full_shift : float
        Progress from which all new work goes to the new version in any case.
    exposure_use : float
        Share of the bound that is used at other times before all work moves, and share of the slack
        that is relied on. Answers that were dropped for a larger model's count as requests in the
        bound, but are not counted here.
    drained_completion : float
        Progress from which a version is declared good once no call runs on the old one and enough
        answers under all work are good.
    forced_completion : float
        Progress from which a version is declared good unless it is suspect.
    min_answers : int
        Answers under all work that are enough to be declared good before `forced_completion`.
    suspect_e_value : float
        Evidence from which a version is not declared good. It would be much too little to roll back
        at any time, but it is asked for only once.
    failed : EvidenceThreshold
        Threshold for failures that the endpoint itself reported.
    broken, slow : EvidenceThreshold
        Thresholds for broken and slow answers. They are higher than the one for failures: a lost
        endpoint breaks off all its answers at once, and load makes them slow all at once, though
        the version is good.
    failed_change, broken_change, slow_change : ChangeLimits
        The same for answers since any moment at which the version may have changed. Load makes
        answers slow all at once, so that a high rate of slow ones is acceptable.
    session_s : float
        Longest pause in seconds between the end of one request of a session and the start of the
        next.
    settle_s : float
        Seconds after the order during which the new version gets no traffic. Routers receive the
        order within some tenths of a second of each other, and by then have reported to each other
        which sessions are on the old version.
    """

    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    canary_use: float = 0.4
    load_test_start: float = 0.505
    load_test_end: float = 0.62
    load_test_use: float = 0.45
    full_load: float = 0.75
    min_full_shift: float = 0.85
    max_full_shift: float = 0.95
    exposure_use: float = 0.6
    drained_completion: float = 0.94
    forced_completion: float = 0.97
    min_answers: int = 20
    suspect_e_value: float = 1000.0
    failed: EvidenceThreshold = EvidenceThreshold(rate=1.0)
    broken: EvidenceThreshold = EvidenceThreshold(min_count=6, rate=0.2, max_assumed_rate=0.02)
    slow: EvidenceThreshold = EvidenceThreshold(
        min_count=4, rate=0.3, max_assumed_rate=0.1, deviations=6.0
    )
    failed_change: ChangeLimits = ChangeLimits(min_rate=0.005, alpha=1e-5)
    broken_change: ChangeLimits = ChangeLimits(min_rate=0.05, alpha=1e-6)
    slow_change: ChangeLimits = ChangeLimits(min_rate=0.3, alpha=1e-6)
    session_s: float = 5.0
    settle_s: float = 1.0

    @property
    def canary_share(self) -> float:
        """Share of the work for the new version before all work moves."""
        return self.canary_use * self.exposure_share


class RolloutStage(StrEnum):
    """What the new version gets in a part of the roll-out."""

    SETTLING = "settling"
    """Nothing."""
    CANARY = "canary"
    """Its small share of the work."""
    LOAD_TEST = "load test"
    """All light work, at one endpoint."""
    ALL_WORK = "all work"
