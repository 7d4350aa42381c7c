"""Service-level burn: how fast an error budget is spent, over several windows.

A request is good if it was done within its objective's latency. The burn rate over a window is the
share of bad requests divided by the share that the objective allows. An alert is raised when both a
long and a short window burn fast, as in the "Site Reliability Workbook" (Beyer and others, 2018),
chapter 5.
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
"""Length of the slices that windows are made of."""
WINDOWS_S = (300, 1800, 3600, 21600)
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


class Severity(StrEnum):
    """What an alert asks for."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Burn rates over a long and a short window that together raise an alert."""

    severity: Severity
    long_window_s: int
    short_window_s: int
    min_rate: float


ALERT_RULES = (
    AlertRule(Severity.PAGE, 3600, 300, 14.4),
    AlertRule(Severity.PAGE, 21600, 1800, 6.0),
    AlertRule(Severity.TICKET, 21600, 3600, 1.0),
)
"""The workbook's, but for the three-day window, which is longer than routers remember."""


@dataclass(frozen=True, slots=True)
class BurnRow:
    """The burn of one customer and class; its latencies are None where they are not kept."""

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
    # Imported only where latencies are kept: not by routers of the direct path, which start fast.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class _Cell:
    good: int = 0
    bad: int = 0
    histogram: "HdrHistogram | None" = None

    def note_latency(self, latency_s: float) -> None:
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
    """What one router has counted, by minute.

    Parameters
    ----------
    keep_s : int
        How far back the book goes.
    has_latencies : bool
        Whether latencies are kept besides the counts; they take some 16 KB for each customer, class
        and minute.
    """

    def __init__(self, retention_s: int = max(WINDOWS_S), has_latencies: bool = True) -> None:
        self._has_latencies = has_latencies
        self._slices: deque[tuple[int, dict[tuple[str, str], _Cell]]] = deque(
            maxlen=retention_s // SLICE_S + 1
        )

    def count(
        self, now_s: float, customer: str, klass: str, is_good: bool, latency_s: float
    ) -> None:
        """Count a request that has ended."""
        slot = int(now_s // SLICE_S)
        if not self._slices or self._slices[-1][0] != slot:
            self._slices.append((slot, {}))
        cell = self._slices[-1][1].setdefault((customer, klass), _Cell())
        if is_good:
            cell.good += 1
        else:
            cell.bad += 1
        if self._has_latencies:
            cell.note_latency(latency_s)

    def slices(self) -> list[BurnSlice]:
        """Return everything in the book, in a form that can be merged exactly."""
        return [
            BurnSlice(slot, customer, klass, cell.good, cell.bad, _encode(cell.histogram))
            for slot, cells in self._slices
            for (customer, klass), cell in cells.items()
        ]


def _encode(histogram: "HdrHistogram | None") -> bytes:
    return b"" if histogram is None else histogram.encode()


def merge_slices(slices: Iterable[BurnSlice]) -> dict[tuple[str, str], dict[int, _Cell]]:
    """Merge the slices of several routers; counts and histograms add up exactly."""
    merged: dict[tuple[str, str], dict[int, _Cell]] = {}
    for part in slices:
        cells = merged.setdefault((part.customer, part.klass), {})
        cell = cells.setdefault(part.slot, _Cell())
        cell.good += part.good
        cell.bad += part.bad
        cell.add_latencies(part.histogram)
    return merged


def burn_rows(
    slices: Iterable[BurnSlice], objectives: dict[str, tuple[float, float]], now_s: float
) -> list[BurnRow]:
    """Return the burn of every customer and class that has an objective.

    Parameters
    ----------
    slices : iterable of BurnSlice
        Of all routers.
    objectives : dict
        By class: share of requests that are to be good, and their latency in seconds.
    now_s : float
    """
    rows = []
    for (customer, klass), cells in sorted(merge_slices(slices).items()):
        if klass in objectives:
            objective, latency_s = objectives[klass]
            rows.append(_row(customer, klass, objective, latency_s, cells, now_s))
    return rows


def _row(
    customer: str,
    klass: str,
    objective: float,
    latency_s: float,
    cells: dict[int, _Cell],
    now_s: float,
) -> BurnRow:
    rates = {window_s: _rate(cells, window_s, now_s, objective) for window_s in WINDOWS_S}
    histograms = [cell.histogram for cell in cells.values() if cell.histogram is not None]
    total = _make_histogram() if histograms else None
    if total is not None:
        for histogram in histograms:
            total.add(histogram)
    severity = Severity.NONE
    for alert in ALERT_RULES:
        if (
            rates[alert.long_window_s] >= alert.min_rate
            and rates[alert.short_window_s] >= alert.min_rate
        ):
            severity = alert.severity
            break
    bad = sum(cell.bad for cell in cells.values())
    return BurnRow(
        customer,
        klass,
        objective,
        latency_s,
        bad + sum(cell.good for cell in cells.values()),
        bad,
        None if total is None else total.get_value_at_percentile(50),
        None if total is None else total.get_value_at_percentile(99),
        rates,
        severity,
    )


def _rate(cells: dict[int, _Cell], window_s: int, now_s: float, objective: float) -> float:
    """Return the burn rate over a window that ends now."""
    oldest = int((now_s - window_s) // SLICE_S) + 1
    good = sum(cell.good for slot, cell in cells.items() if slot >= oldest)
    bad = sum(cell.bad for slot, cell in cells.items() if slot >= oldest)
    if good + bad == 0:
        return 0.0
    return round(bad / (good + bad) / (1.0 - objective), 3)
