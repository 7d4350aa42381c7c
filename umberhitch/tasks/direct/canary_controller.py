"""Drives the roll-outs of the direct path, and tells each request which version is its.

Every router drives: verdicts come from evidence that all share, and only grow worse for a version
or further in time. How one of them comes to stand in the store: `tasks/direct/stored_states`.
"""

from collections import OrderedDict
from collections.abc import Callable
from logging import getLogger
from random import Random

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct import (
    AnswerCounts,
    AnswerVerdict,
    Canary,
    CanaryLimits,
    Endpoint,
    RolloutOrder,
    RolloutState,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import StatusPort, do_nothing
from umberhitch.tasks.direct.stored_states import FINAL_STATES, StoredRolloutStates
from umberhitch.wire import CanaryReport, CanaryUpdate, RouteCounts

__all__ = ["CanaryController"]

log = getLogger(__name__)

UPDATE_INTERVAL_S = 0.1
MAX_RECENT_SESSIONS = 20_000
MAX_PINNED_SESSIONS = 200
"""Sessions in a report; they are 8 % of those of the last seconds at one router."""
MAX_MOVED_SESSIONS = 400
"""The same of those that moved while one endpoint was loaded, for the time of a session."""
HASH_RANGE = 1 << 64


class CanaryController:
    """All roll-outs, as one router sees them.

    Parameters
    ----------
    clock : Clock
    rng : Random
    status : StatusPort
    limits : CanaryLimits

    Attributes
    ----------
    running : callable
        Returns how many calls run on an endpoint, those of other routers included.
    old_running : callable
        Returns how many calls run on endpoints of a service that are not of a version.
    """

    def __init__(
        self, clock: Clock, rng: Random, status: StatusPort, limits: CanaryLimits | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._limits = limits or CanaryLimits()
        self._canaries: dict[str, Canary] = {}
        self._exposure_checks: dict[str, tuple[float, bool]] = {}
        """By service: when the exposure bound was looked at, and whether it was kept."""
        self._states = StoredRolloutStates(clock, status, self._apply_final_state)
        self._recent: dict[str, OrderedDict[str, tuple[float, float]]] = {}
        self._is_stopped = False
        self.running_on_other_versions: Callable[[str, str], int] = lambda service, version: 0
        self.running_calls: Callable[[str], int] = lambda lifetime: 0
        self._on_update: Callable[[], None] = do_nothing

    def follow_peers(self, rank: Callable[[], int | None], on_update: Callable[[], None]) -> None:
        """Take what the other routers make known.

        Parameters
        ----------
        rank : callable
            Returns this router's place among those that the store lists, 0 first; None before they
            are known.
        on_update : callable
            Called when there is something that the others are to be told at once.
        """
        self._on_update = on_update
        self._states.rank = rank
        self._states.on_unsent = on_update

    def start(self) -> None:
        """Begin to drive."""
        if self._is_stopped:
            return
        now_s = self._clock.seconds()
        for service, trial in self._canaries.items():
            self._update(service, trial, now_s)
        self._clock.callLater(UPDATE_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Drive no more."""
        self._is_stopped = True
        self._states.stop()

    # Orders

    def apply_order(self, order: RolloutOrder) -> None:
        """Take an operator's order; one that is known already changes nothing."""
        known = self._canaries.get(order.service)
        if known is not None and known.order == order:
            return
        now_s = self._clock.seconds()
        trial = Canary(order, now_s, self._limits)
        for session, (at_s, draw) in self._recent.pop(order.service, {}).items():
            trial.note_old_session(session, at_s, draw)
        trial.unreported_pinned = trial.pinned_sessions(now_s)
        self._canaries[order.service] = trial
        self._notify_updates(trial)
        self._exposure_checks.pop(order.service, None)
        log.info("roll-out begins", extra={"service": order.service, "target": order.target})
        self._states.follow(trial)

    def drop(self, service: str) -> None:
        """Forget an order that the operator has taken back."""
        self._canaries.pop(service, None)
        self._states.drop(service)

    def retain(self, orders: list[RolloutOrder]) -> None:
        """Forget the orders that are not among those that stand."""
        stands = {order.service for order in orders}
        for service in [each for each in self._canaries if each not in stands]:
            self.drop(service)

    def is_any_in_progress(self) -> bool:
        """Whether a roll-out is in progress, so that evidence has to be told soon."""
        states = [trial.state for trial in self._canaries.values()]
        return RolloutState.IN_PROGRESS in states

    def _update(self, service: str, trial: Canary, now_s: float) -> None:
        running = self.running_on_other_versions(service, trial.order.target)
        verdict = trial.next_state(now_s, running)
        if verdict is RolloutState.ROLLED_BACK and trial.state is not verdict:
            self._set_state(trial, verdict)
        self._states.ensure_written(trial, verdict)

    def _apply_final_state(self, trial: Canary, state: RolloutState) -> None:
        """Take over a final state that stands in the store."""
        if self._canaries.get(trial.order.service) is trial:
            self._set_state(trial, state)

    def _set_state(self, trial: Canary, state: RolloutState) -> None:
        if trial.state is state:
            return
        trial.state = state
        facts: dict[str, object] = {
            "service": trial.order.service,
            "target": trial.order.target,
            "state": state,
        }
        for name, counts in (
            ("new", trial.pooled_counts(True)),
            ("old", trial.pooled_counts(False)),
        ):
            for what in ("answers", "failed", "broken", "paced", "slow"):
                facts[f"{name}_{what}"] = getattr(counts, what)
        facts["part"] = round(trial.progress(self._clock.seconds()), 3)
        log.info("roll-out state", extra=facts)

    # Requests

    def wants_target(
        self,
        service: str,
        session: str | None,
        now_s: float,
        endpoints: list[Endpoint],
        is_light: bool = False,
    ) -> bool | None:
        """Return whether a request goes to the new version; None where there is no roll-out.

        Parameters
        ----------
        service : str
        session : str or None
            Requests of one session are drawn alike at every router.
        now_s : float
        endpoints : list of Endpoint
            Those of the service that take work.
        is_light : bool
            Whether the request reads little, so that many of them fit on one endpoint.
        """
        draw = self._rng.random() if session is None else _hash_fraction(session)
        trial = self._canaries.get(service)
        if trial is not None:
            has_target = self._states.is_earlier_decision_known(service) and any(
                each.entry.version == trial.order.target for each in endpoints
            )
            is_within = self._is_within_exposure(trial, endpoints, now_s)
            chosen = trial.routes_to_target(session, draw, now_s, has_target, is_light, is_within)
            self._notify_updates(trial)
            return chosen
        if session is not None:
            recent = self._recent.setdefault(service, OrderedDict())
            recent.pop(session, None)
            recent[session] = (now_s, draw)
            while len(recent) > MAX_RECENT_SESSIONS:
                recent.popitem(last=False)
        return None

    def note_request_finished(self, service: str, session: str | None) -> None:
        """Take note that a request of a session has its answer."""
        if session is None:
            return
        now_s = self._clock.seconds()
        trial = self._canaries.get(service)
        if trial is not None:
            trial.note_request_finished(session, now_s)
        elif session in self._recent.get(service, ()):
            self._recent[service][session] = (now_s, _hash_fraction(session))

    def _notify_updates(self, trial: Canary) -> None:
        if trial.unreported_moved or trial.unreported_pinned:
            self._on_update()

    def _is_within_exposure(self, trial: Canary, endpoints: list[Endpoint], now_s: float) -> bool:
        at_s, is_within = self._exposure_checks.get(trial.order.service, (float("-inf"), False))
        if now_s - at_s < UPDATE_INTERVAL_S:
            return is_within
        target = trial.order.target
        new = sum(self.running_calls(e.lifetime) for e in endpoints if e.entry.version == target)
        both = sum(self.running_calls(each.lifetime) for each in endpoints)
        is_within = trial.is_within_exposure(now_s, new, both - new)
        self._exposure_checks[trial.order.service] = (now_s, is_within)
        return is_within

    def allowed_endpoints(
        self,
        service: str,
        wants_target: bool | None,
        endpoints: list[Endpoint],
        is_light: bool = False,
    ) -> list[Endpoint]:
        """Return the endpoints that a request may go to now.

        Parameters
        ----------
        service : str
        wants_target : bool or None
        endpoints : list of Endpoint
            Those that take work and have not been tried.
        is_light : bool
            Whether the call reads little, so that many of them fit on one endpoint.
        """
        trial = self._canaries.get(service)
        if trial is None:
            return endpoints
        target = trial.order.target
        new = [each for each in endpoints if each.entry.version == target]
        old = [each for each in endpoints if each.entry.version != target]
        match trial.state:
            case RolloutState.ROLLED_BACK:
                return old
            case RolloutState.COMPLETED:
                return new or old
        if not wants_target:
            return old or new
        if is_light and new and trial.is_load_testing(self._clock.seconds()):
            loaded = min(new, key=lambda each: _hash_fraction(each.lifetime))
            limit = trial.limits.full_load * (loaded.entry.slots or 0)
            if self.running_calls(loaded.lifetime) < limit:
                return [loaded]
            trial.is_load_tested = limit > 0
        return new or old

    def record_answer(
        self, service: str, route: str, endpoint: Endpoint, verdict: AnswerVerdict
    ) -> None:
        """Count an answer."""
        trial = self._canaries.get(service)
        if trial is not None:
            is_target, now_s = self.is_target(service, endpoint), self._clock.seconds()
            is_paced = verdict in (AnswerVerdict.SLOW, AnswerVerdict.GOOD)
            if is_paced and is_target and trial.is_affected_by_load_test(now_s):
                verdict = AnswerVerdict.UNPACED  # its pace is that of the load of the proof
            trial.count_answer(is_target, route, endpoint.lifetime, verdict, now_s)

    def is_target(self, service: str, endpoint: Endpoint) -> bool:
        """Whether an endpoint is of the version that a roll-out brings in."""
        trial = self._canaries.get(service)
        return trial is not None and endpoint.entry.version == trial.order.target

    def has_shifted_traffic(self, service: str, endpoint: Endpoint) -> bool:
        """Whether an endpoint is of a new version that gets all new work since lately."""
        trial = self._canaries.get(service)
        if trial is None or not self.is_target(service, endpoint):
            return False
        now_s = self._clock.seconds()
        return trial.is_load_testing(now_s) or trial.takes_all_traffic(now_s)

    # Peers

    def reports(self) -> list[CanaryReport]:
        """Return what the other routers are told."""
        now_s = self._clock.seconds()
        return [
            CanaryReport(
                service,
                trial.order.target,
                now_s - trial.started_s,
                trial.state,
                [
                    _route_counts(is_target, route, each)
                    for (is_target, route), each in trial.own_counts.items()
                ],
                trial.pinned_sessions(now_s)[:MAX_PINNED_SESSIONS],
                trial.is_load_tested,
                trial.moved_sessions(now_s)[-MAX_MOVED_SESSIONS:],
                self._states.confirmed_state(service),
            )
            for service, trial in self._canaries.items()
        ]

    def pop_updates(self) -> list[CanaryUpdate]:
        """Return what others are to be told at once, and that was not."""
        found = []
        untold = self._states.pop_unsent()
        for service, trial in self._canaries.items():
            if service not in untold and not trial.unreported_moved and not trial.unreported_pinned:
                continue
            kept = trial.unreported_pinned[-MAX_PINNED_SESSIONS:]
            written = self._states.confirmed_state(service)
            found.append(
                CanaryUpdate(service, trial.order.target, trial.unreported_moved, kept, written)
            )
            trial.unreported_moved, trial.unreported_pinned = [], []
        return found

    def apply_update(self, message: CanaryUpdate) -> None:
        """Take note of sessions that another router keeps on a version, and of what stands."""
        trial = self._canaries.get(message.service)
        if trial is None or trial.order.target != message.target:
            return
        now_s = self._clock.seconds()
        self._states.apply_peer_state(trial, message.stored_state)
        for session in message.moved_to_new:
            trial.note_moved_session(session, now_s, _hash_fraction(session))
        for session in message.kept_on_old:
            trial.note_old_session(session, now_s, _hash_fraction(session))

    def apply_reports(self, router: str, reports: list[CanaryReport]) -> None:
        """Take what another incarnation of a router tells."""
        for report in reports:
            trial = self._canaries.get(report.service)
            if trial is None or trial.order.target != report.target:
                continue
            trial.started_s = min(trial.started_s, self._clock.seconds() - report.elapsed_s)
            counts = {
                (each.is_target, each.route): AnswerCounts(
                    each.answers,
                    each.failed,
                    each.broken,
                    each.paced,
                    each.slow,
                    set(each.endpoints),
                )
                for each in report.counts
            }
            trial.set_router_counts(router, counts)
            trial.is_load_tested |= report.was_fully_loaded
            for session in report.kept_on_old:
                trial.note_old_session(session, self._clock.seconds(), _hash_fraction(session))
            for session in report.moved_to_new:
                trial.note_moved_session(session, self._clock.seconds(), _hash_fraction(session))
            self._states.note_peer_follows(report.service)
            self._states.apply_peer_state(trial, report.stored_state)
            if report.state in FINAL_STATES and trial.state is RolloutState.IN_PROGRESS:
                self._set_state(trial, RolloutState(report.state))


def _hash_fraction(session: str) -> float:
    """Return a session's number from 0 to 1, the same at every router."""
    return xxh3_64_intdigest(session.encode()) / HASH_RANGE


def _route_counts(is_target: bool, route: str, counts: AnswerCounts) -> RouteCounts:
    return RouteCounts(
        is_target,
        route,
        counts.answers,
        counts.failed,
        counts.slow,
        sorted(counts.endpoints),
        counts.broken,
        counts.paced,
    )
