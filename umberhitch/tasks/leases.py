"""Leases of a router: acquired when free, renewed in time, and not relied on past their expiry."""

from collections.abc import Callable
from random import Random

from xxhash import xxh3_64_intdigest

from umberhitch.core.leases import (
    NO_TOKEN,
    Acquire,
    LeaseFold,
    Renew,
    Yield,
    encode_lease_record,
)
from umberhitch.errors import LogError
from umberhitch.ports import Clock, LogBatch, LogPort
from umberhitch.tasks.appender import Appender
from umberhitch.tasks.follower import Follower, FollowerSettings

__all__ = ["LEASES_STREAM", "LeaseManager", "lease_candidates"]

LEASES_STREAM = "leases"
LEASE_TTL_S = 15.0
RENEW_INTERVAL_S = 5.0
EXPIRY_MARGIN_S = 2.0
"""Seconds that other routers wait after the expiry of a lease before they acquire it, since clocks
differ in rate and reads of the log may be slow."""
MAX_CANDIDATES = 3


def lease_candidates(name: str, routers: list[str]) -> list[str]:
    """Return the routers that may acquire a lease, by rendezvous hash, so that few try at once."""

    def weight(router: str) -> int:
        return xxh3_64_intdigest(f"{name}\0{router}".encode())

    return sorted(routers, key=weight, reverse=True)[:MAX_CANDIDATES]


class LeaseManager:
    """Acquires, renews and yields one lease for one router.

    Parameters
    ----------
    name : str
        Name of the lease.
    router : str
    incarnation : int
    port : LogPort
    clock : Clock
    rng : Random
    routers : callable
        Returns the names of the live routers, including this one.
    follower_settings : FollowerSettings
    """

    def __init__(
        self,
        name: str,
        router: str,
        incarnation: int,
        port: LogPort,
        clock: Clock,
        rng: Random,
        routers: Callable[[], list[str]],
        follower_settings: FollowerSettings | None = None,
    ) -> None:
        self._name = name
        self._router = router
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._routers = routers
        self._valid_until_s = 0.0
        self._valid_token = NO_TOKEN
        self._last_record_s = clock.seconds()
        self._is_appending = False
        self.fold = LeaseFold()
        self.appender = Appender(port, LEASES_STREAM, clock, rng)
        self.follower = Follower(
            port,
            LEASES_STREAM,
            clock,
            lambda: self.fold.next_offset,
            self._on_batch,
            follower_settings,
        )

    def start(self) -> None:
        """Start following the stream."""
        self.follower.start()

    def stop(self) -> None:
        """Stop following the stream."""
        self.follower.stop()

    @property
    def token(self) -> int | None:
        """Fencing token while this router holds the lease and it cannot have expired, else None."""
        lease = self.fold.leases.get(self._name)
        if lease is None or lease.is_yielded or not self._is_own(lease.holder, lease.incarnation):
            return None
        if lease.token != self._valid_token or self._clock.seconds() >= self._valid_until_s:
            return None
        return lease.token

    @property
    def holder(self) -> str | None:
        """Name of the router that holds the lease, as of the last record read, or None."""
        lease = self.fold.leases.get(self._name)
        return lease.holder if lease is not None and not lease.is_yielded else None

    @property
    def highest_token(self) -> int:
        """Newest fencing token of the lease that this router has read."""
        lease = self.fold.leases.get(self._name)
        return lease.token if lease is not None else NO_TOKEN

    def _is_own(self, holder: str, incarnation: int) -> bool:
        return holder == self._router and incarnation == self._incarnation

    def _on_batch(self, batch: LogBatch) -> None:
        for offset, data in batch.records:
            if self.fold.apply(offset, data) == self._name:
                self._last_record_s = self._clock.seconds()

    def tick(self, is_draining: bool) -> None:
        """Renew the lease, acquire it if it is free, or yield it; called once per second."""
        if self._is_appending:
            return
        lease = self.fold.leases.get(self._name)
        is_own = lease is not None and self._is_own(lease.holder, lease.incarnation)
        if lease is not None and is_own and not lease.is_yielded:
            if is_draining:
                self._append(Yield(self._name, lease.token), lease.token, 0.0)
            elif self._clock.seconds() >= self._valid_until_s - LEASE_TTL_S + RENEW_INTERVAL_S:
                renewal = Renew(
                    self._name, lease.token, self._router, self._incarnation, LEASE_TTL_S
                )
                self._append(renewal, lease.token, LEASE_TTL_S)
        elif not is_draining and self._may_acquire():
            previous = lease.token if lease is not None else NO_TOKEN
            record = Acquire(self._name, self._router, self._incarnation, previous, LEASE_TTL_S)
            self._append(record, None, LEASE_TTL_S)

    def _may_acquire(self) -> bool:
        if not self.follower.is_current:
            return False
        if self._router not in lease_candidates(self._name, self._routers()):
            return False
        lease = self.fold.leases.get(self._name)
        if lease is None or lease.is_yielded:
            return True
        return self._clock.seconds() - self._last_record_s > lease.ttl_s + EXPIRY_MARGIN_S

    def _append(self, record: Acquire | Renew | Yield, token: int | None, ttl_s: float) -> None:
        """Append a record; the lease term starts before the append, not at the reply."""
        sent_s = self._clock.seconds()
        try:
            appended = self.appender.add(encode_lease_record(record))
        except LogError:
            return
        self._is_appending = True

        def on_appended(offset: int) -> None:
            self._is_appending = False
            self._valid_token = offset if token is None else token
            self._valid_until_s = sent_s + ttl_s

        appended.addCallback(on_appended)
