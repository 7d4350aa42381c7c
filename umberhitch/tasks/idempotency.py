"""Requests with an idempotency key, which is claimed in the log before the request is sent.

See docs/design/0002-idempotency-keys.md.
"""

from collections.abc import Callable

from umberhitch.core.claims import Claim, ClaimState, Release, Settle
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason, Unknown
from umberhitch.ports import Clock
from umberhitch.tasks.attempts import OpenAttempt
from umberhitch.tasks.request_state import (
    AttemptPlacement,
    CallerRequest,
    RequestProgress,
    make_recorded_answer,
    replay_answer,
)
from umberhitch.tasks.router_parts import AttemptRunner, RouterParts
from umberhitch.wire import AttemptId

__all__ = ["IdempotencyKeyRequests"]

CLAIM_TIMEOUT_S = 2.0
"""Seconds that a request with an idempotency key waits for the log before it is refused."""
KEY_POLL_INTERVAL_S = 0.5
"""Seconds between checks of a key that another request has claimed."""
FETCH_TIMEOUT_S = 2.0
"""Seconds to wait for an agent to return a recorded answer."""
MAX_RECORDED_CHARS = 16_384
"""Longer answers are not recorded in the log; later callers get them while the agent has them."""
LOG_RETRY_AFTER_S = 2.0


