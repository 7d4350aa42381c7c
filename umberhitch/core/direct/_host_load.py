"""Load and pace of one endpoint, by what it reports and by what its calls take."""

from dataclasses import dataclass, field
from math import exp

from umberhitch.core.direct._pace import AgingFigure, Persistence
from umberhitch.core.direct._signals import ReportedLoad

__all__ = [
    "FORGET_S",
    "HostLoad",
    "ServiceLoad",
    "crowding",
    "expected_turns",
    "with_known_figures",
]

USUAL_PACE = 1.0
EVEN_PACE = 0.1
"""Deviation from the usual pace up to which a host counts as even with the others."""
FORGET_S = 10.0
"""Time in which two thirds of what is known of an endpoint's pace are given up, if nothing is heard
of it: otherwise an endpoint that was once slow would never be called again."""
ASSUMED_WORK_S = 0.02
ASSUMED_WORK_SAMPLES = 3.0
MAX_WORK_SAMPLES = 200.0
OTHERS_WEIGHT = 0.02
"""Weight of one report in the mean over a service's endpoints."""
ASSUMED_SLOWNESS_SAMPLES = 5.0
"""Weight of the assumption that an endpoint is as fast as others, in calls."""
MAX_SILENT_SAMPLES = 12.0
MAX_TOLD_SAMPLES = 100.0
"""Number of calls over which an endpoint's slowness is averaged. Where it reports its pace, the
slowness is only what the pace doesn't explain, which doesn't change as fast."""
MAX_SLOWNESS = 8.0
OWN_WORK_SHARE = 0.5
"""Weight of a call's own work beside the work before it."""


class ServiceLoad:
    """What the endpoints of one service have in common.

    Attributes
    ----------
    work_s : float
        Mean time that a call to the plain service takes at the usual pace, without a queue.
    uneven_s : float
        Time at which an endpoint last reported a pace other than the usual one.
    pace_persistence, load_persistence : Persistence
    """

    def __init__(self) -> None:
        self.work_s = ASSUMED_WORK_S
        self._others: float | None = None
        self.pace_persistence = Persistence()
        self.uneven_s = float("-inf")
        self.load_persistence = Persistence()
        self._samples = ASSUMED_WORK_SAMPLES

    @property
    def reports_load(self) -> bool:
        """Whether any of its endpoints has reported its load."""
        return self._others is not None

    def note_others(self, others: float) -> float:
        """Record the calls of other routers on one endpoint; return their mean by endpoint."""
        if self._others is None:
            self._others = others
        self._others += OTHERS_WEIGHT * (others - self._others)
        return self._others

    def add_sample(self, work_s: float) -> None:
        """Record the time that a call took at the usual pace, without its wait for a slot."""
        self._samples = min(MAX_WORK_SAMPLES, self._samples + 1.0)
        self.work_s += (work_s - self.work_s) / self._samples


