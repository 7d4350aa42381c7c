"""Selection of the model and the endpoint for each call of a request."""

from random import Random

from umberhitch.core.direct import (
    MIN_IN_TIME_SHARE,
    AnswerValue,
    AnswerValueLimits,
    Candidate,
    Cascade,
    Endpoint,
    EngineCall,
    EngineDemand,
    LargerChoice,
    LargerWaits,
    Placement,
    RetryBudget,
    Service,
    WaitSample,
    make_answer_value,
)
from umberhitch.core.scheduling import Claim
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.admission import MAX_LIGHT_TOKENS
from umberhitch.tasks.direct.admission_control import NO_ROOM, AdmissionControl
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.tasks.direct.retry_after import HONORED_SHARE, MIN_RETRY_AFTER_S
from umberhitch.tasks.direct.returns import Returns
from umberhitch.tasks.direct.send_gate import SendGate, Urgency
from umberhitch.tasks.direct.services import AdmittedRequest
from umberhitch.tasks.direct.store_view import StoreView

__all__ = ["EndpointSelector"]

NO_ENDPOINT = "no endpoint"
NO_QUOTA = "endpoints take no more"
"""Reasons for finding no endpoint: none accepts work, or all have used up their limits."""
RETRY_OBJECTIVES = 0.2
"""Retry time while no endpoint accepts a call, as a fraction of the route's latency objective: a
retry after that time can still be answered in time."""


