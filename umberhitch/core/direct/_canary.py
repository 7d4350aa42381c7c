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

from collections import Counter

from umberhitch.core.direct._canary_evidence import CanaryEvidence
from umberhitch.core.direct._canary_limits import CanaryLimits, RolloutStage
from umberhitch.core.direct._session_pins import SessionAge, SessionPin, SessionPins
from umberhitch.core.direct._types import RolloutOrder, RolloutState

__all__ = ["Canary"]

SETTLED_INTERVAL_S = 1.0
"""Interval at which the answers are looked at once the roll-out has ended."""
MIN_PROGRESS = 0.01
REMAINING_MARGIN = 1.2
"""Requests until the deadline, as a multiple of those expected, that the bound must cover."""
LOAD_TEST_TAIL = 0.08
"""Fraction of the roll-out after the load test in which answers that started under it finish."""


class Canary(CanaryEvidence):
    """One router's state of one roll-out.

    Parameters
    ----------
    order : RolloutOrder
    started_s : float
        Time at which this router received the order, or an earlier one that a peer has reported.
    limits : CanaryLimits
    """

    def __init__(self, order: RolloutOrder, started_s: float, limits: CanaryLimits) -> None:
        super().__init__(started_s, limits)
        self.order = order
        self.started_s = started_s
        self.state = RolloutState.IN_PROGRESS
        self.was_fully_loaded = False
        """Whether an endpoint of the new version was fully loaded."""
        self.unreported_moved: list[str] = []
        """Sessions on the new version that other routers would send to the old one, and that have
        not been reported to them yet."""
        self.unreported_pinned: list[SessionAge] = []
        """Sessions on the old version that other routers would send to the new one, and that have
        not been reported to them yet."""
        self.placed: Counter[str] = Counter()
        """Requests of sessions by what was known of the session, and the version that they got."""
        self._takes_all_traffic = False
        self._answers_before = 0
        """Answers of the new version when all work moved."""
        self._sessions = SessionPins(limits.session_s)
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
        if self.is_load_testing(now_s):
            self._moves_sessions = self._moved_share(now_s) < self._movable_share(
                new, total, progress
            )
            allows_more = new <= limits.load_test_use * bound
        elif self.takes_all_traffic(now_s):
            remaining = self._remaining(total, progress)
            allows_more = new + remaining <= bound + limits.exposure_share * remaining
        else:
            allows_more = new <= limits.exposure_use * bound
        if allows_more:
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
        recent = list(self._sessions.current_pins(now_s))
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
            Share that the new version may get, see `max_share`.
        """
        share = self.traffic_share(now_s, is_light)
        if session is not None:
            max_share = self._max_session_share(max_share, now_s)
        share = min(share, max_share)
        chosen = has_target and draw < share
        if session is None or self.state is not RolloutState.IN_PROGRESS:
            return chosen
        known = self._sessions.current(session, now_s)
        if known is not None:
            if known.is_target:
                chosen = True  # a session never moves back
            elif self.pins_sessions(now_s):
                chosen = False  # started on the old version: stays there for the first half
        was_target = known is not None and known.is_target
        if chosen and not was_target and self._reports_moved(draw, now_s):
            self.unreported_moved.append(session)
        if not chosen and self._reports_pinned(draw, now_s):
            self.unreported_pinned.append(SessionAge(session, 0.0))
        origin = "unknown" if known is None else known.origin
        self.placed[f"{origin}, {'new' if chosen else 'old'}"] += 1
        self._sessions.pin(session, SessionPin(chosen, now_s, draw, is_own=True))
        return chosen

    def _max_session_share(self, max_share: float, now_s: float) -> float:
        """Return the share of the sessions that the new version may get.

        It always gets those of the canary share, and all once all work moves, so that they stay
        where they are at every router.
        """
        if self._takes_all_traffic:
            return 1.0
        if self.is_load_testing(now_s) and not self._moves_sessions:
            return self.limits.canary_share
        return max(max_share, self.limits.canary_share)

    def note_request_finished(self, session: str, now_s: float) -> None:
        """Record the end of a session's request, from which the session's timeout runs."""
        self._sessions.note_finished(session, now_s)

    def note_old_session(
        self, session: str, at_s: float, draw: float, is_own: bool = False
    ) -> None:
        """Record a session that is on the old version, here or at another router."""
        self._sessions.note_told(session, SessionPin(False, at_s, draw, is_own))

    def note_moved_session(self, session: str, at_s: float, draw: float) -> None:
        """Record a session that another router has sent to the new version."""
        self._sessions.note_told(session, SessionPin(True, at_s, draw))

    def pinned_sessions(self, now_s: float) -> list[SessionAge]:
        """Return this router's sessions that another router must not send to the new version.

        They started on the old version before the roll-out, though their draw is within the share
        of the first half. Those that peers serve are left to them, since two routers would keep
        each other's entries alive.
        """
        return self._sessions.ages(
            now_s,
            lambda pin: pin.is_own and not pin.is_target and self._reports_pinned(pin.draw, now_s),
        )

    def moved_sessions(self, now_s: float) -> list[SessionAge]:
        """Return this router's sessions that another router must not send to the old version.

        They moved during the load test, and their draw is not within the share.
        """
        return self._sessions.ages(
            now_s,
            lambda pin: pin.is_own and pin.is_target and self._reports_moved(pin.draw, now_s),
        )

    def sessions_to_hand_over(
        self, now_s: float, with_told: bool
    ) -> tuple[list[SessionAge], list[SessionAge]]:
        """Return the sessions on the old and on the new version for a process that goes by draws.

        That includes those that moved as this router has sent all work to the new version, which
        another one may do later.

        Parameters
        ----------
        now_s : float
        with_told : bool
            Whether to return those that peers serve or have served, too.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return [], []
        share = self.limits.canary_share
        pins_old = self.pins_sessions(now_s)
        old = self._sessions.ages(
            now_s,
            lambda pin: (with_told or pin.is_own)
            and pins_old
            and not pin.is_target
            and pin.draw < share,
        )
        new = self._sessions.ages(
            now_s,
            lambda pin: (with_told or pin.is_own) and pin.is_target and pin.draw >= share,
        )
        return old, new

    def _reports_pinned(self, draw: float, now_s: float) -> bool:
        """Whether to report a session on the old version that peers would move, by its draw.

        This is only needed in the first half, in which sessions stay where they are.
        """
        if self.state is not RolloutState.IN_PROGRESS or not self.pins_sessions(now_s):
            return False
        return draw < self.limits.canary_share

    def _reports_moved(self, draw: float, now_s: float) -> bool:
        """Whether to report a moved session that peers would not move, by its draw."""
        if self.state is not RolloutState.IN_PROGRESS or draw < self.limits.canary_share:
            return False
        return not self.pins_sessions(now_s) and not self.takes_all_traffic(now_s)

    def is_affected_by_load_test(self, now_s: float) -> bool:
        """Whether answers may still be slow because of the load test."""
        progress = self.progress(now_s)
        return self.limits.load_test_start <= progress < self.limits.load_test_end + LOAD_TEST_TAIL

    def _remaining(self, total: int, progress: float) -> float:
        """Return the requests to expect until the deadline: as since the order or as lately."""
        part = max(0.0, 1.0 - progress)
        return part * max(total / max(progress, MIN_PROGRESS), self.rate * self.order.duration_s)

    def next_state(self, now_s: float, old_running: int) -> RolloutState:
        """Return the state that the roll-out should have now.

        Parameters
        ----------
        now_s : float
        old_running : int
            Calls that still run on the old version.
        """
        is_settled = self.state is not RolloutState.IN_PROGRESS
        if not is_settled or now_s - self.observed_s >= SETTLED_INTERVAL_S:
            self.observe(now_s)
        if is_settled:
            return self.state
        if self.was_failing:
            return RolloutState.ROLLED_BACK
        if not self.takes_all_traffic(now_s):
            return RolloutState.IN_PROGRESS
        limits, progress = self.limits, self.progress(now_s)
        if progress >= limits.forced_completion:
            return RolloutState.ROLLED_BACK if self.is_suspect() else RolloutState.COMPLETED
        answers = self.pooled_counts(True).answers - self._answers_before
        is_shown_good = answers >= limits.min_answers and not self.is_suspect()
        is_shown_good = is_shown_good and self.max_share(now_s, 0, old_running) == 1.0
        if progress >= limits.drained_completion and old_running == 0 and is_shown_good:
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS

    @property
    def is_failing_after_completion(self) -> bool:
        """Whether a version that was declared good is bad now.

        The old version's endpoints have stopped, so that there is no other version to go back to.
        """
        return self.state is RolloutState.COMPLETED and self.was_failing