@dataclass(slots=True)
class HostLoad:
    """What one lifetime of an endpoint reported, and what its calls took.

    Attributes
    ----------
    service : ServiceLoad
    pace : AgingFigure or None
        Pace as reported; None if it never was.
    others : AgingFigure or None
        Calls of other routers, by the reports; None if there were none.
    own_word : tuple of (float, float) or None
        Pace that this router has heard last itself, not from a peer, and when.
    """

    service: ServiceLoad = field(default_factory=ServiceLoad)
    pace: AgingFigure | None = None
    others: AgingFigure | None = None
    own_word: tuple[float, float] | None = None
    _slowness: float = 1.0
    _samples: float = ASSUMED_SLOWNESS_SAMPLES
    _sampled_s: float = 0.0

    def report(self, load: ReportedLoad, own_calls: int, now_s: float) -> None:
        """Record a report, which came while this router had so many calls there."""
        if load.pace is not None:
            self.own_word = load.pace, now_s
            self.update_pace(load.pace, now_s)
        others = (load.running or 0) + (load.waiting or 0) - float(own_calls)
        known = 0.0 if self.others is None else self.others.expected(now_s)
        if (load.running is None or load.waiting is None) and others <= known:
            return  # The sum is at least that; what is not known isn't zero.
        mean = self.service.note_others(others)
        if self.others is None:
            self.others = AgingFigure(self.service.load_persistence, mean, others, now_s)
        else:
            self.others.update(others, now_s)

    def update_pace(self, pace: float, reported_s: float) -> None:
        """Record a pace that the endpoint reported at a time, unless a later one is known."""
        if abs(pace - USUAL_PACE) > EVEN_PACE:
            self.service.uneven_s = max(self.service.uneven_s, reported_s)
        if self.pace is None:
            persistence = self.service.pace_persistence
            self.pace = AgingFigure(persistence, USUAL_PACE, pace, reported_s)
        elif reported_s >= self.pace.reported_s:
            self.pace.update(pace, reported_s)

    def reported_pace(self, now_s: float) -> float:
        """Return the pace to be expected by the reports; the usual one if there are none."""
        if self.pace is None:
            return USUAL_PACE
        known = exp(-self.pace.age_s(now_s) / FORGET_S)
        return USUAL_PACE + known * (self.pace.expected(now_s) - USUAL_PACE)

    def pace_and_age(self, now_s: float) -> tuple[float | None, float | None]:
        """Return the expected pace and the age of its last report, None without a report."""
        if self.pace is None:
            return None, None
        return self.reported_pace(now_s), self.pace.age_s(now_s)

    def pace_in_force(self, at_start: float) -> float:
        """Return the mean pace during a call that has just been answered.

        Parameters
        ----------
        at_start : float
            Pace that was expected when the call was sent.
        """
        return at_start if self.pace is None else (at_start + self.pace.value) / 2

    def slowness(self, now_s: float) -> float:
        """Return by what factor calls take longer than the reported pace explains."""
        known = exp(-max(0.0, now_s - self._sampled_s) / FORGET_S)
        return 1.0 + known * (self._slowness - 1.0)

    def calls(self, own: int, peers: int, now_s: float) -> float:
        """Return the expected number of calls on the endpoint.

        As a report ages, what the peers say of their own calls takes its place.
        """
        if self.others is None:
            return float(own + peers)
        weight = exp(-self.others.age_s(now_s) / FORGET_S)
        return own + weight * max(0.0, self.others.expected(now_s)) + (1.0 - weight) * peers

    def call_s(self, now_s: float) -> float:
        """Return the expected time of a call that doesn't wait for a slot, in seconds."""
        return self.service.work_s * self.slowness(now_s) * self.reported_pace(now_s)

    def add_sample(self, taken_s: float, turns: float, pace: float, now_s: float) -> None:
        """Record the time that a call took.

        Parameters
        ----------
        taken_s : float
        turns : float
            Expected multiple of a call's own time, by the queue when it was sent.
        pace : float
            Reported pace while it ran.
        now_s : float
        """
        work_s = taken_s / turns / pace
        self.service.add_sample(work_s)
        most = MAX_SILENT_SAMPLES if self.pace is None else MAX_TOLD_SAMPLES
        self._samples = min(most, self._samples + 1.0)
        ratio = min(MAX_SLOWNESS, work_s / self.service.work_s)
        self._slowness += (ratio - self._slowness) / self._samples
        self._sampled_s = now_s


def expected_turns(calls: float, slots: int) -> float:
    """Return the time until a call's end as a multiple of its own, if so many are before it."""
    return 1.0 + max(0.0, calls + 1.0 - slots) / slots


def crowding(calls: float, slots: int) -> float:
    """Return the cost of one more call, in units of a call's own time.

    The work before it grows with the calls there, and so does the number of those that it delays.
    """
    return OWN_WORK_SHARE + (calls / slots) ** 2


def with_known_figures(load: ReportedLoad, earlier: ReportedLoad | None) -> ReportedLoad:
    """Return a report in which an earlier one stands for the figures that are not known."""
    if earlier is None:
        return load
    return ReportedLoad(
        earlier.running if load.running is None else load.running,
        earlier.waiting if load.waiting is None else load.waiting,
        earlier.slots if load.slots is None else load.slots,
        load.pace,
    )
