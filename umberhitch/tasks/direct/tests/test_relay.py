"""What a relay passes on of whole plain replies."""

import pytest

from umberhitch.core.direct import ReplyHead
from umberhitch.fakes import FakeReply
from umberhitch.ports.direct import do_nothing
from umberhitch.tasks.direct.buffered_bytes import BufferedBytes
from umberhitch.tasks.direct.relay import Relay

HEAD = ReplyHead(200, [(b"Content-Length", b"1234"), (b"X-Own", b"1")])


def _relay(is_head: bool) -> tuple[Relay, FakeReply]:
    reply = FakeReply()
    return Relay(reply, None, do_nothing, do_nothing, BufferedBytes(), is_head), reply


# The reply to HEAD said that the body has a length of 0.
def test_a_reply_to_head_tells_the_length_that_its_endpoint_told():
    relay, reply = _relay(is_head=True)
    relay.end(HEAD)
    assert reply.headers == {b"Content-Length": b"1234", b"X-Own": b"1"}
    assert (reply.body, reply.is_complete) == (b"", True)


@pytest.mark.parametrize("parts", [[], [b"a"], [b"a", b"bc"]])
def test_another_reply_tells_the_length_that_came(parts: list[bytes]):
    relay, reply = _relay(is_head=False)
    for part in parts:
        relay.plain_data(HEAD, part)
    relay.end(HEAD)
    assert reply.headers[b"Content-Length"] == str(sum(map(len, parts))).encode()
    assert reply.body == b"".join(parts)
