"""One caller's request on the direct path, from its head to its final answer.

Every call to an endpoint ends as not run, completed or with an unknown outcome. A request is
refused as "not run" only if none of its calls can have run. A request that may have run is retried
only if its route allows that. A request that is given up gets its final answer at once.
"""

from collections.abc import Callable

from umberhitch.core.direct import Candidate, Endpoint, PlacedCall, ReplyHead, RouteKind
from umberhitch.ports.clock import Timer
from umberhitch.ports.direct import CallerReply, CallFailure, RunningCall
from umberhitch.tasks.direct.answer_judge import AnswerJudge
from umberhitch.tasks.direct.idle_timer import IdleTimer
from umberhitch.tasks.direct.relay import Relay
from umberhitch.tasks.direct.services import AdmittedRequest, ReadyAnswerFate, Run, Services

__all__ = ["HELD", "REFUSED_BY_ENDPOINT", "ProxiedRequest"]

MAX_CONNECT_FAILURES = 6
"""Maximum number of endpoints that one request may fail to reach."""
REFUSED_BY_ENDPOINT = "refused by the endpoint"
"""Outcome of a request that the endpoint rejected because of an error of the caller."""
HELD = "endpoints ended under it"
"""Refusal reason of a request that is held."""
MIN_REMAINING_S = 0.02
"""No call is started with less time than this before the deadline."""


