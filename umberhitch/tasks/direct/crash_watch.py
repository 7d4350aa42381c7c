"""Detects crashes of endpoints, and the possible causes that were running there.

A broken call shows only that its connection was lost. So the endpoint's listener is checked at
once, without a request. If nothing listens, the process has exited, and every call that broke there
was running when the process did. If the endpoint still listens, it broke off a reply, which counts
against its version. If the check gets no answer, the endpoint is assumed to have crashed; a request
that did not cause this is released by its next run.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from umberhitch.core.direct import (
    AnswerVerdict,
    Crash,
    CrashRecord,
    Endpoint,
    customer_of_key,
    is_part_of_all,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import EndpointPort, ListenerStatus
from umberhitch.tasks.direct.services import Run

__all__ = ["CrashWatch"]

log = getLogger(__name__)

FINISHED_CALL_KEPT_S = 2.0
"""Seconds after its call broke or was cancelled for which a request counts as running on its
endpoint. An exit is known within some milliseconds if a listener check detects it, and within 1.5 s
if the registry reports it."""
MIN_RUN_S = 0.002
"""Minimum time in seconds from the start of a call to the crash for the crash to count against its
request, if an older call was running too. The way to the endpoint takes half of this time, and
where all endpoints crash together, calls are retried from one to the next at such intervals. A
crash counts against a call that was alone, since the first byte read may crash an endpoint."""
SURVIVAL_CHECK_S = 1.0
"""Seconds after a complete reply at which the endpoint must still be alive for the run to count as
completed. An endpoint that resumes a stream after another one's crash may complete the reply before
it crashes too."""
MAX_LOGGED_CALLS = 8
"""Maximum number of calls that the line on a crash names."""
MAX_EXITED_LIFETIMES = 512
"""Maximum number of exited lifetimes that are remembered; calls to them break within seconds."""


@dataclass(slots=True)
class _FinishedCall:
    """A call that has finished, whose endpoint may still turn out to have crashed under it."""

    run: Run
    finished_s: float
    is_exempt: bool
    """Whether the call doesn't count against the version: cancelled here, or reply complete."""
    is_counted: bool = False
    """Whether the call has been counted against the version."""


class CrashWatch:
    """The calls that finished lately, by the lifetime of their endpoint.

    Parameters
    ----------
    clock : Clock
    endpoints : EndpointPort
    record : CrashRecord
    on_crash : callable
        Called with the crashes that count against possible causes, by their keys.
    on_verdict : callable
        Called with a run whose reply broke off, and the verdict on its version.

    Attributes
    ----------
    crashes : int
        Number of endpoints that crashed with calls running, since the start.
    """

    def __init__(
        self,
        clock: Clock,
        endpoints: EndpointPort,
        record: CrashRecord,
        on_crash: Callable[[dict[str, Crash]], None],
        on_verdict: Callable[[Run, AnswerVerdict], None],
    ) -> None:
        self.crashes = 0
        self._clock = clock
        self._endpoints = endpoints
        self._record = record
        self._on_crash = on_crash
        self._on_verdict = on_verdict
        self._finished: dict[str, list[_FinishedCall]] = {}
        self._exited: OrderedDict[str, float] = OrderedDict()
        self._checking: set[str] = set()

    def record_head(self, run: Run) -> None:
        """Record that an endpoint answered a call, so that it was alive when the call was sent."""
        lifetime = run.endpoint.lifetime
        self._exited.pop(lifetime, None)
        calls = self._finished.get(lifetime)
        if calls:
            self._set_finished(lifetime, [call for call in calls if call.finished_s >= run.sent_s])

    def record_cancelled(self, run: Run) -> None:
        """Record that this router cancelled a call, which may still crash its endpoint."""
        self._add(_FinishedCall(run, self._clock.seconds(), True))

    def watch_completed(self, run: Run, on_result: Callable[[bool], None]) -> None:
        """Tell whether the endpoint is still alive some time after its complete reply."""
        self._add(_FinishedCall(run, self._clock.seconds(), True))

        def on_status(found: ListenerStatus) -> None:
            if found is ListenerStatus.NO:
                self.record_exit(run.endpoint)
            lifetime = run.endpoint.lifetime
            on_result(found is ListenerStatus.YES and lifetime not in self._exited)

        address = run.endpoint.entry.address
        self._clock.callLater(SURVIVAL_CHECK_S, self._endpoints.check, address, on_status)

    def record_broken(self, run: Run) -> None:
        """Record that a call broke, and check whether its endpoint has crashed."""
        call = _FinishedCall(run, self._clock.seconds(), False)
        if run.endpoint.lifetime in self._exited:
            self._report_crash([call])
            return
        self._add(call)
        self._check_listener(run.endpoint)

    def _add(self, call: _FinishedCall) -> None:
        lifetime = call.run.endpoint.lifetime
        others = self._finished.get(lifetime, [])
        oldest_s = call.finished_s - FINISHED_CALL_KEPT_S
        self._set_finished(
            lifetime, [*(other for other in others if other.finished_s > oldest_s), call]
        )

    def _set_finished(self, lifetime: str, calls: list[_FinishedCall]) -> None:
        if calls:
            self._finished[lifetime] = calls
        else:
            self._finished.pop(lifetime, None)

    def _check_listener(self, endpoint: Endpoint) -> None:
        if endpoint.lifetime in self._checking:
            return
        self._checking.add(endpoint.lifetime)
        self._endpoints.check(
            endpoint.entry.address, lambda found: self._on_listener_status(endpoint, found)
        )

    def _on_listener_status(self, endpoint: Endpoint, found: ListenerStatus) -> None:
        self._checking.discard(endpoint.lifetime)
        if found is not ListenerStatus.NO:
            self._count_against_version(endpoint.lifetime)
        if found is not ListenerStatus.YES:
            self.record_exit(endpoint)

    def _count_against_version(self, lifetime: str) -> None:
        """Count broken calls against the version, as the endpoint is alive or can't be reached."""
        for call in self._finished.get(lifetime, []):
            if not call.is_exempt and not call.is_counted:
                call.is_counted = True
                self._on_verdict(call.run, AnswerVerdict.BROKEN)

    def record_exit(self, endpoint: Endpoint) -> None:
        """Record that the process of an endpoint has exited."""
        lifetime = endpoint.lifetime
        if lifetime in self._exited:
            return
        self._exited[lifetime] = self._clock.seconds()
        if len(self._exited) > MAX_EXITED_LIFETIMES:
            self._exited.popitem(last=False)
        oldest_s = self._clock.seconds() - FINISHED_CALL_KEPT_S
        calls = [call for call in self._finished.pop(lifetime, []) if call.finished_s > oldest_s]
        if endpoint.is_draining or not calls:
            return
        self.crashes += 1
        log.info(
            "endpoint ended",
            extra={
                "endpoint": lifetime,
                "under_way": len(calls),
                "oldest_run_s": round(max(call.finished_s - call.run.sent_s for call in calls), 3),
                "calls": [_log_row(call) for call in calls[:MAX_LOGGED_CALLS]],
            },
        )
        self._count_crash_against_version(calls)
        older = [call for call in calls if _may_have_run(call)]
        self._report_crash(older or calls)

    def _count_crash_against_version(self, calls: list[_FinishedCall]) -> None:
        """Count a crash as one broken answer of the version, not as one for each call.

        The crash isn't counted if a request with a likely cause was running: then the request
        probably crashed the endpoint, and the version may be good.
        """
        keys = {key for call in calls for key in call.run.admitted.cause_keys}
        if any(self._record.is_likely(key) for key in keys):
            return
        for call in calls:
            if not call.is_exempt and not call.is_counted:
                self._on_verdict(call.run, AnswerVerdict.BROKEN)
                return

    def _report_crash(self, calls: list[_FinishedCall]) -> None:
        """Report the crash of an endpoint for each possible cause, by the run that began last."""
        crashes: dict[str, Crash] = {}
        for call in sorted(calls, key=lambda each: each.run.sent_s):
            run = call.run
            keys = run.admitted.cause_keys
            customer = customer_of_key(keys[0])
            for key in keys:
                crashes[key] = Crash(
                    run.endpoint.lifetime,
                    run.service_version,
                    run.sent_s,
                    call.finished_s,
                    customer if is_part_of_all(key) else "",
                )
        self._on_crash(crashes)


def _may_have_run(call: _FinishedCall) -> bool:
    """Whether the endpoint may have started the call before the crash."""
    return call.finished_s >= call.run.sent_s + MIN_RUN_S


def _log_row(call: _FinishedCall) -> dict[str, object]:
    """Return what the line on a crash tells of a call: what it shares with others, and its ages."""
    run = call.run
    answered_s = None if run.head_s is None else round(call.finished_s - run.head_s, 3)
    return {
        "key": run.admitted.request_key,
        "parts": [part.part_id for part in run.admitted.request.prompt[:-1]],
        "run_s": round(call.finished_s - run.sent_s, 3),
        "answered_s": answered_s,
    }
