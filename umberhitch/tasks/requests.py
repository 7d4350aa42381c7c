"""Admission, placement, retries and accounting of the requests at a router."""

from collections.abc import Callable
from hashlib import sha256
from hmac import compare_digest
from logging import getLogger
from random import Random

from umberhitch.config import Config, Customer
from umberhitch.core.admission import AdmissionControl
from umberhitch.core.billing import cost_micros
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason, Unknown
from umberhitch.core.selection import choose_endpoint, choose_version, permitted_versions
from umberhitch.ports import Clock
from umberhitch.tasks.attempts import TextSink
from umberhitch.tasks.burn import BurnTask
from umberhitch.tasks.evidence import EvidenceTask
from umberhitch.tasks.idempotency import IdempotencyKeyRequests
from umberhitch.tasks.request_state import (
    AttemptPlacement,
    AttemptTrace,
    CallerRequest,
    RequestProgress,
    RequestTrace,
    format_outcome,
)
from umberhitch.tasks.resume import Locator, format_locator
from umberhitch.tasks.router_parts import RouterParts
from umberhitch.wire import URGENT_PRIORITY, Start, UsageRecord

__all__ = ["Requests"]

log = getLogger(__name__)

LOG_RETRY_AFTER_S = 2.0
NO_ENDPOINT_RETRY_AFTER_S = 1.0
MAX_TRACES = 2000
MAX_RETRY_TOKENS = 10.0

