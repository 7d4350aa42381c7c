"""Chooses model and endpoint for each call of a request."""

from random import Random

from umberhitch.core.direct import (
    AnswerValue,
    AnswerValueLimits,
    Candidate,
    Cascade,
    Endpoint,
    EngineCall,
    EngineDemand,
    Placement,
    RetryBudget,
    Service,
    make_answer_value,
)
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.admission import MAX_LIGHT_TOKENS
from umberhitch.tasks.direct.retry_after import HONORED_SHARE, MIN_RETRY_AFTER_S
from umberhitch.tasks.direct.send_gate import SendGate, Urgency
from umberhitch.tasks.direct.services import AdmittedRequest
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.trials import Trials

__all__ = ["EndpointSelector"]

NO_ENDPOINT = "no endpoint"
NO_QUOTA = "endpoints take no more"
"""Reasons why there is nowhere to send a call: none takes work, or each has had its share."""
RETRY_OBJECTIVES = 0.2
"""Time to come back while the endpoints bear no more, in objectives: an answer is in time then."""


class EndpointSelector:
    """Brings together what the store told, what is under way, and the decisions of the core.

    Parameters
    ----------
    view : StoreView
    trials : Trials
    placement : Placement
    budget : RetryBudget
    cascade : Cascade
    demand : EngineDemand
    gate : SendGate
    worth : AnswerValueLimits
    clock : Clock
    rng : Random
    """

    def __init__(
        self,
        view: StoreView,
        trials: Trials,
        placement: Placement,
        budget: RetryBudget,
        cascade: Cascade,
        demand: EngineDemand,
        gate: SendGate,
        worth: AnswerValueLimits,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._view = view
        self._trials = trials
        self._placement = placement
        self._budget = budget
        self._cascade = cascade
        self._demand = demand
        self._gate = gate
        self.failure_reason = NO_ENDPOINT
        """Why the last choice found no endpoint."""
        self._worth = worth
        self._clock = clock
        self._rng = rng

    def first_model(self, permit: AdmittedRequest) -> str | None:
        """Return the model to begin with; the request counts as demand from now on."""
        if permit.request.prompt:
            self._demand.record_request(permit.service, self._stake(permit), self._clock.seconds())
        return self._cascade.first_model(permit.route, permit.request)

    def larger_model(
        self, permit: AdmittedRequest, model: str, confidence: int | None, waited_s: float
    ) -> str | None:
        """Return the model to ask instead, or None to keep the answer."""
        if not permit.request.picks_model:
            return None
        if self._budget.remaining(permit.service, self._clock.seconds()) < 1.0:
            return None
        chosen = self.select_endpoint(permit, permit.route.models[-1], set())
        if chosen is None:
            return None
        service = self.service(permit)
        prices = service.prices if service is not None else {}
        stake = self._stake(permit)
        return self._cascade.next_model(
            permit.route, permit.request, stake, model, confidence, prices, waited_s, chosen
        )

    def _stake(self, permit: AdmittedRequest) -> AnswerValue:
        return make_answer_value(permit.route, permit.request, self._worth)

    def service(self, permit: AdmittedRequest) -> Service | None:
        """Return what the configuration says of a request's service."""
        assert self._view.table is not None
        return self._view.table.document.services.get(permit.service)

    def _bearing(self, permit: AdmittedRequest, found: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that bear one more call of this router."""
        service = self.service(permit)
        if not self._gate.has_bounds(service):
            return found
        return self._gate.with_quota(service, found, self._urgency(permit))

    def _urgency(self, permit: AdmittedRequest) -> Urgency:
        priority, customer = permit.route.priority, permit.customer
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return priority, -self._stake(permit).value

    def retry_after_s(self, permit: AdmittedRequest) -> float:
        """Return when a request for which there was no endpoint should come again.

        Where the service has none at all, as late as callers honour: nothing tells when one comes.
        Else some are cold, failing, resting or limited, which passes, and other routers may have
        their share left.
        """
        now_s = self._clock.seconds()
        left_s = permit.received_s + permit.request.patience_s - now_s
        directory = self._view.directory
        if not directory.ready(permit.service, now_s):
            return max(MIN_RETRY_AFTER_S, HONORED_SHARE * left_s)
        soonest_s = max(MIN_RETRY_AFTER_S, RETRY_OBJECTIVES * permit.route.objective_s)
        listed = directory.listed(permit.service)
        urgency = self._urgency(permit)
        return self._gate.retry_after_s(permit.service, listed, urgency, soonest_s, left_s)

    def _open(self, permit: AdmittedRequest, home: Endpoint | None) -> list[Endpoint]:
        """Return endpoints that take new work, among them the home of the prompt if it does."""
        now_s = self._clock.seconds()
        is_open = self._gate.open_filter()
        ready = self._view.directory.ready(permit.service, now_s, self._rng, is_open)
        if home is None or home in ready or not home.accepts_work(now_s):
            return ready
        return [*ready, home] if is_open is None or is_open(home) else ready

    def _home(self, permit: AdmittedRequest) -> Endpoint | None:
        prompt = permit.request.prompt
        if len(prompt) < 2:
            return None
        return self._view.directory.affinity_endpoint(permit.service, prompt[-2].part_id)

    def select_endpoint(
        self, permit: AdmittedRequest, model: str | None, tried: set[str]
    ) -> Candidate | None:
        """Return where a call goes, or None where no endpoint takes work."""
        now_s = self._clock.seconds()
        home = self._home(permit)
        ready = self._open(permit, home)
        fresh = [each for each in ready if each.lifetime not in tried]
        bearing = self._bearing(permit, fresh)
        is_used_up = bool(fresh) and not bearing
        is_closed = not ready and bool(self._view.directory.ready(permit.service, now_s))
        self.failure_reason = NO_QUOTA if is_used_up or is_closed else NO_ENDPOINT
        is_light = permit.request.prompt_tokens < MAX_LIGHT_TOKENS
        fresh = self._trials.allowed(permit.service, permit.wants_target, bearing, is_light)
        if not fresh:
            return None
        if not permit.request.prompt:
            return self._placement.choose_plain(fresh, now_s)
        work = EngineCall(
            permit.request,
            model or "",
            permit.route.models,
            self._stake(permit),
            self._demand.price(permit.service, len(fresh), now_s),
            home,
            now_s - permit.received_s,
        )
        return self._placement.choose_engine(fresh, work, now_s)
