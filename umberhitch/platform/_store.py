"""The platform's store: keyed streams, conditional appends, membership. One client for all."""

import struct
from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger
from typing import Any, Generic, TypeVar
from urllib.parse import urlencode

from msgspec import DecodeError, json

from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.h11_fetch import IsWanted, NoReplyError, NotWantedError, fetch
from umberhitch.core.direct import RolloutState
from umberhitch.errors import (
    ConfigError,
    LogAnswerLostError,
    LogBrokenOffError,
    LogReplacedError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.platform._documents import decode_status, encode_status
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import (
    EndpointCall,
    FeedBatch,
    FeedRecord,
    Member,
    StoredStatus,
    do_nothing,
)

__all__ = ["KeyedFeed", "LargeRecords", "Members", "Statuses", "StoreClient"]

log = getLogger(__name__)

Value = TypeVar("Value")

OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
GROUP = "umberhitch-routers"
GROUP_TOPICS = ["umberhitch-seats-1", "umberhitch-seats-2", "umberhitch-seats-3"]
"""Only their partitions matter: a member that holds none does not appear among the owners."""

CALL_S = 1.0
"""A call that takes longer has failed; the store answers within some ms, slow within some 100."""
READ_KB = 1024
LAST_TRIES = 4
"""So often the last record is asked for while more come; then the newest of every key."""
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")


class StoreClient:
    """Calls the store.

    Parameters
    ----------
    http : EndpointClient
    clock : Clock
    address : str
        ``IP:PORT``.
    """

    def __init__(self, http: EndpointClient, clock: Clock, address: str) -> None:
        self._http = http
        self._clock = clock
        self._address = address
        self.calls = 0

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b"",
        patience_s: float = CALL_S,
        is_wanted: IsWanted | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of an answer, which has to begin within ``patience_s``.

        Raises
        ------
        LogUnavailableError
            The store refused the call, or could not be reached; it did nothing.
        LogAnswerLostError
            No answer came, or not the whole; the call may take effect, also later.
        """
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        headers = [(b"Host", self._address.encode())]
        if method == "POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
            headers.append((b"Content-Type", b"application/json"))
        call = EndpointCall("", method.encode(), target.encode(), headers, body, is_once=True)
        try:
            head, data = await fetch(
                self._http, self._clock, self._address, call, patience_s, is_wanted
            )
        except NoReplyError as exc:
            if exc.has_begun:
                raise LogBrokenOffError(str(exc)) from exc
            if exc.was_sent:
                raise LogAnswerLostError(str(exc)) from exc
            raise LogUnavailableError(str(exc)) from exc
        if head.status in (429, 503):
            raise LogUnavailableError(f"the store answered {head.status}")
        return head.status, data

    async def read(
        self,
        path: str,
        query: dict[str, Any],
        patience_s: float = CALL_S,
        is_wanted: IsWanted | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of an answer to a call that changes nothing.

        Raises
        ------
        LogUnavailableError
            No answer came.
        LogBrokenOffError
            The answer was not completed.
        """
        try:
            return await self.call("GET", path, query, b"", patience_s, is_wanted)
        except LogBrokenOffError:
            raise
        except LogAnswerLostError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def call_json(self, path: str, body: dict[str, Any]) -> Any:
        """Post JSON and return the answer's; raises as `call`."""
        status, data = await self.call("POST", path, {}, json.encode(body))
        return _json(status, data)


def _json(status: int, data: bytes) -> Any:
    if status != 200:
        raise LogUnavailableError(f"the store answered {status}")
    try:
        return json.decode(data)
    except DecodeError as exc:
        raise LogUnavailableError(f"the store's answer is not JSON: {exc}") from exc


@dataclass(frozen=True, slots=True)
class LargeRecords:
    """Records that may be large, in a topic whose others are small.

    Attributes
    ----------
    key : str
        Their key; the keys of the others sort after it.
    skip_bytes : int
        Where several records follow an offset and so much of them has come, the rest is not read:
        only the newest of these counts.
    """

    key: str
    skip_bytes: int


class KeyedFeed(Generic[Value]):
    """One keyed stream, decoded; a `FeedPort`.

    Parameters
    ----------
    store : StoreClient
    topic : str
    decode : callable
        Returns a record's value, or None for one that does not concern us; raises `ConfigError`.
    large : LargeRecords or None
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        decode: Callable[[str, bytes], Value | None],
        large: LargeRecords | None = None,
    ) -> None:
        self._store = store
        self._topic = topic
        self._decode = decode
        self._large = large
        self._last: int | None = None
        """Offset of the last record, where those before it were left unread."""

    async def newest(self, patience_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, and an offset from which nothing is missed."""
        found = await self._newest_by_last(patience_s)
        rows, end = found or await newest_rows(self._store, self._topic, patience_s)
        records = [self._record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _newest_by_last(
        self, patience_s: float
    ) -> tuple[list[tuple[str, bytes]], int] | None:
        """Return the same where the last record is a large one: as it is, not in base64."""
        for _ in range(LAST_TRIES):
            last, self._last = self._last, None
            if last is None:
                return None
            try:
                rows, end = await self._read_from(last, 0.0, patience_s)
            except LogReplacedError:
                continue  # another came meanwhile
            except LogTrimmedError:
                return None
            assert self._large is not None
            if self._large.key not in dict(rows):
                return None
            others, _ = await newest_rows(self._store, self._topic, patience_s, self._large.key)
            return others + rows, end
        return None

    async def since(
        self,
        offset: int,
        wait_s: float,
        patience_s: float,
        on_begun: Callable[[], None] = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the records from an offset on, as soon as there is one or the wait is over."""
        rows, end = await self._read_from(offset, wait_s, patience_s, on_begun)
        records = [self._record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _read_from(
        self,
        offset: int,
        wait_s: float,
        patience_s: float,
        on_begun: Callable[[], None] = do_nothing,
    ) -> tuple[list[tuple[str, bytes]], int]:
        query = {
            "topic": self._topic,
            "part": 0,
            "from": offset,
            "maxKb": READ_KB,
            "waitMs": int(wait_s * 1000),
        }

        has_begun = False

        def is_wanted(body: bytearray) -> bool:
            nonlocal has_begun
            if not has_begun and len(body) > OFFSETS.size:
                has_begun = True
                on_begun()
            if self._large is None or len(body) < self._large.skip_bytes:
                return True
            return _end(body) <= offset + 1

        try:
            status, data = await self._store.read(
                "/-/log-read", query, wait_s + patience_s, is_wanted
            )
        except NotWantedError as exc:
            self._last = _end(exc.start) - 1
            raise LogReplacedError("several large records follow") from exc
        if status == 410:
            raise LogTrimmedError(int(_json(200, data).get("firstOffset", 0)))
        if status != 200:
            raise LogUnavailableError(f"the store answered {status}")
        return _rows(data, offset)

    def _record(self, key: str, value: bytes) -> FeedRecord[Value] | None:
        if not value:
            return FeedRecord(key, None)
        try:
            decoded = self._decode(key, value)
        except ConfigError as exc:
            log.warning("record not valid", extra={"topic": self._topic, "problem": str(exc)})
            return None
        return None if decoded is None else FeedRecord(key, decoded)


async def newest_rows(
    store: StoreClient, topic: str, patience_s: float = CALL_S, after: str = ""
) -> tuple[list[tuple[str, bytes]], int]:
    """Return all newest records of a topic, and the end before the first page was read.

    With ``after``, only those whose keys sort after that.
    """
    rows: list[tuple[str, bytes]] = []
    end = -1
    query: dict[str, Any] = {"topic": topic, "part": 0}
    if after:
        query["after"] = after
    while True:
        status, data = await store.read("/-/log-newest", query, patience_s)
        if status == 404:
            return rows, max(0, end)
        page = _json(status, data)
        # Pages are no snapshot: what changes meanwhile is read again from the first page's end.
        end = page["endOffset"] if end < 0 else end
        rows += [(item["key"], b64decode(item.get("value") or "")) for item in page["items"]]
        if not page.get("hasMore"):
            return rows, end
        query["after"] = rows[-1][0]


def _end(data: bytes | bytearray) -> int:
    """Return the end of the stream, with which raw records begin."""
    return int(OFFSETS.unpack_from(data)[0])


def _rows(data: bytes, offset: int) -> tuple[list[tuple[str, bytes]], int]:
    """Return keys and values of raw records, and the offset after the last one."""
    try:
        OFFSETS.unpack_from(data)
        rows = []
        at = OFFSETS.size
        while at < len(data):
            (length,) = LENGTH.unpack_from(data, at)
            at += LENGTH.size
            record = data[at : at + length]
            if len(record) != length:
                raise LogUnavailableError("a record was cut off")
            key_end = 1 + record[0]
            rows.append((record[1:key_end].decode(), record[key_end:]))
            at += length
    except (struct.error, IndexError, UnicodeDecodeError) as exc:
        raise LogUnavailableError(f"malformed records: {exc}") from exc
    return rows, offset + len(rows)


class Statuses:
    """The states of roll-outs; a `StatusPort`."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self) -> StoredStatus:
        """Return all states."""
        rows, end = await newest_rows(self._store, STATUS_TOPIC)
        states = {}
        for key, value in rows:
            try:
                decoded = decode_status(key, value) if value else None
            except ConfigError as exc:
                log.warning("record not valid", extra={"topic": STATUS_TOPIC, "problem": str(exc)})
                continue
            if decoded is not None:
                service, target, state = decoded
                states[service] = (target, state)
        return StoredStatus(states, end)

    async def write(self, service: str, target: str, state: RolloutState, end: int) -> bool:
        """Write a state unless anything was written since ``end``; return whether it was done."""
        key, value = encode_status(service, target, state)
        record = bytes([len(key)]) + key.encode() + value
        query = {"topic": STATUS_TOPIC, "part": 0, "expectedOffset": end}
        body = LENGTH.pack(len(record)) + record
        status, data = await self._store.call("POST", "/-/log-append", query, body)
        if status == 412:
            return False
        _json(status, data)
        return True


class Members:
    """Membership of routers; a `MembersPort`.

    The store gives the partitions of a topic to the members of a group; the rows of owners are the
    list of members. A member's name in the group carries its address.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._generation = 0

    async def join(self, member: Member, ttl_s: float) -> int:
        """Join or stay; return a number that changes with the membership."""
        body = {
            "group": GROUP,
            "member": _label(member),
            "topics": GROUP_TOPICS,
            "ttlMs": int(ttl_s * 1000),
            "generation": self._generation,
        }
        reply = await self._store.call_json("/-/log-join", body)
        self._generation = int(reply["generation"])
        return self._generation

    async def leave(self, member: Member) -> None:
        """Leave."""
        await self._store.call_json("/-/log-leave", {"group": GROUP, "member": _label(member)})

    async def members(self) -> list[Member]:
        """Return all members."""
        status, data = await self._store.read("/-/log-owners", {"group": GROUP})
        # The pages do not name the list of rows; it is the only list in the answer.
        rows = next((v for v in _json(status, data).values() if isinstance(v, list)), [])
        labels = {row[2] for row in rows if row[2]}
        return [_member(label) for label in sorted(labels)]


def _label(member: Member) -> str:
    return f"{member.name}@{member.address}"


def _member(label: str) -> Member:
    name, _, address = label.rpartition("@")
    return Member(name, address)
