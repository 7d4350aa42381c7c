"""The link over real sockets: keys, versions, foreign and malformed frames."""

import socket
from contextlib import suppress
from time import sleep
from typing import Any

import pytest
import zmq
from msgspec import to_builtins
from twisted.internet.task import Clock

from umberhitch import PROTOCOL_VERSION
from umberhitch.adapters.zmq_link import CurveKeys, ZmqLink, make_context
from umberhitch.errors import FrameError
from umberhitch.wire import Frame, Hello, decode_frame, encode_frame
from umberhitch.wire import _codec as codec

HELLO = Hello("r1", 1, "a", 0)
POLL_S = 0.005
MANY_POLLS = 400
"""What has not come in 2 s of these does not come."""
MOST_POLLS = 6000
"""What is to come is waited for up to 30 s, on however busy a machine."""


class PolledReactor(Clock):
    """A reactor whose readers are polled by the test."""

    def __init__(self) -> None:
        super().__init__()
        self.readers: list[Any] = []

    def addReader(self, reader: Any) -> None:
        self.readers.append(reader)

    def removeReader(self, reader: Any) -> None:
        self.readers.remove(reader)

    def poll_until(self, condition: Any, polls: int = MOST_POLLS) -> bool:
        for _ in range(polls):
            self.advance(0.01)
            for reader in list(self.readers):
                reader.doRead()
            if condition():
                return True
            sleep(POLL_S)
        return False


@pytest.fixture
def context():
    made = make_context()
    yield made
    made.destroy(linger=0)


def _pair(context, keys_one=None, keys_two=None):
    reactor = PolledReactor()
    one = ZmqLink("one", reactor, context, "127.0.0.1:0", keys_one)
    two = ZmqLink("two", reactor, context, "127.0.0.1:0", keys_two)
    heard: list[Any] = []
    one.listen(lambda sender, messages: heard.extend((sender, msg) for msg in messages))
    two.listen(lambda sender, messages: None)
    two.connect("one", one.address)
    return reactor, one, two, heard


def _send_until_heard(reactor, link, heard, polls: int = MOST_POLLS) -> bool:
    def heard_yet() -> bool:
        link.send("one", HELLO)
        return bool(heard)

    return reactor.poll_until(heard_yet, polls)


def _make_keys() -> CurveKeys:
    return CurveKeys(*zmq.curve_keypair())


def test_messages_arrive_under_the_deployments_keys(context) -> None:
    keys = _make_keys()
    reactor, one, two, heard = _pair(context, keys, keys)
    assert _send_until_heard(reactor, two, heard)
    assert heard[0] == ("two", HELLO)
    one.close()
    two.close()


def test_a_peer_with_other_keys_is_not_heard(context) -> None:
    reactor, one, two, heard = _pair(context, _make_keys(), _make_keys())
    assert not _send_until_heard(reactor, two, heard, MANY_POLLS)
    one.close()
    two.close()


def test_a_peer_that_knows_only_the_public_key_is_not_heard() -> None:
    keys = _make_keys()
    context = make_context(keys)
    reactor, one, two, heard = _pair(context, keys, keys)
    assert _send_until_heard(reactor, two, heard)
    heard.clear()
    other = _make_keys()
    stranger = context.socket(zmq.DEALER)
    stranger.setsockopt(zmq.IDENTITY, b"stranger")
    stranger.curve_serverkey = keys.public
    stranger.curve_publickey, stranger.curve_secretkey = other.public, other.secret
    stranger.connect(f"tcp://{one.address}")
    stranger.send(encode_frame("stranger", [HELLO]))
    assert not reactor.poll_until(lambda: "stranger" in dict(heard), MANY_POLLS)
    stranger.close(linger=0)
    one.close()
    two.close()


def test_malformed_and_foreign_frames_are_counted_and_dropped(context) -> None:
    reactor, one, two, heard = _pair(context)
    stranger = context.socket(zmq.DEALER)
    stranger.setsockopt(zmq.IDENTITY, b"stranger")
    stranger.connect(f"tcp://{one.address}")
    stranger.send(b"nonsense")
    stranger.send(encode_frame("two", [HELLO]))
    stranger.send_multipart([b"a", b"b"])
    assert reactor.poll_until(lambda: one.counters.malformed == 3)
    assert heard == []
    assert _send_until_heard(reactor, two, heard)
    stranger.close(linger=0)
    one.close()
    two.close()


