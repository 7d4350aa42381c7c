"""Evidence on versions: collected at all routers, pooled and evaluated at a few of them.

`VersionJudge` holds three detectors for each version and request class: on ratings, on failures
and on latency. Each compares with a baseline: the first observations of the version itself or, for
a version that is being rolled out, those of the version that it replaces.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from umberhitch.core.detector import Baseline, Detector
from umberhitch.wire import Evidence

__all__ = [
    "FALLBACK_SIGNALS",
    "Alarm",
    "EvidenceBuffer",
    "EvidenceLimits",
    "Signal",
    "VersionJudge",
]

MAX_SAMPLES = 256
"""Maximum number of ratings and of latencies per version and class that a router buffers."""

RATING_STEPS = 200
"""Ratings are sent as integers in units of 1/200."""


FALLBACK_SIGNALS: frozenset[str] = frozenset({"failures", "latency"})
"""Signals with possible causes outside the version; acting on them requires another version."""


class Signal(StrEnum):
    """The kind of observations that raised an alarm."""

    RATINGS = "ratings"
    FAILURES = "failures"
    LATENCY = "latency"


@dataclass(frozen=True, slots=True)
class EvidenceLimits:
    """How much worse than its baseline a version may be.

    Attributes
    ----------
    rating_slack : float
        Allowed decrease of the mean rating.
    failure_floor : float
        Share of failures that is always allowed.
    failure_factor : float
        Allowed share of failures as a multiple of the baseline.
    slow_factor : float
        Multiple of the baseline's mean latency above which a request counts as slow.
    slow_share : float
        Allowed share of slow requests.
    baseline_observations : int
        Number of observations that make up a baseline.
    alpha : float
        Inverse of the mean number of observations between false alarms; see `Detector`.
    """

    rating_slack: float = 0.03
    failure_floor: float = 0.03
    failure_factor: float = 3.0
    slow_factor: float = 1.5
    slow_share: float = 0.25
    baseline_observations: int = 200
    alpha: float = 1e-6


@dataclass(frozen=True, slots=True)
class Alarm:
    """A version that was found to be bad, and why."""

    version: str
    klass: str
    signal: Signal
    observations: int
    """Number of observations of the detector that raised the alarm."""


@dataclass(slots=True)
class _Tally:
    ratings: list[int] = field(default_factory=list)
    done: int = 0
    failed: int = 0
    latencies_ms: list[int] = field(default_factory=list)


class EvidenceBuffer:
    """Observations of one router that it has not yet sent."""

    def __init__(self) -> None:
        self._tallies: dict[tuple[str, str], _Tally] = {}

    def _tally(self, version: str, klass: str) -> _Tally:
        return self._tallies.setdefault((version, klass), _Tally())

    def record_attempt(self, version: str, klass: str, is_done: bool, latency_s: float) -> None:
        """Record the result of an attempt."""
        tally = self._tally(version, klass)
        if is_done:
            tally.done += 1
            if len(tally.latencies_ms) < MAX_SAMPLES:
                tally.latencies_ms.append(round(latency_s * 1000))
        else:
            tally.failed += 1

    def record_rating(self, version: str, klass: str, rating: float) -> None:
        """Record a rating between 0 and 1."""
        tally = self._tally(version, klass)
        if len(tally.ratings) < MAX_SAMPLES:
            tally.ratings.append(round(min(1.0, max(0.0, rating)) * RATING_STEPS))

    def flush(self) -> list[Evidence]:
        """Return the buffered observations and clear the buffer."""
        tallies, self._tallies = self._tallies, {}
        return [
            Evidence(version, klass, tally.ratings, tally.done, tally.failed, tally.latencies_ms)
            for (version, klass), tally in tallies.items()
        ]


@dataclass(slots=True)
class _VersionState:
    """Baselines and detectors of one version and class."""

    ratings: Baseline
    failures: Baseline
    latency: Baseline
    rating_detector: Detector | None = None
    failure_detector: Detector | None = None
    latency_detector: Detector | None = None


class VersionJudge:
    """Detectors of one router, for all versions and classes.

    Parameters
    ----------
    limits : EvidenceLimits
    """

    def __init__(self, limits: EvidenceLimits | None = None) -> None:
        self._limits = limits or EvidenceLimits()
        self._states: dict[tuple[str, str], _VersionState] = {}
        self._previous: dict[str, str] = {}
        self.attempt_counts: dict[str, int] = {}
        """Number of finished attempts by version."""
        self.rating_counts: dict[str, int] = {}
        """Number of ratings by version."""

    def set_predecessor(self, version: str, previous: str) -> None:
        """Compare a version with the baseline of the version that it replaces."""
        self._previous[version] = previous

    def reset(self, version: str) -> None:
        """Discard the baselines and detectors of a version."""
        for key in [key for key in self._states if key[0] == version]:
            del self._states[key]

    def _state(self, version: str, klass: str) -> _VersionState:
        key = (version, klass)
        if key not in self._states:
            count = self._limits.baseline_observations
            self._states[key] = _VersionState(Baseline(count), Baseline(count), Baseline(count))
        return self._states[key]

    def _baseline_state(self, version: str, klass: str) -> _VersionState:
        """Return the state whose baselines a version is compared with."""
        own = self._state(version, klass)
        previous = self._previous.get(version)
        other = self._states.get((previous, klass)) if previous else None
        return other if other is not None and other.failures.mean is not None else own

    def observe(self, evidence: Evidence) -> Alarm | None:
        """Add the evidence of one router and return the first alarm that it raises, or None."""
        version, klass = evidence.version, evidence.klass
        ended = evidence.done + evidence.failed
        self.attempt_counts[version] = self.attempt_counts.get(version, 0) + ended
        self.rating_counts[version] = self.rating_counts.get(version, 0) + len(evidence.ratings)
        own = self._state(version, klass)
        baseline = self._baseline_state(version, klass)
        badness = [1.0 - rating / RATING_STEPS for rating in evidence.ratings]
        failures = [1.0] * evidence.failed + [0.0] * evidence.done
        latencies_s = [latency_ms / 1000 for latency_ms in evidence.latencies_ms]
        alarm = (
            self._check_ratings(own, baseline, badness)
            or self._check_failures(own, baseline, failures)
            or self._check_latency(own, baseline, latencies_s)
        )
        own.ratings.add(badness)
        own.failures.add(failures)
        own.latency.add(latencies_s)
        if alarm is None:
            return None
        return Alarm(version, klass, alarm[0], alarm[1])

    def _check_ratings(
        self, own: _VersionState, baseline: _VersionState, badness: list[float]
    ) -> tuple[Signal, int] | None:
        mean = baseline.ratings.mean
        if mean is None:
            return None
        if own.rating_detector is None:
            limit = min(0.95, mean + self._limits.rating_slack)
            own.rating_detector = Detector(limit, self._limits.alpha)
        return _observe(own.rating_detector, badness, Signal.RATINGS)

    def _check_failures(
        self, own: _VersionState, baseline: _VersionState, failures: list[float]
    ) -> tuple[Signal, int] | None:
        mean = baseline.failures.mean
        if own.failure_detector is None:
            baseline_mean = mean if mean is not None else 0.0
            allowed = max(self._limits.failure_floor, self._limits.failure_factor * baseline_mean)
            own.failure_detector = Detector(min(0.9, allowed), self._limits.alpha)
        return _observe(own.failure_detector, failures, Signal.FAILURES)

    def _check_latency(
        self, own: _VersionState, baseline: _VersionState, latencies_s: list[float]
    ) -> tuple[Signal, int] | None:
        mean = baseline.latency.mean
        if mean is None:
            return None
        if own.latency_detector is None:
            own.latency_detector = Detector(self._limits.slow_share, self._limits.alpha)
        threshold_s = mean * self._limits.slow_factor
        slow = [1.0 if latency_s > threshold_s else 0.0 for latency_s in latencies_s]
        return _observe(own.latency_detector, slow, Signal.LATENCY)


def _observe(detector: Detector, values: list[float], signal: Signal) -> tuple[Signal, int] | None:
    if values and detector.observe(values):
        return signal, detector.count
    return None
