"""The router of the direct path: admits requests, finds endpoints, and answers for the whole."""

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
    TokenLatencies,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import (
    CallerReply,
    CallMetadata,
    EndpointCall,
    EndpointPort,
    FeedPort,
    HeaderList,
    OperatorValue,
    RawRequest,
    RunningCall,
    WirePort,
)
from umberhitch.tasks.burn import BurnTask
from umberhitch.tasks.direct.admission import Admission
from umberhitch.tasks.direct.choosing import Choosing
from umberhitch.tasks.direct.come_back import LEAST_RETRY_S
from umberhitch.tasks.direct.crash_guard import CrashGuard
from umberhitch.tasks.direct.decisions import DecisionLog
from umberhitch.tasks.direct.exchange import HELD, REFUSED_BY_ENDPOINT, Exchange
from umberhitch.tasks.direct.gateway_limits import GatewayCounters, GatewaySettings
from umberhitch.tasks.direct.intake import Intake
from umberhitch.tasks.direct.own_answers import OwnAnswers
from umberhitch.tasks.direct.presence import Presence
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.services import Permit, RequestState
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.trials import Trials

__all__ = ["Gateway"]

log = getLogger(__name__)

SPENDS_NO_BUDGET = ("caller left", REFUSED_BY_ENDPOINT)
"""Outcomes that are the caller's own; the burn report leaves them out."""


