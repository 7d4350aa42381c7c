"""Stops requests that crash their endpoints from being sent over and over.

`crash_watch` detects the crashes. `core/direct/_crash_record` decides which causes are held and
when a probe of one is due. `crash_sharing` and `probing` coordinate the routers. Design notes 14
and 32 compare the alternatives.
"""

from collections.abc import Callable

from umberhitch.core.direct import AnswerVerdict, CrashLimits, CrashRecord, Endpoint, Hold
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import EndpointPort, ListenerStatus
from umberhitch.tasks.direct.crash_sharing import CrashSharing
from umberhitch.tasks.direct.crash_watch import CrashWatch
from umberhitch.tasks.direct.probing import Probing
from umberhitch.tasks.direct.services import AdmittedRequest, Run, service_version_of
from umberhitch.wire import CrashUpdate, ProbeReply, ProbeRequest

__all__ = ["CrashGuard"]

UNREACHABLE_RETRY_S = 1.0
"""Retry time that a caller receives if the endpoint of its probe can't be reached. By then another
endpoint is found; crashed endpoints are back after some seconds."""


class CrashGuard:
    """Records the runs of a router's requests and returns the holds on them.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
    endpoints : EndpointPort
    on_verdict : callable
        Called with a run whose reply broke off, and the verdict on its version.
    on_unreachable : callable
        Called with an endpoint that did not answer, and whether its process has exited.
    limits : CrashLimits
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        endpoints: EndpointPort,
        on_verdict: Callable[[Run, AnswerVerdict], None],
        on_unreachable: Callable[[Endpoint, bool], None],
        limits: CrashLimits | None = None,
    ) -> None:
        self.record = CrashRecord(limits)
        self.sharing = CrashSharing(name, clock, self.record)
        self.probing = Probing(name, clock, self.sharing)
        self.watch = CrashWatch(
            clock,
            endpoints,
            self.record,
            self.sharing.record_crashes,
            on_verdict,
        )
        self._clock = clock
        self._endpoints = endpoints
        self._on_unreachable = on_unreachable
        self._running: dict[int, Run] = {}
        """Runs by their identity."""
        self._checked_keys: set[str] = set()
        """Causes of completed runs whose endpoints are being checked."""
        self.sharing.on_held = self._on_held

    # Requests

    def _held_cause(
        self, admitted: AdmittedRequest, service_version: str = ""
    ) -> tuple[str, Hold] | None:
        """Return the cause of a request whose next probe is due last, if any of them is held."""
        held = self.record.held_keys()
        if not held:
            return None
        now_s = self._clock.seconds()
        holds = [
            (key, hold)
            for key in admitted.cause_keys
            if key in held and (hold := self.record.hold(key, now_s, service_version)) is not None
        ]
        return max(holds, key=lambda item: item[1].until_s, default=None)

    def hold(self, admitted: AdmittedRequest) -> Hold | None:
        """Return the hold of a request, or None if the request isn't held."""
        found = self._held_cause(admitted)
        return None if found is None else found[1]

    def is_held(self, admitted: AdmittedRequest) -> bool:
        """Whether a request may run only as a probe."""
        return not self.record.held_keys().isdisjoint(admitted.cause_keys)

    def retry_after_s(self, admitted: AdmittedRequest) -> float:
        """Return the seconds after which a held request may be retried, 0 if it isn't held."""
        hold = self.hold(admitted)
        return 0.0 if hold is None else max(0.0, hold.until_s - self._clock.seconds())

    def request_probe(
        self,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        lease_s: float,
        on_decision: Callable[[float | None], None],
    ) -> None:
        """Request a probe of a held request; see `Probing.request_probe`.

        The endpoint's listener is checked first, so that none of the few probes is spent on an
        endpoint that can't be reached.
        """
        found = self._held_cause(admitted, service_version_of(endpoint))
        if found is None:
            on_decision(None)
            return
        key, hold = found
        remaining_s = hold.until_s - self._clock.seconds()
        if remaining_s > 0.0:
            on_decision(remaining_s)
            return
        admitted.probed_key = key

        def on_status(status: ListenerStatus) -> None:
            if status is ListenerStatus.YES:
                self.probing.request_probe(key, service_version_of(endpoint), lease_s, on_decision)
            else:
                self._on_unreachable(endpoint, status is ListenerStatus.NO)
                on_decision(UNREACHABLE_RETRY_S)

        self._endpoints.check(endpoint.entry.address, on_status)

    # Calls

    def start_run(self, admitted: AdmittedRequest, endpoint: Endpoint, is_probe: bool) -> Run:
        """Record that a call is sent."""
        run = Run(admitted, endpoint, self._clock.seconds(), is_probe)
        self._running[id(run)] = run
        return run

    def _remove_run(self, run: Run) -> None:
        del self._running[id(run)]

    def record_head(self, run: Run) -> None:
        """Record the head of a call's reply."""
        run.head_s = self._clock.seconds()
        self.watch.record_head(run)
        for key in self.record.held_keys().intersection(run.admitted.cause_keys):
            self._release_if_survived(run, key)

    def _on_held(self, key: str) -> None:
        for run in [*self._running.values()]:
            if run.head_s is not None and key in run.admitted.cause_keys:
                self._release_if_survived(run, key)

    def _release_if_survived(self, run: Run, key: str) -> None:
        """Release a cause once one of its runs has lasted for the survival time."""
        assert run.head_s is not None
        remaining_s = run.head_s + self.record.survival_s(key) - self._clock.seconds()

        def on_timeout() -> None:
            if id(run) in self._running and self.record.is_held(key):
                self.sharing.record_run_ends([key], self._clock.seconds())

        self._clock.callLater(max(0.0, remaining_s), on_timeout)

    def record_completed(self, run: Run) -> None:
        """Record a complete reply; its endpoint is checked later for causes that are unproven."""
        self._remove_run(run)
        now_s = self._clock.seconds()
        keys = run.admitted.cause_keys
        unproven = [key for key in keys if self.record.is_unproven(key)]
        self.sharing.record_run_ends([key for key in keys if key not in unproven], now_s)
        checked = [key for key in unproven if self._needs_check(key)]
        if not checked:
            return
        self._checked_keys.update(checked)

        def on_result(is_alive: bool) -> None:
            self._checked_keys.difference_update(checked)
            if is_alive:
                self.sharing.record_run_ends(checked, now_s)

        self.watch.watch_completed(run, on_result)

    def _needs_check(self, key: str) -> bool:
        """Whether this run is to prove a cause; one run at a time is enough for a new part."""
        return self.record.is_suspect(key) or key not in self._checked_keys

    def record_failed(self, run: Run) -> None:
        """Record a complete reply that is the endpoint's own failure.

        It may have failed before it began to answer, so that nothing follows about a crash.
        """
        self._remove_run(run)
        self._record_no_result(run)

    def record_not_run(self, run: Run) -> None:
        """Record that the endpoint has not run the call."""
        self._remove_run(run)
        self._record_no_result(run)

    def record_cancelled(self, run: Run) -> None:
        """Record that this router cancelled the call."""
        self._remove_run(run)
        self.watch.record_cancelled(run)
        self._record_no_result(run)

    def record_broken(self, run: Run) -> None:
        """Record that the call broke or timed out."""
        self._remove_run(run)
        self.watch.record_broken(run)

    def record_not_sent(self, run: Run) -> None:
        """Record that no connection was made for the call."""
        self._remove_run(run)

    def _record_no_result(self, run: Run) -> None:
        if run.is_probe:
            self.record_probe_end(run.admitted)

    def record_probe_end(self, admitted: AdmittedRequest) -> None:
        """Record that a probe has ended without a result, or wasn't sent."""
        if admitted.probed_key is not None:
            self.sharing.record_probe_end(admitted.probed_key)

    # Peers

    def receive(self, sender: str, message: CrashUpdate | ProbeRequest | ProbeReply) -> None:
        """Handle what another router sent."""
        match message:
            case CrashUpdate():
                self.sharing.receive(message)
            case ProbeRequest():
                self.probing.handle_request(sender, message)
            case ProbeReply():
                self.probing.handle_reply(message)
