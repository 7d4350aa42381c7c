"""Peers that run the version before, while routers are replaced one by one."""

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


class _OldReply(Struct, frozen=True, array_like=True, tag="view"):
    ask: int
    incarnation: int
    is_known: bool
    end: int = -1
    age_s: float = 0.0
    held_s: float = 0.0
    was_away: bool = False
    records: list[tuple[str, _OldEntry | None]] = []
    packed: list[tuple[str, bytes]] = []


class _OldMoved(Struct, frozen=True, array_like=True, tag="moved"):
    service: str
    target: str
    sessions: list[str]


class _OldFrame(Struct, frozen=True, array_like=True):
    version: int
    sender: str
    messages: list[_OldReply | _OldMoved]


OLD_ENTRY = _OldEntry("e1", "svc", "10.0.0.1:80", "a", "v1", 8, EndpointState.READY)


def test_an_older_peer_reads_entries_that_say_when_they_were_born():
    entry = EndpointEntry("e1", "svc", "10.0.0.1:80", "a", "v1", 8, EndpointState.READY, 1000)
    frame = encode_frame("r1", [ViewReply(1, 1, True, records=[("e1", entry)])])
    old = msgpack.decode(frame, type=_OldFrame)
    assert old.messages[0].records == [("e1", OLD_ENTRY)]


def test_an_older_peer_reads_only_the_sessions_that_moved():
    frame = encode_frame("r1", [CanaryUpdate("svc", "v2", ["s1"], ["s2"], "completed")])
    assert msgpack.decode(frame, type=_OldFrame).messages == [_OldMoved("svc", "v2", ["s1"])]


def test_what_an_older_peer_says_is_read():
    frame = msgpack.encode(
        _OldFrame(
            1, "r1", [_OldReply(1, 1, True, records=[("e1", OLD_ENTRY)]), _OldMoved("s", "v", [])]
        )
    )
    reply, moved = decode_frame(frame).messages
    assert reply.records[0][1].born is None
    assert moved == CanaryUpdate("s", "v", [], [])
    assert not isinstance(reply, PeerReport)
