"""Router side of attempts.

A start is resent until the agent accepts or refuses it, lost messages of a running attempt are
fetched, and each attempt ends exactly once.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from logging import getLogger

from twisted.internet.defer import Deferred

from umberhitch.core.answer import AnswerAssembler, AnswerConflictError
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason, Unknown
from umberhitch.ports import Clock, LinkPort
from umberhitch.tasks.fleet import Endpoint, Fleet
from umberhitch.wire import (
    URGENT_PRIORITY,
    AttemptAccepted,
    AttemptId,
    Cancel,
    Chunk,
    Failed,
    Fetch,
    Finished,
    Refused,
    Start,
)

__all__ = ["AttemptTiming", "Attempts", "OpenAttempt", "TextSink"]

log = getLogger(__name__)

TIMEOUTS = (Reason.DEADLINE, Reason.NO_ANSWER, Reason.AGENT_LOST)
"""Reasons of outcomes that say only that something took too long."""
TextSink = Callable[[str], None]
"""Receives the text of an answer piece by piece, in order."""


@dataclass(frozen=True, slots=True)
class AttemptTiming:
    """Intervals and timeouts for detecting and repairing lost messages."""

    check_interval_s: float = 0.1
    resend_interval_s: float = 0.3
    accept_timeout_s: float = 1.5
    """Seconds without acceptance after which the attempt is cancelled."""
    cancel_timeout_s: float = 1.5
    """Seconds without a reply to a cancel after which the outcome is unknown."""
    gap_fetch_s: float = 0.1
    """Seconds without a message after which missing text of an answer is fetched."""
    idle_fetch_s: float = 2.0
    """Seconds without a message after which a running attempt is fetched.

    A repeatable attempt is then ended if its agent sends no heartbeats either.
    """
    deadline_margin_s: float = 0.3
    """Seconds before the caller's deadline at which the attempt is cancelled."""


class AttemptPhase(StrEnum):
    """Phase of an attempt at its router."""

    SENT = "sent"
    ACCEPTED = "taken"
    CANCELLING = "cancelling"
    ENDED = "ended"


@dataclass(slots=True)
class OpenAttempt:
    """An attempt whose outcome this router waits for.

    Attributes
    ----------
    start : Start or None
        Message that started the attempt; None if another router started it.
    deadline_s : float
        Time on the router's clock at which the outcome becomes unknown.
    last_reply_s : float
        Time of the last message from the agent.
    last_request_s : float
        Time at which a start, cancel or fetch was last sent.
    request_count : int
        Number of these messages so far.
    is_accepted : bool
        Whether the agent has said that it has the attempt.
    cancelled_s : float
        Time at which the first cancel was sent.
    waiters : list of Deferred
        Deferreds that fire with the outcome; see `Attempts.outcome_of`.
    """

    attempt: AttemptId
    endpoint: str
    agent_incarnation: int
    customer: str
    target: str
    start: Start | None
    deadline_s: float
    sink: TextSink
    is_repeatable: bool = False
    phase: AttemptPhase = AttemptPhase.SENT
    answer: AnswerAssembler = field(default_factory=AnswerAssembler)
    finished: Finished | None = None
    sent_s: float = 0.0
    last_reply_s: float = 0.0
    last_request_s: float = 0.0
    request_count: int = 1
    is_accepted: bool = False
    cancelled_s: float = 0.0
    cancel_reason: Reason = Reason.CANCELLED
    waiters: list[Deferred[Outcome]] = field(default_factory=list)

    def note_request(self, now_s: float) -> None:
        """Record that a start, cancel or fetch is sent."""
        self.last_request_s = now_s
        self.request_count += 1


