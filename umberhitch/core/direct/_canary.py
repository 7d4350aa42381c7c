"""One roll-out on the direct path: the share that the new version gets, and the verdict.

During the first half the new version gets a small, fixed share: a session keeps the version on
which it began. Evidence is pooled over all routers. Then one of its endpoints gets all light work
for a while, so that it is loaded fully: a version that fails under load shows it before much has
run on it. If it was, all work moves then. If too little came to load it, the new version gets no
more than the users' exposure bound allows a bad one, and all work moves near the end: one that
shows nothing before it bears all the load has had no more by then. A session moves once and never
back. A version that fails more than the old one gets nothing any more, at once; one that has shown
nothing bad is declared good before its time is over.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

from umberhitch.core.direct._evidence import AnswerCounts, AnswerVerdict, EvidenceThreshold
from umberhitch.core.direct._types import RolloutOrder, RolloutState

__all__ = ["Canary", "CanaryLimits"]

MAX_SESSIONS = 20_000
LOAD_TEST_TAIL = 0.08
"""Part of the time in which what began under the proof's load comes to its end."""
BREAK_DEDUPLICATION_S = 1.0
"""An endpoint that is lost breaks off all its answers within such a time."""


@dataclass(frozen=True, slots=True)
class CanaryLimits:
    """How a roll-out goes.

    Attributes
    ----------
    first_share : float
        Share of the work for the new version in the first half; below the users' exposure bound.
    half : float
        Part of the time from which on light work goes to one endpoint of the new version as far as
        that has room, and
    proved : float
        up to which it does; then all new work goes to the new version if the endpoint was full, and
        else its share.
    first_all_part, all_part : float
        Part of the time from which on all new work may go also to a version that was not, if what
        is left of the bound covers it to the end, and from which on it does.
    exposure_share, exposure_slack : float
        The users' bound for a bad version: its share of all requests, and so many besides.
    exposure_proof : float
        Share of the bound that is used while one endpoint is loaded.
    exposure_kept : float
        Share of the bound that is used besides before all work moves, and of the slack that is
        counted on: answers that were dropped for a larger model's are requests, too, and not
        counted here.
    done_part, last_part : float
        Part of the time after which a good version that bore full load is declared so once nothing
        runs on the old one any more, and after which it is whatever runs there.
    late_done_part, late_last_part : float
        The same for one that did not.
    failed, broken, slow : EvidenceThreshold
        An endpoint that is lost breaks off answers though its version is good, and load makes them
        slow, all at once: so those have to be more than failures by the endpoint's own word.
    session_s : float
        Requests of a session belong together where one begins so soon after the one before ended.
    settle_s : float
        Until so long after the order the new version gets nothing: routers take the order within
        some tenths of a second of each other, and tell each other by then which sessions are on
        the old version.
    """

    canary_share: float = 0.07
    load_test_start: float = 0.505
    load_test_end: float = 0.62
    full_load: float = 0.75
    min_full_shift: float = 0.85
    max_full_shift: float = 0.95
    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    load_test_exposure_use: float = 1.0
    exposure_use: float = 0.6
    drained_completion: float = 0.8
    forced_completion: float = 0.9
    untested_drained_completion: float = 0.94
    untested_forced_completion: float = 0.97
    failed: EvidenceThreshold = EvidenceThreshold()
    broken: EvidenceThreshold = EvidenceThreshold(min_count=6, rate=0.2, max_assumed_rate=0.02)
    slow: EvidenceThreshold = EvidenceThreshold(
        min_count=4, rate=0.3, max_assumed_rate=0.1, deviations=6.0
    )
    session_s: float = 5.0
    settle_s: float = 1.0


@dataclass(frozen=True, slots=True)
class _Pin:
    """The version of a session, and when a request of it began or ended last."""

    is_target: bool
    at_s: float
    draw: float
    is_own: bool = False
    """Whether this router sent it there; what it only heard it does not tell on."""


