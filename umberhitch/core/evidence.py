"""Evidence on versions: collected at routers, pooled and judged at a few of them.

A judge holds three detectors for each version and class of request: on ratings, on failures and on
latency. Each compares with a reference: the version's own beginning or, for a version that is
rolled out, the one it replaces.
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
"""Ratings of one version and class that a router holds until it next passes them on."""

RATING_STEPS = 200
"""Ratings travel as whole steps of one two-hundredth."""


FALLBACK_SIGNALS: frozenset[str] = frozenset({"failures", "latency"})
"""Signals that may have a cause outside the version; they need another version to turn to."""


class Signal(StrEnum):
    """What an alarm was raised on."""

    RATINGS = "ratings"
    FAILURES = "failures"
    LATENCY = "latency"


@dataclass(frozen=True, slots=True)
class EvidenceLimits:
    """How much worse than its reference a version may be.

    Attributes
    ----------
    rating_slack : float
        Mean rating may be this much lower.
    failure_floor : float
        Share of failures that is always borne.
    failure_factor : float
        Failures may be this many times the reference's.
    slow_factor : float
        A request is slow if it takes this many times the reference's mean.
    slow_share : float
        Share of slow requests that is borne.
    alpha : float
        See `Detector`.
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
    """A version is judged bad."""

    version: str
    klass: str
    signal: Signal
    observations: int
    """Observed by that detector since it began."""


@dataclass(slots=True)
class _Tally:
    ratings: list[int] = field(default_factory=list)
    done: int = 0
    failed: int = 0
    latencies_ms: list[int] = field(default_factory=list)


class EvidenceBuffer:
    """What one router has observed and not yet passed on."""

    def __init__(self) -> None:
        self._tallies: dict[tuple[str, str], _Tally] = {}

    def _tally(self, version: str, klass: str) -> _Tally:
        return self._tallies.setdefault((version, klass), _Tally())

    def record_attempt(self, version: str, klass: str, is_done: bool, latency_s: float) -> None:
        """Note how an attempt ended."""
        tally = self._tally(version, klass)
        if is_done:
            tally.done += 1
            if len(tally.latencies_ms) < MAX_SAMPLES:
                tally.latencies_ms.append(round(latency_s * 1000))
        else:
            tally.failed += 1

    def record_rating(self, version: str, klass: str, rating: float) -> None:
        """Note a rating between 0 and 1."""
        tally = self._tally(version, klass)
        if len(tally.ratings) < MAX_SAMPLES:
            tally.ratings.append(round(min(1.0, max(0.0, rating)) * RATING_STEPS))

    def flush(self) -> list[Evidence]:
        """Return and forget what was observed."""
        tallies, self._tallies = self._tallies, {}
        return [
            Evidence(version, klass, tally.ratings, tally.done, tally.failed, tally.latencies_ms)
            for (version, klass), tally in tallies.items()
        ]


@dataclass(slots=True)
class _Watch:
    """What a judge holds of one version and class."""

    ratings: Baseline
    failures: Baseline
    latency: Baseline
    rating_detector: Detector | None = None
    failure_detector: Detector | None = None
    latency_detector: Detector | None = None


class VersionJudge:
    """Owns the detectors of one router.

    Parameters
    ----------
    limits : EvidenceLimits
    """

    def __init__(self, limits: EvidenceLimits | None = None) -> None:
        self._limits = limits or EvidenceLimits()
        self._watches: dict[tuple[str, str], _Watch] = {}
        self._previous: dict[str, str] = {}
        self.attempt_counts: dict[str, int] = {}
        """Ended attempts seen of each version."""
        self.rating_counts: dict[str, int] = {}
        """Ratings seen of each version."""

    def set_predecessor(self, version: str, previous: str) -> None:
        """Take the reference of a version from the one that it replaces."""
        self._previous[version] = previous

    def reset(self, version: str) -> None:
        """Begin anew with a version."""
        for key in [key for key in self._watches if key[0] == version]:
            del self._watches[key]

    def _watch(self, version: str, klass: str) -> _Watch:
        key = (version, klass)
        if key not in self._watches:
            needed = self._limits.baseline_observations
            self._watches[key] = _Watch(Baseline(needed), Baseline(needed), Baseline(needed))
        return self._watches[key]

    def _reference(self, version: str, klass: str) -> _Watch:
        """Return the watch whose references a version is held against."""
        own = self._watch(version, klass)
        previous = self._previous.get(version)
        other = self._watches.get((previous, klass)) if previous else None
        return other if other is not None and other.failures.mean is not None else own

    def observe(self, evidence: Evidence) -> Alarm | None:
        """Take one router's evidence; returns the first alarm that it raises."""
        version, klass = evidence.version, evidence.klass
        ended = evidence.done + evidence.failed
        self.attempt_counts[version] = self.attempt_counts.get(version, 0) + ended
        self.rating_counts[version] = self.rating_counts.get(version, 0) + len(evidence.ratings)
        own = self._watch(version, klass)
        reference = self._reference(version, klass)
        badness = [1.0 - rating / RATING_STEPS for rating in evidence.ratings]
        failures = [1.0] * evidence.failed + [0.0] * evidence.done
        latencies_s = [latency_ms / 1000 for latency_ms in evidence.latencies_ms]
        alarm = (
            self._judge_ratings(own, reference, badness)
            or self._judge_failures(own, reference, failures)
            or self._judge_latency(own, reference, latencies_s)
        )
        own.ratings.add(badness)
        own.failures.add(failures)
        own.latency.add(latencies_s)
        if alarm is None:
            return None
        return Alarm(version, klass, alarm[0], alarm[1])

    def _judge_ratings(
        self, own: _Watch, reference: _Watch, badness: list[float]
    ) -> tuple[Signal, int] | None:
        mean = reference.ratings.mean
        if mean is None:
            return None
        if own.rating_detector is None:
            limit = min(0.95, mean + self._limits.rating_slack)
            own.rating_detector = Detector(limit, self._limits.alpha)
        return _alarm_of(own.rating_detector, badness, Signal.RATINGS)

    def _judge_failures(
        self, own: _Watch, reference: _Watch, failures: list[float]
    ) -> tuple[Signal, int] | None:
        mean = reference.failures.mean
        if own.failure_detector is None:
            known = mean if mean is not None else 0.0
            borne = max(self._limits.failure_floor, self._limits.failure_factor * known)
            own.failure_detector = Detector(min(0.9, borne), self._limits.alpha)
        return _alarm_of(own.failure_detector, failures, Signal.FAILURES)

    def _judge_latency(
        self, own: _Watch, reference: _Watch, latencies_s: list[float]
    ) -> tuple[Signal, int] | None:
        mean = reference.latency.mean
        if mean is None:
            return None
        if own.latency_detector is None:
            own.latency_detector = Detector(self._limits.slow_share, self._limits.alpha)
        border_s = mean * self._limits.slow_factor
        slow = [1.0 if latency_s > border_s else 0.0 for latency_s in latencies_s]
        return _alarm_of(own.latency_detector, slow, Signal.LATENCY)


def _alarm_of(detector: Detector, values: list[float], signal: Signal) -> tuple[Signal, int] | None:
    if values and detector.observe(values):
        return signal, detector.count
    return None
