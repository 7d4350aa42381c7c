"""Membership of routers where the group has fewer partitions than members."""

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from umberhitch.platform._store import FIRST_TOPICS, MAX_TOPICS, PATIENT_JOINS, Members
from umberhitch.ports.direct import Member


class Store:
    """Answers joins with a fixed number of partitions."""

    def __init__(self) -> None:
        self.partitions = 1
        self.topics: list[str] = []

    async def post_json(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        assert path == "/-/log-join"
        self.topics = body["topics"]
        parts = [[self.topics[0], number, 0] for number in range(self.partitions)]
        return {"generation": 1, "parts": parts}


def _join(members: Members, times: int) -> None:
    for _ in range(times):
        joined: Deferred[int] = ensureDeferred(members.join(Member("r1", "h:1"), 9.0))
        assert joined.result == 1


def test_a_member_with_a_partition_keeps_its_topics():
    store = Store()
    _join(Members(store), 50)
    assert len(store.topics) == FIRST_TOPICS


def test_a_member_that_gets_no_partition_takes_part_in_more_topics():
    """Without this, the routers beyond the partitions are never listed."""
    store = Store()
    store.partitions = 0
    members = Members(store)
    _join(members, PATIENT_JOINS)
    assert len(store.topics) == FIRST_TOPICS
    _join(members, 1)
    assert len(store.topics) == 4 * FIRST_TOPICS
    assert len(set(store.topics)) == len(store.topics)
    store.partitions = 1
    _join(members, 50)
    assert len(store.topics) == 4 * FIRST_TOPICS


def test_a_partition_that_comes_late_is_waited_for():
    store = Store()
    members = Members(store)
    for _ in range(5):
        store.partitions = 0
        _join(members, PATIENT_JOINS - 1)
        store.partitions = 1
        _join(members, 1)
    assert len(store.topics) == FIRST_TOPICS


def test_topics_are_limited():
    store = Store()
    store.partitions = 0
    _join(Members(store), 20 * PATIENT_JOINS)
    assert len(store.topics) == MAX_TOPICS
