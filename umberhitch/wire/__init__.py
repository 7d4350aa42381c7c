"""The protocol between routers and agents: messages and frames."""

from umberhitch.wire import _messages
from umberhitch.wire._codec import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from umberhitch.wire._messages import *  # noqa: F403

__all__ = [
    "MAX_FRAME_BYTES",
    "Frame",
    "decode_frame",
    "encode_frame",
    *_messages.__all__,
]
