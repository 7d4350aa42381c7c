"""The keyed streams of the platform's store, decoded."""

import struct
from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from umberhitch.adapters.h11_fetch import NotWantedError
from umberhitch.adapters.problem_log import ProblemLog
from umberhitch.errors import (
    ConfigError,
    LogReplacedError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.platform._client import CALL_TIMEOUT_S, StoreClient, decode_response
from umberhitch.ports.direct import FeedBatch, FeedRecord, OnResponseStart, do_nothing

__all__ = ["KeyedFeed", "LargeRecords", "append_record", "newest_records"]

Value = TypeVar("Value")

MAX_READ_KB = 1024
MAX_LAST_READS = 4
"""So often the last record is asked for while more come; then the newest of every key."""
LENGTH_PREFIX = struct.Struct(">I")
"""Length of a record, before it."""
OFFSETS = struct.Struct(">QQ")


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
    skip_after_bytes: int


class KeyedFeed(Generic[Value]):
    """One keyed stream, decoded; a `FeedPort`.

    Parameters
    ----------
    store : StoreClient
    topic : str
    decode : callable
        Returns a record's value, or None for one that does not concern us; raises `ConfigError`.
    large : LargeRecords or None
    broken_is_gone : bool
        Whether a record that does not validate takes its key's value away: a reader that begins
        now sees no other record, and all are to see the same. Else the value before it stays.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        decode: Callable[[str, bytes], Value | None],
        large_records: LargeRecords | None = None,
        invalid_deletes: bool = False,
    ) -> None:
        self._broken_is_gone = invalid_deletes
        self._problems = ProblemLog(store.clock, topic)
        self._store = store
        self._topic = topic
        self._decode = decode
        self._large = large_records
        self._last: int | None = None
        """Offset of the last record, where those before it were left unread."""

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, and an offset from which nothing is missed."""
        found = await self._newest_by_last(timeout_s)
        rows, end = found or await newest_records(self._store, self._topic, timeout_s)
        records = [self._record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _newest_by_last(
        self, patience_s: float
    ) -> tuple[list[tuple[str, bytes]], int] | None:
        """Return the same where the last record is a large one: as it is, not in base64."""
        for _ in range(MAX_LAST_READS):
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
            others, _ = await newest_records(self._store, self._topic, patience_s, self._large.key)
            return others + rows, end
        return None

    async def since(
        self,
        offset: int,
        wait_s: float,
        timeout_s: float,
        on_response_start: OnResponseStart = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the records from an offset on, as soon as there is one or the wait is over."""
        rows, end = await self._read_from(offset, wait_s, timeout_s, on_response_start)
        records = [self._record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _read_from(
        self, offset: int, wait_s: float, patience_s: float, on_begun: OnResponseStart = do_nothing
    ) -> tuple[list[tuple[str, bytes]], int]:
        query = {"topic": self._topic, "part": 0, "from": offset, "maxKb": MAX_READ_KB}
        query["waitMs"] = int(wait_s * 1000)
        has_begun = False

        def is_wanted(body: bytearray) -> bool:
            nonlocal has_begun
            if not has_begun and len(body) > OFFSETS.size:
                has_begun = True
                on_begun()
            if self._large is None or len(body) < self._large.skip_after_bytes:
                return True
            return _end(body) <= offset + 1

        try:
            longest_s = wait_s + patience_s
            status, data = await self._store.read("/-/log-read", query, longest_s, is_wanted)
        except NotWantedError as exc:
            self._last = _end(exc.start) - 1
            raise LogReplacedError("several large records follow") from exc
        if status == 410:
            raise LogTrimmedError(int(decode_response(200, data).get("firstOffset", 0)))
        if status != 200:
            raise LogUnavailableError(f"the store answered {status}")
        rows, end = _parse_records(data, offset)
        if end > offset + len(rows):
            self._problems.write(f"records without a key from offset {offset} on")
        return rows, end

    def _record(self, key: str, value: bytes) -> FeedRecord[Value] | None:
        if not value:
            return FeedRecord(key, None)
        try:
            decoded = self._decode(key, value)
        except ConfigError as exc:
            self._problems.write(str(exc))
            return FeedRecord(key, None) if self._broken_is_gone else None
        return None if decoded is None else FeedRecord(key, decoded)


async def newest_records(
    store: StoreClient, topic: str, timeout_s: float = CALL_TIMEOUT_S, after: str = ""
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
        status, data = await store.read("/-/log-newest", query, timeout_s)
        if status == 404:
            return rows, max(0, end)
        page = decode_response(status, data)
        # Pages are no snapshot: what changes meanwhile is read again from the first page's end.
        end = page["endOffset"] if end < 0 else end
        rows += [(item["key"], b64decode(item.get("value") or "")) for item in page["items"]]
        if not page.get("hasMore"):
            return rows, end
        query["after"] = rows[-1][0]


async def append_record(
    store: StoreClient, topic: str, key: str, value: bytes, **query: int
) -> bool:
    """Append a record to a keyed topic; return False where a condition does not hold."""
    record = bytes([len(key)]) + key.encode() + value
    asked = {"topic": topic, "part": 0, **query}
    body = LENGTH_PREFIX.pack(len(record)) + record
    status, data = await store.call("POST", "/-/log-append", asked, body)
    if status != 412:
        decode_response(status, data)
    return status != 412


def _end(data: bytes | bytearray) -> int:
    """Return the end of the stream, with which raw records begin."""
    return int(OFFSETS.unpack_from(data)[0])


def _parse_records(data: bytes, offset: int) -> tuple[list[tuple[str, bytes]], int]:
    """Return keys and values of raw records, and the offset after the last one.

    Those whose key cannot be read are passed over: anyone may have written them.
    """
    rows = []
    end = offset
    try:
        OFFSETS.unpack_from(data)
        at = OFFSETS.size
        while at < len(data):
            (length,) = LENGTH_PREFIX.unpack_from(data, at)
            at += LENGTH_PREFIX.size
            record = data[at : at + length]
            if len(record) != length:
                raise LogUnavailableError("a record was cut off")
            end += 1
            at += length
            row = _keyed(record)
            if row is not None:
                rows.append(row)
    except struct.error as exc:
        raise LogUnavailableError(f"malformed records: {exc}") from exc
    return rows, end


def _keyed(record: bytes) -> tuple[str, bytes] | None:
    """Return a record's key and value, or None if it has no key that can be read."""
    if not record or len(record) < 1 + record[0]:
        return None
    key_end = 1 + record[0]
    try:
        return record[1:key_end].decode(), record[key_end:]
    except UnicodeDecodeError:
        return None
