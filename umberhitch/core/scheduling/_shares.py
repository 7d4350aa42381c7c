"""Shares of customers in a service's places, over all routers."""

from collections.abc import Iterable
from dataclasses import dataclass

from umberhitch.core.scheduling._claim import Claim

__all__ = ["CustomerShares", "CustomerUse"]


@dataclass(frozen=True, slots=True)
class CustomerUse:
    """What a customer has at one router, at one priority of a service.

    Attributes
    ----------
    running, waiting : float
        Sizes of its requests that run and that wait, added up.
    """

    customer: str
    priority: int
    share: float
    running: float
    waiting: float


class CustomerShares:
    """What customers use of one service, here and at peers."""

    def __init__(self) -> None:
        self._running: dict[tuple[str, int], float] = {}
        self._peers: tuple[CustomerUse, ...] = ()

    def note_started(self, claim: Claim, size: float) -> None:
        """Count a call that takes a place."""
        key = (claim.customer, claim.priority)
        self._running[key] = self._running.get(key, 0.0) + size

    def note_ended(self, claim: Claim, size: float) -> None:
        """Count a call that leaves its place."""
        key = (claim.customer, claim.priority)
        self._running[key] = max(0.0, self._running.get(key, 0.0) - size)

    def note_waiting(self, claim: Claim, size: float) -> None:
        """Count a request that begins to wait."""

    def note_left(self, claim: Claim, size: float) -> None:
        """Count a request that no longer waits, whatever the reason."""

    def set_peers(self, uses: Iterable[CustomerUse]) -> None:
        """Set what customers have at the other routers together."""
        self._peers = tuple(uses)

    def reserved(self, claim: Claim, capacity: float, now_s: float) -> float:
        """Return how many places must stay free before a claim may take one."""
        del claim, capacity, now_s
        return 0.0
