"""Stores the held requests, so that they survive a power loss of all routers at once.

The router that decides on the probes of a request writes a record when the request is held, probed
or released: three calls for a request that never succeeds. When routers start, two of them read all
records and send them to the others; a single router that starts gets them from its peers first.
Times are not stored, as no clock survives its host: the timers of a restored hold start from zero.

If the store returns from an older copy, each router writes again what it wrote last, and the holds
that it decides on now. What a router wrote that is gone is written by its successor, but for a
release: that request is held again after a loss of all routers, until its next probe.
"""

from collections import OrderedDict
from collections.abc import Callable
from logging import getLogger

from twisted.internet.defer import ensureDeferred

from umberhitch.core.direct import Crash, StoreEpoch
from umberhitch.errors import LogError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import HoldsPort, StoredHold
from umberhitch.tasks.direct.crash_sharing import CrashSharing

__all__ = ["StoredHolds"]

log = getLogger(__name__)

READERS = 2
"""Number of routers that read the records at start, in the order of the digests of their names."""
STARTUP_DELAY_S = 1.0
"""Delay of the read at start. By then, routers that start together know each other, and thus which
of them read."""
RETRY_S = 2.0
"""Pause after a failed call to the store, which may be unavailable for seconds."""
MAX_PENDING_WRITES = 64
"""Requests that may wait to be written while the store is unavailable; the oldest are dropped."""


class StoredHolds:
    """Reads and writes the stored holds for one router.

    Parameters
    ----------
    clock : Clock
    port : HoldsPort
    sharing : CrashSharing
    rank : callable
        Returns the rank of this router among the routers that the store lists, starting at 0, or
        None before the list is known.
    epochs : StoreEpoch
        The epoch of the store.
    """

    def __init__(
        self,
        clock: Clock,
        port: HoldsPort,
        sharing: CrashSharing,
        rank: Callable[[], int | None],
        epochs: StoreEpoch,
    ) -> None:
        self._clock = clock
        self._port = port
        self._sharing = sharing
        self._rank = rank
        self._pending_keys: OrderedDict[str, None] = OrderedDict()
        self._written_keys: OrderedDict[str, None] = OrderedDict()
        """Requests that this router wrote last."""
        self._is_writing = False
        self._is_stopped = False
        sharing.on_decided = self.write
        epochs.on_change.append(self._on_epoch)

    def start(self) -> None:
        """Read the stored holds if this router is one of the readers."""
        ensureDeferred(self._read()).addErrback(_log_failure)

    def stop(self) -> None:
        """Stop reading and writing."""
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
            # That the crashes of a part were under several customers was known when it was held.
            crash = Crash(lifetime, hold.service_version, now_s, now_s, customer=lifetime)
            self._sharing.record_crashes({hold.key: crash})
        if hold.probes:
            self._sharing.record_probe(hold.key, hold.service_version, hold.probes, 0.0)

    def _on_epoch(self, before: int, epoch: int) -> None:
        """Write again what the store may have lost."""
        sharing = self._sharing
        held = [key for key in sharing.record.suspects() if sharing.record.is_held(key)]
        own = [key for key in held if sharing.is_arbiter(key)]
        for key in dict.fromkeys([*self._written_keys, *own]):
            self.write(key)

    def write(self, key: str) -> None:
        """Write the current state of a request to the store."""
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
                self._note_written(key)
            except LogError as exc:
                log.info("held request not written", extra={"key": key, "problem": str(exc)})
                self._pending_keys.setdefault(key)
                await pause(self._clock, RETRY_S)
        self._is_writing = False

    def _note_written(self, key: str) -> None:
        self._written_keys.pop(key, None)
        self._written_keys[key] = None
        while len(self._written_keys) > MAX_PENDING_WRITES:
            self._written_keys.popitem(last=False)

    def _hold(self, key: str) -> StoredHold | None:
        record = self._sharing.record
        crashes = record.crashes(key)
        if not record.is_held(key):
            return None
        probed = record.last_probe(key)
        lifetimes = tuple(crash.lifetime for crash in crashes[: record.limits.crashes])
        return StoredHold(
            key, crashes[0].service_version, lifetimes, 0 if probed is None else probed[1]
        )


def _log_failure(failure: object) -> None:
    log.error("access to stored holds failed", extra={"e": str(failure)})
