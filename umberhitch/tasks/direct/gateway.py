"""The router of the direct path, which connects admission, endpoint selection and proxying."""

from collections.abc import Callable
from logging import getLogger
from random import Random

from umberhitch.core.direct import (
    AnswerVerdict,
    Cascade,
    Directory,
    Endpoint,
    EndpointEntry,
    EngineDemand,
    IntakeLimits,
    PlacedCall,
    Placement,
    ReplyHead,
    RetryBudget,
    RouteKind,
    RouteTable,
    StoreEpoch,
    TokenLatencies,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import (
    CallerReply,
    CallEvents,
    CallMetadata,
    EndpointCall,
    EndpointPort,
    FeedPort,
    HeaderList,
    OperatorValue,
    RawRequest,
    RunningCall,
    WirePort,
    do_nothing,
)
from umberhitch.tasks.burn import BurnTask
from umberhitch.tasks.direct.admission import Admission
from umberhitch.tasks.direct.admission_control import NO_ROOM, AdmissionControl
from umberhitch.tasks.direct.buffered_bytes import BufferedBytes
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.tasks.direct.crash_guard import CrashGuard
from umberhitch.tasks.direct.decision_log import DecisionLog
from umberhitch.tasks.direct.drain import Drain, DrainActions, DrainTimes
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.tasks.direct.gateway_limits import (
    STOP_MARGIN_S,
    GatewayCounters,
    GatewaySettings,
)
from umberhitch.tasks.direct.intake import Intake
from umberhitch.tasks.direct.local_replies import LocalReplies
from umberhitch.tasks.direct.presence import Presence
from umberhitch.tasks.direct.proxied_request import (
    CALLER_LEFT,
    HELD,
    REFUSED_BY_ENDPOINT,
    ProxiedRequest,
)
from umberhitch.tasks.direct.retry_after import MIN_RETRY_AFTER_S
from umberhitch.tasks.direct.returns import Returns
from umberhitch.tasks.direct.room_estimate import RoomEstimate
from umberhitch.tasks.direct.second_runs import tokens_read_again
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.services import (
    AdmittedRequest,
    ReadyAnswerFate,
    RequestState,
    RunCause,
    Waiter,
)
from umberhitch.tasks.direct.store_view import StoreView

__all__ = ["Gateway"]

log = getLogger(__name__)

OUTCOMES_OF_CALLER = (CALLER_LEFT, REFUSED_BY_ENDPOINT)
"""Outcomes that callers cause themselves; the burn report leaves them out."""


class Gateway:
    """One router incarnation on the direct path; provides `Services` to its proxied requests.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    rng : Random
    wire : WirePort
    endpoints : EndpointPort
    operator_port, registry_port : FeedPort
    canary_controller : CanaryController
    epochs : StoreEpoch
        The epoch of the store.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        rng: Random,
        wire: WirePort,
        endpoints: EndpointPort,
        operator_port: FeedPort[OperatorValue],
        registry_port: FeedPort[EndpointEntry],
        canary_controller: CanaryController,
        epochs: StoreEpoch,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.timeouts = settings.timeouts
        self.counters = GatewayCounters()
        self.buffered = BufferedBytes()
        self.placement = Placement(settings.zone, settings.placement)
        self.retry_budget = RetryBudget(settings.budget)
        self.demand = EngineDemand(settings.engine_time)
        self.gate = SendGate(settings.name, clock, settings.cold, settings.limit_rules)
        self.canary_controller = canary_controller
        self.decisions = DecisionLog(clock)
        self.running_requests: set[RequestState] = set()
        self.is_recovered: Callable[[], bool] = lambda: True
        """Whether peers have told what this router's earlier process knew, as far as needed."""
        self.burn: BurnTask | None = None
        """Counts finished requests against the latency objectives of their routes."""
        self._latencies = TokenLatencies()
        self._rng = rng
        self._wire = wire
        self.local_replies = LocalReplies(wire, self.decisions)
        self._endpoints = endpoints
        self.crash_guard = CrashGuard(
            settings.name,
            clock,
            endpoints,
            lambda run, verdict: self.record_verdict(run.admitted, run.endpoint, verdict),
            self.mark_unreachable,
        )
        canary_controller.running_calls = self.placement.all_running_calls
        self.view = StoreView(
            clock,
            rng,
            operator_port,
            registry_port,
            settings.operator_polling,
            settings.endpoint_polling,
            canary_controller,
            self._on_endpoints,
            self.crash_guard.watch.record_exit,
            Directory(self.gate.closed.draining, settings.name),
            epochs,
        )
        canary_controller.follow_epoch(epochs)
        self.gate.on_draining = self.directory.mark_draining
        times = DrainTimes(settings.drain_notice_s, settings.drain_s - STOP_MARGIN_S)
        drain = Drain(clock, times, lambda: len(self.running_requests))
        self.presence = Presence(clock, drain, STOP_MARGIN_S, self.is_informed)
        self.admission_control = self._make_admission_control()
        self.returns = self._make_returns()
        self.selector = EndpointSelector(
            self.view,
            canary_controller,
            self.placement,
            self.retry_budget,
            Cascade(settings.cascade),
            self.demand,
            self.gate,
            settings.answer_value,
            clock,
            rng,
            self.admission_control,
            self.returns,
        )
        admission = Admission(
            self.view,
            canary_controller,
            clock,
            rng,
            settings.proof_age_s,
            settings.max_lag_s,
            settings.is_strict,
        )
        self._intake = Intake(
            clock,
            wire,
            self.view,
            admission,
            self.presence,
            self.selector,
            self.crash_guard,
            self.local_replies.send,
            self._start_request,
        )

    def _make_admission_control(self) -> AdmissionControl | None:
        if not self.settings.has_admission_control:
            return None
        rooms = RoomEstimate(self.view, self.placement)
        return AdmissionControl(
            self.clock, rooms, self.decisions, self.settings.has_engine_admission
        )

    def _make_returns(self) -> Returns | None:
        if self.admission_control is None:
            return None
        return Returns(self.settings.name, self.admission_control.forecast)

    # Lifecycle

    def start(self) -> None:
        """Start reading the store."""
        self.view.start()

    def stop(self) -> None:
        """Stop reading the store and abort all running requests."""
        self.view.stop()
        if self.admission_control is not None:
            self.admission_control.refuse_all()
        for proxied in list(self.running_requests):
            proxied.abort()

    def drain(
        self,
        on_noticed: Callable[[], None],
        on_idle: Callable[[], None],
        on_last_call: Callable[[], None] = do_nothing,
    ) -> None:
        """Fail the readiness check, and accept requests until the load balancer has noticed.

        Parameters
        ----------
        on_noticed : callable
            Called when the load balancer no longer sends callers here. Idle connections may be
            closed from then on. New streams are refused, since they would not end in time.
        on_idle : callable
            Called when, after that, nothing is under way at callers' connections.
        on_last_call : callable
            Called when requests that are not read whole have to be refused from then on.
        """
        if self.admission_control is not None:
            self.admission_control.refuse_all()
        self.presence.drain.start(DrainActions(on_noticed, on_last_call, on_idle))

    def _on_endpoints(self, gone: list[str]) -> None:
        for address in gone:
            self._endpoints.close_idle(address)
        self.placement.retain(self.directory.lifetimes())
        self.gate.forget(self.directory.lifetimes())
        if self.admission_control is not None:
            self.admission_control.note_endpoints(self.directory.lifetimes())

    @property
    def directory(self) -> Directory:
        """Endpoints listed in the registry."""
        return self.view.directory

    def service_of(self, lifetime: str) -> str | None:
        """Return the service of an endpoint; None if it is not listed."""
        endpoint = self.directory.of_lifetime(lifetime)
        return None if endpoint is None else endpoint.entry.service

    @property
    def table(self) -> RouteTable | None:
        """Routes of the active configuration; None before the first one is loaded."""
        return self.view.table

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers here."""
        return self.presence.is_ready

    def is_informed(self) -> bool:
        """Whether the router knows enough to serve callers."""
        return self.view.is_loaded and self.is_recovered()

    # Requests

    def intake(self) -> IntakeLimits:
        """Return the limits on incoming requests."""
        return IntakeLimits() if self.table is None else self.table.document.intake

    def keeps_connections(self) -> bool:
        """Whether connections are kept open after an answer."""
        return not self.presence.is_draining

    def refuse_unread(self, status: int, problem: str) -> tuple[HeaderList, bytes]:
        """Return the headers and the body of a refusal of a request that was not read."""
        return self.local_replies.make_unread_reply(status, problem)

    def handle(self, raw: RawRequest, reply: CallerReply) -> Callable[[], None]:
        """Start answering a request; return the function to call if the caller disconnects."""
        self.counters.requests += 1
        return self._intake.handle(raw, reply)

    def _start_request(
        self, admitted: AdmittedRequest, reply: CallerReply, is_probe: bool
    ) -> Callable[[], None]:
        """Start proxying a request; return the function to call if the caller disconnects."""
        self.retry_budget.record_request(admitted.service, admitted.received_s)
        proxied = ProxiedRequest(self, admitted, reply, is_probe)
        self.running_requests.add(proxied)
        return proxied.start()

    # Services for proxied requests

    def wait_for_room(self, waiter: Waiter) -> bool:
        """Let a request wait for room before its first call; return whether that is done."""
        if self.admission_control is None or self.selector.failure_reason != NO_ROOM:
            return False
        return self.admission_control.wait(waiter, self.selector.claim(waiter.admitted))

    def send(
        self,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
        proxied: RequestState,
        events: CallEvents,
    ) -> tuple[RunningCall, PlacedCall]:
        """Send the request to an endpoint, and count the call as placed there."""
        self.counters.calls += 1
        req, route = admitted.request, admitted.route
        service = self.selector.service(admitted)
        now_s = self.clock.seconds()
        endpoint.note_call_sent(now_s)
        self.gate.record_sent(endpoint, service)
        if req.prompt:
            self.counters.second_runs.prompt_tokens[admitted.service] += tokens_read_again(
                self.placement, self.directory, admitted.service, endpoint, model or "", req
            )
        placed_call = self.placement.place(endpoint, req, model or "", route.models, service, now_s)
        if self.admission_control is not None:
            claim = self.selector.claim(admitted)
            self.admission_control.note_sent(admitted, claim, endpoint, placed_call)
        customer = admitted.customer
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        extras = CallMetadata(
            proxied.remaining_s,
            endpoint.entry.incarnation,
            None if customer is None else customer.name,
            model,
            priority if req.prompt else None,
            proxied.last_event,
        )
        request = EndpointCall(
            req.call_id,
            req.method,
            req.target,
            self._wire.call_headers(req, extras),
            req.body,
            is_non_repeatable=route.kind is RouteKind.NON_IDEMPOTENT,
        )
        return self._endpoints.send(endpoint.entry.address, request, events), placed_call

    def acquire_retry(self, service: str) -> bool:
        """Take one retry from the shared retry budget; return whether there was one."""
        return self.retry_budget.acquire(service, self.clock.seconds())

    def give_back_retry(self, service: str) -> None:
        """Give a retry back that was taken and not used."""
        self.retry_budget.give_back(service)

    def judge_latency(
        self,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
        latency_s: float,
        since_s: float,
    ) -> AnswerVerdict:
        """Record a latency measured from ``since_s`` on, and return the verdict on the answer.

        The latency is compared with that of earlier answers of the service: those of the same
        route, or, if the call has a model, those of the same model while the endpoint processed
        prompts for a model of the same size.
        """
        latency_key = admitted.route.name if model is None else model
        if model is not None:
            latency_key += f" {self.placement.largest_prefill_rank(endpoint.lifetime, since_s)}"
        is_loaded = self.canary_controller.has_shifted_traffic(admitted.service, endpoint)
        is_slow = self._latencies.is_slow(admitted.service, latency_key, latency_s, is_loaded)
        if not self.canary_controller.is_target(admitted.service, endpoint):
            self._latencies.learn(admitted.service, latency_key, latency_s)
        match is_slow:
            case None:
                return AnswerVerdict.UNPACED
            case True:
                return AnswerVerdict.SLOW
            case _:
                return AnswerVerdict.GOOD

    def record_verdict(
        self, admitted: AdmittedRequest, endpoint: Endpoint, verdict: AnswerVerdict
    ) -> None:
        """Record the verdict on an answer of an endpoint."""
        self.canary_controller.record_answer(
            admitted.service, admitted.route.name, endpoint, verdict
        )

    def mark_unreachable(self, endpoint: Endpoint, has_exited: bool = False) -> None:
        """Record that an endpoint could not be reached or stopped answering."""
        endpoint.note_failure(self.clock.seconds(), has_exited)
        if has_exited:
            self.crash_guard.watch.record_exit(endpoint)

    def mark_address_reused(self, endpoint: Endpoint) -> None:
        """Record that another incarnation now uses the endpoint's address."""
        log.info("address reused", extra={"endpoint": endpoint.lifetime})
        self.crash_guard.watch.record_exit(endpoint)
        if self.directory.of_lifetime(endpoint.lifetime) is not None:
            self.directory.drop(endpoint.entry.incarnation)

    def record_head(self, placed_call: PlacedCall, head: ReplyHead) -> None:
        """Record the head of the reply to a call."""
        now_s = self.clock.seconds()
        self.gate.apply_head(placed_call.lifetime, head)
        endpoint = self.directory.of_lifetime(placed_call.lifetime)
        if endpoint is not None and not head.is_wrong_incarnation:
            self.directory.note_answer(endpoint, now_s)
        load = head.signals.load
        if load is not None and endpoint is not None:  # endpoint is None if the lifetime has ended
            self.placement.update_reported_load(placed_call.lifetime, load, now_s)
        if head.is_success:
            self.placement.note_reply_started(placed_call, now_s)
        elif head.not_run and not head.is_wrong_incarnation:
            self.placement.note_refused(placed_call, now_s)
        if self.admission_control is not None:
            self.admission_control.note_head(placed_call, head)

    def record_late_head(self, endpoint: Endpoint, head: ReplyHead) -> None:
        """Record the head of a reply to a call that was given up before."""
        self.gate.apply_head(endpoint.lifetime, head)

    def release_call(self, placed_call: PlacedCall, is_failure: bool | None) -> None:
        """Stop counting a call as running."""
        self.placement.release(placed_call, is_failure)
        if self.admission_control is not None:
            self.admission_control.note_ended(placed_call, is_failure)

    def send_refusal(
        self, reply: CallerReply, admitted: AdmittedRequest, status: int, reason: str
    ) -> None:
        """Refuse a request with a reply made by the router itself."""
        retry_s = None
        if status == 503 and reason == HELD:
            retry_s = max(MIN_RETRY_AFTER_S, self.crash_guard.retry_after_s(admitted))
        elif status == 503:
            retry_s = self.selector.retry_after_s(admitted, reason)
        self.local_replies.send(reply, admitted.request.call_id, status, reason, retry_s)

    def count_second_run(self, service: str, cause: RunCause) -> None:
        """Count a call of a request that may have run before."""
        self.counters.second_runs.calls[service, cause] += 1

    def count_ready_answer(self, fate: ReadyAnswerFate) -> None:
        """Count what became of a small model's answer for which a larger model was called."""
        counts = self.counters.ready_answers
        counts[fate] = counts.get(fate, 0) + 1

    def request_finished(self, proxied: RequestState, outcome: str) -> None:
        """Record the final outcome of a request."""
        self.running_requests.discard(proxied)
        if self.admission_control is not None:
            self.admission_control.forget(proxied.admitted)
        self.canary_controller.note_request_finished(
            proxied.admitted.service, proxied.admitted.request.session
        )
        self.counters.outcomes[outcome] = self.counters.outcomes.get(outcome, 0) + 1
        elapsed_s = round(self.clock.seconds() - proxied.admitted.received_s, 4)
        is_failure = outcome != "done"
        self._count_burn(proxied, outcome)
        self.log_decision(
            proxied, "request ended", is_failure, outcome=outcome, elapsed_s=elapsed_s
        )
        self.presence.drain.check()

    def _count_burn(self, proxied: RequestState, outcome: str) -> None:
        admitted = proxied.admitted
        if self.burn is None or outcome in OUTCOMES_OF_CALLER:
            return
        customer = "" if admitted.customer is None else admitted.customer.name
        first_event_s = proxied.first_event_s
        ended_s = self.clock.seconds() if first_event_s is None else first_event_s
        latency_s = ended_s - admitted.received_s
        self.burn.count(customer, admitted.route.name, outcome == "done", latency_s)

    def objectives(self) -> dict[str, tuple[float, float]]:
        """Return the target share of good requests and the latency objective (s) of each route."""
        if self.table is None:
            return {}
        share = self.settings.good_share
        return {route.name: (share, route.objective_s) for route in self.table.document.routes}

    def log_decision(
        self, proxied: RequestState, message: str, is_failure: bool, **facts: object
    ) -> None:
        """Write a decision about a request to the log, with the state that it is based on."""
        endpoint = proxied.endpoint
        assert self.table is not None
        limit = None if endpoint is None else self.gate.limits.get(endpoint.lifetime)
        if limit is not None:
            facts["limit_rate"] = limit.rate
        self.decisions.write(
            message,
            proxied.admitted.request.call_id,
            is_failure,
            key=proxied.admitted.request_key,
            route=proxied.admitted.route.name,
            endpoint=None if endpoint is None else endpoint.lifetime,
            model=proxied.model,
            sends=proxied.sends,
            configuration=self.table.document.number,
            registry_age_s=self.view.registry_age_s(),
            **facts,
        )
