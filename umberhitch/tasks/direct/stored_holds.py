"""Keeps the requests that are held in the store, for routers that all lose power at once.

The router that decides on a request's probes writes it, when it is held, probed or free again; that
is three calls for a request that is never mended. Two routers read all of it when they start, and
tell the others: where one router starts, its peers tell it sooner. Times are not kept, as no clock
outlives its host: a hold that is read begins anew.
"""

from collections import OrderedDict
from collections.abc import Callable
from logging import getLogger

from twisted.internet.defer import ensureDeferred

from umberhitch.core.direct import Crash
from umberhitch.errors import LogError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import HoldsPort, StoredHold
from umberhitch.tasks.direct.crash_sharing import CrashSharing

__all__ = ["StoredHolds"]

log = getLogger(__name__)

READERS = 2
"""Routers that read it at their start, in the order of the digests of their names."""
STARTUP_DELAY_S = 1.0
"""Routers that start together know each other by then, and so who is to read."""
RETRY_S = 2.0
"""Pause after a call to the store that failed; it may be away for seconds."""
MAX_PENDING_WRITES = 64
"""Requests that wait to be written while the store is away; the oldest yield."""


class StoredHolds:
    """One router's part in what stands in the store.

    Parameters
    ----------
    clock : Clock
    port : HoldsPort
    sharing : CrashSharing
    rank : callable
        Returns this router's place among those that the store lists, 0 first; None before they are
        known.
    """

    def __init__(
        self,
        clock: Clock,
        port: HoldsPort,
        sharing: CrashSharing,
        rank: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._port = port
        self._sharing = sharing
        self._rank = rank
        self._pending_keys: OrderedDict[str, None] = OrderedDict()
        self._is_writing = False
        self._is_stopped = False
        sharing.on_decided = self.write

    def start(self) -> None:
        """Read what was held before, if that is this router's part."""
        ensureDeferred(self._read()).addErrback(_log_failure)

    def stop(self) -> None:
        """Read and write nothing more."""
        self._is_stopped = True

    async def _read(self) -> None:
        await pause(self._clock, STARTUP_DELAY_S)
        while not self._is_stopped:
            rank = self._rank()
            if rank is not None and (rank >= READERS or await self._try_read()):
                return
            await pause(self._clock, RETRY_S)

    async def _try_read(self) -> bool:
        try:
            holds = await self._port.read()
        except LogError as exc:
            log.info("held requests not read", extra={"problem": str(exc)})
            return False
        for hold in holds:
            self._restore(hold)
        return True

    def _restore(self, hold: StoredHold) -> None:
        now_s = self._clock.seconds()
        for lifetime in hold.lifetimes:
            self._sharing.crashed(hold.key, Crash(lifetime, hold.service_version, now_s, now_s))
        if hold.probes:
            self._sharing.probed(hold.key, hold.service_version, hold.probes, 0.0)

    def write(self, key: str) -> None:
        """Let stand in the store what is known of a request now."""
        self._pending_keys[key] = None
        while len(self._pending_keys) > MAX_PENDING_WRITES:
            self._pending_keys.popitem(last=False)
        if not self._is_writing:
            self._is_writing = True
            ensureDeferred(self._write_all()).addErrback(_log_failure)

    async def _write_all(self) -> None:
        while self._pending_keys and not self._is_stopped:
            key, _ = self._pending_keys.popitem(last=False)
            try:
                await self._port.write(key, self._hold(key))
            except LogError as exc:
                log.info("held request not written", extra={"key": key, "problem": str(exc)})
                self._pending_keys.setdefault(key)
                await pause(self._clock, RETRY_S)
        self._is_writing = False

    def _hold(self, key: str) -> StoredHold | None:
        record = self._sharing.record
        crashes = record.crashes(key)
        if not record.is_held(key):
            return None
        probed = record.last_probe(key)
        lifetimes = tuple(each.lifetime for each in crashes[: record.limits.crashes])
        return StoredHold(
            key, crashes[0].service_version, lifetimes, 0 if probed is None else probed[1]
        )


def _log_failure(failure: object) -> None:
    log.error("stored holds ended", extra={"e": str(failure)})
