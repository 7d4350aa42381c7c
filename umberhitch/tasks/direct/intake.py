"""Intake of callers' requests: each is admitted, refused, or delayed for a moment."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from umberhitch.core.direct import CallerRequest
from umberhitch.errors import BadAskError
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallerReply, RawRequest, WirePort, do_nothing
from umberhitch.tasks.direct.admission import STALE_CONFIGURATION, Admission, Refusal
from umberhitch.tasks.direct.crash_guard import CrashGuard
from umberhitch.tasks.direct.endpoint_selector import EndpointSelector
from umberhitch.tasks.direct.presence import Presence
from umberhitch.tasks.direct.proxied_request import HELD
from umberhitch.tasks.direct.retry_after import (
    HONORED_SHARE,
    MIN_RETRY_AFTER_S,
    STARTING_RETRY_AFTER_S,
)
from umberhitch.tasks.direct.services import AdmittedRequest
from umberhitch.tasks.direct.store_view import StoreView

__all__ = ["Intake"]

MAX_PROOF_WAIT_S = 0.025
"""Maximum time that a router whose process was suspended waits for the store before it refuses
requests with API keys. The store answers within a few ms, and the wait is less than a quarter of
the shortest latency objective in use."""

OnCallerLeft = Callable[[], None]


class SendLocalReply(Protocol):
    """Sends a reply made by the router itself."""

    def __call__(
        self,
        reply: CallerReply,
        call_id: str | None,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        """Send the reply complete."""
        ...


@dataclass(frozen=True, slots=True)
class Intake:
    """Handles each request between its being read and its being proxied.

    Attributes
    ----------
    start_request : callable
        Starts proxying a request; its last argument tells whether the request is a probe. Returns
        the function to call if the caller disconnects.
    """

    clock: Clock
    wire: WirePort
    view: StoreView
    admission: Admission
    presence: Presence
    selector: EndpointSelector
    crash_guard: CrashGuard
    send_reply: SendLocalReply
    start_request: Callable[[AdmittedRequest, CallerReply, bool], OnCallerLeft]

    def handle(self, raw: RawRequest, reply: CallerReply) -> OnCallerLeft:
        """Start answering a request; return the function to call if the caller disconnects."""
        try:
            req = self.wire.read_request(raw)
        except BadAskError as exc:
            self.send_reply(reply, None, exc.status, str(exc), None)
            return do_nothing
        admitted = self._admit(req, raw.received_s)
        if self._awaits_store(admitted):
            return self._wait_for_proof(req, raw.received_s, reply)
        return self._start_or_refuse(req, admitted, reply)

    def _awaits_store(self, admitted: AdmittedRequest | Refusal) -> bool:
        """Whether an answer of the store, which should come at once, decides on a request."""
        if isinstance(admitted, Refusal):
            return admitted is STALE_CONFIGURATION and not self.view.operator_feed.is_failing
        return self.selector.awaits_directory(admitted)

    def _admit(self, req: CallerRequest, received_s: float) -> AdmittedRequest | Refusal:
        return self.admission.admit(req, received_s, self.presence.drain)

    def _wait_for_proof(
        self, req: CallerRequest, received_s: float, reply: CallerReply
    ) -> OnCallerLeft:
        """Wait briefly for the store's answer, since the process may have just been resumed."""
        on_caller_left = do_nothing

        def proceed() -> None:
            nonlocal on_caller_left
            on_caller_left = self._start_or_refuse(req, self._admit(req, received_s), reply)

        timer = self.clock.callLater(MAX_PROOF_WAIT_S, proceed)

        def on_disconnect() -> None:
            if timer.active():
                timer.cancel()
            else:
                on_caller_left()

        return on_disconnect

    def _start_or_refuse(
        self, req: CallerRequest, admitted: AdmittedRequest | Refusal, reply: CallerReply
    ) -> OnCallerLeft:
        """Start proxying a request, or refuse it."""
        if isinstance(admitted, Refusal):
            retry_after_s = self._retry_after_s(req) if admitted.status == 503 else None
            self.send_reply(reply, req.call_id, admitted.status, admitted.reason, retry_after_s)
            return do_nothing
        if self.crash_guard.is_held(admitted):
            return self._request_probe(admitted, reply)
        return self.start_request(admitted, reply, False)

    def _request_probe(self, admitted: AdmittedRequest, reply: CallerReply) -> OnCallerLeft:
        """Run a held request as a probe if that is allowed, otherwise refuse it."""
        req = admitted.request
        admitted.has_been_sent = True  # a probe that was granted does not wait for room
        on_caller_left = do_nothing
        has_disconnected = False

        def proceed(retry_after_s: float | None) -> None:
            nonlocal on_caller_left
            if has_disconnected:
                if retry_after_s is None:
                    self.crash_guard.record_probe_end(admitted)
            elif retry_after_s is None:
                on_caller_left = self.start_request(admitted, reply, True)
            else:
                self.send_reply(
                    reply, req.call_id, 503, HELD, max(MIN_RETRY_AFTER_S, retry_after_s)
                )

        def on_disconnect() -> None:
            nonlocal has_disconnected
            has_disconnected = True
            on_caller_left()

        candidate = self.selector.select_endpoint(
            admitted, self.selector.first_model(admitted), set()
        )
        if candidate is None:
            proceed(STARTING_RETRY_AFTER_S)
        else:
            lease_s = min(req.patience_s, admitted.route.timeout_s)
            self.crash_guard.request_probe(admitted, candidate.endpoint, lease_s, proceed)
        return on_disconnect

    def _retry_after_s(self, req: CallerRequest) -> float:
        """Return after how many seconds a request that is not admitted should be retried.

        A router that starts while the store is unreachable has no configuration until the store is
        back, which takes seconds, and callers retry only once or a few times. They are therefore
        given the longest retry time that they honor. With 0.5 s, 166 of the 174 requests that
        arrived in the 2 s in which 32 routers restarted without a store were refused twice, and
        were lost.
        """
        if self.presence.is_draining:
            return self.presence.retry_after_s()
        if not self.view.is_loaded and self.view.is_store_unavailable:
            return max(STARTING_RETRY_AFTER_S, HONORED_SHARE * req.patience_s)
        return STARTING_RETRY_AFTER_S
