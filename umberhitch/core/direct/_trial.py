"""One roll-out on the direct path: the share that the new version gets, and the verdict.

During the first half the new version gets a small, fixed share: a session keeps the version on
which it began. Evidence is pooled over all routers. In the second half the share grows step by
step, and only upwards, so that a session moves once and never back. A version that fails more than
the old one gets nothing any more, at once; one that has shown nothing bad is declared good well
before the time that the operator gave.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import sqrt

from umberhitch.core.direct._types import RolloutOrder, RolloutState

__all__ = ["Counts", "Trial", "TrialLimits"]

MAX_SESSIONS = 20_000


@dataclass(frozen=True, slots=True)
class TrialLimits:
    """How a roll-out goes.

    Attributes
    ----------
    first_share : float
        Share of the work for the new version in the first half; below the users' exposure bound.
    steps : tuple of (float, float)
        From which part of the time on the new version gets which share.
    done_part : float
        Part of the time after which a good version is declared so.
    least_bad : int
        Bad answers without which no version is turned back.
    bad_rate : float
        Rate of bad answers over which a version is turned back, and
    bad_ratio : float
        how many times the old version's rate it must be.
    usual_rate : float
        Rate of bad answers that is taken for usual where the old version has shown less.
    deviations : float
        Standard deviations by which bad answers must exceed what the old version's rate leads to
        expect (a Poisson law), on two endpoints at least: so that a small rate is found too, given
        enough answers.
    session_s : float
        Requests of a session that are not further apart belong together.
    """

    first_share: float = 0.08
    steps: tuple[tuple[float, float], ...] = ((0.52, 0.25), (0.58, 0.5), (0.64, 1.0))
    done_part: float = 0.78
    least_bad: int = 3
    bad_rate: float = 0.12
    bad_ratio: float = 3.0
    usual_rate: float = 0.005
    deviations: float = 3.0
    session_s: float = 5.0


@dataclass(slots=True)
class Counts:
    """Answers of one version, on one route or on all.

    Attributes
    ----------
    answers, bad : int
    endpoints : set of str
        On which bad answers came.
    """

    answers: int = 0
    bad: int = 0
    endpoints: set[str] = field(default_factory=set)

    @property
    def rate(self) -> float:
        """Share of bad answers."""
        return self.bad / self.answers if self.answers else 0.0


@dataclass(frozen=True, slots=True)
class _Pin:
    """The version of a session, and when it was seen last."""

    is_target: bool
    at_s: float
    draw: float


class Trial:
    """One router's view of one roll-out.

    Parameters
    ----------
    order : RolloutOrder
    started_s : float
        When this router took the order, or before that as far as a peer told.
    limits : TrialLimits
    """

    def __init__(self, order: RolloutOrder, started_s: float, limits: TrialLimits) -> None:
        self.order = order
        self.started_s = started_s
        self.limits = limits
        self.state = RolloutState.IN_PROGRESS
        self.own: dict[tuple[bool, str], Counts] = {}
        self._others: dict[str, dict[tuple[bool, str], Counts]] = {}
        self._sessions: OrderedDict[str, _Pin] = OrderedDict()

    def part(self, now_s: float) -> float:
        """Return which part of the time has passed."""
        return (now_s - self.started_s) / max(0.001, self.order.duration_s)

    def share(self, now_s: float) -> float:
        """Return the share of the work that the new version gets now."""
        match self.state:
            case RolloutState.ROLLED_BACK:
                return 0.0
            case RolloutState.COMPLETED:
                return 1.0
        share = self.limits.first_share
        part = self.part(now_s)
        for start, value in self.limits.steps:
            if part >= start:
                share = value
        return share

    def is_for_target(
        self, session: str | None, draw: float, now_s: float, has_target: bool = True
    ) -> bool:
        """Whether a request goes to the new version.

        Parameters
        ----------
        session : str or None
        draw : float
            0 to 1; the same for every request of a session, whichever router it reaches.
        now_s : float
        has_target : bool
            Whether any endpoint of the new version takes work.
        """
        chosen = has_target and draw < self.share(now_s)
        if session is None or self.state is not RolloutState.IN_PROGRESS:
            return chosen
        known = self._sessions.pop(session, None)
        if known is not None and now_s - known.at_s <= self.limits.session_s:
            if known.is_target:
                chosen = True  # never back
            elif self.part(now_s) < self.limits.steps[0][0]:
                chosen = False  # begun on the old version: stays for the first half
        self._sessions[session] = _Pin(chosen, now_s, draw)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return chosen

    def seen_before(self, session: str, at_s: float, draw: float) -> None:
        """Note a session that is on the old version, here or at another router."""
        known = self._sessions.get(session)
        if known is None or (not known.is_target and known.at_s < at_s):
            self._sessions[session] = _Pin(False, at_s, draw)

    def kept_back(self, now_s: float) -> list[str]:
        """Return the sessions that another router would send to the new version, and must not.

        They are on the old version and began there before the roll-out, though their draw is within
        the share of the first half.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return []
        if self.part(now_s) >= self.limits.steps[0][0]:
            return []
        oldest_s = now_s - self.limits.session_s
        return [
            session
            for session, pin in self._sessions.items()
            if pin.draw < self.limits.first_share and not pin.is_target and pin.at_s >= oldest_s
        ]

    def note(self, is_target: bool, route: str, endpoint: str, is_bad: bool) -> None:
        """Count an answer that this router got."""
        counts = self.own.setdefault((is_target, route), Counts())
        counts.answers += 1
        if is_bad:
            counts.bad += 1
            counts.endpoints.add(endpoint)

    def take(self, router: str, counts: dict[tuple[bool, str], Counts]) -> None:
        """Take what another incarnation of a router has counted since its start."""
        self._others[router] = counts

    def pooled(self, is_target: bool, route: str | None = None) -> Counts:
        """Return what all routers have counted of the new or of the old version."""
        total = Counts()
        for source in (self.own, *self._others.values()):
            for (of_target, name), counts in source.items():
                if of_target == is_target and route in (None, name):
                    total.answers += counts.answers
                    total.bad += counts.bad
                    total.endpoints |= counts.endpoints
        return total

    def routes(self) -> set[str]:
        """Return the routes on which there are answers."""
        return {name for source in (self.own, *self._others.values()) for _, name in source}

    def is_bad(self) -> bool:
        """Whether the evidence is against the new version, over all or on one route."""
        if self._is_worse(None):
            return True
        return any(self._is_worse(route) for route in self.routes())

    def _is_worse(self, route: str | None) -> bool:
        new, old = self.pooled(True, route), self.pooled(False, route)
        limits = self.limits
        if new.bad < limits.least_bad:
            return False
        if new.rate > max(limits.bad_rate, limits.bad_ratio * old.rate):
            return True
        expected = new.answers * max(limits.usual_rate, old.rate)
        bar = limits.least_bad + expected + limits.deviations * sqrt(expected)
        return new.bad > bar and len(new.endpoints) > 1

    def verdict(self, now_s: float, old_running: int) -> RolloutState:
        """Return the state that the roll-out should have now.

        Parameters
        ----------
        now_s : float
        old_running : int
            Calls that still run on the old version.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return self.state
        if self.is_bad():
            return RolloutState.ROLLED_BACK
        part = self.part(now_s)
        if part >= self.limits.done_part and (old_running == 0 or part >= 0.9):
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS
