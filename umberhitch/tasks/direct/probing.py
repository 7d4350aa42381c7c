"""Lets probes of requests that are held through, one at a time for all routers.

One router decides for each request, by rendezvous hash over those that are known; the others ask
it. Where it does not answer, the request is refused: it may not be run more often than is known to
be right, and its caller comes again. Routers that see different peers may ask different ones: then
there are as many probes at once as there are such views, until each has heard of the other's.
"""

from collections.abc import Callable
from dataclasses import dataclass

from umberhitch.ports.clock import Clock, Timer
from umberhitch.tasks.direct.crash_sharing import CrashSharing
from umberhitch.wire import ProbeReply, ProbeRequest

__all__ = ["Probing"]

REPLY_TIMEOUT_S = 0.15
"""Longest wait for the router that decides. One in the same region answers within some ms, one in
another region within 0.1 s."""
NO_REPLY_RETRY_S = 1.0
"""Time to come back that is named where it did not answer: it may be one that has just ended, and
others take its place within some seconds."""

OnDecision = Callable[[float | None], None]


@dataclass(slots=True)
class _PendingProbe:
    on_decision: OnDecision
    timer: Timer


class Probing:
    """Asks for probes, and decides on those that others ask for.

    Parameters
    ----------
    name : str
        Of this router.
    clock : Clock
    sharing : CrashSharing
    """

    def __init__(self, name: str, clock: Clock, sharing: CrashSharing) -> None:
        self._name = name
        self._clock = clock
        self._sharing = sharing
        self._pending: dict[int, _PendingProbe] = {}
        self._last_request_id = 0

    def request_probe(
        self, key: str, service_version: str, lease_s: float, on_decision: OnDecision
    ) -> None:
        """Ask to run a request that is held.

        Parameters
        ----------
        key : str
        service_version : str
            Service and version that would run it.
        lease_s : float
            How long the run lasts at most.
        on_decision : callable
            Called with None where it may be run, else with the time to come back, perhaps at once.
        """
        arbiter = self._sharing.arbiter(key)
        if arbiter == self._name:
            on_decision(self._decide(key, service_version, lease_s))
            return
        self._last_request_id += 1
        number = self._last_request_id
        timer = self._clock.callLater(REPLY_TIMEOUT_S, self._finish, number, NO_REPLY_RETRY_S)
        self._pending[number] = _PendingProbe(on_decision, timer)
        for news in self._sharing.news_of(key):
            self._sharing.send(arbiter, news)  # it may not have heard of it
        self._sharing.send(arbiter, ProbeRequest(number, key, service_version, lease_s))

    def _decide(self, key: str, service_version: str, lease_s: float) -> float | None:
        now_s = self._clock.seconds()
        hold = self._sharing.record.hold(key, now_s, service_version)
        if hold is None:
            return None
        if hold.until_s > now_s:
            return hold.until_s - now_s
        self._sharing.probed(key, service_version, hold.probes + 1, lease_s)
        return None

    def handle_request(self, sender: str, message: ProbeRequest) -> None:
        """Decide on a probe that another router asks for."""
        retry_s = self._decide(message.key, message.service_version, message.lease_s)
        self._sharing.send(sender, ProbeReply(message.request_id, retry_s is None, retry_s or 0.0))

    def handle_reply(self, message: ProbeReply) -> None:
        """Take the answer to an ask of this router."""
        self._finish(message.request_id, None if message.is_granted else message.retry_after_s)

    def _finish(self, number: int, retry_s: float | None) -> None:
        asked = self._pending.pop(number, None)
        if asked is None:
            return
        if asked.timer.active():
            asked.timer.cancel()
        asked.on_decision(retry_s)
