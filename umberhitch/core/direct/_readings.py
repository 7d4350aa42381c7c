"""Which models read long prompts on an endpoint, and until when.

An engine reads a prompt in pieces between the tokens of its other requests, so that the gaps
between their events are as long as the largest model that reads makes them: a smallest model's
usual gap is 40 times longer while the largest one reads beside it.
"""

from dataclasses import dataclass, field

__all__ = ["LONG_READING_S", "NO_READING", "Readings"]

NO_READING = -1
"""Rank where no long prompt is read."""
LONG_READING_S = 0.03
"""Shorter readings fall into a gap or two, which a median passes over."""


@dataclass(slots=True)
class Readings:
    """Readings on one endpoint by the rank of the model, the smallest of a route 0."""

    _under_way: dict[int, int] = field(default_factory=dict)
    _until_s: dict[int, float] = field(default_factory=dict)

    def began(self, rank: int, work_s: float) -> None:
        """Note that a call was sent there whose prompt takes so long to read."""
        if work_s > LONG_READING_S:
            self._under_way[rank] = self._under_way.get(rank, 0) + 1

    def ended(self, rank: int, work_s: float) -> None:
        """Note that it is read, or dropped."""
        if work_s > LONG_READING_S:
            self._under_way[rank] = max(0, self._under_way.get(rank, 0) - 1)

    def seen(self, rank: int, now_s: float) -> None:
        """Note that until now a model read there."""
        if rank != NO_READING:
            self._until_s[rank] = now_s

    def under_way(self) -> int:
        """Return the largest rank that reads now, or `NO_READING`."""
        return max((rank for rank, count in self._under_way.items() if count), default=NO_READING)

    def largest(self, since_s: float) -> int:
        """Return the largest rank that has read since a time, or `NO_READING`."""
        late = [rank for rank, until_s in self._until_s.items() if until_s > since_s]
        return max([*late, self.under_way()])
