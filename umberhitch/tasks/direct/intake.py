"""Takes callers' requests: admits them, lets them wait a moment, refuses them, or begins them."""

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
"""A router that stood still waits so long for the store's word before it refuses requests with
keys: the store answers in some ms, and it is under a quarter of the shortest objective seen."""

OnCallerLeft = Callable[[], None]


class SendLocalReply(Protocol):
    """Sends an answer of the router's own."""

    def __call__(
        self,
        reply: CallerReply,
        call_id: str | None,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        """Send it whole."""
        ...


@dataclass(frozen=True, slots=True)
class Intake:
    """What stands between a request that was read and its exchange with endpoints.

    Attributes
    ----------
    begin : callable
        Begins an exchange, with whether it is a probe; returns what is to be called if the caller
        leaves.
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
        """Begin to answer a request; returns what is to be called if the caller leaves."""
        try:
            ask = self.wire.read_request(raw)
        except BadAskError as exc:
            self.send_reply(reply, None, exc.status, str(exc), None)
            return do_nothing
        permit = self._admit(ask, raw.received_s)
        if permit is STALE_CONFIGURATION and not self.view.operator_feed.is_failing:
            return self._wait_for_proof(ask, raw.received_s, reply)
        return self._go_on(ask, permit, reply)

    def _admit(self, ask: CallerRequest, received_s: float) -> AdmittedRequest | Refusal:
        return self.admission.admit(ask, received_s, not self.presence.is_drain_noticed)

    def _wait_for_proof(
        self, ask: CallerRequest, received_s: float, reply: CallerReply
    ) -> OnCallerLeft:
        """Wait a moment for the store's answer: the process stood still, and wakes."""
        leave = do_nothing

        def go_on() -> None:
            nonlocal leave
            leave = self._go_on(ask, self._admit(ask, received_s), reply)

        timer = self.clock.callLater(MAX_PROOF_WAIT_S, go_on)

        def on_left() -> None:
            if timer.active():
                timer.cancel()
            else:
                leave()

        return on_left

    def _go_on(
        self, ask: CallerRequest, permit: AdmittedRequest | Refusal, reply: CallerReply
    ) -> OnCallerLeft:
        """Pass a request on, or refuse it."""
        if isinstance(permit, Refusal):
            retry_s = self._come_back_s(ask) if permit.status == 503 else None
            self.send_reply(reply, ask.call_id, permit.status, permit.reason, retry_s)
            return do_nothing
        if self.crash_guard.is_held(permit):
            return self._ask_probe(permit, reply)
        return self.start_request(permit, reply, False)

    def _ask_probe(self, permit: AdmittedRequest, reply: CallerReply) -> OnCallerLeft:
        """Run a request that is held if that is allowed, else refuse it."""
        ask = permit.request
        leave = do_nothing
        has_left = False

        def go_on(retry_s: float | None) -> None:
            nonlocal leave
            if has_left:
                if retry_s is None:
                    self.crash_guard.sharing.probe_over(permit.request_key)
            elif retry_s is None:
                leave = self.start_request(permit, reply, True)
            else:
                self.send_reply(reply, ask.call_id, 503, HELD, max(MIN_RETRY_AFTER_S, retry_s))

        def on_left() -> None:
            nonlocal has_left
            has_left = True
            leave()

        chosen = self.selector.select_endpoint(permit, self.selector.first_model(permit), set())
        if chosen is None:
            go_on(STARTING_RETRY_AFTER_S)
        else:
            lease_s = min(ask.patience_s, permit.route.timeout_s)
            self.crash_guard.ask_probe(permit, chosen.endpoint, lease_s, go_on)
        return on_left

    def _come_back_s(self, ask: CallerRequest) -> float:
        """Return when a request that is not taken should come again.

        A router that starts while the store is away has nothing to serve by until that is back,
        which takes seconds, and callers come again once or a few times only: so they are told the
        longest time that they honour. With 0.5 s, 166 of 174 requests of the 2 s in which 32
        routers were restarted without a store were refused twice, and lost.
        """
        if self.presence.is_draining:
            return self.presence.retry_after_s()
        if not self.view.is_loaded and self.view.is_store_unavailable:
            return max(STARTING_RETRY_AFTER_S, HONORED_SHARE * ask.patience_s)
        return STARTING_RETRY_AFTER_S