class ProxiedRequest:
    """A caller's request that is proxied to endpoints, with its retries and resumptions.

    Parameters
    ----------
    services : Services
    admitted : AdmittedRequest
    reply : CallerReply
    is_probe : bool
        Whether the request is held and this run tests whether it still crashes endpoints. A probe
        is sent only once.
    """

    def __init__(
        self,
        services: Services,
        admitted: AdmittedRequest,
        reply: CallerReply,
        is_probe: bool = False,
    ) -> None:
        self.admitted = admitted
        self._is_probe = is_probe
        self._svc = services
        self._caller_reply = reply
        self._clock = services.clock
        req, route = admitted.request, admitted.route
        self._deadline_s = admitted.received_s + min(req.patience_s, route.timeout_s)
        self._sends = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._tried_lifetimes: set[str] = set()
        self._model: str | None = None
        self._endpoint: Endpoint | None = None
        self._placed_call: PlacedCall | None = None
        self._call: RunningCall | None = None
        self._run: Run | None = None
        self._head: ReplyHead | None = None
        self._judge = AnswerJudge(services, admitted)
        self._relay = Relay(reply, req.last_event_id, self._pause, self._resume)
        self._is_paused = False
        self._is_finished = False
        self._has_dropped_answer = False
        self.first_event_s: float | None = None
        """Time at which the first event of a stream was passed to the caller."""
        self._deadline: Timer | None = None
        self._idle_timer = IdleTimer(services.clock, self._on_idle_timeout)

    # Lifecycle

    def start(self) -> Callable[[], None]:
        """Send the first call; return the function to call if the caller disconnects."""
        left_s = self._deadline_s - self._clock.seconds()
        self._deadline = self._clock.callLater(max(0.0, left_s), self._on_deadline)
        self._model = self._svc.selector.first_model(self.admitted)
        self._send_next()
        return self._on_caller_left

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that was passed to the caller."""
        return self._relay.last_event

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline of the final answer."""
        return self._deadline_s - self._clock.seconds()

    @property
    def sends(self) -> int:
        """Number of calls so far that reached an endpoint or may have reached one."""
        return self._sends

    @property
    def model(self) -> str | None:
        """Model of the last call."""
        return self._model

    @property
    def endpoint(self) -> Endpoint | None:
        """Endpoint of the last call."""
        return self._endpoint

    def _send_next(self) -> None:
        """Send the request to the next endpoint, or give up."""
        if self._is_finished:
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
        candidate = self._select_candidate()
        if candidate is None:
            self._give_up(self._svc.selector.failure_reason)
            return
        if self._sends > 0 and not self._svc.acquire_retry(self.admitted.service):
            self._give_up("retry budget")
            return
        self._start_call(candidate)

    def _is_held(self) -> bool:
        """Whether the request is held, so that no further call may be sent."""
        if self._is_probe and self._sends == 0:
            return False
        return self._is_probe or self._svc.crash_guard.is_held(self.admitted)

    def _select_candidate(self) -> Candidate | None:
        """Return a candidate that has not been tried yet, or None."""
        return self._svc.selector.select_endpoint(self.admitted, self._model, self._tried_lifetimes)

    def _start_call(self, candidate: Candidate) -> None:
        endpoint = self._endpoint = candidate.endpoint
        self._judge.start_call(endpoint, self._model)
        self._head = None
        self._relay.start_call()
        self._sends += 1
        self._tried_lifetimes.add(endpoint.lifetime)
        self._run = self._svc.crash_guard.start_run(self.admitted, endpoint, self._is_probe)
        self._call, self._placed_call = self._svc.send(self.admitted, endpoint, self._model, self)
        self._svc.log_decision(
            self,
            "call sent",
            False,
            version=endpoint.entry.version,
            expected_s=round(candidate.wait_s, 4),
            delay_cost=round(candidate.delay_cost, 3),
            left_s=round(self.remaining_s, 3),
            after_event=None if self.last_event is None else self.last_event.decode("latin-1"),
        )
        if self._is_paused:
            self._call.pause()
        timeout_s = self._svc.timeouts.attempt_timeout_s(self.admitted.route)
        if timeout_s is not None:
            self._idle_timer.restart(timeout_s)

    def _end_call(self, is_failure: bool | None) -> None:
        """Stop counting the current call as running."""
        self._idle_timer.stop()
        placed_call, self._placed_call = self._placed_call, None
        self._call = None
        if placed_call is not None:
            self._svc.release_call(placed_call, is_failure)

    def _settle_run(self, report: Callable[[Run], None]) -> None:
        """Report the outcome of the current call to the crash guard, once: the first one known."""
        run, self._run = self._run, None
        if run is not None:
            report(run)

    # Timers

    def _on_idle_timeout(self) -> None:
        """Retry a call that timed out on another endpoint, if one is available."""
        if self._is_paused or self._call is None:
            return
        can_retry = self._sends < self.admitted.route.max_attempts
        if not can_retry or self._select_candidate() is None:
            return
        self._call.cancel()
        self._broken("silent")

    def _cancel_call(self) -> None:
        """Cancel the current call."""
        assert self._call is not None
        self._call.cancel()
        self._settle_run(self._svc.crash_guard.record_cancelled)
        self._end_call(None)

    def _on_deadline(self) -> None:
        self._deadline = None
        if self._call is not None:
            self._may_have_run = True
            self._cancel_call()
        self._give_up("deadline")

    def _on_caller_left(self) -> None:
        if self._is_finished:
            return
        if self._call is not None:
            self._cancel_call()
        self._finish("caller left")

    # Events of the call

    def on_head(self, head: ReplyHead) -> None:
        """Handle the head of the reply."""
        assert self._endpoint is not None
        assert self._placed_call is not None
        self._head = head
        self._svc.record_head(self._placed_call, head)
        if self._run is not None and not head.is_wrong_incarnation:
            self._svc.crash_guard.record_head(self._run)
        if head.not_run:
            self._on_not_run(head)
        elif head.is_success:
            self._on_success(head)
        else:
            self._on_error(head)

    def on_late_head(self, head: ReplyHead) -> None:
        """Handle the head of a reply to an earlier call, for what it says about the endpoint."""
        assert self._endpoint is not None
        self._svc.record_late_head(self._endpoint, head)

    def _on_not_run(self, head: ReplyHead) -> None:
        assert self._endpoint is not None
        if head.is_wrong_incarnation:
            self._svc.mark_address_reused(self._endpoint)
        self._settle_run(self._svc.crash_guard.record_not_run)
        self._svc.log_decision(self, "call not run", True, status=head.status)
        self._try_next(None)

    def _try_next(self, is_failure: bool | None) -> None:
        """Discard the reply to the current call, and try another endpoint."""
        assert self._call is not None
        self._call.detach()
        self._end_call(is_failure)
        self._send_next()

    def _on_success(self, head: ReplyHead) -> None:
        assert self._call is not None
        if not head.is_signed:
            self._call.cancel()
            self._broken("no signature")
            return
        self._may_have_run = True
        if self._relay.is_streaming:
            self._restart_gap_timer()
            return
        larger_model = None
        if self._may_escalate():
            assert self._model is not None
            waited_s = self._clock.seconds() - self.admitted.received_s
            larger_model = self._svc.selector.larger_model(
                self.admitted, self._model, head.confidence, waited_s
            )
        if larger_model is not None and self._svc.acquire_retry(self.admitted.service):
            self._escalate(larger_model)
            return
        if self.admitted.route.kind is RouteKind.STREAM:
            self._relay.start_stream(head)
            self._restart_gap_timer()

    def _may_escalate(self) -> bool:
        has_attempts_left = self._sends < self.admitted.route.max_attempts
        return self._model is not None and has_attempts_left and not self._is_held()

    def _escalate(self, larger_model: str) -> None:
        """Drop an answer of which nothing was passed on yet, and call the larger model instead."""
        assert self._call is not None
        assert self._endpoint is not None
        confidence = None if self._head is None else self._head.confidence
        self._svc.log_decision(
            self, "answer dropped", False, confidence=confidence, larger=larger_model
        )
        self._svc.count_ready_answer(ReadyAnswerFate.DROPPED)
        self._has_dropped_answer = True
        self._cancel_call()
        previous = self._model
        self._model = larger_model
        self._tried_lifetimes.clear()
        candidate = self._select_candidate()
        if candidate is None:
            self._model = previous
            self._send_next()
            return
        self._start_call(candidate)

    def _on_error(self, head: ReplyHead) -> None:
        """Handle an error status from the endpoint, which ran the request."""
        self._may_have_run = True
        is_server_side = head.status >= 500
        self._svc.log_decision(self, "endpoint failed", True, status=head.status)
        self._settle_run(self._svc.crash_guard.record_completed)
        if is_server_side:
            self._judge.record_failure()
        if self._relay.is_streaming or (is_server_side and self._can_retry()):
            self._try_next(is_server_side)

    def _can_retry(self) -> bool:
        route = self.admitted.route
        return (
            route.is_repeatable
            and self._sends < route.max_attempts
            and self.remaining_s > MIN_REMAINING_S
            and self._select_candidate() is not None
        )

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""
        assert self._head is not None
        if not self._relay.is_streaming:
            self._relay.plain_data(self._head, data)
            return
        self._restart_gap_timer()
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

    def _restart_gap_timer(self) -> None:
        if self.admitted.route.is_repeatable:
            self._idle_timer.restart(self._svc.timeouts.gap_factor * self.admitted.route.gap_s)

    def on_end(self) -> None:
        """Handle the end of the reply."""
        assert self._head is not None
        assert self._endpoint is not None
        if not self._relay.is_at_event_boundary:
            self._broken("ended within an event")
            return
        self._settle_run(self._svc.crash_guard.record_completed)
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
        """Handle the failure of a call before its reply was complete."""
        match failure:
            case CallFailure.NOT_SENT:
                self._on_not_sent(detail, False)
            case CallFailure.REFUSED:
                self._on_not_sent(detail, True)
            case CallFailure.BROKEN:
                self._broken(detail)

    def _on_not_sent(self, detail: str, has_exited: bool) -> None:
        assert self._endpoint is not None
        self._svc.log_decision(self, "endpoint not reached", True, detail=detail)
        self._svc.mark_unreachable(self._endpoint, has_exited)
        self._settle_run(self._svc.crash_guard.record_not_sent)
        self._end_call(True)
        self._sends -= 1
        self._connect_failures += 1
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            self._give_up("no endpoint reached")
            return
        self._send_next()

    def _broken(self, detail: str) -> None:
        """Handle a call that was sent and whose outcome is unknown."""
        assert self._endpoint is not None
        self._svc.log_decision(
            self, "call broken", True, detail=detail, had_head=self._head is not None
        )
        self._may_have_run = True
        if self._head is None:
            self._svc.mark_unreachable(self._endpoint)
        self._settle_run(self._svc.crash_guard.record_broken)
        self._end_call(True)
        self._relay.drop_partial_event()
        if self._relay.is_streaming:
            # Part of the answer was passed on. Only the endpoint that has just failed is excluded;
            # those that failed earlier may resume the stream.
            self._tried_lifetimes = {self._endpoint.lifetime}
        is_passing_through = self._relay.has_started and not self._relay.is_streaming
        if is_passing_through or not self.admitted.route.is_repeatable:
            self._give_up("unknown outcome")
            return
        self._send_next()

    # Final answer

    def _give_up(self, reason: str) -> None:
        """Send an error as the final answer, or abort an answer that has started."""
        if self._is_finished:
            return
        if self._relay.has_started:
            self._relay.abort()
            self._finish(f"broken off: {reason}")
            return
        if not self._may_have_run:
            self._svc.send_refusal(self._caller_reply, self.admitted, 503, reason)
        else:
            status = 504 if reason == "deadline" else 502
            self._svc.send_refusal(self._caller_reply, self.admitted, status, reason)
        self._finish(f"given up: {reason}")

    def _finish(self, outcome: str) -> None:
        self._is_finished = True
        self._idle_timer.stop()
        deadline, self._deadline = self._deadline, None
        if deadline is not None and deadline.active():
            deadline.cancel()
        if self._has_dropped_answer and outcome not in ("done", "caller left"):
            self._svc.count_ready_answer(ReadyAnswerFate.LOST)
            self._svc.log_decision(self, "ready answer lost", True, outcome=outcome)
        self._svc.request_finished(self, outcome)

    def abort(self) -> None:
        """Abort the request because the process stops."""
        if self._is_finished:
            return
        if self._call is not None:
            self._may_have_run = True
            self._cancel_call()
        self._give_up("leaving")

    # Back-pressure

    def _pause(self) -> None:
        self._is_paused = True
        if self._call is not None:
            self._call.pause()

    def _resume(self) -> None:
        self._is_paused = False
        if self._call is not None:
            self._call.resume()
            if not self._idle_timer.is_running and self._relay.is_streaming:
                self._restart_gap_timer()  # the timer expired during the pause
