"""The call of a larger model by one request, and the small model's answer that it may replace."""

from collections.abc import Callable

from umberhitch.core.direct import Candidate, LargerChoice, RouteKind
from umberhitch.tasks.direct.active_call import ActiveCall
from umberhitch.tasks.direct.kept_answer import KeptAnswer
from umberhitch.tasks.direct.larger_call import LargerCall
from umberhitch.tasks.direct.services import ReadyAnswerFate, RequestState, Services

__all__ = ["Escalation"]


class Escalation:
    """Keeps the small model's answer until the larger model's answer has started.

    If the answer must be given up earlier, a retry is reserved for another call of the small model.

    Parameters
    ----------
    services : Services
    request : RequestState
    on_overlap_over : callable
        Called when both models have run for the maximum time and the answer is still incomplete.
    on_overdue : callable
        Called when the larger model must no longer be waited for.

    Attributes
    ----------
    has_begun : bool
        Whether a larger model was called in place of an answer.
    small_model : str or None
        Model of the answer.
    dropped_model : str or None
        The small model, once its answer was given up.
    """

    def __init__(
        self,
        services: Services,
        request: RequestState,
        on_overlap_over: Callable[[], None],
        on_overdue: Callable[[], None],
    ) -> None:
        self.has_begun = False
        self.small_model: str | None = None
        self.dropped_model: str | None = None
        self._svc = services
        self._request = request
        self._on_overlap_over = on_overlap_over
        self._on_overdue = on_overdue
        self._kept: KeptAnswer | None = None
        self._larger: LargerCall | None = None
        self._small_wait_s = 0.0
        """Seconds that the small model took to its head."""
        self._has_reserved_retry = False

    @property
    def is_kept(self) -> bool:
        """Whether there is an answer that can still be passed on."""
        return self._kept is not None and not self._kept.has_failed

    @property
    def is_complete(self) -> bool:
        """Whether the kept answer needs no endpoint any more."""
        return self._kept is not None and self._kept.is_complete

    def keep(self, call: ActiveCall, choice: LargerChoice) -> None:
        """Keep the answer of a call, of which nothing was passed on."""
        self.has_begun = True
        self.small_model = call.model
        self._small_wait_s = call.age_s
        is_stream = self._request.admitted.route.kind is RouteKind.STREAM
        self._kept = KeptAnswer(self._svc, call, is_stream, self._on_overlap_over)
        self._larger = LargerCall(self._svc, self._request, choice, self._on_overdue)

    # The larger model's calls

    def start_call(self, candidate: Candidate, model: str | None) -> None:
        """Start to wait for a call, if it is one of the larger model."""
        if self._larger is None or model != self._larger.model:
            return
        self._larger.start(candidate, self._call_again_s if self._kept is None else None)

    def end_call(self, has_failed: bool) -> None:
        """Learn from a call of the larger model that was cancelled or refused before its event.

        One whose endpoint failed tells nothing about the queues of the others.
        """
        if self._larger is None:
            return
        if has_failed:
            self._larger.ignore()
        else:
            self._larger.end(has_begun=False)

    def is_worth_calling(self, candidate: Candidate) -> bool:
        """Whether the larger model should be called at an endpoint while an answer is kept."""
        return not self.is_kept or self._larger is None or self._larger.is_worth_it(candidate)

    def is_small_sooner(self, candidate: Candidate) -> bool:
        """Whether another call of the small model is expected to begin before the larger one's."""
        return self._larger is not None and self._larger.is_later_than(candidate.wait_s)

    def facts(self) -> dict[str, object]:
        """Return what is known of the larger model's call, for the log."""
        return {} if self._larger is None else self._larger.facts()

    # The kept answer

    def take(self, is_out_of_time: bool) -> KeptAnswer | None:
        """Return the answer to pass on, or None; without time, only a complete one will do."""
        kept, self._kept = self._kept, None
        if kept is None or kept.has_failed:
            return None
        if is_out_of_time and not kept.is_complete:
            self._give_up(kept, ReadyAnswerFate.DROPPED)
            return None
        self._svc.count_ready_answer(ReadyAnswerFate.DELIVERED)
        self._stop_waiting()
        return kept

    def replace(self) -> None:
        """Give the answer up, since the larger model's answer has started."""
        if self._larger is not None:
            self._larger.end(has_begun=True)
        self._stop_waiting()
        self._discard(ReadyAnswerFate.REPLACED)

    def give_way(self) -> None:
        """Give the answer up, since the larger model runs; its first event is still waited for."""
        self._wait_to_call_again()
        self._discard(ReadyAnswerFate.REPLACED)

    def drop(self) -> bool:
        """Give an incomplete answer up for a call of the larger model that has not begun.

        Return whether it was given up. It is not unless the call is expected to begin in time, a
        retry is left to call the small model again, and there is time for that.
        """
        if self._larger is None or not self._larger.is_expected_by(self._call_again_s):
            return False
        service = self._request.admitted.service
        if not self._has_reserved_retry and not self._svc.acquire_retry(service):
            return False
        self._has_reserved_retry = True
        self._wait_to_call_again()
        self.discard()
        return True

    @property
    def _call_again_s(self) -> float:
        """Time until which the small model can be called again to answer in time.

        Of the time until the deadline, half is left for the rest of the answer.
        """
        assert self._larger is not None
        begin_s = min(self._larger.latest_s, self._request.admitted.timeout_s / 2)
        return begin_s - self._small_wait_s

    def _wait_to_call_again(self) -> None:
        if self._larger is not None:
            self._larger.wait_until(self._call_again_s)

    def discard(self) -> None:
        """Give the answer up before the larger model's answer has started."""
        self._discard(ReadyAnswerFate.DROPPED)

    def _discard(self, fate: ReadyAnswerFate) -> None:
        kept, self._kept = self._kept, None
        if kept is not None:
            self.dropped_model = kept.call.model
            self._give_up(kept, ReadyAnswerFate.BROKEN if kept.has_failed else fate)

    def _give_up(self, kept: KeptAnswer, fate: ReadyAnswerFate) -> None:
        kept.discard()
        self._svc.count_ready_answer(fate)
        confidence = None if kept.call.head is None else kept.call.head.confidence
        self._svc.log_decision(
            self._request,
            "answer dropped",
            False,
            confidence=confidence,
            fate=fate,
            was_complete=kept.is_complete,
            **self.facts(),
        )

    def _stop_waiting(self) -> None:
        if self._larger is not None:
            self._larger.stop()

    # Retries

    def acquire_retry(self) -> bool:
        """Take the reserved retry, or one from the shared budget; return whether there was one."""
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            return True
        return self._svc.acquire_retry(self._request.admitted.service)

    def finish(self, has_answer: bool) -> None:
        """Settle everything at the end of the request.

        Parameters
        ----------
        has_answer : bool
            Whether the caller got a complete answer, or left.
        """
        self._stop_waiting()
        self.discard()
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            self._svc.give_back_retry(self._request.admitted.service)
        if self.has_begun and not has_answer:
            self._svc.count_ready_answer(ReadyAnswerFate.LOST)
            self._svc.log_decision(self._request, "ready answer lost", True)
