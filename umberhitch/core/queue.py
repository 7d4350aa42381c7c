"""The agent's queue: by priority, then by weighted fair queueing among customers.

It is the scheduler of both paths, `FairQueue`, with two differences: priorities are strict, and an
attempt that is removed costs its customer as much as one that is served. The shares are those of
the resource pools of Peloton (Cai and Bansal, 2018), applied per customer.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from umberhitch.core.attempt import AttemptEntry
from umberhitch.core.scheduling import Claim, FairQueue, Ticket
from umberhitch.wire import AttemptId

__all__ = ["QueuePosition", "WorkQueue"]


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
        self._queue: FairQueue[AttemptEntry] = FairQueue(least_service=0.0)
        self._members: dict[AttemptId, tuple[QueuePosition, Ticket, AttemptEntry]] = {}
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._queue)

    def position_for(self, priority: int, customer: str) -> QueuePosition:
        """Return the position that the next attempt of a customer would get."""
        start_tag = self._queue.next_start_tag(priority, customer)
        return QueuePosition(priority, start_tag, self._next_sequence)

    def push(
        self, position: QueuePosition, entry: AttemptEntry, customer: str, share: float
    ) -> None:
        """Add an attempt at the position that `position_for` returned, and only there."""
        self.remove(entry)
        self._next_sequence += 1
        # A customer's attempts are equal here, so they are served as they came.
        claim = Claim(position.priority, 0.0, customer, share, 0.0, inf)
        ticket = self._queue.push(entry, claim)
        self._members[entry.attempt] = (position, ticket, entry)

    def pop(self) -> AttemptEntry:
        """Remove and return the first attempt.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        entry = self._queue.pop()
        del self._members[entry.attempt]
        return entry

    def last(self) -> tuple[QueuePosition, AttemptEntry] | None:
        """Return the attempt that would be served last, with its position."""
        if not self._members:
            return None
        position, _, entry = max(self._members.values(), key=lambda member: member[0])
        return position, entry

    def remove(self, entry: AttemptEntry) -> None:
        """Remove an attempt, if it is queued."""
        member = self._members.pop(entry.attempt, None)
        if member is not None:
            self._queue.remove(member[1], is_paid=True)

    def items(self) -> Iterator[AttemptEntry]:
        """Iterate over a copy of the queued attempts."""
        return self._queue.items()
