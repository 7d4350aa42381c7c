"""The protocol between routers, and between routers and agents: messages and frames."""

from umberhitch.wire import _messages
from umberhitch.wire._codec import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from umberhitch.wire._messages import *  # noqa: F403
from umberhitch.wire._packing import pack_value, unpack_value

__all__ = [
    "MAX_FRAME_BYTES",
    "Frame",
    "decode_frame",
    "encode_frame",
    "pack_value",
    "unpack_value",
    *_messages.__all__,
]
