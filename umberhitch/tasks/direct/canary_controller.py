"""Controls the canary roll-outs of the direct path and chooses the version for each request.

Every router does so on its own. The decisions follow from evidence that all routers share, and
change in one direction only: to a later state, or against a version. `tasks/direct/stored_states`
describes how a decision is written to the store.
"""

from collections.abc import Callable
from logging import getLogger
from random import Random

from umberhitch.core.direct import (
    AnswerVerdict,
    Canary,
    CanaryLimits,
    Endpoint,
    RolloutOrder,
    RolloutState,
    SessionAge,
    StoreEpoch,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import StatusPort, do_nothing
from umberhitch.tasks.direct.canary_messages import decode_counts, make_report, with_ages
from umberhitch.tasks.direct.hand_over import HandOver
from umberhitch.tasks.direct.recent_sessions import RecentBook, hash_fraction
from umberhitch.tasks.direct.rollout_log import RolloutLog
from umberhitch.tasks.direct.stored_states import FINAL_STATES, StoredRolloutStates
from umberhitch.wire import CanaryReport, CanaryUpdate

__all__ = ["CanaryController"]

log = getLogger(__name__)

UPDATE_INTERVAL_S = 0.1
MAX_PINNED_SESSIONS = 200
"""Maximum number of sessions on the old version in a report. About 8 % of the sessions of the last
seconds at one router are reported."""
MAX_MOVED_SESSIONS = 400
"""Maximum number of sessions in a report that moved to the new version during the load test. Each
is reported until its session times out."""


class CanaryController:
    """One router's state of all roll-outs.

    Parameters
    ----------
    clock : Clock
    rng : Random
    status : StatusPort
    limits : CanaryLimits

    Attributes
    ----------
    running_calls : callable
        Returns the number of calls that run on an endpoint, including those of other routers.
    running_on_other_versions : callable
        Returns the number of calls that run on a service's endpoints of all other versions than
        the given one.
    """

    def __init__(
        self, clock: Clock, rng: Random, status: StatusPort, limits: CanaryLimits | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._limits = limits or CanaryLimits()
        self._canaries: dict[str, Canary] = {}
        self._logs: dict[str, RolloutLog] = {}
        self._max_shares: dict[str, tuple[float, float]] = {}
        """By service: when the exposure bound was last checked, and the share that it allows."""
        self._states = StoredRolloutStates(clock, status, self._apply_final_state)
        self._recent = RecentBook()
        self.hand_over = HandOver(
            clock, self._limits, self._canaries, self._recent, self._report, self.apply_reports
        )
        self._is_stopped = False
        self.running_on_other_versions: Callable[[str, str], int] = lambda service, version: 0
        self.running_calls: Callable[[str], int] = lambda lifetime: 0
        self._on_update: Callable[[], None] = do_nothing

    def follow_peers(self, rank: Callable[[], int | None], on_update: Callable[[], None]) -> None:
        """Set the callbacks that connect this controller to the peers.

        Parameters
        ----------
        rank : callable
            Returns this router's rank among those that the store lists, counted from 0, or None
            before the list is known.
        on_update : callable
            Called when there is an update to send to the peers at once.
        """
        self._on_update = on_update
        self._states.rank = rank
        self._states.on_unsent = on_update

    def follow_epoch(self, epochs: StoreEpoch) -> None:
        """Write the states again whenever the store has returned from another copy."""
        self._states.follow_epoch(epochs)

    def start(self) -> None:
        """Start to update the roll-outs periodically."""
        if self._is_stopped:
            return
        now_s = self._clock.seconds()
        for service, canary in self._canaries.items():
            self._update(service, canary, now_s)
        self._clock.callLater(UPDATE_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Stop the updates."""
        self._is_stopped = True
        self._states.stop()

    # Orders

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply an operator's order; an order that is already known changes nothing."""
        known = self._canaries.get(order.service)
        if known is not None and known.order == order:
            return
        now_s = self._clock.seconds()
        canary = Canary(order, now_s, self._limits)
        for session, recent in self._recent.pop(order.service).items():
            draw = hash_fraction(session)
            canary.note_old_session(session, recent.at_s, draw, recent.is_own)
        canary.unreported_pinned = canary.pinned_sessions(now_s)
        self._canaries[order.service] = canary
        self._logs[order.service] = RolloutLog(canary)
        self._notify_updates(canary)
        self._max_shares.pop(order.service, None)
        log.info("roll-out begins", extra={"service": order.service, "target": order.target})
        self._states.follow(canary)

    def drop(self, service: str) -> None:
        """Forget the order of a service, which the operator has withdrawn."""
        self._canaries.pop(service, None)
        self._logs.pop(service, None)
        self._states.drop(service)

    def retain(self, orders: list[RolloutOrder]) -> None:
        """Forget all orders that are not among the given ones."""
        retained = {order.service for order in orders}
        for service in [name for name in self._canaries if name not in retained]:
            self.drop(service)

    def canaries(self) -> list[Canary]:
        """Return all roll-outs that are known, ended ones included."""
        return list(self._canaries.values())

    def is_any_in_progress(self) -> bool:
        """Whether a roll-out is in progress, so that evidence has to be reported soon."""
        states = [canary.state for canary in self._canaries.values()]
        return RolloutState.IN_PROGRESS in states

    def _update(self, service: str, canary: Canary, now_s: float) -> None:
        running = self.running_on_other_versions(service, canary.order.target)
        verdict = canary.next_state(now_s, running)
        if verdict is RolloutState.ROLLED_BACK and canary.state is not verdict:
            self._set_state(canary, verdict)
        self._states.ensure_written(canary, verdict)
        self._logs[service].log_evidence(now_s)

    def _apply_final_state(self, canary: Canary, state: RolloutState) -> None:
        """Apply a final state that the store has."""
        if self._canaries.get(canary.order.service) is canary:
            self._set_state(canary, state)

    def _set_state(self, canary: Canary, state: RolloutState) -> None:
        if canary.state is state:
            return
        canary.state = state
        self._logs[canary.order.service].log_state(self._clock.seconds())

    # Requests

    def wants_target(
        self,
        service: str,
        session: str | None,
        now_s: float,
        endpoints: list[Endpoint],
        is_light: bool = False,
    ) -> bool | None:
        """Return whether a request goes to the new version, or None if there is no roll-out.

        Parameters
        ----------
        service : str
        session : str or None
            All requests of a session have the same draw at every router.
        now_s : float
        endpoints : list of Endpoint
            The endpoints of the service that accept work.
        is_light : bool
            Whether the request needs little prefill, so that many of them fit on one endpoint.
        """
        draw = self._rng.random() if session is None else hash_fraction(session)
        canary = self._canaries.get(service)
        if canary is not None:
            has_target = self._states.is_earlier_decision_known(service) and any(
                endpoint.entry.version == canary.order.target for endpoint in endpoints
            )
            max_share = self._max_share(canary, endpoints, now_s)
            chosen = canary.routes_to_target(session, draw, now_s, has_target, is_light, max_share)
            self._notify_updates(canary)
            return chosen
        if session is not None:
            self._recent.note_request(service, session, now_s)
        return None

    def note_request_finished(self, service: str, session: str | None) -> None:
        """Record the end of a session's request."""
        if session is None:
            return
        now_s = self._clock.seconds()
        canary = self._canaries.get(service)
        if canary is not None:
            canary.note_request_finished(session, now_s)
        else:
            self._recent.note_finished(service, session, now_s)

    def _notify_updates(self, canary: Canary) -> None:
        if canary.unreported_moved or canary.unreported_pinned:
            self._on_update()

    def _max_share(self, canary: Canary, endpoints: list[Endpoint], now_s: float) -> float:
        at_s, max_share = self._max_shares.get(canary.order.service, (float("-inf"), 0.0))
        if now_s - at_s < UPDATE_INTERVAL_S:
            return max_share
        target = canary.order.target
        new = sum(
            self.running_calls(endpoint.lifetime)
            for endpoint in endpoints
            if endpoint.entry.version == target
        )
        both = sum(self.running_calls(endpoint.lifetime) for endpoint in endpoints)
        max_share = canary.max_share(now_s, new, both - new)
        self._max_shares[canary.order.service] = (now_s, max_share)
        return max_share

    def allowed_endpoints(
        self,
        service: str,
        wants_target: bool | None,
        endpoints: list[Endpoint],
        is_light: bool = False,
    ) -> list[Endpoint]:
        """Return the endpoints that a request may be sent to now.

        Parameters
        ----------
        service : str
        wants_target : bool or None
        endpoints : list of Endpoint
            The endpoints that accept work and have not been tried.
        is_light : bool
            Whether the call needs little prefill, so that many of them fit on one endpoint.
        """
        canary = self._canaries.get(service)
        if canary is None:
            return endpoints
        target = canary.order.target
        new = [endpoint for endpoint in endpoints if endpoint.entry.version == target]
        old = [endpoint for endpoint in endpoints if endpoint.entry.version != target]
        match canary.state:
            case RolloutState.ROLLED_BACK:
                return old
            case RolloutState.COMPLETED:
                return new or old
        if not wants_target:
            return old or new
        if is_light and new and canary.is_load_testing(self._clock.seconds()):
            loaded = min(new, key=lambda endpoint: hash_fraction(endpoint.lifetime))
            limit = canary.limits.full_load * (loaded.entry.slots or 0)
            if self.running_calls(loaded.lifetime) < limit:
                return [loaded]
            canary.was_fully_loaded = limit > 0
        return new or old

    def record_answer(
        self, service: str, route: str, endpoint: Endpoint, verdict: AnswerVerdict
    ) -> None:
        """Count an answer."""
        canary = self._canaries.get(service)
        if canary is not None:
            is_target, now_s = self.is_target(service, endpoint), self._clock.seconds()
            is_paced = verdict in (AnswerVerdict.SLOW, AnswerVerdict.GOOD)
            if is_paced and is_target and canary.is_affected_by_load_test(now_s):
                verdict = AnswerVerdict.UNPACED  # the load test determines the latency
            canary.count_answer(is_target, route, endpoint.lifetime, verdict, now_s)

    def is_target(self, service: str, endpoint: Endpoint) -> bool:
        """Whether an endpoint is of the new version of a roll-out."""
        canary = self._canaries.get(service)
        return canary is not None and endpoint.entry.version == canary.order.target

    def has_shifted_traffic(self, service: str, endpoint: Endpoint) -> bool:
        """Whether an endpoint is of a new version under load test or with all new work."""
        canary = self._canaries.get(service)
        if canary is None or not self.is_target(service, endpoint):
            return False
        now_s = self._clock.seconds()
        return canary.is_load_testing(now_s) or canary.takes_all_traffic(now_s)

    # Peers

    def reports(self) -> list[CanaryReport]:
        """Return the roll-outs' part of the report to the peers."""
        now_s = self._clock.seconds()
        return [
            self._report(
                canary,
                now_s,
                canary.pinned_sessions(now_s)[-MAX_PINNED_SESSIONS:],
                canary.moved_sessions(now_s)[-MAX_MOVED_SESSIONS:],
            )
            for canary in self._canaries.values()
        ]

    def _report(
        self, canary: Canary, now_s: float, kept: list[SessionAge], moved: list[SessionAge]
    ) -> CanaryReport:
        stored_state = self._states.confirmed_state(canary.order.service)
        return make_report(canary, now_s, kept, moved, stored_state, self._states.epoch)

    def pop_updates(self) -> list[CanaryUpdate]:
        """Return the updates that have not been sent to the peers yet, and mark them as sent."""
        updates = []
        unsent = self._states.pop_unsent()
        for service, canary in self._canaries.items():
            if (
                service not in unsent
                and not canary.unreported_moved
                and not canary.unreported_pinned
            ):
                continue
            pinned = canary.unreported_pinned[-MAX_PINNED_SESSIONS:]
            stored_state = self._states.confirmed_state(service)
            updates.append(
                CanaryUpdate(
                    service,
                    canary.order.target,
                    canary.unreported_moved,
                    [each.session for each in pinned],
                    stored_state,
                    self._states.epoch,
                    [round(each.age_s, 2) for each in pinned],
                )
            )
            canary.unreported_moved, canary.unreported_pinned = [], []
        return updates

    def apply_update(self, message: CanaryUpdate) -> None:
        """Apply a peer's update: sessions pinned to a version and the state in the store."""
        canary = self._canaries.get(message.service)
        if canary is None or canary.order.target != message.target:
            return
        now_s = self._clock.seconds()
        self._states.apply_peer_state(canary, message.stored_state, message.stored_epoch)
        for session in message.moved_to_new:
            canary.note_moved_session(session, now_s, hash_fraction(session))
        for session, age_s in with_ages(message.kept_on_old, message.kept_ages_s):
            canary.note_old_session(session, now_s - age_s, hash_fraction(session))

    def apply_reports(self, router: str, reports: list[CanaryReport]) -> None:
        """Apply the reports of another router, or of an earlier incarnation of one."""
        for report in reports:
            canary = self._canaries.get(report.service)
            if canary is None or canary.order.target != report.target:
                continue
            before_s, now_s = canary.started_s, self._clock.seconds()
            canary.started_s = min(before_s, now_s - report.elapsed_s)
            self._logs[report.service].log_start(before_s, now_s)
            canary.set_router_counts(router, decode_counts(report.counts))
            canary.was_fully_loaded |= report.was_fully_loaded
            for session, age_s in with_ages(report.kept_on_old, report.kept_ages_s):
                canary.note_old_session(session, now_s - age_s, hash_fraction(session))
            for session, age_s in with_ages(report.moved_to_new, report.moved_ages_s):
                canary.note_moved_session(session, now_s - age_s, hash_fraction(session))
            self._states.note_peer_follows(report.service)
            self._states.apply_peer_state(canary, report.stored_state, report.stored_epoch)
            if report.state in FINAL_STATES and canary.state is RolloutState.IN_PROGRESS:
                self._set_state(canary, RolloutState(report.state))
