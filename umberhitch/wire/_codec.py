"""Encoding and decoding of frames, which carry messages between two processes of umberhitch."""

from collections.abc import Sequence

from msgspec import DecodeError, Struct, ValidationError, msgpack

from umberhitch import PROTOCOL_VERSION
from umberhitch.errors import FrameError
from umberhitch.wire._messages import Message

__all__ = ["MAX_FRAME_BYTES", "Frame", "decode_frame", "encode_frame"]

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Larger frames are rejected without decoding."""

OLDEST_VERSION = max(1, PROTOCOL_VERSION - 1)


class Frame(Struct, frozen=True, array_like=True):
    """The protocol version, the name of the sender, and its messages in order."""

    version: int
    sender: str
    messages: list[Message]


class _Header(Struct, frozen=True, array_like=True):
    """The part of a frame that is common to all protocol versions."""

    version: int


_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(Frame)
_header_decoder = msgpack.Decoder(_Header)


def encode_frame(sender: str, messages: Sequence[Message]) -> bytes:
    """Return the messages encoded as a frame."""
    return _encoder.encode(Frame(PROTOCOL_VERSION, sender, list(messages)))


def decode_frame(data: bytes) -> Frame:
    """Return the frame decoded from ``data``.

    Raises
    ------
    FrameError
        If the frame is too large, malformed, or of a protocol version that is not supported.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes is over {MAX_FRAME_BYTES}")
    try:
        frame = _decoder.decode(data)
    except (ValidationError, DecodeError) as exc:
        raise FrameError(_explain(data, exc)) from exc
    if not OLDEST_VERSION <= frame.version <= PROTOCOL_VERSION + 1:
        raise FrameError(f"frame of version {frame.version} is not spoken here")
    return frame


def _explain(data: bytes, exc: Exception) -> str:
    try:
        version = _header_decoder.decode(data).version
    except (ValidationError, DecodeError):
        return f"malformed frame: {exc}"
    return f"malformed frame of version {version}: {exc}"
