"""A stand-in of the platform's store: topics, keyed records, conditional appends, groups."""

import struct
from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any

from klein import Klein
from msgspec import json
from twisted.internet.defer import Deferred, succeed

from umberhitch.adapters.http_server import send_json

__all__ = ["StoreFaults", "StoreStandin"]

LENGTH_PREFIX = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
PARTITIONS = 24
MAX_WAIT_MS = 30_000


@dataclass
class StoreFaults:
    """What is wrong with the store at the moment.

    Attributes
    ----------
    is_down : bool
        Every call gets 503.
    lose_answers : int
        So many of the next appends take effect and are not answered.
    """

    is_down: bool = False
    lose_answers: int = 0


@dataclass
class _Part:
    """One partition."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    waiting: list[Deferred[None]] = field(default_factory=list)


@dataclass
class _Group:
    """One group of members."""

    generation: int = 0
    seen_s: dict[str, float] = field(default_factory=dict)
    ttl_s: dict[str, float] = field(default_factory=dict)
    topics: list[str] = field(default_factory=list)


class StoreStandin:
    """The store; serve ``app``.

    Parameters
    ----------
    reactor : IReactorTime
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._reactor = reactor
        self._parts: dict[tuple[str, int], _Part] = {}
        self._groups: dict[str, _Group] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as operators and endpoints do."""
        self._append(topic, 0, [bytes([len(key)]) + key.encode() + value])

    def trim_history(self, topic: str) -> None:
        """Drop the records of a topic; the newest of each key stays."""
        part = self._part(topic, 0)
        part.first = len(part.records)

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Return value and offset of the newest record of each key."""
        found: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(self._part(topic, 0).records):
            key_end = 1 + record[0]
            found[record[1:key_end].decode()] = (record[key_end:], offset)
        return {key: row for key, row in found.items() if row[0]}

    def _part(self, topic: str, number: int) -> _Part:
        return self._parts.setdefault((topic, number), _Part())

    def _append(self, topic: str, number: int, records: list[bytes]) -> int:
        part = self._part(topic, number)
        offset = len(part.records)
        part.records += records
        waiting, part.waiting = part.waiting, []
        for done in waiting:
            done.callback(None)
        return offset

    def _is_refused(self, request: Any) -> bool:
        self.calls += 1
        if self.faults.is_down:
            request.setResponseCode(503)
        return self.faults.is_down

    @app.route("/-/log-append", methods=["POST"])
    def append(self, request: Any) -> Any:
        """Append records, all or nothing."""
        if self._is_refused(request):
            return b""
        topic, number = _place(request)
        part = self._part(topic, number)
        expected = request.args.get(b"expectedOffset")
        if expected and int(expected[0]) != len(part.records):
            return send_json(request, 412, {"endOffset": len(part.records)})
        offset = self._append(topic, number, _split(request.content.read()))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return Deferred()
        return send_json(request, 200, {"offset": offset, "endOffset": len(part.records)})

    @app.route("/-/log-read", methods=["GET"])
    def read(self, request: Any) -> Any:
        """Return records from an offset on, waiting for the first."""
        if self._is_refused(request):
            return b""
        topic, number = _place(request)
        first = self._part(topic, number).first
        start = int(request.args[b"from"][0])
        if start < first:
            return send_json(request, 410, {"firstOffset": first})
        wait_s = int(request.args.get(b"waitMs", [b"0"])[0]) / 1000
        return self.wait_for_records(topic, number, start, wait_s)

    def wait_for_records(
        self, topic: str, number: int, start: int, wait_s: float
    ) -> Deferred[bytes]:
        """Return the raw records from an offset on, as soon as there is one or the wait is over."""
        part = self._part(topic, number)
        wait_s = min(MAX_WAIT_MS / 1000, wait_s)
        if start < len(part.records) or not wait_s:
            return succeed(_raw(part, start))
        done: Deferred[None] = Deferred()

        def time_out() -> None:
            if done in part.waiting:
                part.waiting.remove(done)
                done.callback(None)

        part.waiting.append(done)
        self._reactor.callLater(wait_s, time_out)
        return done.addCallback(lambda result: _raw(part, start))

    @app.route("/-/log-newest", methods=["GET"])
    def read_newest(self, request: Any) -> Any:
        """Return the newest record of each key."""
        if self._is_refused(request):
            return b""
        topic, _ = _place(request)
        after = request.args.get(b"after", [b""])[0].decode()
        return send_json(request, 200, self.newest_page(topic, after))

    def newest_page(self, topic: str, after: str = "") -> dict[str, Any]:
        """Return the newest record of each key that sorts after one."""
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.newest(topic).items())
            if key > after
        ]
        end = len(self._part(topic, 0).records)
        return {"items": items, "hasMore": False, "endOffset": end}

    @app.route("/-/log-join", methods=["POST"])
    def join(self, request: Any) -> Any:
        """Join a group, or stay in it."""
        if self._is_refused(request):
            return b""
        body = json.decode(request.content.read())
        group = self._groups.setdefault(body["group"], _Group())
        if body["member"] not in self._members(group):
            group.generation += 1
        group.topics = body["topics"]
        group.seen_s[body["member"]] = self._reactor.seconds()
        group.ttl_s[body["member"]] = body["ttlMs"] / 1000
        rows = [[t, n, 0] for t, n, member, _ in self._owners(group) if member == body["member"]]
        reply = {"generation": group.generation, "ttlMs": body["ttlMs"], "parts": rows}
        return send_json(request, 200, reply)

    @app.route("/-/log-leave", methods=["POST"])
    def leave(self, request: Any) -> Any:
        """Leave a group."""
        if self._is_refused(request):
            return b""
        body = json.decode(request.content.read())
        group = self._groups.setdefault(body["group"], _Group())
        if group.seen_s.pop(body["member"], None) is not None:
            group.generation += 1
        return send_json(request, 200, {})

    @app.route("/-/log-owners", methods=["GET"])
    def owners(self, request: Any) -> Any:
        """Return which member holds which partition."""
        if self._is_refused(request):
            return b""
        group = self._groups.setdefault(request.args[b"group"][0].decode(), _Group())
        reply = {"generation": group.generation, "parts": self._owners(group)}
        return send_json(request, 200, reply)

    def _members(self, group: _Group) -> list[str]:
        """Return the members that have been heard, and forget the others."""
        now_s = self._reactor.seconds()
        for member in list(group.seen_s):
            if now_s - group.seen_s[member] > group.ttl_s[member]:
                del group.seen_s[member]
                group.generation += 1
        return sorted(group.seen_s)

    def _owners(self, group: _Group) -> list[list[Any]]:
        members = self._members(group)
        places = [(topic, number) for topic in group.topics for number in range(PARTITIONS)]
        return [
            [topic, number, members[index % len(members)], 0]
            for index, (topic, number) in enumerate(places)
            if members
        ]


def _place(request: Any) -> tuple[str, int]:
    return request.args[b"topic"][0].decode(), int(request.args[b"part"][0])


def _split(data: bytes) -> list[bytes]:
    records = []
    at = 0
    while at < len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, at)
        at += LENGTH_PREFIX.size
        records.append(data[at : at + length])
        at += length
    return records


def _raw(part: _Part, start: int) -> bytes:
    records = part.records[start:]
    framed = [LENGTH_PREFIX.pack(len(record)) + record for record in records]
    return OFFSETS.pack(len(part.records), part.first) + b"".join(framed)
