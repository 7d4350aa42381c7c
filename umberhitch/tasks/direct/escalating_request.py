"""The part of a request that chooses between a small model's answer and a larger model's."""

from abc import ABC, abstractmethod

from umberhitch.core.direct import Candidate, ReplyHead
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallEvents
from umberhitch.tasks.direct.active_call import ActiveCall
from umberhitch.tasks.direct.attempt_plan import AttemptPlan
from umberhitch.tasks.direct.escalation import Escalation
from umberhitch.tasks.direct.idle_timer import IdleTimer
from umberhitch.tasks.direct.relay import Relay
from umberhitch.tasks.direct.services import RequestState, RunCause, Services

__all__ = ["MIN_REMAINING_S", "NOT_IN_TIME", "EscalatingRequest"]

NOT_IN_TIME = "larger model's answer not in time"
"""Reason for passing on a kept answer while the larger model's call could still answer."""
MIN_REMAINING_S = 0.02
"""No call is started with less time than this before the deadline."""


class EscalatingRequest(RequestState, CallEvents, ABC):
    """A request that may call a larger model while it keeps the small model's answer.

    `ProxiedRequest` sets the attributes and sends the calls.
    """

    _svc: Services
    _clock: Clock
    _plan: AttemptPlan
    _relay: Relay
    _escalation: Escalation
    _idle_timer: IdleTimer
    _call: ActiveCall | None
    """The last call, which may have ended."""
    _is_finished: bool

    @property
    def _head(self) -> ReplyHead | None:
        """Head of the reply to the last call."""
        return None if self._call is None else self._call.head

    @property
    def _is_calling(self) -> bool:
        return self._call is not None and self._call.is_active

    @abstractmethod
    def _start_call(self, candidate: Candidate) -> None:
        """Send a call."""

    @abstractmethod
    def _cancel_call(self) -> None:
        """Cancel the current call."""

    @abstractmethod
    def _start_answer(self, head: ReplyHead) -> None:
        """Pass the reply on from now on."""

    @abstractmethod
    def _can_retry(self) -> bool:
        """Whether another call is allowed and possible."""

    @abstractmethod
    def _is_held(self) -> bool:
        """Whether the request is held, so that no further call may be sent."""

    # The larger model's call

    def _escalate(self, head: ReplyHead) -> bool:
        """Keep an answer, and call a larger model if its answer is expected to be worth more."""
        assert self._call is not None
        if not self._may_escalate():
            return False
        assert self.model is not None
        waited_s = self._clock.seconds() - self.admitted.received_s
        selector = self._svc.selector
        choice = selector.larger_model(self.admitted, self.model, head.confidence, waited_s)
        if choice is None or not self._svc.acquire_retry(self.admitted.service):
            return False
        self._svc.log_decision(
            self, "answer kept", False, confidence=head.confidence, larger=choice.model
        )
        self._idle_timer.stop()
        self._escalation.keep(self._call, choice)
        self._plan.change_model(choice.model)
        self._start_call(choice.candidate)
        return True

    def _may_escalate(self) -> bool:
        return (
            self.model is not None
            and self._plan.attempts_left > 0
            and not self._escalation.has_begun
            and not self._is_held()
        )

    def _count_second_run(self) -> None:
        if self._escalation.is_kept:
            cause = RunCause.ESCALATED
        elif self._relay.is_streaming:
            cause = RunCause.RESUMED
        elif self.admitted.may_have_run:
            cause = RunCause.RETRIED
        else:
            return
        self._svc.count_second_run(self.admitted.service, cause)

    # The kept answer

    def _on_overlap_over(self) -> None:
        """Give up a kept answer that is still incomplete, or the call of the larger model.

        It is given up only if the small model can be called again at another endpoint, and if the
        larger model's call has a head, or was sent and its first event is expected in time.
        """
        assert self._call is not None
        can_repeat = self._can_retry()
        if can_repeat and self._head is not None:
            self._escalation.give_way()
            return
        if can_repeat and self._call.is_sent and self._escalation.drop():
            return
        self._replace_by_kept_answer("larger model's answer not safe to wait for")

    def _replace_by_kept_answer(self, reason: str) -> None:
        """Cancel the larger model's call, and pass the kept answer on."""
        if self._relay.has_started:
            return
        if self._is_calling:
            self._cancel_call()
        self._deliver_kept_answer(reason)

    def _on_larger_overdue(self) -> None:
        """Pass the kept answer on, or call the small model again if its answer was given up."""
        if self._is_finished or self._relay.has_started:
            return
        if self._escalation.is_kept:
            self._replace_by_kept_answer(NOT_IN_TIME)
        else:
            self._call_small_model_again()

    def _call_small_model_again(self) -> None:
        """Replace the larger model's call by one of the small model, if that begins sooner."""
        small_model = self._escalation.small_model
        is_allowed = self.admitted.route.is_repeatable and not self._is_held()
        if not is_allowed or self._plan.attempts_left <= 0 or not self._is_calling:
            return
        candidate = self._plan.select_candidate_of(small_model)
        if candidate is None or not self._escalation.is_small_sooner(candidate):
            return
        if not self._escalation.acquire_retry():
            return
        self.admitted.may_have_run = True
        self._cancel_call()
        self._plan.model = small_model
        self._start_call(candidate)

    def _deliver_kept_answer(self, reason: str) -> bool:
        """Pass on the kept answer, if there is one; return whether there was."""
        if self._relay.has_started:
            return False
        kept = self._escalation.take(is_out_of_time=self.remaining_s < MIN_REMAINING_S)
        if kept is None:
            return False
        self._call, self._plan.model = kept.call, kept.call.model
        self._svc.log_decision(
            self,
            "ready answer delivered",
            False,
            reason=reason,
            was_complete=kept.is_complete,
            **self._escalation.facts(),
        )
        kept.call.judge.skip()
        self._relay.start_call()
        assert kept.call.head is not None
        self._start_answer(kept.call.head)
        kept.hand_over(self)
        return True
