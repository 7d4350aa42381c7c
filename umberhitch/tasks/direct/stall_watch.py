"""Notices that this process stood still, and that it has not read the registry since.

A process may be suspended, or get no processor time, for many seconds. When it goes on, it first
reads all requests that came meanwhile, and its directory is as old as the stall was long: endpoints
may have started again, and be cold.
"""

from logging import getLogger

from umberhitch.core.direct import EndpointEntry
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.feeds import Feed

__all__ = ["StallWatch"]

log = getLogger(__name__)

MIN_STALL_S = 2.5
"""Shortest time without a check that counts as a stall: a little more than a running router may
need to learn that an endpoint has become cold (a renewal and a read of the registry)."""
MAX_PROOF_AGE_S = 2.0
"""Age that the proof of the directory may have at the end of a stall. In a router that runs, for
which peers read, it may be as old."""
MAX_UNREAD_S = 2.0
"""Seconds after a stall from which the directory is used though it was not read: the store is slow
or away, and a running router would not know either."""


class StallWatch:
    """Watches for stalls of this process.

    Parameters
    ----------
    clock : Clock
    registry_feed : Feed
    """

    def __init__(self, clock: Clock, registry_feed: Feed[EndpointEntry]) -> None:
        self._clock = clock
        self._registry_feed = registry_feed
        self._checked_s: float | None = None
        self._resumed_s = float("-inf")

    def check(self) -> None:
        """Notice a stall; to be called several times a second, and before the result is used."""
        now_s = self._clock.seconds()
        if self._checked_s is not None and now_s > self._checked_s + MIN_STALL_S:
            self._resumed_s = now_s
            log.warning("process stood still", extra={"for_s": round(now_s - self._checked_s, 3)})
        self._checked_s = now_s

    def is_directory_unread(self) -> bool:
        """Whether the registry has not been read since a recent stall, though the store answers."""
        self.check()
        if self._clock.seconds() >= self._resumed_s + MAX_UNREAD_S:
            return False
        proved_s = self._registry_feed.proved_s
        if self._registry_feed.is_failing or proved_s is None:
            return False
        return proved_s < self._resumed_s - MAX_PROOF_AGE_S