class Attempts:
    """Sends the attempts of one router incarnation and tracks them to their outcomes.

    Parameters
    ----------
    router : str
    incarnation : int
    clock : Clock
    link : LinkPort
    fleet : Fleet
    timing : AttemptTiming
    """

    def __init__(
        self,
        router: str,
        incarnation: int,
        clock: Clock,
        link: LinkPort,
        fleet: Fleet,
        timing: AttemptTiming | None = None,
    ) -> None:
        self._router = router
        self._incarnation = incarnation
        self._clock = clock
        self._link = link
        self._fleet = fleet
        self._timing = timing or AttemptTiming()
        self._seq = 0
        self._open_attempts: dict[AttemptId, OpenAttempt] = {}
        self._is_stopped = False
        self._next_check_s: float | None = None
        self._max_lateness_s = 0.0
        """Largest delay of the periodic check since the last attempt that timed out: a process that
        gets no processor time checks late."""

    def __len__(self) -> int:
        return len(self._open_attempts)

    def start(self) -> None:
        """Start the periodic check for lost messages and timeouts."""
        self._check_all()

    def stop(self) -> None:
        """Stop the periodic check without ending attempts, as if the process had exited."""
        self._is_stopped = True

    def next_id(self) -> AttemptId:
        """Return the id of a new attempt."""
        self._seq += 1
        return AttemptId(self._router, self._incarnation, self._seq)

    def outcome_of(self, open_attempt: OpenAttempt) -> Deferred[Outcome]:
        """Return a Deferred that fires with the outcome of an open attempt."""
        waiter: Deferred[Outcome] = Deferred()
        open_attempt.waiters.append(waiter)
        return waiter

    # Start and end

    def run(self, start: Start, endpoint: str, is_repeatable: bool, sink: TextSink) -> OpenAttempt:
        """Send an attempt to its agent and track it."""
        now = self._clock.seconds()
        open_attempt = OpenAttempt(
            start.attempt,
            endpoint,
            start.agent_incarnation,
            start.customer,
            start.target,
            start,
            now + start.deadline_s,
            sink,
            is_repeatable,
            sent_s=now,
            last_reply_s=now,
            last_request_s=now,
        )
        self._open_attempts[start.attempt] = open_attempt
        known = self._fleet.get(endpoint)
        if known is not None:
            known.note_attempt_started(start.priority <= URGENT_PRIORITY)
        self._link.send(endpoint, start)
        return open_attempt

    def fetch(
        self, attempt: AttemptId, endpoint: Endpoint, customer: str, wait_s: float
    ) -> OpenAttempt:
        """Fetch the answer of an attempt, which may have been started by another router."""
        known = self._open_attempts.get(attempt)
        if known is not None:
            return known
        open_attempt = self._add_remote(attempt, endpoint, customer, wait_s)
        self._link.send(endpoint.name, Fetch(attempt, 0, customer))
        return open_attempt

    def _add_remote(
        self, attempt: AttemptId, endpoint: Endpoint, customer: str, wait_s: float
    ) -> OpenAttempt:
        now = self._clock.seconds()
        open_attempt = OpenAttempt(
            attempt,
            endpoint.name,
            endpoint.incarnation,
            customer,
            "",
            None,
            now + wait_s,
            lambda text: None,
            phase=AttemptPhase.ACCEPTED,
            sent_s=now,
            last_reply_s=now,
            last_request_s=now,
        )
        endpoint.note_attempt_started(False)
        self._open_attempts[attempt] = open_attempt
        return open_attempt

    def cancel(self, open_attempt: OpenAttempt, reason: Reason = Reason.CANCELLED) -> None:
        """Tell the agent to refuse or stop the attempt; waiters still receive the outcome."""
        if open_attempt.phase in (AttemptPhase.CANCELLING, AttemptPhase.ENDED):
            return
        open_attempt.phase = AttemptPhase.CANCELLING
        open_attempt.cancel_reason = reason
        open_attempt.cancelled_s = self._clock.seconds()
        self._send_cancel(open_attempt)

    def settle_orphaned(
        self, attempt: AttemptId, endpoint: Endpoint, agent_incarnation: int, customer: str
    ) -> OpenAttempt:
        """Determine the outcome of a lost router's attempt, and cancel it if it has not started.

        A cancel is sent instead of a fetch, because the reply to a fetch does not distinguish an
        attempt that never arrived from one that the agent evicted. The answer is fetched only after
        the agent has reported that the attempt finished.
        """
        known = self._open_attempts.get(attempt)
        if known is not None:
            return known
        wait_s = self._timing.cancel_timeout_s * 2
        open_attempt = self._add_remote(attempt, endpoint, customer, wait_s)
        open_attempt.agent_incarnation = agent_incarnation
        self.cancel(open_attempt)
        return open_attempt

    def _send_cancel(self, open_attempt: OpenAttempt) -> None:
        open_attempt.note_request(self._clock.seconds())
        self._link.send(
            open_attempt.endpoint, Cancel(open_attempt.attempt, open_attempt.agent_incarnation)
        )

    def _end(self, open_attempt: OpenAttempt, outcome: Outcome) -> None:
        if open_attempt.phase is AttemptPhase.ENDED:
            return
        if not isinstance(outcome, Done) and outcome.reason in TIMEOUTS:
            self._log_timeout(open_attempt, outcome.reason)
        open_attempt.phase = AttemptPhase.ENDED
        self._open_attempts.pop(open_attempt.attempt, None)
        known = self._fleet.get(open_attempt.endpoint)
        if known is not None:
            is_urgent = (
                open_attempt.start is not None and open_attempt.start.priority <= URGENT_PRIORITY
            )
            known.note_attempt_finished(is_urgent)
        for waiter in open_attempt.waiters:
            waiter.callback(outcome)

    def _log_timeout(self, open_attempt: OpenAttempt, reason: Reason) -> None:
        """Log where an attempt that timed out has stayed.

        Not accepted, with fresh heartbeats: the start or its acceptance was lost. Accepted, and the
        agent has more attempts than slots: it waits in the agent's queue. Accepted, and the agent
        has free slots: the engine is silent. Late checks or old heartbeats: a process got no
        processor time.
        """
        now = self._clock.seconds()
        endpoint = self._fleet.get(open_attempt.endpoint)
        log.warning(
            "attempt timed out",
            extra={
                "attempt": str(open_attempt.attempt),
                "endpoint": open_attempt.endpoint,
                "reason": reason.value,
                "is_accepted": open_attempt.is_accepted or open_attempt.answer.length > 0,
                "age_s": round(now - open_attempt.sent_s, 3),
                "reply_age_s": round(now - open_attempt.last_reply_s, 3),
                "request_age_s": round(now - open_attempt.last_request_s, 3),
                "requests": open_attempt.request_count,
                "text": open_attempt.answer.length,
                "max_lateness_s": round(self._max_lateness_s, 3),
                **_heartbeat_facts(endpoint, now),
            },
        )
        self._max_lateness_s = 0.0

    # Messages

    def handle(self, message: AttemptAccepted | Chunk | Finished | Refused | Failed) -> None:
        """Handle a message from an agent about an attempt."""
        open_attempt = self._open_attempts.get(message.attempt)
        if open_attempt is None:
            return
        open_attempt.last_reply_s = self._clock.seconds()
        match message:
            case Chunk(offset=offset, text=text):
                self._on_text(open_attempt, offset, text)
            case AttemptAccepted():
                open_attempt.is_accepted = True
                if open_attempt.phase is AttemptPhase.SENT:
                    open_attempt.phase = AttemptPhase.ACCEPTED
            case Finished():
                self._on_finished(open_attempt, message)
            case Refused(reason=reason, retry_after_s=retry_after_s):
                if reason == Reason.CANCELLED:
                    reason = open_attempt.cancel_reason
                self._end(open_attempt, NotRun(Reason(reason), retry_after_s=retry_after_s))
            case Failed(reason=reason):
                self._end(open_attempt, Unknown(Reason(reason)))

    def _on_text(self, open_attempt: OpenAttempt, offset: int, text: str) -> None:
        if open_attempt.phase is AttemptPhase.SENT:
            open_attempt.phase = AttemptPhase.ACCEPTED
        new = open_attempt.answer.add(offset, text)
        if new:
            open_attempt.sink(new)
        if open_attempt.finished is not None:
            self._end_if_complete(open_attempt)

    def _on_finished(self, open_attempt: OpenAttempt, message: Finished) -> None:
        open_attempt.finished = message
        try:
            open_attempt.answer.finish(message.length)
        except AnswerConflictError as exc:
            log.error(
                "answer conflict", extra={"attempt": str(open_attempt.attempt), "error": str(exc)}
            )
            self._end(open_attempt, Unknown(Reason.BACKEND_FAILED, str(exc)))
            return
        self._end_if_complete(open_attempt)
        if open_attempt.phase is not AttemptPhase.ENDED:
            self._send_fetch(open_attempt)

    def _end_if_complete(self, open_attempt: OpenAttempt) -> None:
        last = open_attempt.finished
        if last is None or not open_attempt.answer.is_complete:
            return
        done = Done(
            open_attempt.answer.text(),
            last.usage,
            last.target,
            open_attempt.endpoint,
            last.finish_reason,
            last.status,
            tuple(last.headers.items()),
        )
        self._end(open_attempt, done)

    def handle_agent_replaced(self, endpoint: str, incarnation: int) -> None:
        """End the attempts at earlier incarnations of an agent with an unknown outcome."""
        for open_attempt in list(self._open_attempts.values()):
            if open_attempt.endpoint == endpoint and open_attempt.agent_incarnation < incarnation:
                self._end(open_attempt, Unknown(Reason.AGENT_LOST))

    # Time

    def _check_all(self) -> None:
        if self._is_stopped:
            return
        now = self._clock.seconds()
        if self._next_check_s is not None:
            self._max_lateness_s = max(self._max_lateness_s, now - self._next_check_s)
        for open_attempt in list(self._open_attempts.values()):
            self._check(open_attempt, now)
        self._next_check_s = now + self._timing.check_interval_s
        self._clock.callLater(self._timing.check_interval_s, self._check_all)

    def _check(self, open_attempt: OpenAttempt, now: float) -> None:
        timing = self._timing
        if now >= open_attempt.deadline_s:
            self._end(open_attempt, Unknown(Reason.DEADLINE))
            return
        match open_attempt.phase:
            case AttemptPhase.SENT:
                self._check_sent(open_attempt, now)
            case AttemptPhase.ACCEPTED:
                self._check_accepted(open_attempt, now)
            case AttemptPhase.CANCELLING:
                if now - open_attempt.cancelled_s >= timing.cancel_timeout_s:
                    self._end(open_attempt, Unknown(Reason.NO_ANSWER))
                elif now - open_attempt.last_request_s >= timing.resend_interval_s:
                    self._send_cancel(open_attempt)
        if open_attempt.phase in (
            AttemptPhase.SENT,
            AttemptPhase.ACCEPTED,
        ) and self._is_near_deadline(open_attempt, now):
            self.cancel(open_attempt, Reason.DEADLINE)

    def _is_near_deadline(self, open_attempt: OpenAttempt, now: float) -> bool:
        margin_s = min(
            self._timing.deadline_margin_s, 0.1 * (open_attempt.deadline_s - open_attempt.sent_s)
        )
        return open_attempt.start is not None and now >= open_attempt.deadline_s - margin_s

    def _check_sent(self, open_attempt: OpenAttempt, now: float) -> None:
        if now - open_attempt.sent_s >= self._timing.accept_timeout_s:
            self.cancel(open_attempt, Reason.NO_ANSWER)
        elif (
            now - open_attempt.last_request_s >= self._timing.resend_interval_s
            and open_attempt.start is not None
        ):
            open_attempt.note_request(now)
            self._link.send(open_attempt.endpoint, open_attempt.start)

    def _check_accepted(self, open_attempt: OpenAttempt, now: float) -> None:
        timing = self._timing
        has_gap = open_attempt.answer.has_gap
        wait_s = timing.gap_fetch_s if has_gap else timing.idle_fetch_s
        if now - open_attempt.last_reply_s >= wait_s and now - open_attempt.last_request_s >= max(
            wait_s, timing.resend_interval_s
        ):
            self._send_fetch(open_attempt)
        if open_attempt.is_repeatable and now - open_attempt.last_reply_s >= timing.idle_fetch_s:
            endpoint = self._fleet.get(open_attempt.endpoint)
            if endpoint is None or self._fleet.is_silent(endpoint):
                self._end(open_attempt, Unknown(Reason.AGENT_LOST))

    def _send_fetch(self, open_attempt: OpenAttempt) -> None:
        open_attempt.note_request(self._clock.seconds())
        self._link.send(
            open_attempt.endpoint,
            Fetch(open_attempt.attempt, open_attempt.answer.length, open_attempt.customer),
        )


def _heartbeat_facts(endpoint: Endpoint | None, now_s: float) -> dict[str, object]:
    """Return what the last heartbeat of an endpoint's agent tells."""
    if endpoint is None:
        return {"agent": "unknown"}
    return {
        "heartbeat_age_s": round(now_s - endpoint.last_heartbeat_s, 3),
        "agent_attempts": endpoint.reported_attempts,
        "agent_slots": endpoint.slots,
    }
