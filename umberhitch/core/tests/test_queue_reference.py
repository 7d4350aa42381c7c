"""The agents' queue serves as it did before it used the scheduler of both paths.

The reference is start-time fair queueing as written down by its authors: tags are given on arrival
and never change.
"""

from collections.abc import Iterable
from heapq import heappop, heappush

from hypothesis import given, settings
from hypothesis import strategies as st

from umberhitch.core.attempt import AttemptEntry
from umberhitch.core.queue import QueuePosition, WorkQueue
from umberhitch.testing import make_start

Step = tuple[str, int, int, float]
"""What is done, priority, customer or choice, share."""

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "remove"]),
        st.integers(0, 2),
        st.integers(0, 3),
        st.sampled_from([0.5, 1.0, 3.0]),
    ),
    max_size=60,
)


class TagsOnArrival:
    """Start-time fair queueing with tags that are given on arrival."""

    def __init__(self) -> None:
        self.heap: list[tuple[QueuePosition, AttemptEntry]] = []
        self.waiting: dict[int, QueuePosition] = {}
        self.sequence = 0
        self.virtual_time: dict[int, float] = {}
        self.finish_tags: dict[tuple[int, str], float] = {}

    def position_for(self, priority: int, customer: str) -> QueuePosition:
        finish = self.finish_tags.get((priority, customer), 0.0)
        start = max(self.virtual_time.get(priority, 0.0), finish)
        return QueuePosition(priority, start, self.sequence)

    def push(self, entry: AttemptEntry, priority: int, customer: str, share: float) -> None:
        position = self.position_for(priority, customer)
        self.finish_tags[(priority, customer)] = position.start_tag + 1.0 / share
        self.waiting[self.sequence] = position
        heappush(self.heap, (position, entry))
        self.sequence += 1

    def pop(self) -> AttemptEntry:
        while True:
            position, entry = heappop(self.heap)
            if self.waiting.pop(position.sequence, None) is not None:
                known = self.virtual_time.get(position.priority, 0.0)
                self.virtual_time[position.priority] = max(known, position.start_tag)
                return entry

    def remove(self, entry: AttemptEntry) -> None:
        for position, each in self.heap:
            if each is entry:
                self.waiting.pop(position.sequence, None)

    def entries(self) -> list[AttemptEntry]:
        return [entry for position, entry in self.heap if position.sequence in self.waiting]

    def last(self) -> QueuePosition | None:
        return max(self.waiting.values(), default=None)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_the_agents_queue_serves_as_tags_on_arrival_do(steps: Iterable[Step]) -> None:
    queue, reference = WorkQueue(), TagsOnArrival()
    for number, (kind, priority, choice, share) in enumerate(steps, 1):
        customer = f"c{choice}"
        position = queue.position_for(priority, customer)
        assert position == reference.position_for(priority, customer)
        waiting = reference.entries()
        if kind == "push":
            start = make_start(number, customer=customer, priority=priority)
            entry = AttemptEntry(start.attempt, start)
            queue.push(position, entry, customer, share)
            reference.push(entry, priority, customer, share)
        elif waiting and kind == "pop":
            assert queue.pop() is reference.pop()
        elif waiting:
            removed = waiting[choice % len(waiting)]
            queue.remove(removed)
            reference.remove(removed)
        last = queue.last()
        assert (None if last is None else last[0]) == reference.last()
        assert len(queue) == len(reference.waiting)
    assert [queue.pop() for _ in range(len(queue))] == [
        reference.pop() for _ in range(len(reference.waiting))
    ]
