"""One caller's request on the direct path, from its head to its final answer.

Every call to an endpoint ends in one of three ways: not run, done, unknown. Only a request of which
no call can have run is refused as "not run"; what may have run is tried again only where it may be
repeated. A request that is given up gets its answer at once.
"""

from collections.abc import Callable

from umberhitch.core.direct import Candidate, Endpoint, PlacedCall, ReplyHead, RouteKind
from umberhitch.ports.clock import Timer
from umberhitch.ports.direct import CallerReply, CallFailure, RunningCall
from umberhitch.tasks.direct.answer_judge import AnswerJudge
from umberhitch.tasks.direct.idle_timer import IdleTimer
from umberhitch.tasks.direct.relay import Relay
from umberhitch.tasks.direct.services import AdmittedRequest, Run, Services

__all__ = ["HELD", "REFUSED_BY_ENDPOINT", "ProxiedRequest"]

MAX_CONNECT_FAILURES = 6
"""Endpoints that could not be reached, for one request."""
REFUSED_BY_ENDPOINT = "refused by the endpoint"
"""Outcome of a request that the endpoint found wanting: the caller's fault."""
HELD = "endpoints ended under it"
"""Reason of an answer to a request that is held."""
MIN_REMAINING_S = 0.02
"""With less time left no call is begun."""