class Canary:
    """One router's view of one roll-out.

    Parameters
    ----------
    order : RolloutOrder
    started_s : float
        When this router took the order, or before that as far as a peer told.
    limits : CanaryLimits
    """

    def __init__(self, order: RolloutOrder, started_s: float, limits: CanaryLimits) -> None:
        self.order = order
        self.started_s = started_s
        self.limits = limits
        self.state = RolloutState.IN_PROGRESS
        self.own_counts: dict[tuple[bool, str], AnswerCounts] = {}
        self.is_load_tested = False
        """Whether an endpoint of the new version was loaded fully."""
        self.unreported_moved: list[str] = []
        """Sessions that other routers would send to the old version, and that they have not been
        told of yet."""
        self.unreported_pinned: list[str] = []
        """The same of sessions on the old version that others would send to the new one."""
        self._bears_all = False
        self._others: dict[str, dict[tuple[bool, str], AnswerCounts]] = {}
        self._broken_s: dict[str, float] = {}
        self._sessions: OrderedDict[str, _Pin] = OrderedDict()

    def progress(self, now_s: float) -> float:
        """Return which part of the time has passed."""
        return (now_s - self.started_s) / max(0.001, self.order.duration_s)

    def traffic_share(self, now_s: float, is_light: bool = False) -> float:
        """Return the share of the work that the new version gets now."""
        match self.state:
            case RolloutState.ROLLED_BACK:
                return 0.0
            case RolloutState.COMPLETED:
                return 1.0
        if self.takes_all_traffic(now_s) or (is_light and self.is_load_testing(now_s)):
            return 1.0
        if now_s - self.started_s < self.limits.settle_s:
            return 0.0
        return self.limits.canary_share

    def takes_all_traffic(self, now_s: float) -> bool:
        """Whether all new work goes to the new version."""
        limits, part = self.limits, self.progress(now_s)
        if self.is_load_tested:
            return part >= limits.load_test_end
        if part < limits.min_full_shift:
            return False
        self._bears_all = self._bears_all or part >= limits.max_full_shift or self._has_room(part)
        return self._bears_all

    def _has_room(self, part: float) -> bool:
        """Whether the bound covers all that will come from now to the end, and a fifth more."""
        limits = self.limits
        new = self.pooled_counts(True).answers
        at_end = (new + self.pooled_counts(False).answers) / part
        room = limits.exposure_share * at_end + limits.exposure_use * limits.exposure_slack - new
        return 1.2 * (1.0 - part) * at_end <= room

    def is_within_exposure(self, now_s: float, new_running: int, old_running: int) -> bool:
        """Whether the new version may get one more request before all work moves.

        Parameters
        ----------
        now_s : float
        new_running, old_running : int
            Calls under way, which no answer tells of yet.
        """
        if self.state is not RolloutState.IN_PROGRESS or self.takes_all_traffic(now_s):
            return True
        limits = self.limits
        new = self.pooled_counts(True).answers + new_running + 1
        total = new + self.pooled_counts(False).answers + old_running
        kept = limits.load_test_exposure_use if self.is_load_testing(now_s) else limits.exposure_use
        return new <= kept * (limits.exposure_share * total + limits.exposure_slack)

    def pins_sessions(self, now_s: float) -> bool:
        """Whether sessions still stay where they are."""
        return self.progress(now_s) < self.limits.load_test_start

    def is_load_testing(self, now_s: float) -> bool:
        """Whether one endpoint of the new version is loaded first."""
        return not self.pins_sessions(now_s) and self.progress(now_s) < self.limits.load_test_end

    def routes_to_target(
        self,
        session: str | None,
        draw: float,
        now_s: float,
        has_target: bool = True,
        is_light: bool = False,
        is_within_exposure: bool = True,
    ) -> bool:
        """Whether a request goes to the new version.

        Parameters
        ----------
        session : str or None
        draw : float
            0 to 1; the same for every request of a session, whichever router it reaches.
        now_s : float
        has_target : bool
            Whether an endpoint of the new version takes work.
        is_light : bool
            Whether the request reads little.
        is_within_exposure : bool
            Whether the new version may get more, see `is_within_bound`. The sessions of its share
            it gets always, so that they stay where they are.
        """
        share = self.traffic_share(now_s, is_light)
        if not is_within_exposure:
            share = 0.0 if session is None else min(share, self.limits.canary_share)
        chosen = has_target and draw < share
        if session is None or self.state is not RolloutState.IN_PROGRESS:
            return chosen
        known = self._sessions.pop(session, None)
        if known is not None and now_s - known.at_s <= self.limits.session_s:
            if known.is_target:
                chosen = True  # never back
            elif self.pins_sessions(now_s):
                chosen = False  # begun on the old version: stays for the first half
        was_target = known is not None and known.is_target
        if chosen and not was_target and self._is_told(draw, now_s):
            self.unreported_moved.append(session)
        if not chosen and self._is_kept(draw, now_s):
            self.unreported_pinned.append(session)
        self._sessions[session] = _Pin(chosen, now_s, draw, True)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return chosen

    def note_request_finished(self, session: str, now_s: float) -> None:
        """Note that a request of a session has ended: the session lasts from then."""
        pin = self._sessions.get(session)
        if pin is not None:
            self._sessions[session] = replace(pin, at_s=now_s)

    def note_old_session(self, session: str, at_s: float, draw: float) -> None:
        """Note a session that is on the old version, here or at another router."""
        known = self._sessions.get(session)
        if known is None or (not known.is_target and known.at_s < at_s):
            self._sessions[session] = _Pin(False, at_s, draw)

    def pinned_sessions(self, now_s: float) -> list[str]:
        """Return the sessions that another router would send to the new version, and must not.

        They are on the old version and began there before the roll-out, though their draw is within
        the share of the first half.
        """
        oldest_s = now_s - self.limits.session_s
        return [
            session
            for session, pin in self._sessions.items()
            if not pin.is_target and pin.at_s >= oldest_s and self._is_kept(pin.draw, now_s)
        ]

    def _is_kept(self, draw: float, now_s: float) -> bool:
        """Whether others are told of a session on the old version: by its draw they would move it.

        Only in the first half, in which sessions stay where they are.
        """
        if self.state is not RolloutState.IN_PROGRESS or not self.pins_sessions(now_s):
            return False
        return draw < self.limits.canary_share

    def moved_sessions(self, now_s: float) -> list[str]:
        """Return the sessions that another router would send to the old version, and must not.

        They moved while one endpoint was loaded, and their draw is not within the share.
        """
        oldest_s = now_s - self.limits.session_s
        return [
            session
            for session, pin in self._sessions.items()
            if pin.is_own and pin.is_target and pin.at_s >= oldest_s
            if self._is_told(pin.draw, now_s)
        ]

    def _is_told(self, draw: float, now_s: float) -> bool:
        """Whether others are told of a session that moved: by its draw they would not move it."""
        if self.state is not RolloutState.IN_PROGRESS or draw < self.limits.canary_share:
            return False
        return not self.pins_sessions(now_s) and not self.takes_all_traffic(now_s)

    def note_moved_session(self, session: str, at_s: float, draw: float) -> None:
        """Note a session that another router has sent to the new version."""
        known = self._sessions.get(session)
        if known is None or not known.is_target or known.at_s < at_s:
            self._sessions[session] = _Pin(True, at_s, draw)

    def count_answer(
        self, is_target: bool, route: str, endpoint: str, verdict: AnswerVerdict, now_s: float
    ) -> None:
        """Count an answer that this router got.

        What broke off on one endpoint within `BREAK_DEDUPLICATION_S` counts once: it had one cause.
        """
        if verdict is AnswerVerdict.BROKEN:
            last_s = self._broken_s.get(endpoint, float("-inf"))
            if now_s - last_s < BREAK_DEDUPLICATION_S:
                return
            self._broken_s[endpoint] = now_s
        self.own_counts.setdefault((is_target, route), AnswerCounts()).record(endpoint, verdict)

    def set_router_counts(self, router: str, counts: dict[tuple[bool, str], AnswerCounts]) -> None:
        """Take what another incarnation of a router has counted since its start."""
        self._others[router] = counts

    def pooled_counts(self, is_target: bool, route: str | None = None) -> AnswerCounts:
        """Return what all routers have counted of the new or of the old version."""
        total = AnswerCounts()
        for source in (self.own_counts, *self._others.values()):
            for (of_target, name), counts in source.items():
                if of_target == is_target and route in (None, name):
                    total.add(counts)
        return total

    def routes(self) -> set[str]:
        """Return the routes on which there are answers."""
        return {name for source in (self.own_counts, *self._others.values()) for _, name in source}

    def is_affected_by_load_test(self, now_s: float) -> bool:
        """Whether answers may still be slow from the load of the proof."""
        part = self.progress(now_s)
        return self.limits.load_test_start <= part < self.limits.load_test_end + LOAD_TEST_TAIL

    def is_failing(self) -> bool:
        """Whether the evidence is against the new version, over all or on one route."""
        if self._is_worse(None):
            return True
        return any(self._is_worse(route) for route in self.routes())

    def _is_worse(self, route: str | None) -> bool:
        new, old = self.pooled_counts(True, route), self.pooled_counts(False, route)
        limits, on = self.limits, len(new.endpoints)
        return (
            limits.failed.is_exceeded(new.failed, new.answers, old.failed, old.answers, on)
            or limits.broken.is_exceeded(new.broken, new.answers, old.broken, old.answers, on)
            or limits.slow.is_exceeded(new.slow, new.paced, old.slow, old.paced, on)
        )

    def next_state(self, now_s: float, old_running: int) -> RolloutState:
        """Return the state that the roll-out should have now.

        Parameters
        ----------
        now_s : float
        old_running : int
            Calls that still run on the old version.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return self.state
        if self.is_failing():
            return RolloutState.ROLLED_BACK
        limits, part = self.limits, self.progress(now_s)
        done_part = (
            limits.drained_completion if self.is_load_tested else limits.untested_drained_completion
        )
        last_part = (
            limits.forced_completion if self.is_load_tested else limits.untested_forced_completion
        )
        if part >= done_part and (old_running == 0 or part >= last_part):
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS
