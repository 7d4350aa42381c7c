"""Sees when an endpoint ends while requests are under way there, and which ones.

A call that breaks says only that its connection ended. So the endpoint is tried once more at once,
without a request: where nothing listens any more its process has ended, and every call that broke
there was under way when it did. Where it still listens, it broke off a reply, which speaks against
its version. Where nothing answers, it is taken for ended; a request that had no part in it is freed
by its next run.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from umberhitch.core.direct import AnswerVerdict, Crash, CrashRecord, Endpoint
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import EndpointPort, ListenerStatus
from umberhitch.tasks.direct.services import Run

__all__ = ["CrashWatch"]

log = getLogger(__name__)

FINISHED_CALL_KEPT_S = 2.0
"""So long after its call broke, or was given up here, a request counts as under way when its
endpoint ends: the way to the end of a process through a proof by others takes some ms, by the
registry up to 1.5 s."""
MIN_RUN_S = 0.002
"""A call that was sent less long before its endpoint ended is not blamed where an older one was
there: the way to it takes half of that. Where all endpoints end together, calls go from one to the
next in such times. Alone, it is blamed: an endpoint may end by the first byte it reads."""
SURVIVAL_CHECK_S = 1.0
"""An endpoint that lives so long after the whole reply to a request is not ended by it: one that
goes on with a stream after another's crash may be done before it ends."""
MAX_EXITED_LIFETIMES = 512
"""Lifetimes that are remembered as ended; calls to them break within seconds."""


@dataclass(slots=True)
class _FinishedCall:
    """A call that is over without a whole reply."""

    run: Run
    finished_s: float
    is_exempt: bool
    """Whether it was given up here."""
    is_counted: bool = False
    """Whether it was counted for the version."""


class CrashWatch:
    """Owns the calls that broke lately, by the lifetime of their endpoint.

    Parameters
    ----------
    clock : Clock
    endpoints : EndpointPort
    record : CrashRecord
    on_crash : callable
        Called with a request's key and the crash under it.
    on_verdict : callable
        Called with a run that broke off, and what that says of its version.

    Attributes
    ----------
    crashes : int
        Endpoints that ended with calls under way, since the start.
    """

    def __init__(
        self,
        clock: Clock,
        endpoints: EndpointPort,
        record: CrashRecord,
        on_crash: Callable[[str, Crash], None],
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
        """Take note that an endpoint has answered a call: it lived when that was sent."""
        lifetime = run.endpoint.lifetime
        self._exited.pop(lifetime, None)
        broken = self._finished.get(lifetime)
        if broken:
            self._set_finished(lifetime, [each for each in broken if each.finished_s >= run.sent_s])

    def record_cancelled(self, run: Run) -> None:
        """Take note that a call was given up here; its endpoint may end by it all the same."""
        self._add(_FinishedCall(run, self._clock.seconds(), True))

    def watch_completed(self, run: Run, on_alive: Callable[[], None]) -> None:
        """Call ``on_alive`` once the endpoint of a whole reply is seen to have outlived it."""
        self._add(_FinishedCall(run, self._clock.seconds(), True))

        def take(found: ListenerStatus) -> None:
            if found is ListenerStatus.YES and run.endpoint.lifetime not in self._exited:
                on_alive()
            elif found is ListenerStatus.NO:
                self.record_exit(run.endpoint)

        address = run.endpoint.entry.address
        self._clock.callLater(SURVIVAL_CHECK_S, self._endpoints.check, address, take)

    def record_broken(self, run: Run) -> None:
        """Take note that a call broke, and find out whether its endpoint ended."""
        broken = _FinishedCall(run, self._clock.seconds(), False)
        if run.endpoint.lifetime in self._exited:
            self._report_crash(broken)
            return
        self._add(broken)
        self._check_listener(run.endpoint)

    def _add(self, broken: _FinishedCall) -> None:
        lifetime = broken.run.endpoint.lifetime
        others = self._finished.get(lifetime, [])
        oldest_s = broken.finished_s - FINISHED_CALL_KEPT_S
        self._set_finished(
            lifetime, [*(each for each in others if each.finished_s > oldest_s), broken]
        )

    def _set_finished(self, lifetime: str, broken: list[_FinishedCall]) -> None:
        if broken:
            self._finished[lifetime] = broken
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
        """Count what broke for the version: its endpoint goes on, or cannot be reached."""
        for each in self._finished.get(lifetime, []):
            if not each.is_exempt and not each.is_counted:
                each.is_counted = True
                self._on_verdict(each.run, AnswerVerdict.BROKEN)

    def record_exit(self, endpoint: Endpoint) -> None:
        """Take note that a lifetime of an endpoint has ended."""
        lifetime = endpoint.lifetime
        if lifetime in self._exited:
            return
        self._exited[lifetime] = self._clock.seconds()
        if len(self._exited) > MAX_EXITED_LIFETIMES:
            self._exited.popitem(last=False)
        oldest_s = self._clock.seconds() - FINISHED_CALL_KEPT_S
        broken = [each for each in self._finished.pop(lifetime, []) if each.finished_s > oldest_s]
        if endpoint.is_draining or not broken:
            return
        self.crashes += 1
        log.info(
            "endpoint ended",
            extra={
                "endpoint": lifetime,
                "under_way": len(broken),
                "keys": [each.run.admitted.request_key for each in broken[:8]],
                "oldest_run_s": round(max(each.finished_s - each.run.sent_s for each in broken), 3),
            },
        )
        self._count_crash_against_version(broken)
        has_older = any(_may_have_run(each) for each in broken)
        for each in broken:
            if _may_have_run(each) or not has_older:
                self._report_crash(each)

    def _count_crash_against_version(self, broken: list[_FinishedCall]) -> None:
        """Count the end of an endpoint as one answer of its version, not as one for each call.

        Not even that where a request was under way beneath which others have ended: then it is
        that, and the version may be as good as any.
        """
        if any(self._record.is_suspect(each.run.admitted.request_key) for each in broken):
            return
        for each in broken:
            if not each.is_exempt and not each.is_counted:
                self._on_verdict(each.run, AnswerVerdict.BROKEN)
                return

    def _report_crash(self, broken: _FinishedCall) -> None:
        run = broken.run
        crash = Crash(run.endpoint.lifetime, run.service_version, run.sent_s, broken.finished_s)
        self._on_crash(run.admitted.request_key, crash)


def _may_have_run(broken: _FinishedCall) -> bool:
    """Whether a call can have begun before its endpoint ended."""
    return broken.finished_s >= broken.run.sent_s + MIN_RUN_S