class ProxiedRequest:
    """One request.

    Parameters
    ----------
    services : Services
    permit : AdmittedRequest
    reply : CallerReply
    is_probe : bool
        Whether the request is held and this is to show whether it still ends endpoints: it is sent
        once, then.
    """

    def __init__(
        self,
        services: Services,
        permit: AdmittedRequest,
        reply: CallerReply,
        is_probe: bool = False,
    ) -> None:
        self.admitted = permit
        self._is_probe = is_probe
        self._svc = services
        self._reply = reply
        self._clock = services.clock
        ask, route = permit.request, permit.route
        self._deadline_s = permit.received_s + min(ask.patience_s, route.timeout_s)
        self._sends = 0
        self._dials = 0
        self._may_have_run = False
        self._tried: set[str] = set()
        self._model: str | None = None
        self._endpoint: Endpoint | None = None
        self._placed: PlacedCall | None = None
        self._call: RunningCall | None = None
        self._run: Run | None = None
        self._head: ReplyHead | None = None
        self._judge = AnswerJudge(services, permit)
        self._relay = Relay(reply, ask.last_event_id, self._pause, self._resume)
        self._is_paused = False
        self._is_over = False
        self.first_event_s: float | None = None
        """When the first event of a stream was passed on."""
        self._deadline: Timer | None = None
        self._silence = IdleTimer(services.clock, self._on_stall)

    # Life

    def start(self) -> Callable[[], None]:
        """Begin; returns what is to be called if the caller leaves."""
        left_s = self._deadline_s - self._clock.seconds()
        self._deadline = self._clock.callLater(max(0.0, left_s), self._on_deadline)
        self._model = self._svc.selector.first_model(self.admitted)
        self._next()
        return self._on_caller_left

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that the caller has."""
        return self._relay.last_event

    @property
    def remaining_s(self) -> float:
        """Time until the final answer is due."""
        return self._deadline_s - self._clock.seconds()

    @property
    def sends(self) -> int:
        """Calls so far that reached an endpoint, or may have."""
        return self._sends

    @property
    def model(self) -> str | None:
        """Model that was asked last."""
        return self._model

    @property
    def endpoint(self) -> Endpoint | None:
        """Endpoint that was asked last."""
        return self._endpoint

    def _next(self) -> None:
        """Send the request to the next endpoint, or give up."""
        if self._is_over:
            return
        if self.remaining_s < MIN_REMAINING_S:
            self._give_up("deadline")
            return
        if self._sends >= self.admitted.route.max_attempts:
            self._give_up("attempts")
            return
        if self._is_held():
            self._give_up(HELD)
            return
        chosen = self._choose()
        if chosen is None:
            self._give_up(self._svc.selector.failure_reason)
            return
        if self._sends > 0 and not self._svc.acquire_retry(self.admitted.service):
            self._give_up("retry budget")
            return
        self._begin_call(chosen)

    def _is_held(self) -> bool:
        """Whether the request may not be sent (again)."""
        if self._is_probe and self._sends == 0:
            return False
        return self._is_probe or self._svc.crash_guard.is_held(self.admitted)

    def _choose(self) -> Candidate | None:
        """Return an endpoint that has not been tried, or None."""
        return self._svc.selector.select_endpoint(self.admitted, self._model, self._tried)

    def _begin_call(self, offer: Candidate) -> None:
        endpoint = self._endpoint = offer.endpoint
        self._judge.start_call(endpoint, self._model)
        self._head = None
        self._relay.start_call()
        self._sends += 1
        self._tried.add(endpoint.lifetime)
        self._run = self._svc.crash_guard.start_run(self.admitted, endpoint, self._is_probe)
        self._call, self._placed = self._svc.send(self.admitted, endpoint, self._model, self)
        self._svc.log_decision(
            self,
            "call sent",
            False,
            version=endpoint.entry.version,
            expected_s=round(offer.wait_s, 4),
            delay_cost=round(offer.delay_cost, 3),
            left_s=round(self.remaining_s, 3),
            after_event=None if self.last_event is None else self.last_event.decode("latin-1"),
        )
        if self._is_paused:
            self._call.pause()
        try_s = self._svc.timeouts.attempt_timeout_s(self.admitted.route)
        if try_s is not None:
            self._silence.restart(try_s)

    def _end_call(self, is_failure: bool | None) -> None:
        """Count the present call no more."""
        self._silence.stop()
        placed, self._placed = self._placed, None
        self._call = None
        if placed is not None:
            self._svc.release_call(placed, is_failure)

    def _settle(self, tell: Callable[[Run], None]) -> None:
        """Tell how the present call went on: once, by what is known first."""
        run, self._run = self._run, None
        if run is not None:
            tell(run)

    # Timers

    def _on_stall(self) -> None:
        """Try elsewhere what has been silent for too long, if that can be had."""
        if self._is_paused or self._call is None:
            return
        can_repeat = self._sends < self.admitted.route.max_attempts
        if not can_repeat or self._choose() is None:
            return
        self._call.cancel()
        self._broken("silent")

    def _leave_call(self) -> None:
        """Give up the present call."""
        assert self._call is not None
        self._call.cancel()
        self._settle(self._svc.crash_guard.record_cancelled)
        self._end_call(None)

    def _on_deadline(self) -> None:
        self._deadline = None
        if self._call is not None:
            self._may_have_run = True
            self._leave_call()
        self._give_up("deadline")

    def _on_caller_left(self) -> None:
        if self._is_over:
            return
        if self._call is not None:
            self._leave_call()
        self._finish("caller left")

    # Events of the call

    def on_head(self, head: ReplyHead) -> None:
        """Decide by the head of the reply what becomes of it."""
        assert self._endpoint is not None
        assert self._placed is not None
        self._head = head
        self._svc.record_head(self._placed, head)
        if self._run is not None and not head.is_wrong_incarnation:
            self._svc.crash_guard.record_head(self._run)
        if head.not_run:
            self._on_not_run(head)
        elif head.is_success:
            self._on_success(head)
        else:
            self._on_error(head)

    def on_late_head(self, head: ReplyHead) -> None:
        """Take a reply to an earlier call: it tells of the endpoint all the same."""
        assert self._endpoint is not None
        self._svc.record_late_head(self._endpoint, head)

    def _on_not_run(self, head: ReplyHead) -> None:
        assert self._endpoint is not None
        if head.is_wrong_incarnation:
            self._svc.mark_address_reused(self._endpoint)
        self._settle(self._svc.crash_guard.record_not_run)
        self._svc.log_decision(self, "call not run", True, status=head.status)
        self._go_on(None)

    def _go_on(self, is_failure: bool | None) -> None:
        """Leave a call whose reply is of no use, and try elsewhere."""
        assert self._call is not None
        self._call.detach()
        self._end_call(is_failure)
        self._next()

    def _on_success(self, head: ReplyHead) -> None:
        assert self._call is not None
        if not head.is_signed:
            self._call.cancel()
            self._broken("no signature")
            return
        self._may_have_run = True
        if self._relay.is_streaming:
            self._watch_gap()
            return
        larger = None
        if self._may_escalate():
            assert self._model is not None
            waited_s = self._clock.seconds() - self.admitted.received_s
            larger = self._svc.selector.larger_model(
                self.admitted, self._model, head.confidence, waited_s
            )
        if larger is not None and self._svc.acquire_retry(self.admitted.service):
            self._escalate(larger)
            return
        if self.admitted.route.kind is RouteKind.STREAM:
            self._relay.start_stream(head)
            self._watch_gap()

    def _may_escalate(self) -> bool:
        has_sends = self._sends < self.admitted.route.max_attempts
        return self._model is not None and has_sends and not self._is_held()

    def _escalate(self, larger: str) -> None:
        """Drop an answer of which the caller has nothing yet, and ask another model."""
        assert self._call is not None
        assert self._endpoint is not None
        confidence = None if self._head is None else self._head.confidence
        self._svc.log_decision(self, "answer dropped", False, confidence=confidence, larger=larger)
        self._leave_call()
        previous = self._model
        self._model = larger
        self._tried.clear()
        chosen = self._choose()
        if chosen is None:
            self._model = previous
            self._next()
            return
        self._begin_call(chosen)

    def _on_error(self, head: ReplyHead) -> None:
        """Handle a failure that the endpoint itself reports; it ran."""
        self._may_have_run = True
        is_server_side = head.status >= 500
        self._svc.log_decision(self, "endpoint failed", True, status=head.status)
        self._settle(self._svc.crash_guard.record_completed)
        if is_server_side:
            self._judge.record_failure()
        if self._relay.is_streaming or (is_server_side and self._can_repeat()):
            self._go_on(is_server_side)

    def _can_repeat(self) -> bool:
        route = self.admitted.route
        return (
            route.is_repeatable
            and self._sends < route.max_attempts
            and self.remaining_s > MIN_REMAINING_S
            and self._choose() is not None
        )

    def on_data(self, data: bytes) -> None:
        """Take more of the body."""
        assert self._head is not None
        if not self._relay.is_streaming:
            self._relay.plain_data(self._head, data)
            return
        self._watch_gap()
        try:
            has_events = self._relay.stream_data(data)
        except ValueError as exc:
            assert self._call is not None
            self._call.cancel()
            self._broken(str(exc))
            return
        if has_events:
            if self.first_event_s is None:
                self.first_event_s = self._clock.seconds()
            self._judge.record_events(self._relay.event_count)

    def _watch_gap(self) -> None:
        if self.admitted.route.is_repeatable:
            self._silence.restart(self._svc.timeouts.gap_factor * self.admitted.route.gap_s)

    def on_end(self) -> None:
        """Take the end of the reply."""
        assert self._head is not None
        assert self._endpoint is not None
        if not self._relay.is_at_event_boundary:
            self._broken("ended within an event")
            return
        self._settle(self._svc.crash_guard.record_completed)
        is_failure = self._head.status >= 500
        if not is_failure:
            if self._relay.is_streaming:
                self._judge.finish_stream()
            else:
                self._judge.finish_reply()
        self._end_call(is_failure)
        self._relay.end(self._head)
        if self._head.is_success:
            self._finish("done")
        else:
            self._finish("failed by the endpoint" if is_failure else REFUSED_BY_ENDPOINT)

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        """Take the end of a call without a whole reply."""
        match failure:
            case CallFailure.NOT_SENT:
                self._not_sent(detail, False)
            case CallFailure.REFUSED:
                self._not_sent(detail, True)
            case CallFailure.BROKEN:
                self._broken(detail)

    def _not_sent(self, detail: str, is_ended: bool) -> None:
        assert self._endpoint is not None
        self._svc.log_decision(self, "endpoint not reached", True, detail=detail)
        self._svc.mark_unreachable(self._endpoint, is_ended)
        self._settle(self._svc.crash_guard.record_not_sent)
        self._end_call(True)
        self._sends -= 1
        self._dials += 1
        if self._dials >= MAX_CONNECT_FAILURES:
            self._give_up("no endpoint reached")
            return
        self._next()

    def _broken(self, detail: str) -> None:
        """A call was sent, and how it ended is not known."""
        assert self._endpoint is not None
        self._svc.log_decision(
            self, "call broken", True, detail=detail, had_head=self._head is not None
        )
        self._may_have_run = True
        if self._head is None:
            self._svc.mark_unreachable(self._endpoint)
        self._settle(self._svc.crash_guard.record_broken)
        self._end_call(True)
        self._relay.drop_partial_event()
        if self._relay.is_streaming:
            # Part of the answer is out: an endpoint that broke off before may go on with it.
            self._tried = {self._endpoint.lifetime}
        is_passing = self._relay.has_started and not self._relay.is_streaming
        if is_passing or not self.admitted.route.is_repeatable:
            self._give_up("unknown outcome")
            return
        self._next()

    # The end

    def _give_up(self, reason: str) -> None:
        """Send the final answer."""
        if self._is_over:
            return
        if self._relay.has_started:
            self._relay.abort()
            self._finish(f"broken off: {reason}")
            return
        if not self._may_have_run:
            self._svc.send_refusal(self._reply, self.admitted, 503, reason)
        else:
            status = 504 if reason == "deadline" else 502
            self._svc.send_refusal(self._reply, self.admitted, status, reason)
        self._finish(f"given up: {reason}")

    def _finish(self, outcome: str) -> None:
        self._is_over = True
        self._silence.stop()
        deadline, self._deadline = self._deadline, None
        if deadline is not None and deadline.active():
            deadline.cancel()
        self._svc.request_finished(self, outcome)

    def abort(self) -> None:
        """Break off: the process stops."""
        if self._is_over:
            return
        if self._call is not None:
            self._may_have_run = True
            self._leave_call()
        self._give_up("leaving")

    # Pressure

    def _pause(self) -> None:
        self._is_paused = True
        if self._call is not None:
            self._call.pause()

    def _resume(self) -> None:
        self._is_paused = False
        if self._call is not None:
            self._call.resume()
            if not self._silence.is_running and self._relay.is_streaming:
                self._watch_gap()  # it ran out meanwhile
