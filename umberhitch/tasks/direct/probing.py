"""Permits probes of held requests, one at a time for all routers.

For each request one router decides, the arbiter, chosen by rendezvous hash over the known routers;
the others send it their requests. If it does not answer, the probe is refused: the request must not
be run more often than is known to be safe, and its caller retries. Routers with different lists of
peers may choose different arbiters: there are then as many probes at once as there are such lists,
until each arbiter has received the other's updates.
"""

from collections.abc import Callable
from dataclasses import dataclass

from umberhitch.ports.clock import Clock, Timer
from umberhitch.tasks.direct.crash_sharing import CrashSharing
from umberhitch.wire import ProbeReply, ProbeRequest

__all__ = ["Probing"]

REPLY_TIMEOUT_S = 0.15
"""Maximum wait for the arbiter. An arbiter in the same region answers within some milliseconds, one
in another region within 0.1 s."""
NO_REPLY_RETRY_S = 1.0
"""Retry time for the caller if the arbiter did not answer: its process may have just ended, and
another router takes over within some seconds."""

OnDecision = Callable[[float | None], None]


@dataclass(slots=True)
class _PendingProbe:
    on_decision: OnDecision
    timer: Timer


class Probing:
    """Requests probes, and decides on the probe requests of other routers.

    Parameters
    ----------
    name : str
        Name of this router.
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
        """Request permission to run a held request.

        Parameters
        ----------
        key : str
        service_version : str
            Service and version that would run the request.
        lease_s : float
            Maximum duration of the run.
        on_decision : callable
            Called with None if the request may run, else with the time until a retry, possibly 0.
        """
        arbiter = self._sharing.arbiter(key)
        if arbiter == self._name:
            on_decision(self._decide(key, service_version, lease_s))
            return
        self._last_request_id += 1
        request_id = self._last_request_id
        timer = self._clock.callLater(REPLY_TIMEOUT_S, self._finish, request_id, NO_REPLY_RETRY_S)
        self._pending[request_id] = _PendingProbe(on_decision, timer)
        for update in self._sharing.updates_for(key):
            self._sharing.send(arbiter, update)  # the arbiter may not have received it
        self._sharing.send(arbiter, ProbeRequest(request_id, key, service_version, lease_s))

    def _decide(self, key: str, service_version: str, lease_s: float) -> float | None:
        now_s = self._clock.seconds()
        hold = self._sharing.record.hold(key, now_s, service_version)
        if hold is None:
            return None
        if hold.until_s > now_s:
            return hold.until_s - now_s
        self._sharing.record_probe(key, service_version, hold.probes + 1, lease_s)
        return None

    def handle_request(self, sender: str, message: ProbeRequest) -> None:
        """Decide on a probe that another router requests."""
        retry_after_s = self._decide(message.key, message.service_version, message.lease_s)
        self._sharing.send(
            sender, ProbeReply(message.request_id, retry_after_s is None, retry_after_s or 0.0)
        )

    def handle_reply(self, message: ProbeReply) -> None:
        """Handle the arbiter's reply to a request of this router."""
        self._finish(message.request_id, None if message.is_granted else message.retry_after_s)

    def _finish(self, request_id: int, retry_after_s: float | None) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        if pending.timer.active():
            pending.timer.cancel()
        pending.on_decision(retry_after_s)
