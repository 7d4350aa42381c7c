"""The call of a larger model by one request, and the small model's answer that it may replace."""

from collections.abc import Callable

from umberhitch.tasks.direct.active_call import ActiveCall
from umberhitch.tasks.direct.kept_answer import KeptAnswer
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

    Attributes
    ----------
    has_begun : bool
        Whether a larger model was called in place of an answer.
    dropped_model : str or None
        The small model, once its answer was given up.
    """

    def __init__(
        self, services: Services, request: RequestState, on_overlap_over: Callable[[], None]
    ) -> None:
        self.has_begun = False
        self.dropped_model: str | None = None
        self._svc = services
        self._request = request
        self._on_overlap_over = on_overlap_over
        self._kept: KeptAnswer | None = None
        self._has_reserved_retry = False

    @property
    def is_kept(self) -> bool:
        """Whether there is an answer that can still be passed on."""
        return self._kept is not None and not self._kept.has_failed

    @property
    def is_complete(self) -> bool:
        """Whether the kept answer needs no endpoint any more."""
        return self._kept is not None and self._kept.is_complete

    def keep(self, call: ActiveCall) -> None:
        """Keep the answer of a call, of which nothing was passed on."""
        self.has_begun = True
        self._kept = KeptAnswer(self._svc, call, self._on_overlap_over)

    def take(self, is_out_of_time: bool) -> KeptAnswer | None:
        """Return the answer to pass on, or None; without time, only a complete one will do."""
        kept, self._kept = self._kept, None
        if kept is None or kept.has_failed:
            return None
        if is_out_of_time and not kept.is_complete:
            self._give_up(kept, ReadyAnswerFate.DROPPED)
            return None
        self._svc.count_ready_answer(ReadyAnswerFate.DELIVERED)
        return kept

    def replace(self) -> None:
        """Give the answer up, since the larger model's answer has started."""
        self._discard(ReadyAnswerFate.REPLACED)

    def drop(self) -> bool:
        """Give the answer up if a retry is left to call the small model again."""
        service = self._request.admitted.service
        if not self._has_reserved_retry and not self._svc.acquire_retry(service):
            return False
        self._has_reserved_retry = True
        self.discard()
        return True

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
            self._request, "answer dropped", False, confidence=confidence, fate=fate
        )

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
        self.discard()
        if self._has_reserved_retry:
            self._has_reserved_retry = False
            self._svc.give_back_retry(self._request.admitted.service)
        if self.has_begun and not has_answer:
            self._svc.count_ready_answer(ReadyAnswerFate.LOST)
            self._svc.log_decision(self._request, "ready answer lost", True)
