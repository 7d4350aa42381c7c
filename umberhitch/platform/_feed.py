"""Reading, decoding and appending of the keyed streams of the platform's store."""

import struct
from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from umberhitch.adapters.h11_fetch import NotWantedError
from umberhitch.adapters.problem_log import ProblemLog
from umberhitch.adapters.store_client import CALL_TIMEOUT_S, StoreClient, decode_response
from umberhitch.core.direct import (
    NO_POSITION,
    Position,
    epoch_of,
    make_position,
    offset_of,
    padding_before,
)
from umberhitch.errors import (
    ConfigError,
    LogAnswerLostError,
    LogReplacedError,
    LogRestoredError,
    LogTrimmedError,
    LogUnavailableError,
)
from umberhitch.ports.direct import FeedBatch, FeedRecord, OnResponseStart, do_nothing

__all__ = ["KeyedFeed", "LargeRecords", "append_record", "append_record_at", "newest_records"]

Value = TypeVar("Value")

MAX_READ_KB = 1024
MAX_LAST_READS = 4
"""Maximum number of reads of the last record while newer ones arrive. Then the newest record of
every key is read."""
LENGTH_PREFIX = struct.Struct(">I")
"""Precedes each record and holds its length in bytes."""
OFFSETS = struct.Struct(">QQ")
PADDING_KEY = "-"


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
        """Return the newest record of every key, and a position to read on from without a gap."""
        found = await self._read_newest(timeout_s)
        rows, end = found or await newest_records(self._store, self._topic, timeout_s)
        records = [self._decode_record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _read_newest(self, timeout_s: float) -> "_Rows | None":
        """Return the newest records if the last one is large, read without base64; else None."""
        for _ in range(MAX_LAST_READS):
            last, self._last_offset = self._last_offset, None
            if last is None:
                return None
            try:
                rows, end = await self._read_from(last, None, 0.0, timeout_s)
            except LogReplacedError:
                continue  # another record was appended during the read
            except LogTrimmedError:
                return None
            assert self._large is not None
            if self._large.key not in dict(rows):
                return None
            others, others_end = await newest_records(
                self._store, self._topic, timeout_s, self._large.key
            )
            _check_same_epoch(epoch_of(end), epoch_of(others_end))
            return others + rows, end
        return None

    async def since(
        self,
        position: Position,
        wait_s: float,
        timeout_s: float,
        on_response_start: OnResponseStart = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the records from a position on, once there is one or ``wait_s`` has passed."""
        offset, epoch = offset_of(position), epoch_of(position)
        rows, end = await self._read_from(offset, epoch, wait_s, timeout_s, on_response_start)
        records = [self._decode_record(key, value) for key, value in rows]
        return FeedBatch(tuple(filter(None, records)), end)

    async def _read_from(
        self,
        offset: int,
        epoch: int | None,
        wait_s: float,
        timeout_s: float,
        on_start: OnResponseStart = do_nothing,
    ) -> "_Rows":
        """Return the records from an offset of an epoch on, or of any epoch if it is None."""
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
            answer = await self._store.read(
                "/-/log-read", query, total_timeout_s, is_wanted, is_held=wait_s > 0.0
            )
        except NotWantedError as exc:
            self._last_offset = _end_offset(exc.start) - 1
            raise LogReplacedError("several large records follow the offset") from exc
        _check_same_epoch(answer.epoch if epoch is None else epoch, answer.epoch)
        if answer.status == 410:
            raise LogTrimmedError(int(decode_response(answer, 410).get("firstOffset", 0)))
        if answer.status != 200:
            raise LogUnavailableError(f"the store returned status {answer.status}")
        rows, end = _parse_records(answer.data, offset)
        if end > offset + len(rows):
            self._problems.write(f"records without a readable key from offset {offset} on")
        return rows, make_position(answer.epoch, end)

    def _decode_record(self, key: str, value: bytes) -> FeedRecord[Value] | None:
        if not value:
            return FeedRecord(key, None)
        try:
            decoded = self._decode(key, value)
        except ConfigError as exc:
            self._problems.write(str(exc))
            return FeedRecord(key, None) if self._invalid_deletes else None
        return None if decoded is None else FeedRecord(key, decoded)


_Rows = tuple[list[tuple[str, bytes]], Position]
"""Keys and values of records, and the position to read on from."""


def _check_same_epoch(expected: int, epoch: int) -> None:
    if epoch != expected:
        raise LogRestoredError(f"the store's answer is of epoch {epoch}, not of {expected}")


async def newest_records(
    store: StoreClient, topic: str, timeout_s: float = CALL_TIMEOUT_S, after: str = ""
) -> _Rows:
    """Return the newest record of each key of a topic, and the end of the first page.

    If ``after`` is given, only keys that sort after it are included. Raises `LogRestoredError` if
    the store returned from another copy between two pages.
    """
    rows: list[tuple[str, bytes]] = []
    end = NO_POSITION
    query: dict[str, Any] = {"topic": topic, "part": 0}
    if after:
        query["after"] = after
    while True:
        answer = await store.read("/-/log-newest", query, timeout_s)
        if end != NO_POSITION:
            _check_same_epoch(epoch_of(end), answer.epoch)
        if answer.status == 404:
            return rows, make_position(answer.epoch, 0) if end == NO_POSITION else end
        page = decode_response(answer)
        # Pages are no snapshot: later changes are read again from the end offset of the first.
        end = make_position(answer.epoch, page["endOffset"]) if end == NO_POSITION else end
        rows += [(item["key"], b64decode(item.get("value") or "")) for item in page["items"]]
        if not page.get("hasMore"):
            return rows, end
        query["after"] = rows[-1][0]


async def append_record(store: StoreClient, topic: str, key: str, value: bytes) -> None:
    """Append a record to a keyed topic."""
    params = {"topic": topic, "part": 0}
    decode_response(await store.call("POST", "/-/log-append", params, _frame(key, value)))


async def append_record_at(
    store: StoreClient, topic: str, key: str, value: bytes, position: Position
) -> bool:
    """Append a record if the topic still ends at a position; return whether it does.

    The store compares offsets alone; see `padding_before` for why that is enough. Deletions of an
    unused key are the padding. Raises `LogAnswerLostError` if the answer is of another epoch.
    """
    offset, epoch = offset_of(position), epoch_of(position)
    padding = padding_before(position)
    params = {"topic": topic, "part": 0, "expectedOffset": offset}
    body = padding * _frame(PADDING_KEY, b"") + _frame(key, value)
    answer = await store.call("POST", "/-/log-append", params, body)
    if answer.epoch != epoch:
        raise LogAnswerLostError(f"answer of epoch {answer.epoch}, not of {epoch}")
    if answer.status != 412:
        decode_response(answer)
    return answer.status != 412


def _frame(key: str, value: bytes) -> bytes:
    """Return a record with its length; without a value, it deletes its key."""
    record = bytes([len(key)]) + key.encode() + value
    return LENGTH_PREFIX.pack(len(record)) + record


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
