"""One caller's request on the direct path, from its head to its final answer.

Every call to an endpoint ends as not run, completed or with an unknown outcome. A request is
refused as "not run" only if none of its calls can have run. A request that may have run is retried
only if its route allows that. A request that is given up gets its final answer at once.
"""

from collections.abc import Callable

from umberhitch.core.direct import Candidate, Endpoint, ReplyHead, RouteKind
from umberhitch.ports.clock import Timer
from umberhitch.ports.direct import CallerReply, CallFailure
from umberhitch.tasks.direct.active_call import ActiveCall
from umberhitch.tasks.direct.admission_control import NO_ROOM
from umberhitch.tasks.direct.attempt_plan import AttemptPlan
from umberhitch.tasks.direct.escalating_request import (
    MIN_REMAINING_S,
    NOT_IN_TIME,
    EscalatingRequest,
)
from umberhitch.tasks.direct.escalation import Escalation
from umberhitch.tasks.direct.idle_timer import IdleTimer
from umberhitch.tasks.direct.relay import Relay
from umberhitch.tasks.direct.services import AdmittedRequest, Services

__all__ = ["CALLER_LEFT", "HELD", "REFUSED_BY_ENDPOINT", "ProxiedRequest"]

CALLER_LEFT = "caller left"
"""Outcome of a request whose caller disconnected."""
REFUSED_BY_ENDPOINT = "refused by the endpoint"
"""Outcome of a request that the endpoint rejected because of an error of the caller."""
ROOM_CHECK_S = 0.25
"""A call that timed out is replaced once there is room for another, which is checked so often."""
HELD = "endpoints ended under it"
"""Refusal reason of a request that is held."""


