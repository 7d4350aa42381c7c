"""Burn rates: how fast error budgets are spent, over several windows.

A request is good if it was completed within the latency of its objective. The burn rate over a
window is the share of bad requests divided by the share that the objective allows. An alert is
raised when the burn rates of both a long and a short window exceed a threshold, as in the "Site
Reliability Workbook" (Beyer and others, 2018), chapter 5.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from umberhitch.wire import BurnSlice

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

__all__ = [
    "WINDOWS_S",
    "AlertRule",
    "BurnCounter",
    "BurnRow",
    "Severity",
    "burn_rows",
    "merge_slices",
]

SLICE_S = 60
"""Length in seconds of the slices that make up a window."""
WINDOWS_S = (300, 1800, 3600, 21600)
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


class Severity(StrEnum):
    """Severity of an alert: the response that it asks for."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """An alert that is raised if the burn rates over a long and a short window reach a minimum."""

    severity: Severity
    long_window_s: int
    short_window_s: int
    min_rate: float


ALERT_RULES = (
    AlertRule(Severity.PAGE, 3600, 300, 14.4),
    AlertRule(Severity.PAGE, 21600, 1800, 6.0),
    AlertRule(Severity.TICKET, 21600, 3600, 1.0),
)
"""Rules from the workbook, without its three-day window, which exceeds the routers' retention."""


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn rates of one customer and request class.

    The latency percentiles are None if latencies are not recorded.
    """

    customer: str
    klass: str
    objective: float
    latency_s: float
    requests: int
    bad: int
    p50_ms: int | None
    p99_ms: int | None
    rates: dict[int, float]
    severity: Severity


def _make_histogram() -> "HdrHistogram":
    # Imported lazily: routers of the direct path record no latencies and must start fast.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class _Counts:
    good: int = 0
    bad: int = 0
    histogram: "HdrHistogram | None" = None

    def record_latency(self, latency_s: float) -> None:
        if self.histogram is None:
            self.histogram = _make_histogram()
        self.histogram.record_value(
            max(MIN_LATENCY_MS, min(MAX_LATENCY_MS, round(latency_s * 1000)))
        )

    def add_latencies(self, encoded: bytes) -> None:
        if encoded:
            if self.histogram is None:
                self.histogram = _make_histogram()
            self.histogram.decode_and_add(encoded)


class BurnCounter:
    """Counts of good and bad requests at one router, by minute.

    Parameters
    ----------
    retention_s : int
        How long counts are retained, in seconds.
    has_latencies : bool
        Whether latency histograms are recorded as well; they take about 16 KB for each customer,
        class and minute.
    """

    def __init__(self, retention_s: int = max(WINDOWS_S), has_latencies: bool = True) -> None:
        self._has_latencies = has_latencies
        self._slices: deque[tuple[int, dict[tuple[str, str], _Counts]]] = deque(
            maxlen=retention_s // SLICE_S + 1
        )

    def count(
        self, now_s: float, customer: str, klass: str, is_good: bool, latency_s: float
    ) -> None:
        """Count a finished request."""
        slot = int(now_s // SLICE_S)
        if not self._slices or self._slices[-1][0] != slot:
            self._slices.append((slot, {}))
        counts = self._slices[-1][1].setdefault((customer, klass), _Counts())
        if is_good:
            counts.good += 1
        else:
            counts.bad += 1
        if self._has_latencies:
            counts.record_latency(latency_s)

    def slices(self) -> list[BurnSlice]:
        """Return all counts as slices that `merge_slices` merges exactly."""
        return [
            BurnSlice(slot, customer, klass, counts.good, counts.bad, _encode(counts.histogram))
            for slot, slots in self._slices
            for (customer, klass), counts in slots.items()
        ]


def _encode(histogram: "HdrHistogram | None") -> bytes:
    return b"" if histogram is None else histogram.encode()


def merge_slices(slices: Iterable[BurnSlice]) -> dict[tuple[str, str], dict[int, _Counts]]:
    """Merge the slices of several routers; counts and histograms are added without loss."""
    merged: dict[tuple[str, str], dict[int, _Counts]] = {}
    for part in slices:
        slots = merged.setdefault((part.customer, part.klass), {})
        counts = slots.setdefault(part.slot, _Counts())
        counts.good += part.good
        counts.bad += part.bad
        counts.add_latencies(part.histogram)
    return merged


def burn_rows(
    slices: Iterable[BurnSlice], objectives: dict[str, tuple[float, float]], now_s: float
) -> list[BurnRow]:
    """Return the burn rates of every customer and class that has an objective.

    Parameters
    ----------
    slices : iterable of BurnSlice
        Slices of all routers.
    objectives : dict
        Maps a class to its target share of good requests and its latency in seconds.
    now_s : float
    """
    rows = []
    for (customer, klass), slots in sorted(merge_slices(slices).items()):
        if klass in objectives:
            objective, latency_s = objectives[klass]
            rows.append(_row(customer, klass, objective, latency_s, slots, now_s))
    return rows


def _row(
    customer: str,
    klass: str,
    objective: float,
    latency_s: float,
    slots: dict[int, _Counts],
    now_s: float,
) -> BurnRow:
    rates = {window_s: _rate(slots, window_s, now_s, objective) for window_s in WINDOWS_S}
    histograms = [counts.histogram for counts in slots.values() if counts.histogram is not None]
    total = _make_histogram() if histograms else None
    if total is not None:
        for histogram in histograms:
            total.add(histogram)
    severity = Severity.NONE
    for rule in ALERT_RULES:
        if (
            rates[rule.long_window_s] >= rule.min_rate
            and rates[rule.short_window_s] >= rule.min_rate
        ):
            severity = rule.severity
            break
    bad = sum(counts.bad for counts in slots.values())
    return BurnRow(
        customer,
        klass,
        objective,
        latency_s,
        bad + sum(counts.good for counts in slots.values()),
        bad,
        None if total is None else total.get_value_at_percentile(50),
        None if total is None else total.get_value_at_percentile(99),
        rates,
        severity,
    )


def _rate(slots: dict[int, _Counts], window_s: int, now_s: float, objective: float) -> float:
    """Return the burn rate over the window that ends at ``now_s``."""
    oldest = int((now_s - window_s) // SLICE_S) + 1
    good = sum(counts.good for slot, counts in slots.items() if slot >= oldest)
    bad = sum(counts.bad for slot, counts in slots.items() if slot >= oldest)
    if good + bad == 0:
        return 0.0
    return round(bad / (good + bad) / (1.0 - objective), 3)
