"""Stops requests that crash their endpoints from being resent over and over.

`crash_watch` detects the crashes. `core/direct/_crash_record` decides which requests are held and
when a probe of one is due. `crash_sharing` and `probing` coordinate the routers. Design note 14
compares the alternatives.
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
            clock, endpoints, self.record, self.sharing.record_crash, on_verdict
        )
        self._clock = clock
        self._endpoints = endpoints
        self._on_unreachable = on_unreachable
        self._running: dict[str, list[Run]] = {}
        self.sharing.on_held = self._on_held

    # Requests

    def hold(self, admitted: AdmittedRequest) -> Hold | None:
        """Return the hold of a request, or None if the request isn't held."""
        return self.record.hold(admitted.request_key, self._clock.seconds())

    def is_held(self, admitted: AdmittedRequest) -> bool:
        """Whether a request may run only as a probe."""
        return self.record.is_held(admitted.request_key)

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
        now_s = self._clock.seconds()
        hold = self.record.hold(admitted.request_key, now_s, service_version_of(endpoint))
        if hold is not None and hold.until_s > now_s:
            on_decision(hold.until_s - now_s)
            return

        def on_status(found: ListenerStatus) -> None:
            if found is ListenerStatus.YES:
                self.probing.request_probe(
                    admitted.request_key, service_version_of(endpoint), lease_s, on_decision
                )
            else:
                self._on_unreachable(endpoint, found is ListenerStatus.NO)
                on_decision(UNREACHABLE_RETRY_S)

        self._endpoints.check(endpoint.entry.address, on_status)

    # Calls

    def start_run(self, admitted: AdmittedRequest, endpoint: Endpoint, is_probe: bool) -> Run:
        """Record that a call is sent."""
        run = Run(admitted, endpoint, self._clock.seconds(), is_probe)
        self._running.setdefault(admitted.request_key, []).append(run)
        return run

    def _remove_run(self, run: Run) -> None:
        runs = self._running[run.admitted.request_key]
        runs.remove(run)
        if not runs:
            del self._running[run.admitted.request_key]

    def _is_running(self, run: Run) -> bool:
        return any(other is run for other in self._running.get(run.admitted.request_key, ()))

    def record_head(self, run: Run) -> None:
        """Record the head of a call's reply."""
        run.head_s = self._clock.seconds()
        self.watch.record_head(run)
        if self.record.is_held(run.admitted.request_key):
            self._release_if_survived(run)

    def _on_held(self, key: str) -> None:
        for run in self._running.get(key, ()):
            if run.head_s is not None:
                self._release_if_survived(run)

    def _release_if_survived(self, run: Run) -> None:
        """Release a request once one of its runs has lasted for the survival time."""
        assert run.head_s is not None
        key = run.admitted.request_key
        remaining_s = run.head_s + self.record.survival_s(key) - self._clock.seconds()

        def on_timeout() -> None:
            if self._is_running(run) and self.record.is_held(key):
                self.sharing.record_run_end(key, self._clock.seconds())

        self._clock.callLater(max(0.0, remaining_s), on_timeout)

    def record_completed(self, run: Run) -> None:
        """Record a complete reply; for a suspect request, its endpoint is checked later."""
        self._remove_run(run)
        key, now_s = run.admitted.request_key, self._clock.seconds()
        if self.record.is_suspect(key):
            self.watch.watch_completed(run, lambda: self.sharing.record_run_end(key, now_s))
        else:
            self.sharing.record_run_end(key, now_s)

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
            self.sharing.record_probe_end(run.admitted.request_key)

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
