"""Requests at a router: from the caller's question to one of three outcomes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256
from hmac import compare_digest
from logging import getLogger
from random import Random
from typing import TYPE_CHECKING

from umberhitch.config import Config, Customer, RequestClass
from umberhitch.core.admission import Admission
from umberhitch.core.billing import cost_micros
from umberhitch.core.choice import choose_endpoint, choose_version, permitted_versions
from umberhitch.core.claims import Claim, ClaimState, RecordedAnswer, Release, Settle
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason, Unknown
from umberhitch.core.session import Session
from umberhitch.ports import Clock
from umberhitch.tasks.attempts import OpenAttempt, TextSink
from umberhitch.tasks.fleet import Endpoint
from umberhitch.tasks.resume import Locator, format_locator
from umberhitch.wire import AttemptId, EngineWork, ServiceWork, Start, UsageRecord

if TYPE_CHECKING:
    from umberhitch.tasks.router import Router

__all__ = ["Ask", "RequestTrace", "Requests"]

log = getLogger(__name__)

CLAIM_WAIT_S = 2.0
"""How long a keyed request waits for the log before it is refused."""
KEY_POLL_S = 0.5
LOG_RETRY_AFTER_S = 2.0
NO_ENDPOINT_RETRY_AFTER_S = 1.0
MAX_TRACES = 2000
RETRY_BURST = 10.0

RETRYABLE = frozenset(
    {
        Reason.LEAVING,
        Reason.OVERLOADED,
        Reason.STALE_CONFIG,
        Reason.LEDGER_FULL,
        Reason.USAGE_FULL,
        Reason.NO_ENDPOINT,
        Reason.NO_ANSWER,
        Reason.BACKEND_REFUSED,
        Reason.WITHDRAWN,
    }
)
"""Refusals after which another endpoint may do better."""


ENDPOINT_FAULTS = frozenset(
    {Reason.BACKEND_FAILED, Reason.BACKEND_REFUSED, Reason.NO_ANSWER, Reason.AGENT_LOST}
)
"""Outcomes that count against an endpoint."""


@dataclass(frozen=True, kw_only=True)
class Ask:
    """A request, as the core sees it.

    Attributes
    ----------
    spec : str
        Model, ``model@version``, ``auto``, or the name of a service.
    deadline_s : float
        Time that the caller gives, from now.
    is_repeatable : bool
        Whether it may run more than once.
    """

    request: str
    customer: Customer
    klass: RequestClass
    spec: str
    work: EngineWork | ServiceWork
    deadline_s: float
    is_repeatable: bool
    session: Session | None = None
    session_token: str = ""
    key: str = ""
    fingerprint: str = ""
    is_streamed: bool = False
    """Whether the caller sees the answer while it grows, so that it cannot be begun again."""

    @property
    def is_service(self) -> bool:
        """Whether a plain service is called."""
        return isinstance(self.work, ServiceWork)


@dataclass(slots=True)
class AttemptTrace:
    """One attempt of a request, for explanations."""

    attempt: str
    target: str
    endpoint: str
    outcome: str = "open"


@dataclass(slots=True)
class RequestTrace:
    """Why a request went where it went."""

    request: str
    customer: str
    klass: str
    spec: str
    revision: int
    attempts: list[AttemptTrace] = field(default_factory=list)
    outcome: str = "open"
    reason: str = ""
    cost_micros: int = 0
    locator: str = ""


@dataclass(slots=True)
class _Progress:
    """The state of one request while it is being served."""

    ask: Ask
    due_s: float
    sink: TextSink
    trace: RequestTrace
    on_placed: Callable[[str], None]
    avoid: set[str] = field(default_factory=set)
    agents: list[str] = field(default_factory=list)
    attempts: int = 0
    is_shown: bool = False
    unknown: Unknown | None = None
    """Of an earlier attempt, which may have run."""
    refused: NotRun | None = None
    """Of an earlier attempt; it tells the caller more than that no endpoint is left."""


@dataclass(slots=True)
class _Placement:
    target: str
    endpoint: Endpoint
    attempt: AttemptId
    agent_incarnation: int


class Requests:
    """Owns the requests in progress at one router.

    Parameters
    ----------
    router : Router
    clock : Clock
    wall_s : callable
    rng : Random
    """

    def __init__(
        self, router: "Router", clock: Clock, wall_s: Callable[[], float], rng: Random
    ) -> None:
        self._router = router
        self._clock = clock
        self._wall_s = wall_s
        self._rng = rng
        self._retry_tokens = RETRY_BURST
        self._idle_callbacks: list[Callable[[], None]] = []
        self._customer_by_key: dict[str, str] = {}
        self.admission = Admission()
        self.open = 0
        self.outcomes: dict[str, int] = {}
        self.traces: dict[str, RequestTrace] = {}

    @property
    def config(self) -> Config:
        """The router's configuration."""
        return self._router.feed.config

    def config_changed(self) -> None:
        """Index the customers' keys anew."""
        self._customer_by_key = {
            digest: customer.name
            for customer in self.config.customers.values()
            for digest in customer.key_sha256
        }

    def authenticate(self, key: str) -> Customer | None:
        """Return the customer to whom a bearer key belongs."""
        digest = sha256(key.encode()).hexdigest()
        name = self._customer_by_key.get(digest)
        customer = self.config.customers.get(name) if name is not None else None
        if customer is None or not any(
            compare_digest(digest, known) for known in customer.key_sha256
        ):
            return None
        return customer

    def when_idle(self, callback: Callable[[], None]) -> None:
        """Call back once no request is in progress."""
        if not self.open:
            callback()
        else:
            self._idle_callbacks.append(callback)

    # One request

    async def serve(
        self, ask: Ask, sink: TextSink, on_placed: Callable[[str], None] = lambda locator: None
    ) -> Outcome:
        """See a request through.

        Parameters
        ----------
        ask : Ask
        sink : callable
            Gets the answer piece by piece.
        on_placed : callable
            Gets the locator of the answer each time an attempt is sent.
        """
        refusal = self._refusal(ask)
        if refusal is not None:
            self._count(refusal)
            return refusal
        trace = self._new_trace(ask)
        progress = _Progress(ask, self._clock.seconds() + ask.deadline_s, sink, trace, on_placed)
        self.open += 1
        self._retry_tokens = min(RETRY_BURST, self._retry_tokens + self.config.policy.retry_budget)
        try:
            outcome = await (self._serve_keyed(progress) if ask.key else self._serve(progress))
        finally:
            self.admission.leave(ask.customer.name)
            self.open -= 1
        self._conclude(progress, outcome)
        return outcome

    def _refusal(self, ask: Ask) -> NotRun | None:
        router = self._router
        if not router.is_ready:
            return NotRun(Reason.LEAVING, "this router takes no requests", 0.5)
        if router.bills.is_full:
            return NotRun(Reason.LOG_DOWN, "usage cannot be recorded", LOG_RETRY_AFTER_S)
        return self.admission.admit(ask.customer.name, ask.customer.limits, self._clock.seconds())

    def _new_trace(self, ask: Ask) -> RequestTrace:
        trace = RequestTrace(
            ask.request, ask.customer.name, ask.klass.name, ask.spec, self._router.feed.revision
        )
        self.traces[ask.request] = trace
        while len(self.traces) > MAX_TRACES:
            self.traces.pop(next(iter(self.traces)))
        return trace

    def _conclude(self, progress: _Progress, outcome: Outcome) -> None:
        trace = progress.trace
        match outcome:
            case Done(replayed=replayed):
                trace.outcome = "done"
                if not replayed:
                    self._bill(progress, outcome)
            case NotRun(reason=reason):
                trace.outcome, trace.reason = "not_run", reason.value
            case Unknown(reason=reason):
                trace.outcome, trace.reason = "unknown", reason.value
        self._count(outcome)
        elapsed_s = self._clock.seconds() - (progress.due_s - progress.ask.deadline_s)
        self._router.burn.ended(trace.customer, trace.klass, outcome, elapsed_s)
        log.info(
            "request ended",
            extra={
                "request": trace.request,
                "customer": trace.customer,
                "outcome": trace.outcome,
                "reason": trace.reason,
                "attempts": len(trace.attempts),
                "revision": trace.revision,
            },
        )
        if not self.open:
            callbacks, self._idle_callbacks = self._idle_callbacks, []
            for callback in callbacks:
                callback()

    def _count(self, outcome: Outcome) -> None:
        match outcome:
            case Done():
                name = "done"
            case NotRun(reason=reason):
                name = f"not_run:{reason}"
            case Unknown(reason=reason):
                name = f"unknown:{reason}"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def _bill(self, progress: _Progress, done: Done) -> None:
        ask = progress.ask
        cost = cost_micros(self.config.versions.get(done.target), done.usage)
        progress.trace.cost_micros = cost
        record = UsageRecord(
            ask.request,
            ask.customer.name,
            done.target,
            done.usage,
            cost,
            progress.attempts,
            ask.klass.name,
        )
        self._router.bills.write(record, progress.agents)

    # Attempts

    async def _serve(self, progress: _Progress) -> Outcome:
        while True:
            placement = self._place(progress)
            if isinstance(placement, NotRun):
                return self._truthful(progress, progress.refused or placement)
            outcome = await self._attempt(progress, placement)
            if not self._may_retry(progress, outcome):
                return self._truthful(progress, outcome)
            progress.avoid.add(placement.endpoint.name)

    def _truthful(self, progress: _Progress, outcome: Outcome) -> Outcome:
        """Return an outcome that covers every attempt: one that may have run is not "not run"."""
        if isinstance(outcome, NotRun) and progress.unknown is not None:
            return progress.unknown
        return outcome

    async def _attempt(self, progress: _Progress, placement: _Placement) -> Outcome:
        ask = progress.ask
        began_s = self._clock.seconds()
        progress.attempts += 1
        endpoint = placement.endpoint
        start = Start(
            placement.attempt,
            placement.agent_incarnation,
            ask.request,
            ask.customer.name,
            placement.target,
            ask.work,
            ask.klass.priority,
            max(0.0, progress.due_s - self._clock.seconds()),
            self._router.feed.revision,
            ask.session_token,
            ask.klass.name,
        )
        trace = AttemptTrace(str(placement.attempt), placement.target, endpoint.name)
        progress.trace.attempts.append(trace)
        progress.trace.locator = format_locator(
            Locator(ask.request, endpoint.name, placement.agent_incarnation, placement.attempt)
        )
        progress.on_placed(progress.trace.locator)
        if endpoint.name not in progress.agents:
            progress.agents.append(endpoint.name)
        watch = self._router.attempts.run(
            start, endpoint.name, ask.is_repeatable, self._text_sink(progress)
        )
        outcome = await self._router.attempts.outcome_of(watch)
        trace.outcome = describe(outcome)
        self._router.evidence.ended(
            placement.target,
            ask.klass.name,
            outcome,
            self._clock.seconds() - began_s,
            ask.work,
        )
        fleet = self._router.fleet
        match outcome:
            case Done():
                fleet.note_success(endpoint.name)
            case Unknown(reason=reason):
                progress.unknown = outcome
                if reason in ENDPOINT_FAULTS:
                    fleet.note_failure(endpoint.name)
            case NotRun(reason=reason):
                progress.refused = outcome
                if reason in ENDPOINT_FAULTS:
                    fleet.note_failure(endpoint.name)
        return outcome

    def _text_sink(self, progress: _Progress) -> TextSink:
        def take(text: str) -> None:
            progress.is_shown = progress.ask.is_streamed
            progress.sink(text)

        return take

    def _place(self, progress: _Progress) -> _Placement | NotRun:
        ask = progress.ask
        target = self._choose_target(progress)
        if isinstance(target, NotRun):
            return target
        pool = self._router.fleet.candidates(target)
        near = pool.by_zone.get(self._router.settings.zone, ())
        endpoint = choose_endpoint(pool.endpoints, near, self._rng, progress.avoid)
        if endpoint is None:
            return NotRun(
                Reason.NO_ENDPOINT, f'no endpoint for "{ask.spec}"', NO_ENDPOINT_RETRY_AFTER_S
            )
        attempt = self._router.attempts.next_id()
        return _Placement(target, endpoint, attempt, endpoint.incarnation)

    def _choose_target(self, progress: _Progress) -> str | NotRun:
        ask = progress.ask
        if ask.is_service:
            if ask.spec not in ask.customer.services:
                return NotRun(Reason.NOT_PERMITTED, f'no service "{ask.spec}" for this customer')
            return ask.spec
        versions = permitted_versions(self.config, ask.customer.name, ask.spec, ask.session)
        if isinstance(versions, NotRun):
            return versions
        stops, fold = self._router.stops, self._router.feed.fold
        versions = [ver for ver in versions if not stops.holds(ver.key, fold)]
        if not versions:
            return NotRun(Reason.WITHDRAWN, f'no version of "{ask.spec}" takes new work')

        def has_endpoint(target: str) -> bool:
            return self._router.fleet.candidates(target).has_other_than(progress.avoid)

        ver = choose_version(versions, ask.klass, has_endpoint, self._rng)
        if ver is None:
            return NotRun(
                Reason.NO_ENDPOINT, f'no endpoint for "{ask.spec}"', NO_ENDPOINT_RETRY_AFTER_S
            )
        return ver.key

    def _may_retry(self, progress: _Progress, outcome: Outcome) -> bool:
        match outcome:
            case NotRun(reason=reason) if reason in RETRYABLE:
                pass
            case Unknown() if progress.ask.is_repeatable and not progress.is_shown:
                pass
            case _:
                return False
        if progress.attempts >= self.config.policy.max_attempts:
            return False
        if self._clock.seconds() >= progress.due_s or self._retry_tokens < 1.0:
            return False
        self._retry_tokens -= 1.0
        return True

    # Keyed requests

    async def _serve_keyed(self, progress: _Progress) -> Outcome:
        claims = self._router.claims
        while True:
            state = claims.holder(progress.ask.key)
            if state is not None:
                outcome = await self._follow_key(progress, state)
            elif claims.follower.failures:
                return _log_down("the log of idempotency keys cannot be reached")
            else:
                outcome = await self._claim_and_run(progress)
            if outcome is not None:
                return outcome
            if self._clock.seconds() >= progress.due_s:
                return NotRun(Reason.KEY_IN_USE, "the first request is still running", 1.0)

    async def _claim_and_run(self, progress: _Progress) -> Outcome | None:
        """Claim the key and run; None if the state of the key must be looked at again."""
        while True:
            placement = self._place(progress)
            if isinstance(placement, NotRun):
                return progress.refused or placement
            state = await self._claim(progress, placement)
            if state is None:
                return _log_down("the idempotency key could not be recorded")
            if state.claim.attempt != placement.attempt:
                return None
            outcome = await self._attempt(progress, placement)
            is_safe = isinstance(outcome, NotRun)
            if not (is_safe and self._may_retry(progress, outcome)):
                self._record(progress.ask, placement.attempt, outcome)
                return outcome
            progress.avoid.add(placement.endpoint.name)

    async def _claim(self, progress: _Progress, placement: _Placement) -> ClaimState | None:
        ask = progress.ask
        claim = Claim(
            ask.key,
            ask.request,
            placement.attempt,
            placement.endpoint.name,
            placement.agent_incarnation,
            ask.fingerprint,
            self._wall_s(),
        )
        left_s = progress.due_s - self._clock.seconds()
        return await self._router.claims.claim(claim, min(CLAIM_WAIT_S, left_s))

    def _record(self, ask: Ask, attempt: AttemptId, outcome: Outcome) -> None:
        claims = self._router.claims
        match outcome:
            case Done():
                claims.settle(Settle(ask.key, ask.request, attempt, record_answer(outcome)))
            case NotRun():
                claims.release(Release(ask.key, ask.request, attempt))
            case Unknown(reason=reason):
                claims.settle(Settle(ask.key, ask.request, attempt, None, reason))

    async def _follow_key(self, progress: _Progress, state: ClaimState) -> Outcome | None:
        """Answer from what another request with the same key did or does."""
        claim = state.claim
        if claim.fingerprint != progress.ask.fingerprint:
            return NotRun(Reason.KEY_REUSED, "the key was used for another request")
        settled = state.settled
        if settled is not None:
            if settled.answer is None:
                return Unknown(Reason(settled.reason), "the first request's outcome is unknown")
            return replay(settled.answer)
        owner = claim.attempt
        if self._router.is_router_alive(owner.router, owner.incarnation):
            left_s = progress.due_s - self._clock.seconds()
            await self._router.claims.wait_for_news(claim.key, min(KEY_POLL_S, left_s))
            return None
        return await self._settle_for(progress, claim)

    async def _settle_for(self, progress: _Progress, claim: Claim) -> Outcome | None:
        """Find out, for a lost router, what became of the attempt that it claimed."""
        endpoint = self._router.fleet.get(claim.endpoint)
        if endpoint is None:
            return Unknown(Reason.AGENT_LOST, "the first request's agent is gone")
        watch: OpenAttempt = self._router.attempts.settle_foreign(
            claim.attempt, endpoint, claim.agent_incarnation, progress.ask.customer.name
        )
        outcome = await self._router.attempts.outcome_of(watch)
        claims = self._router.claims
        match outcome:
            case Done():
                answer = record_answer(outcome)
                claims.settle(Settle(claim.key, claim.request, claim.attempt, answer))
                return replay(answer)
            case NotRun():
                claims.release(Release(claim.key, claim.request, claim.attempt))
                await claims.wait_for_news(claim.key, CLAIM_WAIT_S)
                return None
            case Unknown(reason=Reason.NO_ANSWER | Reason.DEADLINE):
                return outcome
            case Unknown(reason=reason):
                claims.settle(Settle(claim.key, claim.request, claim.attempt, None, reason))
                return outcome


def _log_down(detail: str) -> NotRun:
    return NotRun(Reason.LOG_DOWN, detail, LOG_RETRY_AFTER_S)


def describe(outcome: Outcome) -> str:
    """Return an outcome in one word or two."""
    match outcome:
        case Done():
            return "done"
        case NotRun(reason=reason):
            return f"not_run: {reason.value}"
        case Unknown(reason=reason):
            return f"unknown: {reason.value}"


def record_answer(done: Done) -> RecordedAnswer:
    """Return an outcome as it is kept for later callers with the same key."""
    return RecordedAnswer(
        done.text,
        done.usage,
        done.target,
        done.endpoint,
        done.finish,
        done.status,
        list(done.headers),
    )


def replay(answer: RecordedAnswer) -> Done:
    """Return a kept answer as an outcome."""
    return Done(
        answer.text,
        answer.usage,
        answer.target,
        answer.endpoint,
        answer.finish,
        answer.status,
        tuple(tuple(pair) for pair in answer.headers),  # type: ignore[misc]
        replayed=True,
    )