class EndpointSelector:
    """Selects models and endpoints by the stored state, the running calls and the core policies.

    Parameters
    ----------
    view : StoreView
    canary_controller : CanaryController
    placement : Placement
    budget : RetryBudget
    cascade : Cascade
    demand : EngineDemand
    gate : SendGate
    answer_value : AnswerValueLimits
    clock : Clock
    rng : Random
    admission_control : AdmissionControl or None
        None if calls are sent whether or not there is room.
    returns : Returns or None
        Plans the returns of those who are refused for lack of room.
    """

    def __init__(
        self,
        view: StoreView,
        canary_controller: CanaryController,
        placement: Placement,
        budget: RetryBudget,
        cascade: Cascade,
        demand: EngineDemand,
        gate: SendGate,
        answer_value: AnswerValueLimits,
        clock: Clock,
        rng: Random,
        admission_control: AdmissionControl | None = None,
        returns: Returns | None = None,
    ) -> None:
        self._view = view
        self._canary_controller = canary_controller
        self._placement = placement
        self._budget = budget
        self._cascade = cascade
        self._demand = demand
        self._gate = gate
        self.failure_reason = NO_ENDPOINT
        """Why the last selection found no endpoint."""
        self.larger_waits = LargerWaits()
        """Share of larger models' calls that begin in time, by service and model."""
        self._answer_value_limits = answer_value
        self._clock = clock
        self._rng = rng
        self._admission_control = admission_control
        self._returns = returns

    def first_model(self, admitted: AdmittedRequest) -> str | None:
        """Return the model of the first call, and count the request as demand from now on."""
        if admitted.request.prompt:
            self._demand.record_request(
                admitted.service, self._answer_value(admitted), self._clock.seconds()
            )
        return self._cascade.first_model(admitted.route, admitted.request)

    def larger_model(
        self, admitted: AdmittedRequest, model: str, confidence: int | None, waited_s: float
    ) -> LargerChoice | None:
        """Return the larger model to call instead, or None to keep the answer."""
        if not admitted.request.picks_model:
            return None
        if self._budget.remaining(admitted.service, self._clock.seconds()) < 1.0:
            return None
        largest = admitted.route.models[-1]
        candidate = self.select_endpoint(admitted, largest, set())
        if candidate is None:
            return None
        service = self.service(admitted)
        choice = self._cascade.next_model(
            admitted.route,
            admitted.request,
            self._answer_value(admitted),
            model,
            confidence,
            service.prices if service is not None else {},
            waited_s,
            candidate,
            self._share_with_probes(admitted, largest),
            admitted.latest_delivery_s,
        )
        if choice is not None:
            self.larger_waits.note_sent(admitted.service, largest, self._clock.seconds())
        return choice

    def _share_with_probes(self, admitted: AdmittedRequest, model: str) -> float:
        """Return the share of a larger model's calls in time, 1.0 for a call that probes it."""
        now_s = self._clock.seconds()
        limit_s = admitted.latest_delivery_s
        if self.larger_waits.may_probe(admitted.service, model, now_s, limit_s):
            return 1.0
        return self.in_time_share(admitted, model)

    def in_time_share(self, admitted: AdmittedRequest, model: str) -> float:
        """Return the share of a larger model's calls that began in time of late."""
        return self.larger_waits.in_time_share(admitted.service, model, self._clock.seconds())

    def record_larger_wait(
        self, admitted: AdmittedRequest, model: str, sent_s: float, waited_s: float, has_begun: bool
    ) -> None:
        """Learn from a larger model's call that has begun, or was given up before it began."""
        on_time_s = self._answer_value(admitted).on_time_s
        limit_s = admitted.latest_delivery_s - sent_s
        sample = WaitSample(waited_s, has_begun, on_time_s, limit_s)
        self.larger_waits.record(admitted.service, model, sample, self._clock.seconds())

    def is_in_time(self, admitted: AdmittedRequest, model: str, candidate: Candidate) -> bool:
        """Whether a call's first event is expected within the objective."""
        if self.in_time_share(admitted, model) < MIN_IN_TIME_SHARE:
            return False
        begins_s = self._clock.seconds() + candidate.wait_s
        return begins_s - admitted.received_s < admitted.latest_delivery_s

    def _answer_value(self, admitted: AdmittedRequest) -> AnswerValue:
        return make_answer_value(admitted.route, admitted.request, self._answer_value_limits)

    def service(self, admitted: AdmittedRequest) -> Service | None:
        """Return the configuration of a request's service, or None if it has none."""
        assert self._view.table is not None
        return self._view.table.document.services.get(admitted.service)

    def _with_quota(self, admitted: AdmittedRequest, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints whose limits allow one more call from this router."""
        service = self.service(admitted)
        if not self._gate.has_bounds(service):
            return endpoints
        return self._gate.with_quota(
            service, endpoints, self._urgency(admitted), self._view.stalls.is_directory_unread()
        )

    def awaits_directory(self, admitted: AdmittedRequest) -> bool:
        """Whether it is unknown which endpoints are cold, until the registry has been read."""
        service = self.service(admitted)
        has_cold = service is not None and service.cold_rate > 0.0
        return has_cold and self._view.stalls.is_directory_unread()

    def _urgency(self, admitted: AdmittedRequest) -> Urgency:
        priority, customer = admitted.route.priority, admitted.customer
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return priority, -self._answer_value(admitted).value

    def claim(self, admitted: AdmittedRequest) -> Claim:
        """Return what a request brings where several compete for the same endpoints."""
        customer = admitted.customer
        priority, negated_value = self._urgency(admitted)
        claim = Claim(
            priority,
            -negated_value,
            "" if customer is None else customer.name,
            1.0 if customer is None else customer.share,
            admitted.received_s,
            admitted.received_s + admitted.route.objective_s,
        )
        return claim if self._returns is None else self._returns.recognize(admitted, claim)

    def retry_after_s(self, admitted: AdmittedRequest, reason: str = NO_ENDPOINT) -> float:
        """Return after how many seconds a request without an endpoint should be retried.

        If the service has no endpoint at all, the time is the longest that callers honor, since
        nothing tells when one will start. Otherwise some endpoints are cold, failing, backing off
        or limited, which is temporary, and other routers may have quota left.
        """
        now_s = self._clock.seconds()
        if reason == NO_ROOM and self._returns is not None:
            return self._returns.retry_after_s(admitted, self.claim(admitted), now_s)
        left_s = admitted.received_s + admitted.request.patience_s - now_s
        directory = self._view.directory
        if not directory.ready(admitted.service, now_s):
            return max(MIN_RETRY_AFTER_S, HONORED_SHARE * left_s)
        min_retry_s = max(MIN_RETRY_AFTER_S, RETRY_OBJECTIVES * admitted.route.objective_s)
        listed = directory.listed(admitted.service)
        urgency = self._urgency(admitted)
        return self._gate.retry_after_s(admitted.service, listed, urgency, min_retry_s, left_s)

    def _open_endpoints(
        self, admitted: AdmittedRequest, affinity_endpoint: Endpoint | None
    ) -> list[Endpoint]:
        """Return endpoints that accept new work, including the affinity endpoint if it does."""
        now_s = self._clock.seconds()
        is_open = self._gate.open_filter()
        ready = self._view.directory.ready(admitted.service, now_s, self._rng, is_open)
        if (
            affinity_endpoint is None
            or affinity_endpoint in ready
            or not affinity_endpoint.accepts_work(now_s)
        ):
            return ready
        return (
            [*ready, affinity_endpoint] if is_open is None or is_open(affinity_endpoint) else ready
        )

    def _affinity_endpoint(self, admitted: AdmittedRequest) -> Endpoint | None:
        prompt = admitted.request.prompt
        if len(prompt) < 2:
            return None
        return self._view.directory.affinity_endpoint(admitted.service, prompt[-2].part_id)

    def select_endpoint(
        self, admitted: AdmittedRequest, model: str | None, tried: set[str]
    ) -> Candidate | None:
        """Return the candidate for the next call, or None if no endpoint accepts it."""
        now_s = self._clock.seconds()
        affinity_endpoint = self._affinity_endpoint(admitted)
        ready = self._open_endpoints(admitted, affinity_endpoint)
        eligible = [endpoint for endpoint in ready if endpoint.lifetime not in tried]
        within_quota = self._with_quota(admitted, eligible)
        is_quota_used_up = bool(eligible) and not within_quota
        is_closed = not ready and bool(self._view.directory.ready(admitted.service, now_s))
        self.failure_reason = NO_QUOTA if is_quota_used_up or is_closed else NO_ENDPOINT
        is_light = admitted.request.prompt_tokens < MAX_LIGHT_TOKENS
        eligible = self._canary_controller.allowed_endpoints(
            admitted.service, admitted.wants_target, within_quota, is_light
        )
        if eligible and self._admission_control is not None:
            eligible = self._admission_control.with_room(admitted, eligible, self.claim(admitted))
            if not eligible:
                self.failure_reason = NO_ROOM
        if not eligible:
            return None
        if not admitted.request.prompt:
            return self._placement.choose_plain(eligible, now_s)
        work = EngineCall(
            admitted.request,
            model or "",
            admitted.route.models,
            self._answer_value(admitted),
            self._demand.price(admitted.service, len(eligible), now_s),
            affinity_endpoint,
            now_s - admitted.received_s,
        )
        return self._placement.choose_engine(eligible, work, now_s)
