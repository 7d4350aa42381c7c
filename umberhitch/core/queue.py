"""The agent's queue: by priority, then fairly among customers.

Within a priority, waiting customers are served in proportion to their shares, and one that asks for
less than its share is not held up by one that asks for more: start-time fair queueing (Goyal, Vin
and Cheng, 1996), which divides what there is by max-min fairness. The shares are those of the
Peloton paper's resource pools (Cai and Bansal, 2018), per customer.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heappop, heappush

from umberhitch.core.attempt import AttemptEntry
from umberhitch.wire import AttemptId

__all__ = ["QueuePosition", "WorkQueue"]

MAX_IDLE_CUSTOMERS = 1000


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Where an attempt stands: a smaller one goes first."""

    priority: int
    start_tag: float
    """Virtual time at which its customer's turn comes."""
    sequence: int


class WorkQueue:
    """Attempts that wait for a slot; a lower priority number goes first."""

    def __init__(self) -> None:
        self._heap: list[tuple[QueuePosition, AttemptId]] = []
        self._members: dict[AttemptId, tuple[QueuePosition, AttemptEntry]] = {}
        self._count = 0
        self._now: dict[int, float] = {}
        self._finish: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def position_for(self, priority: int, customer: str) -> QueuePosition:
        """Return the place that a customer's next attempt would get."""
        now = self._now.get(priority, 0.0)
        return QueuePosition(
            priority, max(now, self._finish.get((priority, customer), 0.0)), self._count
        )

    def push(self, place: QueuePosition, entry: AttemptEntry, customer: str, share: float) -> None:
        """Add an attempt at the place that `place_for` gave."""
        self._count += 1
        self._finish[(place.priority, customer)] = place.start_tag + 1.0 / share
        self._members[entry.attempt] = (place, entry)
        heappush(self._heap, (place, entry.attempt))
        self._forget_idle()

    def _forget_idle(self) -> None:
        """Drop customers whose turn has passed; they would start from the present again."""
        if len(self._finish) <= MAX_IDLE_CUSTOMERS:
            return
        self._finish = {
            key: finish
            for key, finish in self._finish.items()
            if finish > self._now.get(key[0], 0.0)
        }

    def pop(self) -> AttemptEntry:
        """Remove and return the first attempt; raises ``IndexError`` if there is none."""
        while True:
            place, attempt = heappop(self._heap)
            member = self._members.get(attempt)
            if member is not None and member[0] == place:
                del self._members[attempt]
                self._now[place.priority] = max(self._now.get(place.priority, 0.0), place.start_tag)
                return member[1]

    def last(self) -> tuple[QueuePosition, AttemptEntry] | None:
        """Return the member that would go last, with its place."""
        return max(self._members.values(), key=lambda member: member[0], default=None)

    def remove(self, entry: AttemptEntry) -> None:
        """Remove an attempt, if it is there."""
        self._members.pop(entry.attempt, None)

    def items(self) -> Iterator[AttemptEntry]:
        """Iterate over a copy of the members."""
        return iter([entry for _, entry in self._members.values()])
