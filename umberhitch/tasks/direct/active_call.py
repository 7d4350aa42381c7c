"""One call of a request to an endpoint, and what must be settled once when it ends."""

from collections.abc import Callable

from umberhitch.core.direct import Endpoint, PlacedCall, ReplyHead
from umberhitch.ports.direct import CallEvents, CallFailure, RunningCall
from umberhitch.tasks.direct.answer_judge import AnswerJudge
from umberhitch.tasks.direct.services import AdmittedRequest, RequestState, Run, Services

__all__ = ["ActiveCall"]


class ActiveCall:
    """A call in progress; implements `CallEvents` and passes the events on to its handler.

    Parameters
    ----------
    services : Services
    admitted : AdmittedRequest
    endpoint : Endpoint
    model : str or None
    is_probe : bool
        Whether the request is held, and this call tests whether it still crashes endpoints.
    handler : CallEvents

    Attributes
    ----------
    handler : CallEvents
        Handles the events; it may be replaced while the call runs.
    head : ReplyHead or None
        Head of the reply.
    judge : AnswerJudge
    """

    def __init__(
        self,
        services: Services,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
        is_probe: bool,
        handler: CallEvents,
    ) -> None:
        self.endpoint = endpoint
        self.model = model
        self.handler = handler
        self.head: ReplyHead | None = None
        self.judge = AnswerJudge(services, admitted, endpoint, model)
        self._sent_s = services.clock.seconds()
        self._svc = services
        self._admitted = admitted
        self._run: Run | None = services.crash_guard.start_run(admitted, endpoint, is_probe)
        self._running: RunningCall | None = None
        self._placed: PlacedCall | None = None

    def send(self, request: RequestState) -> None:
        """Send the call."""
        self._running, self._placed = self._svc.send(
            self._admitted, self.endpoint, self.model, request, self
        )

    @property
    def is_active(self) -> bool:
        """Whether the call still runs."""
        return self._running is not None

    @property
    def age_s(self) -> float:
        """Seconds since the call was sent."""
        return self._svc.clock.seconds() - self._sent_s

    @property
    def is_sent(self) -> bool:
        """Whether the call is under way to its endpoint, which may have started to run it."""
        return self._running is not None and self._running.is_sent

    # Events

    def on_head(self, head: ReplyHead) -> None:
        """Record what the head of the reply says about the endpoint, and pass it on."""
        assert self._placed is not None
        self.head = head
        self._svc.record_head(self._placed, head)
        if self._run is not None and not head.is_wrong_incarnation:
            self._svc.crash_guard.record_head(self._run)
        self.handler.on_head(head)

    def on_late_head(self, head: ReplyHead) -> None:
        """Record what the head of a reply to an earlier call says about the endpoint."""
        self._svc.record_late_head(self.endpoint, head)

    def on_data(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self.handler.on_data(data)

    def on_end(self) -> None:
        """Pass on the end of the reply."""
        self.handler.on_end()

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        """Pass on the failure of the call."""
        self.handler.on_failure(failure, detail)

    # Control

    def cancel(self) -> None:
        """Abort the connection, so that the endpoint stops; no event follows."""
        if self._running is not None:
            self._running.cancel()

    def detach(self) -> None:
        """Discard the rest of the reply to keep the connection; no event follows."""
        if self._running is not None:
            self._running.detach()

    def pause(self) -> None:
        """Stop reading the reply."""
        self.judge.pause()
        if self._running is not None:
            self._running.pause()

    def resume(self) -> None:
        """Continue to read the reply."""
        self.judge.resume()
        if self._running is not None:
            self._running.resume()

    # Outcome

    def settle_run(self, report: Callable[[Run], None]) -> None:
        """Report the outcome to the crash guard, once: the first one known."""
        run, self._run = self._run, None
        if run is not None:
            report(run)

    def release(self, is_failure: bool | None) -> None:
        """Stop counting the call as running."""
        self._running = None
        placed, self._placed = self._placed, None
        if placed is not None:
            self._svc.release_call(placed, is_failure)

    def stop(self) -> None:
        """Cancel the call, which ends without an outcome."""
        self.cancel()
        self.settle_run(self._svc.crash_guard.record_cancelled)
        self.release(None)
