"""Verdict on the answer of an endpoint to one call: good, slow, failed or not timed."""

from umberhitch.core.direct import AnswerVerdict, Endpoint, InterTokenLatency
from umberhitch.tasks.direct.services import AdmittedRequest, Services

__all__ = ["AnswerJudge"]


class AnswerJudge:
    """Judges one call of a request.

    Parameters
    ----------
    services : Services
    admitted : AdmittedRequest
    endpoint : Endpoint
    model : str or None
    """

    def __init__(
        self,
        services: Services,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
    ) -> None:
        self._svc = services
        self._admitted = admitted
        self._endpoint = endpoint
        self._model = model
        self._sent_s = services.clock.seconds()
        self._event_latency = InterTokenLatency()
        self._has_verdict = False
        self._paused_since_s: float | None = None
        self._paused_s = 0.0

    def pause(self) -> None:
        """Stop the clock: the caller reads too slowly, which is not the endpoint's doing."""
        if self._paused_since_s is None:
            self._paused_since_s = self._svc.clock.seconds()

    def resume(self) -> None:
        """Let the clock go on."""
        since_s, self._paused_since_s = self._paused_since_s, None
        if since_s is not None:
            self._paused_s += self._svc.clock.seconds() - since_s

    def _now_s(self) -> float:
        """Return the time without the pauses."""
        now_s = self._svc.clock.seconds() if self._paused_since_s is None else self._paused_since_s
        return now_s - self._paused_s

    def skip(self) -> None:
        """Give no verdict on the latency: the reply was kept, so that its events came at once."""
        self._has_verdict = True

    def record_events(self, count: int) -> None:
        """Record that ``count`` events have arrived; judge the stream once its latency is known."""
        self._event_latency.record_events(count, self._now_s())
        self._judge(
            self._event_latency.inter_token_s(is_end=False), self._event_latency.first_event_s
        )

    def finish_stream(self) -> None:
        """Judge a complete stream."""
        self._judge(
            self._event_latency.inter_token_s(is_end=True), self._event_latency.first_event_s
        )
        self._record_verdict(AnswerVerdict.UNPACED)

    def finish_reply(self) -> None:
        """Judge a complete plain reply by its duration."""
        self._judge(self._now_s() - self._sent_s, self._sent_s)

    def record_failure(self) -> None:
        """Record a failure that the endpoint reports itself."""
        self._record_verdict(AnswerVerdict.FAILED)

    def _judge(self, latency_s: float | None, since_s: float) -> None:
        if latency_s is None or self._has_verdict:
            return
        verdict = self._svc.judge_latency(
            self._admitted, self._endpoint, self._model, latency_s, since_s
        )
        self._record_verdict(verdict)

    def _record_verdict(self, verdict: AnswerVerdict) -> None:
        """Record the verdict on a call: only the first one, and a failure that follows it."""
        if not self._has_verdict or verdict is AnswerVerdict.FAILED:
            self._svc.record_verdict(self._admitted, self._endpoint, verdict)
        self._has_verdict = True
