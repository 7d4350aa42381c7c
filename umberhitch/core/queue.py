"""The agent's queue: by priority, then by weighted fair queueing among customers.

Within a priority, customers with waiting attempts are served in proportion to their shares, and a
customer that uses less than its share is not delayed by one that uses more. The algorithm is
start-time fair queueing (Goyal, Vin and Cheng, 1996), which divides capacity by max-min
fairness. The shares are those of the resource pools of Peloton (Cai and Bansal, 2018), applied per
customer.
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
    """Position of an attempt in the queue; smaller positions are served first."""

    priority: int
    start_tag: float
    """Start tag of the attempt, in virtual time."""
    sequence: int


class WorkQueue:
    """Attempts that wait for a slot; lower priority numbers are served first."""

    def __init__(self) -> None:
        self._heap: list[tuple[QueuePosition, AttemptId]] = []
        self._members: dict[AttemptId, tuple[QueuePosition, AttemptEntry]] = {}
        self._next_sequence = 0
        self._virtual_time: dict[int, float] = {}
        self._finish_tags: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def position_for(self, priority: int, customer: str) -> QueuePosition:
        """Return the position that the next attempt of a customer would get."""
        now = self._virtual_time.get(priority, 0.0)
        return QueuePosition(
            priority,
            max(now, self._finish_tags.get((priority, customer), 0.0)),
            self._next_sequence,
        )

    def push(
        self, position: QueuePosition, entry: AttemptEntry, customer: str, share: float
    ) -> None:
        """Add an attempt at the position that `position_for` returned."""
        self._next_sequence += 1
        self._finish_tags[(position.priority, customer)] = position.start_tag + 1.0 / share
        self._members[entry.attempt] = (position, entry)
        heappush(self._heap, (position, entry.attempt))
        self._drop_idle_customers()

    def _drop_idle_customers(self) -> None:
        """Drop customers whose finish tags have passed; they start at the current virtual time."""
        if len(self._finish_tags) <= MAX_IDLE_CUSTOMERS:
            return
        self._finish_tags = {
            key: finish_tag
            for key, finish_tag in self._finish_tags.items()
            if finish_tag > self._virtual_time.get(key[0], 0.0)
        }

    def pop(self) -> AttemptEntry:
        """Remove and return the first attempt.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        while True:
            position, attempt = heappop(self._heap)
            member = self._members.get(attempt)
            if member is not None and member[0] == position:
                del self._members[attempt]
                self._virtual_time[position.priority] = max(
                    self._virtual_time.get(position.priority, 0.0), position.start_tag
                )
                return member[1]

    def last(self) -> tuple[QueuePosition, AttemptEntry] | None:
        """Return the attempt that would be served last, with its position."""
        return max(self._members.values(), key=lambda member: member[0], default=None)

    def remove(self, entry: AttemptEntry) -> None:
        """Remove an attempt, if it is queued."""
        self._members.pop(entry.attempt, None)

    def items(self) -> Iterator[AttemptEntry]:
        """Iterate over a copy of the queued attempts."""
        return iter([entry for _, entry in self._members.values()])
