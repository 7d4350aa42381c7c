"""A conditional append takes effect only where the store has the records that were read.

Guards against two verdicts on a roll-out: after the store's return from an older copy, a topic can
be as long as it was when a router read it, with other records.
"""

import struct
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred

from umberhitch.adapters.store_client import StoreAnswer
from umberhitch.core.direct import Position, make_position
from umberhitch.errors import LogAnswerLostError
from umberhitch.platform._feed import append_record_at

ROUTERS = 3
TWO_WRITERS_OF_THE_EARLIER_EPOCH = [
    ("late", 0),
    ("read", 2),
    ("restore", 0),
    ("write", 0),
    ("write", 2),
]
"""Neither knows of the return: the first writes after what it has read, and the stream then ends
where the second has read other records."""


@dataclass
class _Store:
    """A topic with a condition on its end alone, and an epoch."""

    records: list[bytes] = field(default_factory=list)
    epoch: int = 1

    def append(self, offset: int, body: bytes) -> int:
        if offset != len(self.records):
            return 412
        while body:
            (length,) = struct.unpack_from(">I", body)
            self.records.append(body[4 : 4 + length])
            body = body[4 + length :]
        return 200

    async def call(self, method: str, path: str, query: Any, body: bytes) -> StoreAnswer:
        status = self.append(query["expectedOffset"], body)
        return StoreAnswer(status, b"{}", self.epoch)

    def read(self) -> tuple[Position, tuple[bytes, ...]]:
        return make_position(self.epoch, len(self.records)), tuple(self.records)


class _Recorder(_Store):
    """Keeps the call, to make it later."""

    async def call(self, method: str, path: str, query: Any, body: bytes) -> StoreAnswer:
        self.late = query["expectedOffset"], body
        return StoreAnswer(200, b"{}", self.epoch)


def _append(store: _Store, position: Position, value: bytes) -> list[Any]:
    results: list[Any] = []
    done = ensureDeferred(append_record_at(store, "t", "k", value, position))  # type: ignore[arg-type]
    done.addCallbacks(results.append, lambda failure: results.append(failure.value))
    return results


def _late_append(store: _Store, position: Position, value: bytes) -> tuple[int, bytes]:
    recorder = _Recorder(epoch=store.epoch)
    _append(recorder, position, value)
    return recorder.late


@example(TWO_WRITERS_OF_THE_EARLIER_EPOCH)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.sampled_from(("read", "write", "late")), st.integers(0, ROUTERS - 1)),
            st.tuples(st.just("restore"), st.integers(0, 200)),
        ),
        max_size=40,
    )
)
def test_an_append_succeeds_only_after_the_records_that_its_writer_has_read(steps):
    store = _Store()
    read = [store.read()] * ROUTERS
    for step, number in steps:
        before = tuple(store.records)
        match step:
            case "read":
                read[number] = store.read()
            case "restore":
                del store.records[number:]
                store.epoch += 1
            case "write":
                _append(store, read[number][0], b"w")
            case "late":
                store.append(*_late_append(store, read[number][0], b"l"))
        if step in ("write", "late") and tuple(store.records) != before:
            assert before == read[number][1]


def test_a_writer_whose_answer_is_of_another_epoch_does_not_know():
    store = _Store()
    position, _ = store.read()
    store.epoch += 1
    results = _append(store, position, b"w")
    assert isinstance(results[0], LogAnswerLostError)


@pytest.mark.parametrize("epoch", [0, 1, 2, 63, 64, 65])
def test_the_newest_record_is_the_one_that_was_written(epoch):
    store = _Store(epoch=epoch)
    assert _append(store, make_position(epoch, 0), b"w") == [True]
    assert store.records[-1] == b"\x01kw"
    assert set(store.records[:-1]) <= {b"\x01-"}
    assert epoch == 0 or len(store.records) % 64 == epoch % 64
    assert _append(store, make_position(epoch, 0), b"w") == [False]