class IdempotencyKeyRequests:
    """Serves the requests of one router that have an idempotency key.

    Parameters
    ----------
    router : RouterParts
    requests : AttemptRunner
        Places and runs the attempts.
    clock : Clock
    wall_s : callable
        Returns seconds since the epoch.
    """

    def __init__(
        self,
        router: RouterParts,
        requests: AttemptRunner,
        clock: Clock,
        wall_s: Callable[[], float],
    ) -> None:
        self._router = router
        self._requests = requests
        self._clock = clock
        self._wall_s = wall_s

    async def serve(self, progress: RequestProgress) -> Outcome:
        """Serve a request with an idempotency key and return its outcome."""
        claims = self._router.claims
        while True:
            state = claims.holder(progress.request.idempotency_key)
            if state is not None:
                outcome = await self._outcome_of_claim(progress, state)
            elif claims.follower.failures:
                return _log_unavailable("the log of idempotency keys cannot be reached")
            else:
                outcome = await self._claim_and_run(progress)
            if outcome is not None:
                return outcome
            if self._clock.seconds() >= progress.deadline_s:
                return NotRun(Reason.KEY_IN_USE, "the first request is still running", 1.0)

    async def _claim_and_run(self, progress: RequestProgress) -> Outcome | None:
        """Claim the key and run the request; return None if another request claimed it first."""
        while True:
            placement = self._requests.place_attempt(progress)
            if isinstance(placement, NotRun):
                return progress.last_refusal or placement
            state = await self._claim(progress, placement)
            if state is None:
                return _log_unavailable("the idempotency key could not be recorded")
            if state.claim.attempt != placement.attempt:
                return None
            outcome = await self._requests.run_attempt(progress, placement)
            has_not_run = isinstance(outcome, NotRun)
            if not (has_not_run and self._requests.may_retry(progress, outcome)):
                self._record(progress.request, placement.attempt, outcome)
                return outcome
            progress.excluded.add(placement.endpoint.name)

    async def _claim(
        self, progress: RequestProgress, placement: AttemptPlacement
    ) -> ClaimState | None:
        req = progress.request
        claim = Claim(
            req.idempotency_key,
            req.request_id,
            placement.attempt,
            placement.endpoint.name,
            placement.agent_incarnation,
            req.fingerprint,
            self._wall_s(),
        )
        left_s = progress.deadline_s - self._clock.seconds()
        return await self._router.claims.claim(claim, min(CLAIM_TIMEOUT_S, left_s))

    def _record(self, req: CallerRequest, attempt: AttemptId, outcome: Outcome) -> None:
        claims = self._router.claims
        match outcome:
            case Done():
                self._record_done(req.idempotency_key, req.request_id, attempt, outcome)
            case NotRun():
                claims.release(Release(req.idempotency_key, req.request_id, attempt))
            case Unknown(reason=reason):
                claims.settle(Settle(req.idempotency_key, req.request_id, attempt, None, reason))

    async def _outcome_of_claim(
        self, progress: RequestProgress, state: ClaimState
    ) -> Outcome | None:
        """Return the outcome of the request that claimed the key; None if it is not known yet."""
        claim = state.claim
        if claim.fingerprint != progress.request.fingerprint:
            return NotRun(Reason.KEY_REUSED, "the key was used for another request")
        settled = state.settled
        if settled is not None:
            if settled.answer is None:
                return await self._fetch_answer(progress, claim, Reason(settled.reason))
            return replay_answer(settled.answer)
        owner = claim.attempt
        if self._router.peers.is_alive(owner.router, owner.incarnation):
            left_s = progress.deadline_s - self._clock.seconds()
            await self._router.claims.wait_for_update(claim.key, min(KEY_POLL_INTERVAL_S, left_s))
            return None
        return await self._settle_for_lost_router(progress, claim)

    async def _fetch_answer(
        self, progress: RequestProgress, claim: Claim, reason: Reason
    ) -> Outcome:
        """Return the answer for a key whose answer is not in the log, if the agent still has it.

        An answer is not in the log if it was unknown when it was recorded, or too long.
        """
        endpoint = self._router.fleet.get(claim.endpoint)
        unknown = Unknown(reason, "the first request's outcome is unknown")
        if endpoint is None or endpoint.incarnation != claim.agent_incarnation:
            return unknown
        left_s = progress.deadline_s - self._clock.seconds()
        open_attempt = self._router.attempts.fetch(
            claim.attempt, endpoint, progress.request.customer.name, min(FETCH_TIMEOUT_S, left_s)
        )
        outcome = await self._router.attempts.outcome_of(open_attempt)
        if not isinstance(outcome, Done):
            return unknown
        self._record_done(claim.key, claim.request, claim.attempt, outcome)
        return replay_answer(make_recorded_answer(outcome))

    def _record_done(self, key: str, request: str, attempt: AttemptId, done: Done) -> None:
        """Record an answer; of one that is too long for the log, record only that it exists."""
        if len(done.text) <= MAX_RECORDED_CHARS:
            settle = Settle(key, request, attempt, make_recorded_answer(done))
        else:
            settle = Settle(key, request, attempt, None, Reason.EVICTED)
        self._router.claims.settle(settle)

    async def _settle_for_lost_router(
        self, progress: RequestProgress, claim: Claim
    ) -> Outcome | None:
        """Determine the outcome of an attempt that was claimed by a router that is lost."""
        endpoint = self._router.fleet.get(claim.endpoint)
        if endpoint is None:
            return Unknown(Reason.AGENT_LOST, "the first request's agent is gone")
        open_attempt: OpenAttempt = self._router.attempts.settle_orphaned(
            claim.attempt, endpoint, claim.agent_incarnation, progress.request.customer.name
        )
        outcome = await self._router.attempts.outcome_of(open_attempt)
        claims = self._router.claims
        match outcome:
            case Done():
                self._record_done(claim.key, claim.request, claim.attempt, outcome)
                return replay_answer(make_recorded_answer(outcome))
            case NotRun():
                claims.release(Release(claim.key, claim.request, claim.attempt))
                await claims.wait_for_update(claim.key, CLAIM_TIMEOUT_S)
                return None
            case Unknown(reason=Reason.NO_ANSWER | Reason.DEADLINE):
                return outcome
            case Unknown(reason=reason):
                claims.settle(Settle(claim.key, claim.request, claim.attempt, None, reason))
                return outcome


def _log_unavailable(detail: str) -> NotRun:
    return NotRun(Reason.LOG_DOWN, detail, LOG_RETRY_AFTER_S)