RETRYABLE_REASONS = frozenset(
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
"""Reasons of refusals after which another endpoint may be tried."""


ENDPOINT_FAULTS = frozenset(
    {Reason.BACKEND_FAILED, Reason.BACKEND_REFUSED, Reason.NO_ANSWER, Reason.AGENT_LOST}
)
"""Reasons of outcomes that count as failures of the endpoint."""


class Requests:
    """Serves the requests of one router.

    Parameters
    ----------
    router : RouterParts
    evidence : EvidenceTask
    burn : BurnTask
    clock : Clock
    wall_s : callable
        Returns seconds since the epoch.
    rng : Random
    """

    def __init__(
        self,
        router: RouterParts,
        evidence: EvidenceTask,
        burn: BurnTask,
        clock: Clock,
        wall_s: Callable[[], float],
        rng: Random,
    ) -> None:
        self._router = router
        self._evidence = evidence
        self._burn = burn
        self._clock = clock
        self._rng = rng
        self._keyed_requests = IdempotencyKeyRequests(router, self, clock, wall_s)
        self._retry_tokens = MAX_RETRY_TOKENS
        self._idle_callbacks: list[Callable[[], None]] = []
        self._customer_by_key: dict[str, str] = {}
        self.admission = AdmissionControl()
        self.open_count = 0
        self.outcome_counts: dict[str, int] = {}
        self.traces: dict[str, RequestTrace] = {}

    @property
    def config(self) -> Config:
        """The router's configuration."""
        return self._router.feed.config

    def rebuild_key_index(self) -> None:
        """Rebuild the index of the customers' bearer keys."""
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
        """Call a function once no request is in progress."""
        if not self.open_count:
            callback()
        else:
            self._idle_callbacks.append(callback)

    # One request

    async def serve(
        self,
        req: CallerRequest,
        sink: TextSink,
        on_placed: Callable[[str], None] = lambda locator: None,
    ) -> Outcome:
        """Serve a request and return its outcome.

        Parameters
        ----------
        req : CallerRequest
        sink : callable
            Receives the text of the answer piece by piece.
        on_placed : callable
            Receives the locator of the answer each time an attempt is sent.
        """
        refusal = self._refusal(req)
        if refusal is not None:
            self._count(refusal)
            return refusal
        trace = self._add_trace(req)
        progress = RequestProgress(
            req, self._clock.seconds() + req.timeout_s, sink, trace, on_placed
        )
        self.open_count += 1
        self._retry_tokens = min(
            MAX_RETRY_TOKENS, self._retry_tokens + self.config.policy.retry_budget
        )
        try:
            outcome = await (
                self._keyed_requests.serve(progress)
                if req.idempotency_key
                else self._serve_unkeyed(progress)
            )
        finally:
            self.admission.release(req.customer.name)
            self.open_count -= 1
        self._finish(progress, outcome)
        return outcome

    def _refusal(self, req: CallerRequest) -> NotRun | None:
        router = self._router
        if not router.is_ready:
            return NotRun(Reason.LEAVING, "this router takes no requests", 0.5)
        if router.is_stale:
            return NotRun(
                Reason.STALE_CONFIG, "the configuration may be out of date", LOG_RETRY_AFTER_S
            )
        if router.bills.is_full:
            return NotRun(Reason.LOG_DOWN, "usage cannot be recorded", LOG_RETRY_AFTER_S)
        return self.admission.admit(req.customer.name, req.customer.limits, self._clock.seconds())

    def _add_trace(self, req: CallerRequest) -> RequestTrace:
        trace = RequestTrace(
            req.request_id, req.customer.name, req.klass.name, req.spec, self._router.feed.revision
        )
        self.traces[req.request_id] = trace
        while len(self.traces) > MAX_TRACES:
            self.traces.pop(next(iter(self.traces)))
        return trace

    def _finish(self, progress: RequestProgress, outcome: Outcome) -> None:
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
        elapsed_s = self._clock.seconds() - (progress.deadline_s - progress.request.timeout_s)
        self._burn.note_request_finished(trace.customer, trace.klass, outcome, elapsed_s)
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
        if not self.open_count:
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
        self.outcome_counts[name] = self.outcome_counts.get(name, 0) + 1

    def _bill(self, progress: RequestProgress, done: Done) -> None:
        req = progress.request
        cost = cost_micros(self.config.versions.get(done.target), done.usage)
        progress.trace.cost_micros = cost
        record = UsageRecord(
            req.request_id,
            req.customer.name,
            done.target,
            done.usage,
            cost,
            progress.attempt_count,
            req.klass.name,
        )
        self._router.bills.write(record, progress.agents)

    # Attempts

    async def _serve_unkeyed(self, progress: RequestProgress) -> Outcome:
        while True:
            placement = self.place_attempt(progress)
            if isinstance(placement, NotRun):
                return self._overall_outcome(progress, progress.last_refusal or placement)
            outcome = await self.run_attempt(progress, placement)
            if not self.may_retry(progress, outcome):
                return self._overall_outcome(progress, outcome)
            progress.excluded.add(placement.endpoint.name)

    def _overall_outcome(self, progress: RequestProgress, outcome: Outcome) -> Outcome:
        """Return the overall outcome; a refusal is unknown if an earlier attempt may have run."""
        if isinstance(outcome, NotRun) and progress.last_unknown is not None:
            return progress.last_unknown
        return outcome

    async def run_attempt(self, progress: RequestProgress, placement: AttemptPlacement) -> Outcome:
        """Run one attempt and return its outcome."""
        req = progress.request
        started_s = self._clock.seconds()
        progress.attempt_count += 1
        endpoint = placement.endpoint
        start = Start(
            placement.attempt,
            placement.agent_incarnation,
            req.request_id,
            req.customer.name,
            placement.target,
            req.work,
            req.klass.priority,
            max(0.0, progress.deadline_s - self._clock.seconds()),
            self._router.feed.revision,
            req.session_token,
            req.klass.name,
        )
        trace = AttemptTrace(str(placement.attempt), placement.target, endpoint.name)
        progress.trace.attempts.append(trace)
        progress.trace.locator = format_locator(
            Locator(req.request_id, endpoint.name, placement.agent_incarnation, placement.attempt)
        )
        progress.on_placed(progress.trace.locator)
        if endpoint.name not in progress.agents:
            progress.agents.append(endpoint.name)
        open_attempt = self._router.attempts.run(
            start, endpoint.name, req.is_repeatable, self._text_sink(progress)
        )
        outcome = await self._router.attempts.outcome_of(open_attempt)
        trace.outcome = format_outcome(outcome)
        self._evidence.note_attempt_finished(
            placement.target,
            req.klass.name,
            outcome,
            self._clock.seconds() - started_s,
            req.work,
        )
        fleet = self._router.fleet
        match outcome:
            case Done():
                fleet.note_success(endpoint.name)
            case Unknown(reason=reason):
                progress.last_unknown = outcome
                if reason in ENDPOINT_FAULTS:
                    fleet.note_failure(endpoint.name)
            case NotRun(reason=reason):
                progress.last_refusal = outcome
                if reason in ENDPOINT_FAULTS:
                    fleet.note_failure(endpoint.name)
        return outcome

    def _text_sink(self, progress: RequestProgress) -> TextSink:
        def write(text: str) -> None:
            progress.has_streamed_text = progress.request.is_streamed
            progress.sink(text)

        return write

    def place_attempt(self, progress: RequestProgress) -> AttemptPlacement | NotRun:
        """Choose version and endpoint of the next attempt, or return why there is none."""
        req = progress.request
        target = self._choose_target(progress)
        if isinstance(target, NotRun):
            return target
        pool = self._router.fleet.candidates(target)
        same_zone = pool.by_zone.get(self._router.settings.zone, ())
        endpoint = choose_endpoint(
            pool.endpoints,
            same_zone,
            self._rng,
            progress.excluded,
            req.klass.priority <= URGENT_PRIORITY,
        )
        if endpoint is None:
            return NotRun(
                Reason.NO_ENDPOINT, f'no endpoint for "{req.spec}"', NO_ENDPOINT_RETRY_AFTER_S
            )
        attempt = self._router.attempts.next_id()
        return AttemptPlacement(target, endpoint, attempt, endpoint.incarnation)

    def _choose_target(self, progress: RequestProgress) -> str | NotRun:
        req = progress.request
        if req.is_service:
            if req.spec not in req.customer.services:
                return NotRun(Reason.NOT_PERMITTED, f'no service "{req.spec}" for this customer')
            return req.spec
        versions = permitted_versions(self.config, req.customer.name, req.spec, req.session)
        if isinstance(versions, NotRun):
            return versions
        withdrawals, fold = self._router.withdrawals, self._router.feed.fold
        versions = [ver for ver in versions if not withdrawals.is_withdrawn(ver.key, fold)]
        if not versions:
            return NotRun(Reason.WITHDRAWN, f'no version of "{req.spec}" takes new work')

        def has_endpoint(target: str) -> bool:
            return self._router.fleet.candidates(target).has_other_than(progress.excluded)

        ver = choose_version(versions, req.klass, has_endpoint, self._rng)
        if ver is None:
            return NotRun(
                Reason.NO_ENDPOINT, f'no endpoint for "{req.spec}"', NO_ENDPOINT_RETRY_AFTER_S
            )
        return ver.key

    def may_retry(self, progress: RequestProgress, outcome: Outcome) -> bool:
        """Whether another attempt may follow; if so, it is charged to the retry budget."""
        match outcome:
            case NotRun(reason=reason) if reason in RETRYABLE_REASONS:
                pass
            case Unknown() if progress.request.is_repeatable and not progress.has_streamed_text:
                pass
            case _:
                return False
        if progress.attempt_count >= self.config.policy.max_attempts:
            return False
        if self._clock.seconds() >= progress.deadline_s or self._retry_tokens < 1.0:
            return False
        self._retry_tokens -= 1.0
        return True
