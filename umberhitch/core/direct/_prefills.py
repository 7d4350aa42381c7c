"""Long prefills that run on an endpoint, by the rank of the model.

An engine prefills a prompt in chunks between the decoding steps of its other requests, so that the
largest model that is prefilling determines the gaps between their events: the usual gap of the
smallest model is 40 times longer while the largest one prefills on the same engine.
"""

from dataclasses import dataclass, field

__all__ = ["LONG_PREFILL_S", "NO_PREFILL", "ActivePrefills"]

NO_PREFILL = -1
"""Rank that stands for no long prefill."""
LONG_PREFILL_S = 0.03
"""Shorter prefills affect one or two gaps, which a median ignores."""


@dataclass(slots=True)
class ActivePrefills:
    """Long prefills on one endpoint by rank of the model; the smallest of a route has rank 0."""

    _active: dict[int, int] = field(default_factory=dict)
    _until_s: dict[int, float] = field(default_factory=dict)

    def start(self, rank: int, prefill_s: float) -> None:
        """Record that a call was sent whose prefill takes ``prefill_s`` seconds."""
        if prefill_s > LONG_PREFILL_S:
            self._active[rank] = self._active.get(rank, 0) + 1

    def finish(self, rank: int, prefill_s: float) -> None:
        """Record that a prefill has finished or was dropped."""
        if prefill_s > LONG_PREFILL_S:
            self._active[rank] = max(0, self._active.get(rank, 0) - 1)

    def mark_active(self, rank: int, now_s: float) -> None:
        """Record that a model of that rank was prefilling until now."""
        if rank != NO_PREFILL:
            self._until_s[rank] = now_s

    def largest_active(self) -> int:
        """Return the largest rank that is prefilling now, or `NO_PREFILL`."""
        return max((rank for rank, count in self._active.items() if count), default=NO_PREFILL)

    def largest_since(self, since_s: float) -> int:
        """Return the largest rank that has been prefilling since a time, or `NO_PREFILL`."""
        recent = [rank for rank, until_s in self._until_s.items() if until_s > since_s]
        return max([*recent, self.largest_active()])
