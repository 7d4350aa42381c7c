"""Compatibility with peers of the previous version during a rolling upgrade."""

from dataclasses import dataclass

from msgspec import Struct, msgpack

from umberhitch.core.direct import EndpointEntry, EndpointState
from umberhitch.wire import CanaryUpdate, PeerReport, ViewReply, decode_frame, encode_frame


@dataclass(frozen=True, slots=True)
class _OldEntry:
    incarnation: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: EndpointState


class _OldViewReply(Struct, frozen=True, array_like=True, tag="view"):
    request_id: int
    incarnation: int
    is_offset_known: bool
    end: int = -1
    age_s: float = 0.0
    held_s: float = 0.0
    is_after_outage: bool = False
    records: list[tuple[str, _OldEntry | None]] = []
    packed: list[tuple[str, bytes]] = []


class _OldCanaryUpdate(Struct, frozen=True, array_like=True, tag="moved"):
    service: str
    target: str
    moved_to_new: list[str]


class _OldFrame(Struct, frozen=True, array_like=True):
    version: int
    sender: str
    messages: list[_OldViewReply | _OldCanaryUpdate]


OLD_ENTRY = _OldEntry("e1", "svc", "10.0.0.1:80", "a", "v1", 8, EndpointState.READY)


def test_an_older_peer_decodes_entries_with_a_start_time():
    entry = EndpointEntry("e1", "svc", "10.0.0.1:80", "a", "v1", 8, EndpointState.READY, 1000)
    frame = encode_frame("r1", [ViewReply(1, 1, True, records=[("e1", entry)])])
    old = msgpack.decode(frame, type=_OldFrame)
    assert old.messages[0].records == [("e1", OLD_ENTRY)]


def test_an_older_peer_decodes_only_the_moved_sessions():
    frame = encode_frame("r1", [CanaryUpdate("svc", "v2", ["s1"], ["s2"], "completed")])
    assert msgpack.decode(frame, type=_OldFrame).messages == [_OldCanaryUpdate("svc", "v2", ["s1"])]


def test_messages_of_an_older_peer_are_decoded():
    frame = msgpack.encode(
        _OldFrame(
            1,
            "r1",
            [
                _OldViewReply(1, 1, True, records=[("e1", OLD_ENTRY)]),
                _OldCanaryUpdate("s", "v", []),
            ],
        )
    )
    reply, update = decode_frame(frame).messages
    assert reply.records[0][1].born is None
    assert update == CanaryUpdate("s", "v", [], [])
    assert not isinstance(reply, PeerReport)
