"""Stand-in for the platform's store: topics, keyed records, conditional appends and groups.

It can return from a copy that is some seconds old: what it acknowledged since is lost, offsets are
given out again, and its epoch, which every answer names, rises by one.
"""

import struct
from base64 import b64encode
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from msgspec import json
from twisted.internet.defer import Deferred, succeed

from umberhitch.adapters.http_server import send_json

__all__ = ["StoreFaults", "StoreStandin"]

LENGTH_PREFIX = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
PARTITION_COUNT = 24
MAX_WAIT_MS = 30_000


@dataclass
class StoreFaults:
    """Faults that the store shows at the moment.

    Attributes
    ----------
    is_down : bool
        Whether every call is answered with status 503.
    lose_answers : int
        Number of the next appends that take effect without an answer.
    """

    is_down: bool = False
    lose_answers: int = 0


@dataclass
class _Partition:
    """The records of one partition and the reads that wait for more."""

    records: list[bytes] = field(default_factory=list)
    appended_s: list[float] = field(default_factory=list)
    """When each record was appended."""
    first_offset: int = 0
    waiters: list[Deferred[None]] = field(default_factory=list)


@dataclass
class _Group:
    """The members of one group and the topics that they share."""

    generation: int = 0
    last_seen_s: dict[str, float] = field(default_factory=dict)
    ttl_s: dict[str, float] = field(default_factory=dict)
    topics: list[str] = field(default_factory=list)
    joined_s: dict[str, float] = field(default_factory=dict)
    changes: list[float] = field(default_factory=list)
    """When each change of the generation was made."""

    def note_change(self, now_s: float) -> None:
        self.generation += 1
        self.changes.append(now_s)


