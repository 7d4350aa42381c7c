"""Which models read long prompts on an endpoint, and until when.

An engine reads a prompt in pieces between the tokens of its other requests, so that the gaps
between their events are as long as the largest model that reads makes them: a smallest model's
usual gap is 40 times longer while the largest one reads beside it.
"""

from dataclasses import dataclass, field

__all__ = ["LONG_PREFILL_S", "NO_PREFILL", "ActivePrefills"]

NO_PREFILL = -1
"""Rank where no long prompt is read."""
LONG_PREFILL_S = 0.03
"""Shorter readings fall into a gap or two, which a median passes over."""


@dataclass(slots=True)
class ActivePrefills:
    """Readings on one endpoint by the rank of the model, the smallest of a route 0."""

    _under_way: dict[int, int] = field(default_factory=dict)
    _until_s: dict[int, float] = field(default_factory=dict)

    def start(self, rank: int, work_s: float) -> None:
        """Note that a call was sent there whose prompt takes so long to read."""
        if work_s > LONG_PREFILL_S:
            self._under_way[rank] = self._under_way.get(rank, 0) + 1

    def finish(self, rank: int, work_s: float) -> None:
        """Note that it is read, or dropped."""
        if work_s > LONG_PREFILL_S:
            self._under_way[rank] = max(0, self._under_way.get(rank, 0) - 1)

    def mark_active(self, rank: int, now_s: float) -> None:
        """Note that until now a model read there."""
        if rank != NO_PREFILL:
            self._until_s[rank] = now_s

    def largest_active(self) -> int:
        """Return the largest rank that reads now, or `NO_PREFILL`."""
        return max((rank for rank, count in self._under_way.items() if count), default=NO_PREFILL)

    def largest_since(self, since_s: float) -> int:
        """Return the largest rank that has read since a time, or `NO_PREFILL`."""
        late = [rank for rank, until_s in self._until_s.items() if until_s > since_s]
        return max([*late, self.largest_active()])
