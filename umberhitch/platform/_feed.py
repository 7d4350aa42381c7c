"""Reading, decoding and appending of the keyed streams of the platform's store."""

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
"""Maximum number of reads of the last record while newer ones arrive. Then the newest record of
every key is read."""
LENGTH_PREFIX = struct.Struct(">I")
"""Precedes each record and holds its length in bytes."""
OFFSETS = struct.Struct(">QQ")


@dataclass(frozen=True, slots=True)
class LargeRecords:
    """Records that may be large, in a topic whose other records are small.

    Attributes
    ----------
    key : str
        Key of the large records; the keys of all other records must sort after this one.
    skip_after_bytes : int
        If several records follow an offset, reading stops after this many bytes of them, since
        only the newest record is needed.
    """

    key: str
    skip_after_bytes: int


class KeyedFeed(Generic[Value]):
    """Reads and decodes one keyed stream; implements `FeedPort`.

    Parameters
    ----------
    store : StoreClient
    topic : str
    decode : callable
        Returns a record's value, or None for a record to ignore; raises `ConfigError`.
    large_records : LargeRecords or None
    invalid_deletes : bool
        Whether an invalid record deletes its key, so that all readers agree: a reader that starts
        now sees only the invalid record. Otherwise the key keeps its previous value.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        decode: Callable[[str, bytes], Value | None],
        large_records: LargeRecords | None = None,
        invalid_deletes: bool = False,
    ) -> None:
        self._invalid_deletes = invalid_deletes
        self._problems = ProblemLog(store.clock, topic)
        self._store = store
        self._topic = topic
        self._decode = decode
        self._large = large_records
        self._last_offset: int | None = None
        """Offset of the last record, set if the records before it were skipped."""

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, and an offset to read on from without a gap."""
        found = await self._read_newest(timeout_s)
        rows, end = found or await newest_records(self._store, self._topic, timeout_s)
        records = [self._decode_record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _read_newest(self, timeout_s: float) -> tuple[list[tuple[str, bytes]], int] | None:
        """Return the newest records if the last one is large, read without base64; else None."""
        for _ in range(MAX_LAST_READS):
            last, self._last_offset = self._last_offset, None
            if last is None:
                return None
            try:
                rows, end = await self._read_from(last, 0.0, timeout_s)
            except LogReplacedError:
                continue  # another record was appended during the read
            except LogTrimmedError:
                return None
            assert self._large is not None
            if self._large.key not in dict(rows):
                return None
            others, _ = await newest_records(self._store, self._topic, timeout_s, self._large.key)
            return others + rows, end
        return None

    async def since(
        self,
        offset: int,
        wait_s: float,
        timeout_s: float,
        on_response_start: OnResponseStart = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the records from an offset on, once there is one or ``wait_s`` has passed."""
        rows, end = await self._read_from(offset, wait_s, timeout_s, on_response_start)
        records = [self._decode_record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _read_from(
        self, offset: int, wait_s: float, timeout_s: float, on_start: OnResponseStart = do_nothing
    ) -> tuple[list[tuple[str, bytes]], int]:
        query = {"topic": self._topic, "part": 0, "from": offset, "maxKb": MAX_READ_KB}
        query["waitMs"] = int(wait_s * 1000)
        has_started = False

        def is_wanted(body: bytearray) -> bool:
            nonlocal has_started
            if not has_started and len(body) > OFFSETS.size:
                has_started = True
                on_start()
            if self._large is None or len(body) < self._large.skip_after_bytes:
                return True
            return _end_offset(body) <= offset + 1

        try:
            total_timeout_s = wait_s + timeout_s
            status, data = await self._store.read("/-/log-read", query, total_timeout_s, is_wanted)
        except NotWantedError as exc:
            self._last_offset = _end_offset(exc.start) - 1
            raise LogReplacedError("several large records follow the offset") from exc
        if status == 410:
            raise LogTrimmedError(int(decode_response(200, data).get("firstOffset", 0)))
        if status != 200:
            raise LogUnavailableError(f"the store returned status {status}")
        rows, end = _parse_records(data, offset)
        if end > offset + len(rows):
            self._problems.write(f"records without a readable key from offset {offset} on")
        return rows, end

    def _decode_record(self, key: str, value: bytes) -> FeedRecord[Value] | None:
        if not value:
            return FeedRecord(key, None)
        try:
            decoded = self._decode(key, value)
        except ConfigError as exc:
            self._problems.write(str(exc))
            return FeedRecord(key, None) if self._invalid_deletes else None
        return None if decoded is None else FeedRecord(key, decoded)


async def newest_records(
    store: StoreClient, topic: str, timeout_s: float = CALL_TIMEOUT_S, after: str = ""
) -> tuple[list[tuple[str, bytes]], int]:
    """Return the newest record of each key of a topic, and the end offset of the first page.

    If ``after`` is given, only keys that sort after it are included.
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
        # Pages are no snapshot: later changes are read again from the end offset of the first.
        end = page["endOffset"] if end < 0 else end
        rows += [(item["key"], b64decode(item.get("value") or "")) for item in page["items"]]
        if not page.get("hasMore"):
            return rows, end
        query["after"] = rows[-1][0]


async def append_record(
    store: StoreClient, topic: str, key: str, value: bytes, **query: int
) -> bool:
    """Append a record to a keyed topic; return False if a condition in ``query`` failed."""
    record = bytes([len(key)]) + key.encode() + value
    params = {"topic": topic, "part": 0, **query}
    body = LENGTH_PREFIX.pack(len(record)) + record
    status, data = await store.call("POST", "/-/log-append", params, body)
    if status != 412:
        decode_response(status, data)
    return status != 412


def _end_offset(data: bytes | bytearray) -> int:
    """Return the end offset of the stream from the header of a response with records."""
    return int(OFFSETS.unpack_from(data)[0])


def _parse_records(data: bytes, offset: int) -> tuple[list[tuple[str, bytes]], int]:
    """Return keys and values of raw records, and the offset after the last one.

    Records without a readable key are skipped, since any client may have written them.
    """
    rows = []
    end = offset
    try:
        OFFSETS.unpack_from(data)
        position = OFFSETS.size
        while position < len(data):
            (length,) = LENGTH_PREFIX.unpack_from(data, position)
            position += LENGTH_PREFIX.size
            record = data[position : position + length]
            if len(record) != length:
                raise LogUnavailableError("a record was truncated")
            end += 1
            position += length
            row = _split_key(record)
            if row is not None:
                rows.append(row)
    except struct.error as exc:
        raise LogUnavailableError(f"malformed records: {exc}") from exc
    return rows, end


def _split_key(record: bytes) -> tuple[str, bytes] | None:
    """Return a record's key and value, or None if it has no readable key."""
    if not record or len(record) < 1 + record[0]:
        return None
    key_end = 1 + record[0]
    try:
        return record[1:key_end].decode(), record[key_end:]
    except UnicodeDecodeError:
        return None
