"""The router's side of attempts: sent until taken, repaired while they run, ended exactly once."""

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

TextSink = Callable[[str], None]
"""Receives each new piece of an answer, in order."""


@dataclass(frozen=True, slots=True)
class AttemptTiming:
    """Timing of the repair of lost messages."""

    check_interval_s: float = 0.1
    resend_interval_s: float = 0.3
    accept_timeout_s: float = 1.5
    """Without any reply for this long, the attempt is cancelled."""
    cancel_timeout_s: float = 1.5
    """Without a reply to the cancel for this long, the outcome is unknown."""
    gap_fetch_s: float = 0.1
    idle_fetch_s: float = 2.0
    """A running attempt that is quiet for this long is asked where it stands."""
    deadline_margin_s: float = 0.3
    """The cancel goes out this long before the caller's deadline."""


class AttemptPhase(StrEnum):
    """Where an attempt stands, as its router sees it."""

    SENT = "sent"
    ACCEPTED = "taken"
    CANCELLING = "cancelling"
    ENDED = "ended"


@dataclass(slots=True)
class OpenAttempt:
    """One attempt that this router watches.

    Attributes
    ----------
    start : Start or None
        What was sent; None when the attempt is another router's and is only fetched.
    waiters : list of Deferred
        Each fires once, with the attempt's `Outcome`; see `Attempts.outcome_of`.
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
    cancelled_s: float = 0.0
    cancel_reason: Reason = Reason.CANCELLED
    waiters: list[Deferred[Outcome]] = field(default_factory=list)


class Attempts:
    """Owns the open attempts of one router incarnation.

    Parameters
    ----------
    router : str
    incarnation : int
    clock : Clock
    link : LinkPort
    fleet : Fleet
    pace : AttemptTiming
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
        self._pace = timing or AttemptTiming()
        self._seq = 0
        self._open: dict[AttemptId, OpenAttempt] = {}
        self._is_stopped = False

    def __len__(self) -> int:
        return len(self._open)

    def start(self) -> None:
        """Begin to repair and time out attempts."""
        self._tick()

    def stop(self) -> None:
        """Do nothing more, as a lost process would."""
        self._is_stopped = True

    def next_id(self) -> AttemptId:
        """Return the id of a new attempt."""
        self._seq += 1
        return AttemptId(self._router, self._incarnation, self._seq)

    def outcome_of(self, watch: OpenAttempt) -> Deferred[Outcome]:
        """Return a Deferred that fires with the outcome of an open attempt."""
        waiter: Deferred[Outcome] = Deferred()
        watch.waiters.append(waiter)
        return waiter

    # Beginning and ending

    def run(self, start: Start, endpoint: str, is_repeatable: bool, sink: TextSink) -> OpenAttempt:
        """Send an attempt to its agent and watch it."""
        now = self._clock.seconds()
        watch = OpenAttempt(
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
        self._open[start.attempt] = watch
        known = self._fleet.get(endpoint)
        if known is not None:
            known.note_attempt_started(start.priority <= URGENT_PRIORITY)
        self._link.send(endpoint, start)
        return watch

    def fetch(
        self, attempt: AttemptId, endpoint: Endpoint, customer: str, wait_s: float
    ) -> OpenAttempt:
        """Watch an attempt that may be another router's, or is watched here already."""
        known = self._open.get(attempt)
        if known is not None:
            return known
        watch = self._watch_foreign(attempt, endpoint, customer, wait_s)
        self._link.send(endpoint.name, Fetch(attempt, 0, customer))
        return watch

    def _watch_foreign(
        self, attempt: AttemptId, endpoint: Endpoint, customer: str, wait_s: float
    ) -> OpenAttempt:
        now = self._clock.seconds()
        watch = OpenAttempt(
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
        self._open[attempt] = watch
        return watch

    def cancel(self, watch: OpenAttempt, reason: Reason = Reason.CANCELLED) -> None:
        """Ask the agent to refuse or stop the attempt; its outcome still comes by ``ended``."""
        if watch.phase in (AttemptPhase.CANCELLING, AttemptPhase.ENDED):
            return
        watch.phase = AttemptPhase.CANCELLING
        watch.cancel_reason = reason
        watch.cancelled_s = self._clock.seconds()
        self._send_cancel(watch)

    def settle_orphaned(
        self, attempt: AttemptId, endpoint: Endpoint, agent_incarnation: int, customer: str
    ) -> OpenAttempt:
        """Find out what became of a lost router's attempt; if it has not begun, it never will.

        The answer is fetched only once the agent has said that there is one: a fetch that came
        first could not tell an attempt that never arrived from one that was forgotten.
        """
        known = self._open.get(attempt)
        if known is not None:
            return known
        wait_s = self._pace.cancel_timeout_s * 2
        watch = self._watch_foreign(attempt, endpoint, customer, wait_s)
        watch.agent_incarnation = agent_incarnation
        self.cancel(watch)
        return watch

    def _send_cancel(self, watch: OpenAttempt) -> None:
        watch.last_request_s = self._clock.seconds()
        self._link.send(watch.endpoint, Cancel(watch.attempt, watch.agent_incarnation))

    def _end(self, watch: OpenAttempt, outcome: Outcome) -> None:
        if watch.phase is AttemptPhase.ENDED:
            return
        watch.phase = AttemptPhase.ENDED
        self._open.pop(watch.attempt, None)
        known = self._fleet.get(watch.endpoint)
        if known is not None:
            is_urgent = watch.start is not None and watch.start.priority <= URGENT_PRIORITY
            known.note_attempt_finished(is_urgent)
        for waiter in watch.waiters:
            waiter.callback(outcome)

    # Messages

    def handle(self, message: AttemptAccepted | Chunk | Finished | Refused | Failed) -> None:
        """Handle what an agent says of an attempt."""
        watch = self._open.get(message.attempt)
        if watch is None:
            return
        watch.last_reply_s = self._clock.seconds()
        match message:
            case Chunk(offset=offset, text=text):
                self._on_text(watch, offset, text)
            case AttemptAccepted():
                if watch.phase is AttemptPhase.SENT:
                    watch.phase = AttemptPhase.ACCEPTED
            case Finished():
                self._on_finished(watch, message)
            case Refused(reason=reason, retry_after_s=retry_after_s):
                if reason == Reason.CANCELLED:
                    reason = watch.cancel_reason
                self._end(watch, NotRun(Reason(reason), retry_after_s=retry_after_s))
            case Failed(reason=reason):
                self._end(watch, Unknown(Reason(reason)))

    def _on_text(self, watch: OpenAttempt, offset: int, text: str) -> None:
        if watch.phase is AttemptPhase.SENT:
            watch.phase = AttemptPhase.ACCEPTED
        new = watch.answer.add(offset, text)
        if new:
            watch.sink(new)
        if watch.finished is not None:
            self._end_if_whole(watch)

    def _on_finished(self, watch: OpenAttempt, message: Finished) -> None:
        watch.finished = message
        try:
            watch.answer.finish(message.length)
        except AnswerConflictError as exc:
            log.error("answer conflict", extra={"attempt": str(watch.attempt), "error": str(exc)})
            self._end(watch, Unknown(Reason.BACKEND_FAILED, str(exc)))
            return
        self._end_if_whole(watch)
        if watch.phase is not AttemptPhase.ENDED:
            self._ask(watch)

    def _end_if_whole(self, watch: OpenAttempt) -> None:
        last = watch.finished
        if last is None or not watch.answer.is_complete:
            return
        done = Done(
            watch.answer.text(),
            last.usage,
            last.target,
            watch.endpoint,
            last.finish_reason,
            last.status,
            tuple(last.headers.items()),
        )
        self._end(watch, done)

    def handle_agent_replaced(self, endpoint: str, incarnation: int) -> None:
        """End what ran at earlier incarnations of an endpoint's agent: its outcome is unknown."""
        for watch in list(self._open.values()):
            if watch.endpoint == endpoint and watch.agent_incarnation < incarnation:
                self._end(watch, Unknown(Reason.AGENT_LOST))

    # Time

    def _tick(self) -> None:
        if self._is_stopped:
            return
        now = self._clock.seconds()
        for watch in list(self._open.values()):
            self._check(watch, now)
        self._clock.callLater(self._pace.check_interval_s, self._tick)

    def _check(self, watch: OpenAttempt, now: float) -> None:
        pace = self._pace
        if now >= watch.deadline_s:
            self._end(watch, Unknown(Reason.DEADLINE))
            return
        match watch.phase:
            case AttemptPhase.SENT:
                self._check_sent(watch, now)
            case AttemptPhase.ACCEPTED:
                self._check_taken(watch, now)
            case AttemptPhase.CANCELLING:
                if now - watch.cancelled_s >= pace.cancel_timeout_s:
                    self._end(watch, Unknown(Reason.NO_ANSWER))
                elif now - watch.last_request_s >= pace.resend_interval_s:
                    self._send_cancel(watch)
        if watch.phase in (AttemptPhase.SENT, AttemptPhase.ACCEPTED) and self._is_nearly_due(
            watch, now
        ):
            self.cancel(watch, Reason.DEADLINE)

    def _is_nearly_due(self, watch: OpenAttempt, now: float) -> bool:
        margin_s = min(self._pace.deadline_margin_s, 0.1 * (watch.deadline_s - watch.sent_s))
        return watch.start is not None and now >= watch.deadline_s - margin_s

    def _check_sent(self, watch: OpenAttempt, now: float) -> None:
        if now - watch.sent_s >= self._pace.accept_timeout_s:
            self.cancel(watch, Reason.NO_ANSWER)
        elif now - watch.last_request_s >= self._pace.resend_interval_s and watch.start is not None:
            watch.last_request_s = now
            self._link.send(watch.endpoint, watch.start)

    def _check_taken(self, watch: OpenAttempt, now: float) -> None:
        pace = self._pace
        has_gap = watch.answer.has_gap
        wait_s = pace.gap_fetch_s if has_gap else pace.idle_fetch_s
        if now - watch.last_reply_s >= wait_s and now - watch.last_request_s >= max(
            wait_s, pace.resend_interval_s
        ):
            self._ask(watch)
        if watch.is_repeatable and now - watch.last_reply_s >= pace.idle_fetch_s:
            endpoint = self._fleet.get(watch.endpoint)
            if endpoint is None or self._fleet.is_silent(endpoint):
                self._end(watch, Unknown(Reason.AGENT_LOST))

    def _ask(self, watch: OpenAttempt) -> None:
        watch.last_request_s = self._clock.seconds()
        self._link.send(watch.endpoint, Fetch(watch.attempt, watch.answer.length, watch.customer))