class ProxiedRequest(EscalatingRequest):
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
        self._deadline_s = admitted.received_s + admitted.timeout_s
        self._plan = AttemptPlan(services, admitted)
        self._call = None
        self._escalation = Escalation(
            services, self, self._on_overlap_over, self._on_larger_overdue
        )
        self._relay = Relay(
            reply,
            admitted.request.last_event_id,
            self._pause,
            self._resume,
            services.buffered,
            admitted.request.method == b"HEAD",
        )
        self._is_paused = False
        self._is_finished = False
        self.first_event_s: float | None = None
        """Time at which the first event of a stream was passed to the caller."""
        self._deadline: Timer | None = None
        self._idle_timer = IdleTimer(services.clock, self._on_idle_timeout)

    # Lifecycle

    def start(self) -> Callable[[], None]:
        """Send the first call; return the function to call if the caller disconnects."""
        left_s = self._deadline_s - self._clock.seconds()
        self._deadline = self._clock.callLater(max(0.0, left_s), self._on_deadline)
        self._plan.start()
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
        return self._plan.sends

    @property
    def model(self) -> str | None:
        """Model of the last call."""
        return self._plan.model

    @property
    def endpoint(self) -> Endpoint | None:
        """Endpoint of the last call."""
        return None if self._call is None else self._call.endpoint

    def _send_next(self) -> None:
        """Send the request to the next endpoint, or give up."""
        if self._is_finished:
            return
        if self.remaining_s < MIN_REMAINING_S:
            self._give_up("deadline")
            return
        if self._plan.attempts_left <= 0:
            self._give_up("attempts")
            return
        if self._is_held():
            self._give_up(HELD)
            return
        small_model = None if self._relay.has_started else self._escalation.dropped_model
        candidate = self._plan.next_candidate(small_model)
        if candidate is None:
            if not self._svc.wait_for_room(self):
                self._give_up(self._svc.selector.failure_reason)
            return
        if not self._escalation.is_worth_calling(candidate):
            self._give_up(NOT_IN_TIME)
            return
        if self._plan.sends > 0 and not self._escalation.acquire_retry():
            self._give_up("retry budget")
            return
        self._start_call(candidate)

    def resume(self) -> None:
        """Try again to send the first call, for which the request has waited."""
        self._send_next()

    def refuse(self, reason: str) -> None:
        """Give up a request that has waited."""
        self._give_up(reason)

    def _is_held(self) -> bool:
        """Whether the request is held, so that no further call may be sent."""
        if self._is_probe and self._plan.sends == 0:
            return False
        return self._is_probe or self._svc.crash_guard.is_held(self.admitted)

    def _start_call(self, candidate: Candidate) -> None:
        call = ActiveCall(
            self._svc, self.admitted, candidate.endpoint, self.model, self._is_probe, self
        )
        self._call = call
        self._relay.start_call()
        self._count_second_run()
        self._plan.note_call(candidate.endpoint)
        call.send(self)
        self._escalation.start_call(candidate, self.model)
        self._svc.log_decision(
            self,
            "call sent",
            False,
            version=candidate.endpoint.entry.version,
            expected_s=round(candidate.wait_s, 4),
            **self._plan.facts(),
            pace=None if candidate.pace is None else round(candidate.pace, 2),
            pace_age_s=None if candidate.pace_age_s is None else round(candidate.pace_age_s, 3),
            delay_cost=round(candidate.delay_cost, 3),
            left_s=round(self.remaining_s, 3),
            after_event=None if self.last_event is None else self.last_event.decode("latin-1"),
        )
        if self._is_paused:
            call.pause()
        timeout_s = self._svc.timeouts.attempt_timeout_s(self.admitted.route)
        if timeout_s is not None:
            self._idle_timer.restart(timeout_s)

    def _end_call(self, is_failure: bool | None) -> None:
        """Stop counting the current call as running."""
        self._idle_timer.stop()
        self._escalation.end_call(has_failed=bool(is_failure))
        if self._call is not None:
            self._call.release(is_failure)

    # Timers

    def _on_idle_timeout(self) -> None:
        """Replace a call that timed out by a kept answer, or by a call of another endpoint."""
        if self._is_paused or not self._is_calling:
            return
        can_retry = self._plan.attempts_left > 0 and self._plan.select_candidate() is not None
        if not can_retry and not self._escalation.is_kept:
            if self._svc.selector.failure_reason == NO_ROOM:
                self._idle_timer.restart(ROOM_CHECK_S)
            return
        assert self._call is not None
        self._call.cancel()
        self._record_broken("silent")
        if not self._deliver_kept_answer("silent"):
            self._continue_after_break()

    def _cancel_call(self) -> None:
        """Cancel the current call."""
        assert self._call is not None
        self._idle_timer.stop()
        self._escalation.end_call(has_failed=False)
        self._call.stop()

    def _on_deadline(self) -> None:
        self._deadline = None
        if self._is_calling:
            self.admitted.may_have_run = True
            self._cancel_call()
        self._give_up("deadline")

    def _on_caller_left(self) -> None:
        if self._is_finished:
            return
        if self._is_calling:
            self._cancel_call()
        self._finish(CALLER_LEFT)

    # Events of the call

    def on_head(self, head: ReplyHead) -> None:
        """Handle the head of the reply."""
        if head.not_run:
            self._on_not_run(head)
        elif head.is_success:
            self._on_success(head)
        else:
            self._on_error(head)

    def on_late_head(self, head: ReplyHead) -> None:
        """Handle the head of a reply to an earlier call, for what it says about the endpoint."""
        assert self._call is not None
        self._call.on_late_head(head)

    def _on_not_run(self, head: ReplyHead) -> None:
        assert self._call is not None
        if head.is_wrong_incarnation:
            self._svc.mark_address_reused(self._call.endpoint)
        self._call.settle_run(self._svc.crash_guard.record_not_run)
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
        self.admitted.may_have_run = True
        if self._relay.is_streaming:
            self._restart_gap_timer()
        elif not self._escalate(head):
            self._start_answer(head)

    def _start_answer(self, head: ReplyHead) -> None:
        """Pass the reply on from now on."""
        if self.admitted.route.kind is not RouteKind.STREAM:
            return
        if self._escalation.has_begun:
            self._relay.await_first_event(head)
        else:
            self._relay.start_stream(head)
        self._restart_gap_timer()

    def _on_error(self, head: ReplyHead) -> None:
        """Handle an error status from the endpoint, which ran the request."""
        assert self._call is not None
        self.admitted.may_have_run = True
        is_server_side = head.status >= 500
        self._svc.log_decision(self, "endpoint failed", True, status=head.status)
        guard = self._svc.crash_guard
        self._call.settle_run(guard.record_failed if is_server_side else guard.record_completed)
        if is_server_side:
            self._call.judge.record_failure()
        may_replace = is_server_side or self._escalation.dropped_model is not None
        if self._relay.is_streaming or (may_replace and self._can_retry()):
            self._try_next(is_server_side)
        elif self._escalation.is_kept:
            self._call.detach()
            self._end_call(is_server_side)
            self._deliver_kept_answer(f"status {head.status}")

    def _can_retry(self) -> bool:
        route = self.admitted.route
        return (
            route.is_repeatable
            and self._plan.attempts_left > 0
            and self.remaining_s > MIN_REMAINING_S
            and self._plan.select_candidate() is not None
        )

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""
        assert self._head is not None
        if not self._relay.has_events:
            self._relay.plain_data(self._head, data)
            if self._relay.has_started:
                self._idle_timer.stop()  # no other endpoint could go on with it
                self._escalation.replace()
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
            assert self._call is not None
            self._escalation.replace()
            if self.first_event_s is None:
                self.first_event_s = self._clock.seconds()
            self._call.judge.record_events(self._relay.event_count)

    def _restart_gap_timer(self) -> None:
        if self.admitted.route.is_repeatable:
            self._idle_timer.restart(self._svc.timeouts.gap_factor * self.admitted.route.gap_s)

    def on_end(self) -> None:
        """Handle the end of the reply."""
        assert self._call is not None
        assert self._head is not None
        if not self._relay.is_at_event_boundary:
            self._broken("ended within an event")
            return
        self._call.settle_run(self._svc.crash_guard.record_completed)
        is_failure = self._head.status >= 500
        if not is_failure:
            if self._relay.has_events:
                self._call.judge.finish_stream()
            else:
                self._call.judge.finish_reply()
        self._escalation.replace()
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
        assert self._call is not None
        self._svc.log_decision(self, "endpoint not reached", True, detail=detail)
        self._svc.mark_unreachable(self._call.endpoint, has_exited)
        self._call.settle_run(self._svc.crash_guard.record_not_sent)
        self._end_call(True)
        if not self._plan.note_not_sent():
            self._give_up("no endpoint reached")
            return
        self._send_next()

    def _broken(self, detail: str) -> None:
        """Handle a call that was sent and whose outcome is unknown."""
        self._record_broken(detail)
        self._continue_after_break()

    def _record_broken(self, detail: str) -> None:
        assert self._call is not None
        self._svc.log_decision(
            self, "call broken", True, detail=detail, had_head=self._head is not None
        )
        self.admitted.may_have_run = True
        if self._head is None:
            self._svc.mark_unreachable(self._call.endpoint)
        self._call.settle_run(self._svc.crash_guard.record_broken)
        self._end_call(True)
        self._relay.drop_partial_event()

    def _continue_after_break(self) -> None:
        """Retry or resume a call that broke, or give up."""
        if self._relay.is_streaming:
            # Part of the answer was passed on. Only the endpoint that has just failed is excluded;
            # those that failed earlier may resume the stream.
            assert self._call is not None
            self._plan.exclude_only(self._call.endpoint)
        is_passing_through = self._relay.has_started and not self._relay.is_streaming
        if is_passing_through or not self.admitted.route.is_repeatable:
            self._give_up("unknown outcome")
            return
        self._send_next()

    # Final answer

    def _give_up(self, reason: str) -> None:
        """Send an error as the final answer, or abort an answer that has started."""
        if self._is_finished or self._deliver_kept_answer(reason):
            return
        if self._relay.has_started:
            self._relay.abort()
            self._finish(f"broken off: {reason}")
            return
        if not self.admitted.may_have_run:
            self._svc.send_refusal(self._caller_reply, self.admitted, 503, reason)
        else:
            status = 504 if reason == "deadline" else 502
            self._svc.send_refusal(self._caller_reply, self.admitted, status, reason)
        self._finish(f"given up: {reason}")

    def _finish(self, outcome: str) -> None:
        self._is_finished = True
        self._idle_timer.stop()
        self._relay.release()
        deadline, self._deadline = self._deadline, None
        if deadline is not None and deadline.active():
            deadline.cancel()
        self._escalation.finish(has_answer=outcome in ("done", CALLER_LEFT))
        self._svc.request_finished(self, outcome)

    def abort(self) -> None:
        """Abort the request because the process stops."""
        if self._is_finished:
            return
        if self._is_calling:
            self.admitted.may_have_run = True
            self._cancel_call()
        if not self._escalation.is_complete:
            self._escalation.discard()
        self._give_up("leaving")

    # Back-pressure

    def _pause(self) -> None:
        self._is_paused = True
        if self._call is not None:
            self._call.pause()

    def _resume(self) -> None:
        self._is_paused = False
        if self._call is not None and self._call.is_active:
            self._call.resume()
            if not self._idle_timer.is_running and self._relay.is_streaming:
                self._restart_gap_timer()  # the timer expired during the pause
