"""The agent's queue: by priority, then by age."""

from collections.abc import Iterator
from heapq import heappop, heappush

from umberhitch.core.attempt import AttemptEntry
from umberhitch.wire import AttemptId

__all__ = ["WorkQueue"]


class WorkQueue:
    """Attempts that wait for a slot; a lower priority number goes first."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, AttemptId]] = []
        self._members: dict[AttemptId, AttemptEntry] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._members)

    def push(self, priority: int, entry: AttemptEntry) -> None:
        """Add an attempt."""
        self._count += 1
        self._members[entry.attempt] = entry
        heappush(self._heap, (priority, self._count, entry.attempt))

    def pop(self) -> AttemptEntry:
        """Remove and return the most urgent attempt; raises ``IndexError`` if there is none."""
        while True:
            _, _, attempt = heappop(self._heap)
            entry = self._members.pop(attempt, None)
            if entry is not None:
                return entry

    def least_urgent(self) -> AttemptEntry | None:
        """Return the member that would go last."""
        if not self._members:
            return None
        return max(
            self._members.values(), key=lambda entry: (self._priority(entry), entry.attempt.seq)
        )

    def _priority(self, entry: AttemptEntry) -> int:
        return entry.start.priority if entry.start is not None else 0

    def remove(self, entry: AttemptEntry) -> None:
        """Remove an attempt, if it is there."""
        self._members.pop(entry.attempt, None)

    def items(self) -> Iterator[AttemptEntry]:
        """Iterate over a copy of the members."""
        return iter(list(self._members.values()))