class Gateway:
    """One router incarnation on the direct path; is the `Services` of its exchanges.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    rng : Random
    wire : WirePort
    endpoints : EndpointPort
    operator_port, registry_port : FeedPort
    trials : Trials
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
        trials: Trials,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.limits = settings.exchange
        self.counters = GatewayCounters()
        self.placement = Placement(settings.zone, settings.placement)
        self.budget = RetryBudget(settings.budget)
        self.demand = EngineDemand(settings.engine_time)
        self.gate = SendGate(settings.name, clock, settings.cold, settings.limit_rules)
        self.trials = trials
        self.decisions = DecisionLog(clock)
        self.running: set[RequestState] = set()
        self.burn: BurnTask | None = None
        """Where requests that have ended are counted against their routes' objectives."""
        self._paces = TokenLatencies()
        self._rng = rng
        self._wire = wire
        self.answers = OwnAnswers(wire, self.decisions)
        self._endpoints = endpoints
        self.crashes = CrashGuard(
            settings.name,
            clock,
            endpoints,
            lambda run, verdict: self.noted(run.permit, run.endpoint, verdict),
            self.unreachable,
        )
        trials.running = self.placement.all_running_calls
        self.view = StoreView(
            clock,
            rng,
            operator_port,
            registry_port,
            settings.operator_pace,
            settings.endpoint_pace,
            trials,
            self._on_endpoints,
            self.crashes.watch.ended,
            Directory(self.gate.closed.draining, settings.name),
        )
        self.gate.on_leaving = self.directory.mark_draining
        self.presence = Presence(
            clock,
            settings.drain_s,
            settings.drain_notice_s,
            lambda: self.view.is_loaded,
            lambda: bool(self.running),
        )
        self.choosing = Choosing(
            self.view,
            trials,
            self.placement,
            self.budget,
            Cascade(settings.cascade),
            self.demand,
            self.gate,
            settings.worth,
            clock,
            rng,
        )
        admission = Admission(
            self.view,
            trials,
            clock,
            rng,
            settings.proof_age_s,
            settings.behind_s,
            settings.is_strict,
        )
        self._intake = Intake(
            clock,
            wire,
            self.view,
            admission,
            self.presence,
            self.choosing,
            self.crashes,
            self.answers.send,
            self._begin,
        )

    # Life

    def start(self) -> None:
        """Begin to follow the store."""
        self.view.start()

    def stop(self) -> None:
        """Do nothing more."""
        self.view.stop()
        for exchange in list(self.running):
            exchange.cut()

    def leave(self, on_noticed: Callable[[], None], on_idle: Callable[[], None]) -> None:
        """Fail the readiness page, and go on taking requests until the balancer has noticed.

        Parameters
        ----------
        on_noticed : callable
            Called then: no caller is sent here any more, and connections on which nothing is under
            way may be closed. Streams that still come would not end in time, and are refused.
        on_idle : callable
            Called when after that every request that was read has its answer.
        """
        self.presence.drain(on_noticed, on_idle)

    def _on_endpoints(self, gone: list[str]) -> None:
        for address in gone:
            self._endpoints.close_idle(address)
        self.placement.retain(self.directory.lifetimes())
        self.gate.forget(self.directory.lifetimes())

    @property
    def directory(self) -> Directory:
        """The endpoints, as the registry has them."""
        return self.view.directory

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force."""
        return self.view.table

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.presence.is_ready

    # Requests

    def intake(self) -> IntakeLimits:
        """Return the limits that are in force."""
        return IntakeLimits() if self.table is None else self.table.document.intake

    def keeps_connections(self) -> bool:
        """Whether connections are kept after an answer."""
        return not self.presence.is_draining

    def refuse_unread(self, status: int, problem: str) -> tuple[HeaderList, bytes]:
        """Return headers and body of an answer to a request that was not taken."""
        return self.answers.to_unread(status, problem)

    def handle(self, raw: RawRequest, reply: CallerReply) -> Callable[[], None]:
        """Begin to answer a request; returns what is to be called if the caller leaves."""
        self.counters.requests += 1
        return self._intake.take(raw, reply)

    def _begin(self, permit: Permit, reply: CallerReply, is_probe: bool) -> Callable[[], None]:
        """Begin an exchange with endpoints."""
        self.budget.record_request(permit.service, permit.received_s)
        exchange = Exchange(self, permit, reply, is_probe)
        self.running.add(exchange)
        return exchange.start()

    # Services of an exchange

    def send(
        self, permit: Permit, endpoint: Endpoint, model: str | None, call: RequestState
    ) -> tuple[RunningCall, PlacedCall]:
        """Send the request to an endpoint."""
        self.counters.calls += 1
        ask, route = permit.ask, permit.route
        service = self.choosing.service(permit)
        now_s = self.clock.seconds()
        endpoint.note_call_sent(now_s)
        self.gate.sent(endpoint, service)
        placed = self.placement.place(endpoint, ask, model or "", route.models, service, now_s)
        customer = permit.customer
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        extras = CallMetadata(
            call.left_s,
            endpoint.entry.incarnation,
            None if customer is None else customer.name,
            model,
            priority if ask.prompt else None,
            call.last_event,
        )
        request = EndpointCall(
            ask.call_id,
            ask.method,
            ask.target,
            self._wire.call_headers(ask, extras),
            ask.body,
            is_non_repeatable=route.kind is RouteKind.NON_IDEMPOTENT,
        )
        return self._endpoints.send(endpoint.entry.address, request, call), placed

    def may_repeat(self, service: str) -> bool:
        """Take one repeat from the shared budget, if there is one."""
        return self.budget.acquire(service, self.clock.seconds())

    def paced(
        self,
        permit: Permit,
        endpoint: Endpoint,
        model: str | None,
        pace_s: float,
        since_s: float,
    ) -> AnswerVerdict:
        """Take note of a pace measured from a time on, and return what it says of the answer.

        It is judged by what is usual where a model of the same size reads meanwhile.
        """
        what = permit.route.name if model is None else model
        if model is not None:
            what += f" {self.placement.largest_prefill_rank(endpoint.lifetime, since_s)}"
        is_loaded = self.trials.bears_load(permit.service, endpoint)
        is_slow = self._paces.is_slow(permit.service, what, pace_s, is_loaded)
        if not self.trials.is_target(permit.service, endpoint):
            self._paces.learn(permit.service, what, pace_s)
        match is_slow:
            case None:
                return AnswerVerdict.UNPACED
            case True:
                return AnswerVerdict.SLOW
            case _:
                return AnswerVerdict.GOOD

    def noted(self, permit: Permit, endpoint: Endpoint, verdict: AnswerVerdict) -> None:
        """Take note of how an endpoint answered."""
        self.trials.note(permit.service, permit.route.name, endpoint, verdict)

    def unreachable(self, endpoint: Endpoint, is_ended: bool = False) -> None:
        """Take note that an endpoint could not be reached or went silent."""
        endpoint.note_failure(self.clock.seconds(), is_ended)
        if is_ended:
            self.crashes.watch.ended(endpoint)

    def moved(self, endpoint: Endpoint) -> None:
        """Take note that another incarnation has the endpoint's address."""
        log.info("address reused", extra={"endpoint": endpoint.lifetime})
        self.crashes.watch.ended(endpoint)
        if self.directory.of_lifetime(endpoint.lifetime) is not None:
            self.directory.drop(endpoint.entry.incarnation)

    def began(self, placed: PlacedCall, head: ReplyHead) -> None:
        """Take note that a reply has begun."""
        now_s = self.clock.seconds()
        self.gate.heard(placed.lifetime, head)
        endpoint = self.directory.of_lifetime(placed.lifetime)
        if endpoint is not None and not head.is_wrong_incarnation:
            self.directory.note_answer(endpoint, now_s)
        load = head.signals.load
        if load is not None and endpoint is not None:  # else its lifetime is over
            self.placement.update_reported_load(placed.lifetime, load, now_s)
        if head.is_success:
            self.placement.note_reply_started(placed, now_s)
        elif head.not_run and not head.is_wrong_incarnation:
            self.placement.note_refused(placed, now_s)

    def heard_late(self, endpoint: Endpoint, head: ReplyHead) -> None:
        """Take note of a reply of an endpoint to a call that nobody waits for any more."""
        self.gate.heard(endpoint.lifetime, head)

    def release(self, placed: PlacedCall, is_failure: bool | None) -> None:
        """Count a call no more."""
        self.placement.release(placed, is_failure)

    def refuse(self, reply: CallerReply, permit: Permit, status: int, reason: str) -> None:
        """Send an answer of the router's own."""
        retry_s = None
        if status == 503 and reason == HELD:
            retry_s = max(LEAST_RETRY_S, self.crashes.retry_s(permit))
        elif status == 503:
            retry_s = self.choosing.come_back_s(permit)
        self.answers.send(reply, permit.ask.call_id, status, reason, retry_s)

    def finished(self, exchange: RequestState, outcome: str) -> None:
        """Take note that a request has its final answer."""
        self.running.discard(exchange)
        self.trials.ended(exchange.permit.service, exchange.permit.ask.session)
        self.counters.outcomes[outcome] = self.counters.outcomes.get(outcome, 0) + 1
        elapsed_s = round(self.clock.seconds() - exchange.permit.received_s, 4)
        is_failure = outcome != "done"
        self._count_burn(exchange, outcome)
        self.decided(exchange, "request ended", is_failure, outcome=outcome, elapsed_s=elapsed_s)
        self.presence.check_idle()

    def _count_burn(self, exchange: RequestState, outcome: str) -> None:
        permit = exchange.permit
        if self.burn is None or outcome in SPENDS_NO_BUDGET:
            return
        customer = "" if permit.customer is None else permit.customer.name
        answered_s = exchange.answered_s
        ended_s = self.clock.seconds() if answered_s is None else answered_s
        latency_s = ended_s - permit.received_s
        self.burn.count(customer, permit.route.name, outcome == "done", latency_s)

    def objectives(self) -> dict[str, tuple[float, float]]:
        """Return by route the share of requests that are to be good, and their latency."""
        if self.table is None:
            return {}
        share = self.settings.good_share
        return {route.name: (share, route.objective_s) for route in self.table.document.routes}

    def decided(self, exchange: RequestState, what: str, is_failure: bool, **facts: object) -> None:
        """Write a decision to the log, with what it rests on."""
        endpoint = exchange.endpoint
        assert self.table is not None
        limit = None if endpoint is None else self.gate.limits.get(endpoint.lifetime)
        if limit is not None:
            facts["limit_rate"] = limit.rate
        self.decisions.write(
            what,
            exchange.permit.ask.call_id,
            is_failure,
            key=exchange.permit.key,
            route=exchange.permit.route.name,
            endpoint=None if endpoint is None else endpoint.lifetime,
            model=exchange.model,
            sends=exchange.sends,
            configuration=self.table.document.number,
            registry_age_s=self.view.registry_age_s(),
            **facts,
        )
