"""Claims of idempotency keys, appended in batches to a log stream and decided by its fold."""

from random import Random

from twisted.internet.defer import Deferred

from umberhitch.core.claims import (
    Claim,
    ClaimFold,
    ClaimState,
    Release,
    Settle,
    encode_claim_record,
)
from umberhitch.errors import LogError
from umberhitch.ports import Clock, LogBatch, LogPort
from umberhitch.tasks.appender import Appender, AppenderLimits
from umberhitch.tasks.follower import Follower, FollowerSettings

__all__ = ["CLAIMS_STREAM", "Claims"]

CLAIMS_STREAM = "claims"


class Claims:
    """Maintains the router's fold of the claims stream, and appends to the stream.

    Parameters
    ----------
    port : LogPort
    clock : Clock
    rng : Random
    follower_settings : FollowerSettings
    limits : AppenderLimits
    """

    def __init__(
        self,
        port: LogPort,
        clock: Clock,
        rng: Random,
        follower_settings: FollowerSettings | None = None,
        limits: AppenderLimits | None = None,
    ) -> None:
        self.fold = ClaimFold()
        self.appender = Appender(port, CLAIMS_STREAM, clock, rng, limits)
        self.follower = Follower(
            port,
            CLAIMS_STREAM,
            clock,
            lambda: self.fold.next_offset,
            self._on_batch,
            follower_settings,
        )
        self._clock = clock
        self._offset_waiters: list[tuple[int, Deferred[None]]] = []
        self._key_waiters: dict[str, list[Deferred[None]]] = {}

    def start(self) -> None:
        """Start following the stream."""
        self.follower.start()

    def stop(self) -> None:
        """Stop following the stream."""
        self.follower.stop()

    @property
    def is_current(self) -> bool:
        """Whether the fold was up to date when the log service last replied."""
        return self.follower.is_current

    def holder(self, key: str) -> ClaimState | None:
        """Return the claim that holds a key, as far as this router has read the stream."""
        return self.fold.holder(key)

    async def claim(self, claim: Claim, wait_s: float) -> ClaimState | None:
        """Append a claim and return the claim that holds the key, once the fold has applied it.

        Returns None if the log did not reply in time. The claim may still take effect later, so a
        `Release` is queued after it.
        """
        try:
            appended = self.appender.add(encode_claim_record(claim))
        except LogError:
            return None
        offset = await self._with_timeout(appended, wait_s)
        if offset is None:
            self._add(Release(claim.key, claim.request, claim.attempt))
            return None
        if not await self._wait_for_offset(offset, wait_s):
            self._add(Release(claim.key, claim.request, claim.attempt))
            return None
        return self.fold.holder(claim.key)

    def settle(self, settle: Settle) -> None:
        """Record the outcome of a claimed request."""
        self._add(settle)

    def release(self, release: Release) -> None:
        """Record that a claimed request certainly did not run, which frees the key."""
        self._add(release)

    def _add(self, record: Settle | Release) -> None:
        try:
            self.appender.add(encode_claim_record(record)).addErrback(lambda failure: None)
        except LogError:
            return

    async def wait_for_update(self, key: str, wait_s: float) -> None:
        """Wait until a record about the key is read, for at most ``wait_s`` seconds."""
        done: Deferred[None] = Deferred()
        self._key_waiters.setdefault(key, []).append(done)
        await self._with_timeout(done, wait_s)
        waiters = self._key_waiters.get(key)
        if waiters is not None and done in waiters:
            waiters.remove(done)
            if not waiters:
                del self._key_waiters[key]

    async def _wait_for_offset(self, offset: int, wait_s: float) -> bool:
        if self.fold.next_offset > offset:
            return True
        done: Deferred[None] = Deferred()
        self._offset_waiters.append((offset, done))
        await self._with_timeout(done, wait_s)
        return self.fold.next_offset > offset

    def _with_timeout(self, source: Deferred, wait_s: float) -> Deferred:
        """Return a Deferred with the result of ``source``, or None if that is late or an error."""
        result: Deferred = Deferred()
        timer = self._clock.callLater(wait_s, lambda: _fire_once(result, None))

        def forward(value: object) -> None:
            if timer.active():
                timer.cancel()
            _fire_once(result, value)

        source.addCallbacks(forward, lambda failure: forward(None))
        return result

    def _on_batch(self, batch: LogBatch) -> None:
        for offset, data in batch.records:
            record = self.fold.apply(offset, data)
            if record is not None:
                for done in self._key_waiters.pop(record.key, []):
                    _fire_once(done, None)
        ready = [row for row in self._offset_waiters if row[0] < self.fold.next_offset]
        self._offset_waiters = [row for row in self._offset_waiters if row not in ready]
        for _, done in ready:
            _fire_once(done, None)


def _fire_once(done: Deferred, value: object) -> None:
    if not done.called:
        done.callback(value)
