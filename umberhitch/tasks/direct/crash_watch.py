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

BROKEN_S = 2.0
"""So long after its call broke, or was given up here, a request counts as under way when its
endpoint ends: the way to the end of a process through a proof by others takes some ms, by the
registry up to 1.5 s."""
LEAST_RUN_S = 0.002
"""A call that was sent less long before its endpoint ended is not blamed where an older one was
there: the way to it takes half of that. Where all endpoints end together, calls go from one to the
next in such times. Alone, it is blamed: an endpoint may end by the first byte it reads."""
ALIVE_S = 1.0
"""An endpoint that lives so long after the whole reply to a request is not ended by it: one that
goes on with a stream after another's crash may be done before it ends."""
MAX_ENDED = 512
"""Lifetimes that are remembered as ended; calls to them break within seconds."""


@dataclass(slots=True)
class _Broken:
    """A call that is over without a whole reply."""

    run: Run
    at_s: float
    was_left: bool
    """Whether it was given up here."""
    is_noted: bool = False
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
        self._broken: dict[str, list[_Broken]] = {}
        self._ended: OrderedDict[str, float] = OrderedDict()
        self._checked: set[str] = set()

    def answered(self, run: Run) -> None:
        """Take note that an endpoint has answered a call: it lived when that was sent."""
        lifetime = run.endpoint.lifetime
        self._ended.pop(lifetime, None)
        broken = self._broken.get(lifetime)
        if broken:
            self._keep(lifetime, [each for each in broken if each.at_s >= run.sent_s])

    def left(self, run: Run) -> None:
        """Take note that a call was given up here; its endpoint may end by it all the same."""
        self._add(_Broken(run, self._clock.seconds(), True))

    def ended_well(self, run: Run, on_alive: Callable[[], None]) -> None:
        """Call ``on_alive`` once the endpoint of a whole reply is seen to have outlived it."""
        self._add(_Broken(run, self._clock.seconds(), True))

        def take(found: ListenerStatus) -> None:
            if found is ListenerStatus.YES and run.endpoint.lifetime not in self._ended:
                on_alive()
            elif found is ListenerStatus.NO:
                self.ended(run.endpoint)

        address = run.endpoint.entry.address
        self._clock.callLater(ALIVE_S, self._endpoints.check, address, take)

    def broke(self, run: Run) -> None:
        """Take note that a call broke, and find out whether its endpoint ended."""
        broken = _Broken(run, self._clock.seconds(), False)
        if run.endpoint.lifetime in self._ended:
            self._blame(broken)
            return
        self._add(broken)
        self._check(run.endpoint)

    def _add(self, broken: _Broken) -> None:
        lifetime = broken.run.endpoint.lifetime
        others = self._broken.get(lifetime, [])
        oldest_s = broken.at_s - BROKEN_S
        self._keep(lifetime, [*(each for each in others if each.at_s > oldest_s), broken])

    def _keep(self, lifetime: str, broken: list[_Broken]) -> None:
        if broken:
            self._broken[lifetime] = broken
        else:
            self._broken.pop(lifetime, None)

    def _check(self, endpoint: Endpoint) -> None:
        if endpoint.lifetime in self._checked:
            return
        self._checked.add(endpoint.lifetime)
        self._endpoints.check(
            endpoint.entry.address, lambda found: self._on_checked(endpoint, found)
        )

    def _on_checked(self, endpoint: Endpoint, found: ListenerStatus) -> None:
        self._checked.discard(endpoint.lifetime)
        if found is not ListenerStatus.NO:
            self._note_version(endpoint.lifetime)
        if found is not ListenerStatus.YES:
            self.ended(endpoint)

    def _note_version(self, lifetime: str) -> None:
        """Count what broke for the version: its endpoint goes on, or cannot be reached."""
        for each in self._broken.get(lifetime, []):
            if not each.was_left and not each.is_noted:
                each.is_noted = True
                self._on_verdict(each.run, AnswerVerdict.BROKEN)

    def ended(self, endpoint: Endpoint) -> None:
        """Take note that a lifetime of an endpoint has ended."""
        lifetime = endpoint.lifetime
        if lifetime in self._ended:
            return
        self._ended[lifetime] = self._clock.seconds()
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        oldest_s = self._clock.seconds() - BROKEN_S
        broken = [each for each in self._broken.pop(lifetime, []) if each.at_s > oldest_s]
        if endpoint.is_draining or not broken:
            return
        self.crashes += 1
        log.info(
            "endpoint ended",
            extra={
                "endpoint": lifetime,
                "under_way": len(broken),
                "keys": [each.run.admitted.request_key for each in broken[:8]],
                "oldest_run_s": round(max(each.at_s - each.run.sent_s for each in broken), 3),
            },
        )
        self._note_crash_of_version(broken)
        has_older = any(_ran(each) for each in broken)
        for each in broken:
            if _ran(each) or not has_older:
                self._blame(each)

    def _note_crash_of_version(self, broken: list[_Broken]) -> None:
        """Count the end of an endpoint as one answer of its version, not as one for each call.

        Not even that where a request was under way beneath which others have ended: then it is
        that, and the version may be as good as any.
        """
        if any(self._record.is_suspect(each.run.admitted.request_key) for each in broken):
            return
        for each in broken:
            if not each.was_left and not each.is_noted:
                self._on_verdict(each.run, AnswerVerdict.BROKEN)
                return

    def _blame(self, broken: _Broken) -> None:
        run = broken.run
        crash = Crash(run.endpoint.lifetime, run.service_version, run.sent_s, broken.at_s)
        self._on_crash(run.admitted.request_key, crash)


def _ran(broken: _Broken) -> bool:
    """Whether a call can have begun before its endpoint ended."""
    return broken.at_s >= broken.run.sent_s + LEAST_RUN_S