class StoreStandin:
    """A stand-in store, served by the Klein application ``app``.

    Parameters
    ----------
    reactor : IReactorTime
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.epoch = 1
        self._written: dict[tuple[str, str], bytes] = {}
        """What operators and endpoints wrote last, by topic and key."""
        self._reactor = reactor
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as an operator or an endpoint does."""
        self._written[topic, key] = value
        self._append(topic, 0, [bytes([len(key)]) + key.encode() + value])

    def write_again(self, topic: str, key: str) -> None:
        """Append what was written last under a key once more, unless the store has it."""
        value = self._written[topic, key]
        if self.newest(topic).get(key, (b"", 0))[0] != value:
            self.put(topic, key, value)

    def trim_history(self, topic: str) -> None:
        """Trim the history of a topic; the newest record of each key stays."""
        partition = self._partition(topic, 0)
        partition.first_offset = len(partition.records)

    def restore(self, age_s: float) -> dict[str, dict[str, bytes]]:
        """Return from a copy of a given age; return the newest lost value of each key, by topic.

        Calls that are held go on until their time is over, since their offsets are only looked at
        again when there is a record.
        """
        since_s = self._reactor.seconds() - age_s
        self.epoch += 1
        lost: dict[str, dict[str, bytes]] = {}
        for (topic, _), partition in self._partitions.items():
            end = bisect_left(partition.appended_s, since_s)
            if topic.startswith("keyed."):
                lost[topic] = dict(map(_split_key, partition.records[end:]))
            del partition.records[end:], partition.appended_s[end:]
            partition.first_offset = min(partition.first_offset, end)
        for group in self._groups.values():
            for member in [name for name, at_s in group.joined_s.items() if at_s > since_s]:
                group.last_seen_s.pop(member, None)
                del group.joined_s[member]
            end = bisect_left(group.changes, since_s)
            group.generation -= len(group.changes) - end
            del group.changes[end:]
        return lost

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Return value and offset of the newest record of each key that is not deleted."""
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(self._partition(topic, 0).records):
            key, value = _split_key(record)
            newest[key] = (value, offset)
        return {key: row for key, row in newest.items() if row[0]}

    def _partition(self, topic: str, number: int) -> _Partition:
        return self._partitions.setdefault((topic, number), _Partition())

    def _append(self, topic: str, number: int, records: list[bytes]) -> int:
        partition = self._partition(topic, number)
        offset = len(partition.records)
        partition.records += records
        partition.appended_s += [self._reactor.seconds()] * len(records)
        waiters, partition.waiters = partition.waiters, []
        for done in waiters:
            done.callback(None)
        return offset

    def _refuses(self, request: Any) -> bool:
        self.calls += 1
        self._name_epoch(request)
        if self.faults.is_down:
            request.setResponseCode(503)
        return self.faults.is_down

    def _name_epoch(self, request: Any) -> None:
        request.setHeader("Store-Era", str(self.epoch))

    @app.route("/-/log-append", methods=["POST"])
    def append(self, request: Any) -> Any:
        """Append all records, or none if the expected offset is wrong."""
        if self._refuses(request):
            return b""
        topic, number = _topic_and_number(request)
        partition = self._partition(topic, number)
        expected = request.args.get(b"expectedOffset")
        if expected and int(expected[0]) != len(partition.records):
            return send_json(request, 412, {"endOffset": len(partition.records)})
        offset = self._append(topic, number, _split_records(request.content.read()))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return Deferred()
        return send_json(request, 200, {"offset": offset, "endOffset": len(partition.records)})

    @app.route("/-/log-read", methods=["GET"])
    def read(self, request: Any) -> Any:
        """Return the records from an offset on, waiting until there is one."""
        if self._refuses(request):
            return b""
        topic, number = _topic_and_number(request)
        first_offset = self._partition(topic, number).first_offset
        start = int(request.args[b"from"][0])
        if not first_offset <= start <= len(self._partition(topic, number).records):
            return send_json(request, 410, {"firstOffset": first_offset})
        wait_s = int(request.args.get(b"waitMs", [b"0"])[0]) / 1000
        records = self.wait_for_records(topic, number, start, wait_s)
        return records.addCallback(self._answer_read, request)

    def _answer_read(self, records: bytes, request: Any) -> bytes:
        self._name_epoch(request)  # it may have risen while the call was held
        return records

    def wait_for_records(
        self, topic: str, number: int, start: int, wait_s: float
    ) -> Deferred[bytes]:
        """Return the raw records from an offset on, once there is one or ``wait_s`` has passed."""
        partition = self._partition(topic, number)
        wait_s = min(MAX_WAIT_MS / 1000, wait_s)
        if start < len(partition.records) or not wait_s:
            return succeed(_encode_records(partition, start))
        done: Deferred[None] = Deferred()

        def time_out() -> None:
            if done in partition.waiters:
                partition.waiters.remove(done)
                done.callback(None)

        partition.waiters.append(done)
        self._reactor.callLater(wait_s, time_out)
        return done.addCallback(lambda result: _encode_records(partition, start))

    @app.route("/-/log-newest", methods=["GET"])
    def read_newest(self, request: Any) -> Any:
        """Return the newest record of each key, as one page."""
        if self._refuses(request):
            return b""
        topic, _ = _topic_and_number(request)
        after = request.args.get(b"after", [b""])[0].decode()
        return send_json(request, 200, self.newest_page(topic, after))

    def newest_page(self, topic: str, after: str = "") -> dict[str, Any]:
        """Return the page of the newest records of the keys that sort after ``after``."""
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.newest(topic).items())
            if key > after
        ]
        end = len(self._partition(topic, 0).records)
        return {"items": items, "hasMore": False, "endOffset": end}

    @app.route("/-/log-join", methods=["POST"])
    def join(self, request: Any) -> Any:
        """Join a group, or renew the membership."""
        if self._refuses(request):
            return b""
        body = json.decode(request.content.read())
        group = self._groups.setdefault(body["group"], _Group())
        if body["member"] not in self._members(group):
            group.note_change(self._reactor.seconds())
            group.joined_s[body["member"]] = self._reactor.seconds()
        group.topics = body["topics"]
        group.last_seen_s[body["member"]] = self._reactor.seconds()
        group.ttl_s[body["member"]] = body["ttlMs"] / 1000
        rows = [[t, n, 0] for t, n, member, _ in self._owners(group) if member == body["member"]]
        reply = {"generation": group.generation, "ttlMs": body["ttlMs"], "parts": rows}
        return send_json(request, 200, reply)

    @app.route("/-/log-leave", methods=["POST"])
    def leave(self, request: Any) -> Any:
        """Remove a member from a group."""
        if self._refuses(request):
            return b""
        body = json.decode(request.content.read())
        group = self._groups.setdefault(body["group"], _Group())
        if group.last_seen_s.pop(body["member"], None) is not None:
            group.note_change(self._reactor.seconds())
        return send_json(request, 200, {})

    @app.route("/-/log-owners", methods=["GET"])
    def owners(self, request: Any) -> Any:
        """Return the owner of each partition."""
        if self._refuses(request):
            return b""
        group = self._groups.setdefault(request.args[b"group"][0].decode(), _Group())
        reply = {"generation": group.generation, "parts": self._owners(group)}
        return send_json(request, 200, reply)

    def _members(self, group: _Group) -> list[str]:
        """Return the live members, after removal of those whose TTL has expired."""
        now_s = self._reactor.seconds()
        for member in list(group.last_seen_s):
            if now_s - group.last_seen_s[member] > group.ttl_s[member]:
                del group.last_seen_s[member]
                group.note_change(now_s)
        return sorted(group.last_seen_s)

    def _owners(self, group: _Group) -> list[list[Any]]:
        members = self._members(group)
        partition_ids = [
            (topic, number) for topic in group.topics for number in range(PARTITION_COUNT)
        ]
        return [
            [topic, number, members[index % len(members)], 0]
            for index, (topic, number) in enumerate(partition_ids)
            if members
        ]


def _split_key(record: bytes) -> tuple[str, bytes]:
    key_end = 1 + record[0]
    return record[1:key_end].decode(), record[key_end:]


def _topic_and_number(request: Any) -> tuple[str, int]:
    return request.args[b"topic"][0].decode(), int(request.args[b"part"][0])


def _split_records(data: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, position)
        position += LENGTH_PREFIX.size
        records.append(data[position : position + length])
        position += length
    return records


def _encode_records(partition: _Partition, start: int) -> bytes:
    records = partition.records[start:]
    framed = [LENGTH_PREFIX.pack(len(record)) + record for record in records]
    return OFFSETS.pack(len(partition.records), partition.first_offset) + b"".join(framed)
