"""What operators wrote, packed for other routers: a change of the configuration, or an order."""

import zlib

from msgspec import DecodeError, Struct, ValidationError, msgpack

from umberhitch.core.direct import DocumentChange, RolloutOrder, ZoneOut
from umberhitch.errors import FrameError

__all__ = ["pack_value", "unpack_value"]

COMPRESSION_LEVEL = 1
"""Of zlib: the fastest; a change of 1,400 routes, 0.3 MB as text, becomes some 25 kB in 3 ms."""
MAX_UNPACKED_BYTES = 8 * 1024 * 1024
"""What is larger when unpacked is not taken."""


class _Packed(Struct, frozen=True, array_like=True):
    """One of them; none for a record that is gone."""

    change: DocumentChange | None = None
    order: RolloutOrder | None = None
    zone: ZoneOut | None = None


_decoder = msgpack.Decoder(_Packed)


def pack_value(value: DocumentChange | RolloutOrder | ZoneOut | None) -> bytes:
    """Return a value as bytes."""
    match value:
        case DocumentChange():
            packed = _Packed(change=value)
        case RolloutOrder():
            packed = _Packed(order=value)
        case ZoneOut():
            packed = _Packed(zone=value)
        case None:
            packed = _Packed()
    return zlib.compress(msgpack.encode(packed), COMPRESSION_LEVEL)


def unpack_value(data: bytes) -> DocumentChange | RolloutOrder | ZoneOut | None:
    """Return the value in bytes.

    Raises
    ------
    FrameError
        If they are malformed, or hold too much.
    """
    unpacker = zlib.decompressobj()
    try:
        packed = _decoder.decode(unpacker.decompress(data, MAX_UNPACKED_BYTES))
    except (zlib.error, ValidationError, DecodeError) as exc:
        raise FrameError(f"malformed value: {exc}") from exc
    return packed.change or packed.order or packed.zone
