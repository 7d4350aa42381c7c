"""Tells a request's router how each endpoint answered it: well, slowly, with a failure, or not."""

from umberhitch.core.direct import AnswerVerdict, Endpoint, InterTokenLatency
from umberhitch.tasks.direct.services import AdmittedRequest, Services

__all__ = ["AnswerJudge"]


class AnswerJudge:
    """Judges the calls of one request, one after the other.

    Parameters
    ----------
    services : Services
    permit : AdmittedRequest
    """

    def __init__(self, services: Services, permit: AdmittedRequest) -> None:
        self._svc = services
        self._permit = permit
        self._endpoint: Endpoint | None = None
        self._model: str | None = None
        self._sent_s = 0.0
        self._pace = InterTokenLatency()
        self._is_noted = False

    def start_call(self, endpoint: Endpoint, model: str | None) -> None:
        """Begin with a new call."""
        self._endpoint, self._model = endpoint, model
        self._sent_s = self._svc.clock.seconds()
        self._pace = InterTokenLatency()
        self._is_noted = False

    def record_events(self, count: int) -> None:
        """Note that ``count`` events have come; judge the stream once its pace is known."""
        self._pace.record_events(count, self._svc.clock.seconds())
        self._judge(self._pace.inter_token_s(is_end=False), self._pace.first_event_s)

    def finish_stream(self) -> None:
        """Judge a whole stream."""
        self._judge(self._pace.inter_token_s(is_end=True), self._pace.first_event_s)
        self._note(AnswerVerdict.UNPACED)

    def finish_reply(self) -> None:
        """Judge a whole plain reply by its time."""
        self._judge(self._svc.clock.seconds() - self._sent_s, self._sent_s)

    def record_failure(self) -> None:
        """Note a failure by the endpoint's own word."""
        self._note(AnswerVerdict.FAILED)

    def _judge(self, pace_s: float | None, since_s: float) -> None:
        if pace_s is None or self._is_noted:
            return
        assert self._endpoint is not None
        verdict = self._svc.judge_latency(
            self._permit, self._endpoint, self._model, pace_s, since_s
        )
        self._note(verdict)

    def _note(self, verdict: AnswerVerdict) -> None:
        """Note how the endpoint answered: once a call, and once more if it fails after that."""
        assert self._endpoint is not None
        if not self._is_noted or verdict is AnswerVerdict.FAILED:
            self._svc.record_verdict(self._permit, self._endpoint, verdict)
        self._is_noted = True
