"""Canary roll-out on the direct path: traffic share of the new version and the decision about it.

A version may turn bad at any moment, so it always gets some work, and before the deadline never
more than the users' exposure bound allows for a bad version, however good it looks. During the
first half of the roll-out it gets a small, fixed share of the traffic, and a session keeps the
version on which it started. The answers are counted over all routers. Then a load test follows: one
endpoint of the new version gets light work as far as a part of the bound allows, so that a version
that fails under load shows this. Then the share is small again, until the bound covers all work up
to the deadline: all work moves, and once enough answers under all work are good the version is
declared good. A session moves once and never back. A version that is worse than the old one is
rolled back at once, and so is one that is suspect when the time is over.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum
from math import exp

from umberhitch.core.direct._evidence import AnswerCounts, AnswerVerdict, EvidenceThreshold
from umberhitch.core.direct._types import RolloutOrder, RolloutState
from umberhitch.core.direct._version_change import ChangeLimits, RouteTally, VersionChange

__all__ = ["Canary", "CanaryLimits", "RolloutStage"]

MAX_SESSIONS = 20_000
SETTLED_INTERVAL_S = 1.0
"""Interval at which the answers are looked at once the roll-out has ended."""
RATE_S = 1.0
"""Time constant of the rate of answers."""
MIN_PROGRESS = 0.01
REMAINING_MARGIN = 1.2
"""Requests until the deadline, as a multiple of those expected, that the bound must cover."""
LOAD_TEST_TAIL = 0.08
"""Fraction of the roll-out after the load test in which answers that started under it finish."""
KINDS = (("failed", "answers"), ("broken", "answers"), ("slow", "paced"))
"""Kinds of bad answers, and of which answers they are a part."""
BREAK_DEDUPLICATION_S = 1.0
"""Seconds within which an endpoint that is lost breaks off all its answers."""


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


@dataclass(frozen=True, slots=True)
class _SessionPin:
    """Version of a session, and the last start or end of one of its requests."""

    is_target: bool
    at_s: float
    draw: float
    is_own: bool = False
    """Whether this router made the choice; what peers reported is not passed on."""


class Canary:
    """One router's state of one roll-out.

    Parameters
    ----------
    order : RolloutOrder
    started_s : float
        Time at which this router received the order, or an earlier one that a peer has reported.
    limits : CanaryLimits
    """

    def __init__(self, order: RolloutOrder, started_s: float, limits: CanaryLimits) -> None:
        self.order = order
        self.started_s = started_s
        self.limits = limits
        self.state = RolloutState.IN_PROGRESS
        self.own_counts: dict[tuple[bool, str], AnswerCounts] = {}
        self.was_fully_loaded = False
        """Whether an endpoint of the new version was fully loaded."""
        self.unreported_moved: list[str] = []
        """Sessions on the new version that other routers would send to the old one, and that have
        not been reported to them yet."""
        self.unreported_pinned: list[str] = []
        """Sessions on the old version that other routers would send to the new one, and that have
        not been reported to them yet."""
        self._takes_all_traffic = False
        self._answers_before = 0
        """Answers of the new version when all work moved."""
        self._router_counts: dict[str, dict[tuple[bool, str], AnswerCounts]] = {}
        self._broken_s: dict[str, float] = {}
        self._thresholds = (limits.failed, limits.broken, limits.slow)
        self._changes = tuple(
            VersionChange(change)
            for change in (limits.failed_change, limits.broken_change, limits.slow_change)
        )
        self._has_new_answers = False
        self._is_failing = False
        self._rate = 0.0
        """Answers a second of all routers, lately."""
        self._answers_at = (started_s, 0)
        self._sessions: OrderedDict[str, _SessionPin] = OrderedDict()
        self._moves_sessions = True
        """Whether the load test may move more sessions, whose later requests follow them."""

    def progress(self, now_s: float) -> float:
        """Return the fraction of the roll-out's duration that has elapsed."""
        return (now_s - self.started_s) / max(0.001, self.order.duration_s)

    def stage(self, now_s: float) -> RolloutStage:
        """Return the stage of the roll-out, as long as it is in progress."""
        if self.takes_all_traffic(now_s):
            return RolloutStage.ALL_WORK
        if self.is_load_testing(now_s):
            return RolloutStage.LOAD_TEST
        if now_s - self.started_s < self.limits.settle_s:
            return RolloutStage.SETTLING
        return RolloutStage.CANARY

    def traffic_share(self, now_s: float, is_light: bool = False) -> float:
        """Return the current share of the work for the new version."""
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
        limits, progress = self.limits, self.progress(now_s)
        if self._takes_all_traffic or progress < limits.min_full_shift:
            return self._takes_all_traffic
        if progress >= limits.max_full_shift or self._covers_remaining(progress):
            self._takes_all_traffic = True
            self._answers_before = self.pooled_counts(True).answers
        return self._takes_all_traffic

    def _covers_remaining(self, progress: float) -> bool:
        """Whether the exposure bound covers the requests that are expected until the deadline."""
        limits = self.limits
        new = self.pooled_counts(True).answers
        total = new + self.pooled_counts(False).answers
        remaining = self._remaining(total, progress)
        bound = limits.exposure_share * (total + remaining)
        bound += limits.exposure_use * limits.exposure_slack
        return new + REMAINING_MARGIN * remaining <= bound

    def max_share(self, now_s: float, new_running: int, old_running: int) -> float:
        """Return the share of the work up to which the exposure bound allows one more request.

        Parameters
        ----------
        now_s : float
        new_running, old_running : int
            Running calls on each version, which are not yet in the counts of answers.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return 1.0
        limits, progress = self.limits, self.progress(now_s)
        new = self.pooled_counts(True).answers + new_running + 1
        total = new + self.pooled_counts(False).answers + old_running
        bound = limits.exposure_share * total + limits.exposure_slack
        if self.takes_all_traffic(now_s):
            remaining = self._remaining(total, progress)
            use = 1.0 if new + remaining <= bound + limits.exposure_share * remaining else 0.0
        else:
            use = limits.exposure_use
        if self.is_load_testing(now_s):
            use = limits.load_test_use
            self._moves_sessions = self._moved_share(now_s) < self._movable_share(
                new, total, progress
            )
        if new <= use * bound:
            return 1.0
        return limits.canary_share if new <= limits.exposure_use * bound else 0.0

    def _movable_share(self, new: int, total: int, progress: float) -> float:
        """Return the share of the sessions whose requests up to the deadline the bound covers.

        They come on top of the canary share, and all work moves before the deadline.
        """
        limits, at_end = self.limits, total / progress
        all_work = REMAINING_MARGIN * (1.0 - limits.max_full_shift) * at_end
        until_then = (limits.max_full_shift - progress) * at_end
        used = new + all_work + limits.canary_share * until_then
        return (limits.exposure_share * at_end + limits.exposure_slack - used) / until_then

    def _moved_share(self, now_s: float) -> float:
        """Return the share of the known sessions that the load test has moved."""
        oldest_s = now_s - self.limits.session_s
        recent = [pin for pin in self._sessions.values() if pin.at_s >= oldest_s]
        moved = sum(pin.is_target and pin.draw >= self.limits.canary_share for pin in recent)
        return moved / max(1, len(recent))

    def pins_sessions(self, now_s: float) -> bool:
        """Whether sessions on the old version still stay there."""
        return self.progress(now_s) < self.limits.load_test_start

    def is_load_testing(self, now_s: float) -> bool:
        """Whether one endpoint of the new version is being loaded."""
        return not self.pins_sessions(now_s) and self.progress(now_s) < self.limits.load_test_end

    def routes_to_target(
        self,
        session: str | None,
        draw: float,
        now_s: float,
        has_target: bool = True,
        is_light: bool = False,
        max_share: float = 1.0,
    ) -> bool:
        """Whether a request goes to the new version.

        Parameters
        ----------
        session : str or None
        draw : float
            Number from 0 to 1 that is the same for all requests of a session at every router.
        now_s : float
        has_target : bool
            Whether an endpoint of the new version accepts work.
        is_light : bool
            Whether the request needs little prefill.
        max_share : float
            Share that the new version may get, see `max_share`. It always gets the sessions of the
            canary share, so that they stay where they are.
        """
        if session is not None:
            max_share = max(max_share, self.limits.canary_share)
        if session is not None and self.is_load_testing(now_s) and not self._moves_sessions:
            max_share = self.limits.canary_share
        share = min(self.traffic_share(now_s, is_light), max_share)
        chosen = has_target and draw < share
        if session is None or self.state is not RolloutState.IN_PROGRESS:
            return chosen
        known = self._sessions.pop(session, None)
        if known is not None and now_s - known.at_s <= self.limits.session_s:
            if known.is_target:
                chosen = True  # a session never moves back
            elif self.pins_sessions(now_s):
                chosen = False  # started on the old version: stays there for the first half
        was_target = known is not None and known.is_target
        if chosen and not was_target and self._reports_moved(draw, now_s):
            self.unreported_moved.append(session)
        if not chosen and self._reports_pinned(draw, now_s):
            self.unreported_pinned.append(session)
        self._sessions[session] = _SessionPin(chosen, now_s, draw, True)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return chosen

    def note_request_finished(self, session: str, now_s: float) -> None:
        """Record the end of a session's request, from which the session's timeout runs."""
        pin = self._sessions.get(session)
        if pin is not None:
            self._sessions[session] = replace(pin, at_s=now_s)

    def note_old_session(self, session: str, at_s: float, draw: float) -> None:
        """Record a session that is on the old version, here or at another router."""
        known = self._sessions.get(session)
        if known is None or (not known.is_target and known.at_s < at_s):
            self._sessions[session] = _SessionPin(False, at_s, draw)

    def pinned_sessions(self, now_s: float) -> list[str]:
        """Return the sessions that another router must not send to the new version.

        They started on the old version before the roll-out, though their draw is within the share
        of the first half.
        """
        oldest_s = now_s - self.limits.session_s
        return [
            session
            for session, pin in self._sessions.items()
            if not pin.is_target and pin.at_s >= oldest_s and self._reports_pinned(pin.draw, now_s)
        ]

    def _reports_pinned(self, draw: float, now_s: float) -> bool:
        """Whether to report a session on the old version that peers would move, by its draw.

        This is only needed in the first half, in which sessions stay where they are.
        """
        if self.state is not RolloutState.IN_PROGRESS or not self.pins_sessions(now_s):
            return False
        return draw < self.limits.canary_share

    def moved_sessions(self, now_s: float) -> list[str]:
        """Return the sessions that another router must not send to the old version.

        They moved during the load test, and their draw is not within the share.
        """
        oldest_s = now_s - self.limits.session_s
        return [
            session
            for session, pin in self._sessions.items()
            if pin.is_own and pin.is_target and pin.at_s >= oldest_s
            if self._reports_moved(pin.draw, now_s)
        ]

    def _reports_moved(self, draw: float, now_s: float) -> bool:
        """Whether to report a moved session that peers would not move, by its draw."""
        if self.state is not RolloutState.IN_PROGRESS or draw < self.limits.canary_share:
            return False
        return not self.pins_sessions(now_s) and not self.takes_all_traffic(now_s)

    def note_moved_session(self, session: str, at_s: float, draw: float) -> None:
        """Record a session that another router has sent to the new version."""
        known = self._sessions.get(session)
        if known is None or not known.is_target or known.at_s < at_s:
            self._sessions[session] = _SessionPin(True, at_s, draw)

    def count_answer(
        self, is_target: bool, route: str, endpoint: str, verdict: AnswerVerdict, now_s: float
    ) -> None:
        """Count an answer that this router received.

        Answers that broke off on one endpoint within `BREAK_DEDUPLICATION_S` count once, since they
        have one cause.
        """
        if verdict is AnswerVerdict.BROKEN:
            last_s = self._broken_s.get(endpoint, float("-inf"))
            if now_s - last_s < BREAK_DEDUPLICATION_S:
                return
            self._broken_s[endpoint] = now_s
        self.own_counts.setdefault((is_target, route), AnswerCounts()).record(endpoint, verdict)
        self._has_new_answers = True

    def set_router_counts(self, router: str, counts: dict[tuple[bool, str], AnswerCounts]) -> None:
        """Replace the counts of another router's incarnation, which run from its start."""
        if self._router_counts.get(router) != counts:
            self._router_counts[router] = counts
            self._has_new_answers = True

    def pooled_counts(self, is_target: bool, route: str | None = None) -> AnswerCounts:
        """Return the counts of all routers for the new or the old version."""
        total = AnswerCounts()
        for source in (self.own_counts, *self._router_counts.values()):
            for (of_target, name), counts in source.items():
                if of_target == is_target and route in (None, name):
                    total.add(counts)
        return total

    def routes(self) -> set[str]:
        """Return the routes on which there are answers."""
        return {
            name
            for source in (self.own_counts, *self._router_counts.values())
            for _, name in source
        }

    def is_affected_by_load_test(self, now_s: float) -> bool:
        """Whether answers may still be slow because of the load test."""
        progress = self.progress(now_s)
        return self.limits.load_test_start <= progress < self.limits.load_test_end + LOAD_TEST_TAIL

    def observe(self, now_s: float) -> None:
        """Take the answers of all routers up to now as evidence of a change of the version."""
        is_settled = self.state is not RolloutState.IN_PROGRESS
        if is_settled and now_s - self._answers_at[0] < SETTLED_INTERVAL_S:
            return
        answers = self._answers_at[1]
        if self._has_new_answers:
            answers = self.pooled_counts(True).answers + self.pooled_counts(False).answers
        self._update_rate(answers, now_s)
        if not self._has_new_answers:
            return
        self._has_new_answers = False
        counts = self._counts_by_route()
        bad_by_endpoint = self.pooled_counts(True).endpoints
        for change, (kind, of) in zip(self._changes, KINDS, strict=True):
            tallies = {
                route: RouteTally(
                    getattr(new, kind), getattr(new, of), getattr(old, kind), getattr(old, of)
                )
                for route, (new, old) in counts.items()
            }
            change.observe(tallies, bad_by_endpoint, now_s)
        self._is_failing = self.is_failing()

    def _update_rate(self, answers: int, now_s: float) -> None:
        since_s, before = self._answers_at
        span_s = now_s - since_s
        if span_s <= 0.0:
            return
        weight = exp(-span_s / RATE_S)
        self._rate = weight * self._rate + (1.0 - weight) * (answers - before) / span_s
        self._answers_at = (now_s, answers)

    def _remaining(self, total: int, progress: float) -> float:
        """Return the requests to expect until the deadline: as since the order or as lately."""
        part = max(0.0, 1.0 - progress)
        return part * max(total / max(progress, MIN_PROGRESS), self._rate * self.order.duration_s)

    def _counts_by_route(self) -> dict[str, tuple[AnswerCounts, AnswerCounts]]:
        """Return the counts of all routers for the new and the old version, by route."""
        counts: dict[str, tuple[AnswerCounts, AnswerCounts]] = {}
        for source in (self.own_counts, *self._router_counts.values()):
            for (of_target, route), part in source.items():
                new, old = counts.setdefault(route, (AnswerCounts(), AnswerCounts()))
                (new if of_target else old).add(part)
        return counts

    def is_failing(self) -> bool:
        """Whether the new version is worse than the old one, over all routes or on one.

        Either since the order, or since some later moment.
        """
        if any(change.is_shown() for change in self._changes):
            return True
        counts = self._counts_by_route()
        return self._is_worse(counts) or any(
            self._is_worse({route: pair}) for route, pair in counts.items()
        )

    def _is_worse(self, counts: dict[str, tuple[AnswerCounts, AnswerCounts]]) -> bool:
        """Whether the new version is worse since the order, over some routes together."""
        new, old = AnswerCounts(), AnswerCounts()
        for new_part, old_part in counts.values():
            new.add(new_part)
            old.add(old_part)
        return any(
            threshold.is_exceeded(
                getattr(new, kind),
                getattr(new, of),
                _standardized_rate(counts, kind, of),
                getattr(old, of),
                len(new.endpoints),
            )
            for threshold, (kind, of) in zip(self._thresholds, KINDS, strict=True)
        )

    def next_state(self, now_s: float, old_running: int) -> RolloutState:
        """Return the state that the roll-out should have now.

        Parameters
        ----------
        now_s : float
        old_running : int
            Calls that still run on the old version.
        """
        self.observe(now_s)
        if self.state is not RolloutState.IN_PROGRESS:
            return self.state
        if self._is_failing:
            return RolloutState.ROLLED_BACK
        if not self.takes_all_traffic(now_s):
            return RolloutState.IN_PROGRESS
        limits, progress = self.limits, self.progress(now_s)
        if progress >= limits.forced_completion:
            return RolloutState.ROLLED_BACK if self._is_suspect() else RolloutState.COMPLETED
        answers = self.pooled_counts(True).answers - self._answers_before
        is_shown_good = answers >= limits.min_answers and not self._is_suspect()
        is_shown_good = is_shown_good and self.max_share(now_s, 0, old_running) == 1.0
        if progress >= limits.drained_completion and old_running == 0 and is_shown_good:
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS

    @property
    def is_failing_after_completion(self) -> bool:
        """Whether a version that was declared good is bad now.

        The old version's endpoints have stopped, so that there is no other version to go back to.
        """
        return self.state is RolloutState.COMPLETED and self._is_failing

    @property
    def e_value(self) -> float:
        """The evidence that the version has changed."""
        return max(change.e_value for change in self._changes)

    def _is_suspect(self) -> bool:
        return self.e_value >= self.limits.suspect_e_value


def _standardized_rate(
    counts: dict[str, tuple[AnswerCounts, AnswerCounts]], kind: str, of: str
) -> float:
    """Return the old version's rate on the routes on which the new version has answered.

    Usual rates differ between routes, and the two versions do not get the same mix of them.
    """
    old_bad = sum(getattr(old, kind) for _, old in counts.values())
    old_total = sum(getattr(old, of) for _, old in counts.values())
    rate = old_bad / old_total if old_total else 0.0
    new_total = sum(getattr(new, of) for new, _ in counts.values())
    expected = sum(
        getattr(new, of) * (getattr(old, kind) / getattr(old, of) if getattr(old, of) else rate)
        for new, old in counts.values()
    )
    return expected / new_total if new_total else rate
