"""The epoch of the store, as far as a router knows it.

The store names its epoch in each answer, and peers name the one that they know. It rises when the
store returns from an older copy of itself. An answer of an earlier epoch is late, and changes
nothing; unless the call was made well after the later epoch was known: then the store itself has
begun to count anew, for example because it was set up again.
"""

from collections.abc import Callable
from enum import StrEnum

__all__ = ["EpochVerdict", "StoreEpoch"]

EARLIER_COPY_S = 5.0
"""Seconds for which an earlier copy may still answer after a later one is known."""
PEERS_IGNORED_S = 10.0
"""Seconds for which peers are not believed after the store has begun to count anew: they learn of
it with their next renewal of their membership, 3.6 s later at the most."""

OnEpoch = Callable[[int, int], None]


class EpochVerdict(StrEnum):
    """How an answer of the store is to be taken."""

    CURRENT = "current"
    LATE = "late"
    """The answer is from an earlier copy of the store; it must not be used."""
    UNNAMED = "unnamed"
    """The answer does not name an epoch though others did; it counts as one of the current one."""
    REVERTED = "reverted"
    """The store has begun to count anew; the answer is from its present copy."""


class StoreEpoch:
    """Follows the epoch of the store.

    Attributes
    ----------
    current : int
        The newest epoch known; 0 if the store names none.
    returns : int
        How often the store has returned from another copy since this router knows its epoch.
    on_change : list of callable
        Called with the epoch before and the current one when the store has returned.
    """

    def __init__(self) -> None:
        self.current = 0
        self.returns = 0
        self.on_change: list[OnEpoch] = []
        self._is_known = False
        self._known_since_s = float("-inf")
        self._peers_ignored_until_s = float("-inf")

    def note_answer(self, epoch: int | None, called_s: float, now_s: float) -> EpochVerdict:
        """Take note of an answer of the store.

        Parameters
        ----------
        epoch : int or None
            Epoch that the answer names, None if it names none that can be read.
        called_s, now_s : float
            Times of the call and of its answer.
        """
        if epoch is None:
            if not self._is_known:
                self._advance(0, now_s)
            return EpochVerdict.UNNAMED if self.current else EpochVerdict.CURRENT
        if epoch >= self.current:
            self._advance(epoch, now_s)
            return EpochVerdict.CURRENT
        if called_s <= self._known_since_s + EARLIER_COPY_S:
            return EpochVerdict.LATE
        self._peers_ignored_until_s = now_s + PEERS_IGNORED_S
        self._advance(epoch, now_s)
        return EpochVerdict.REVERTED

    def note_peer(self, epoch: int, now_s: float) -> None:
        """Take note of the epoch that a peer knows."""
        if epoch > self.current and now_s >= self._peers_ignored_until_s:
            self._advance(epoch, now_s)

    def _advance(self, epoch: int, now_s: float) -> None:
        was_known, self._is_known = self._is_known, True
        if was_known and epoch == self.current:
            return
        before, self.current = self.current, epoch
        self._known_since_s = now_s
        if was_known:
            self.returns += 1
            for callback in self.on_change:
                callback(before, epoch)