def test_the_version_before_and_the_next_are_spoken_others_are_not() -> None:
    def frame(version: int) -> bytes:
        return codec._encoder.encode(Frame(version, "x", [HELLO]))

    assert decode_frame(frame(PROTOCOL_VERSION + 1)).messages == [HELLO]
    with pytest.raises(FrameError, match="not spoken"):
        decode_frame(frame(PROTOCOL_VERSION + 2))


def test_fields_that_a_newer_version_has_added_are_passed_over() -> None:
    raw = [PROTOCOL_VERSION + 1, "x", [[*to_builtins(HELLO), "new field"]], "new part"]
    assert decode_frame(codec._encoder.encode(raw)).messages == [HELLO]


def test_oversized_frames_are_refused() -> None:
    with pytest.raises(FrameError, match="over"):
        decode_frame(b"x" * (codec.MAX_FRAME_BYTES + 1))


def test_a_peer_that_comes_back_at_another_address_is_reached(context) -> None:
    """The library ended the process (soak, seed 103): the route to the peer's old address was not
    taken down yet when that to the new one got the same id."""
    reactor, one, two, heard = _pair(context)
    again = ZmqLink("one", reactor, context, "127.0.0.1:0")
    heard_again: list[Any] = []
    again.listen(lambda sender, messages: heard_again.append(sender))
    for turn in range(20):
        two.connect("one", (one, again)[turn % 2].address)
        two.send("one", HELLO)
        reactor.advance(0.01)
    assert reactor.poll_until(lambda: two.send("one", HELLO) or heard_again)
    two.connect("one", one.address)
    heard.clear()
    assert _send_until_heard(reactor, two, heard)
    for link in (one, two, again):
        link.close()


def test_a_stranger_that_names_itself_like_a_route_does_not_speak_for_the_peer(context) -> None:
    reactor, one, two, heard = _pair(context)
    one.connect("two", two.address)  # its route to "two" is "two#1"
    stranger = context.socket(zmq.DEALER)
    stranger.setsockopt(zmq.IDENTITY, b"two#1")
    stranger.connect(f"tcp://{one.address}")
    malformed = one.counters.malformed
    stranger.send(encode_frame("two", [HELLO]))
    assert reactor.poll_until(lambda: one.counters.malformed > malformed)
    assert heard == []
    stranger.close(linger=0)
    one.close()
    two.close()


def test_a_peer_that_accepts_and_says_nothing_is_dialed_anew(context) -> None:
    """Its host lost power as it accepted; the library by itself waits for 30 s."""
    silent = socket.create_server(("127.0.0.1", 0))
    silent.setblocking(False)
    reactor = PolledReactor()
    link = ZmqLink("two", reactor, context, "127.0.0.1:0")
    link.connect("one", f"127.0.0.1:{silent.getsockname()[1]}")
    accepted: list[socket.socket] = []

    def is_dialed_twice() -> bool:
        with suppress(BlockingIOError):
            accepted.append(silent.accept()[0])
        return len(accepted) >= 2

    # Each poll waits 5 ms: these are 20 s at the most, where the handshake is given up after 2 s.
    assert reactor.poll_until(is_dialed_twice, 4000)
    for each in (silent, *accepted):
        each.close()
    link.close()


# A peer that was back was told nothing until the library tried the lost connection again, and at
# another address not before the store's list of routers said so.
def test_a_peer_that_is_back_at_another_address_hears_what_is_sent_over_its_own_connection(
    context,
) -> None:
    reactor, one, two, heard = _pair(context)
    assert _send_until_heard(reactor, two, heard)
    one.close()
    back = ZmqLink("one", reactor, context, "127.0.0.1:0")
    told: list[Any] = []
    asked: list[str] = []
    back.listen(lambda sender, messages: told.extend((sender, msg) for msg in messages))
    two.listen(lambda sender, messages: asked.append(sender))
    back.connect("two", two.address)

    def is_asked() -> bool:
        back.send("two", HELLO)
        return bool(asked)

    assert reactor.poll_until(is_asked, MOST_POLLS)
    two.use_inbound("one")
    assert _send_until_heard(reactor, two, told)
    assert {sender for sender, _ in told} == {"two"}
    back.close()
    two.close()


def test_a_peer_without_a_connection_of_its_own_is_reached_as_before(context) -> None:
    reactor, one, two, heard = _pair(context)
    two.use_inbound("one")
    two.use_inbound("stranger")
    assert _send_until_heard(reactor, two, heard)
    one.close()
    two.close()
