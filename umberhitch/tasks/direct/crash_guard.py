"""Keeps requests that end the endpoints that run them from being run on and on.

Design note 14 weighs the ways. What is seen here: `crash_watch`. What follows, and when a request
is run again: `core/direct/_crash_record`. How all routers come to know it: `crash_sharing`,
`probing`.
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
"""Time to come back that is named where the endpoint of a probe is not there: others are found
meanwhile, or those that ended are back after some seconds."""


class CrashGuard:
    """What a router's requests need of it: runs in, holds out.

    Parameters
    ----------
    name : str
        Of this router.
    clock : Clock
    endpoints : EndpointPort
    on_verdict : callable
        Called with a run that broke off, and what that says of its version.
    on_unreachable : callable
        Called with an endpoint that did not answer, and whether its process has ended.
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

    def hold(self, permit: AdmittedRequest) -> Hold | None:
        """Return why a request is held, or None."""
        return self.record.hold(permit.request_key, self._clock.seconds())

    def is_held(self, permit: AdmittedRequest) -> bool:
        """Whether a request is run by probes only."""
        return self.record.is_held(permit.request_key)

    def retry_after_s(self, permit: AdmittedRequest) -> float:
        """Return when a request that is held may come again."""
        hold = self.hold(permit)
        return 0.0 if hold is None else max(0.0, hold.until_s - self._clock.seconds())

    def request_probe(
        self,
        permit: AdmittedRequest,
        endpoint: Endpoint,
        lease_s: float,
        on_decision: Callable[[float | None], None],
    ) -> None:
        """Ask to run a request that is held; see `Probing.ask`.

        It is seen first that the endpoint is there: a probe that reaches nobody is one of few.
        """
        now_s = self._clock.seconds()
        hold = self.record.hold(permit.request_key, now_s, service_version_of(endpoint))
        if hold is not None and hold.until_s > now_s:
            on_decision(hold.until_s - now_s)
            return

        def take(found: ListenerStatus) -> None:
            if found is ListenerStatus.YES:
                self.probing.request_probe(
                    permit.request_key, service_version_of(endpoint), lease_s, on_decision
                )
            else:
                self._on_unreachable(endpoint, found is ListenerStatus.NO)
                on_decision(UNREACHABLE_RETRY_S)

        self._endpoints.check(endpoint.entry.address, take)

    # Calls

    def start_run(self, permit: AdmittedRequest, endpoint: Endpoint, is_probe: bool) -> Run:
        """Take note that a call is sent."""
        run = Run(permit, endpoint, self._clock.seconds(), is_probe)
        self._running.setdefault(permit.request_key, []).append(run)
        return run

    def _remove_run(self, run: Run) -> None:
        runs = self._running[run.admitted.request_key]
        runs.remove(run)
        if not runs:
            del self._running[run.admitted.request_key]

    def _is_running(self, run: Run) -> bool:
        return any(each is run for each in self._running.get(run.admitted.request_key, ()))

    def record_head(self, run: Run) -> None:
        """Take note that a call has the head of its reply."""
        run.head_s = self._clock.seconds()
        self.watch.record_head(run)
        if self.record.is_held(run.admitted.request_key):
            self._release_if_survived(run)

    def _on_held(self, key: str) -> None:
        for run in self._running.get(key, ()):
            if run.head_s is not None:
                self._release_if_survived(run)

    def _release_if_survived(self, run: Run) -> None:
        """Free a request once a run of it has gone on for long enough."""
        assert run.head_s is not None
        key = run.admitted.request_key
        left_s = run.head_s + self.record.survival_s(key) - self._clock.seconds()

        def look() -> None:
            if self._is_running(run) and self.record.is_held(key):
                self.sharing.record_run_end(key, self._clock.seconds())

        self._clock.callLater(max(0.0, left_s), look)

    def record_completed(self, run: Run) -> None:
        """Take note that a call has its whole reply: its endpoint lives after it."""
        self._remove_run(run)
        key, now_s = run.admitted.request_key, self._clock.seconds()
        if self.record.is_suspect(key):
            self.watch.watch_completed(run, lambda: self.sharing.record_run_end(key, now_s))
        else:
            self.sharing.record_run_end(key, now_s)

    def record_not_run(self, run: Run) -> None:
        """Take note that the endpoint has not run it."""
        self._remove_run(run)
        self._record_no_result(run)

    def record_cancelled(self, run: Run) -> None:
        """Take note that the call was given up here."""
        self._remove_run(run)
        self.watch.record_cancelled(run)
        self._record_no_result(run)

    def record_broken(self, run: Run) -> None:
        """Take note that the call broke, or was silent for too long."""
        self._remove_run(run)
        self.watch.record_broken(run)

    def record_not_sent(self, run: Run) -> None:
        """Take note that there was no connection for it."""
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
