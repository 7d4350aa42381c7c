"""Bytes that were written to a connection and that its other side has not taken yet."""

from array import array
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Any

__all__ = ["buffered_bytes", "unacknowledged_bytes", "unsent_bytes"]


def buffered_bytes(transport: Any) -> int:
    """Return the bytes of a transport's buffers, which keep what was sent of the current one."""
    held: int = len(transport.dataBuffer) + transport._tempDataLen
    return held


def unsent_bytes(transport: Any) -> int:
    """Return the bytes that wait in this process's memory."""
    waiting: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    return waiting


def unacknowledged_bytes(transport: Any) -> int:
    """Return the bytes that wait in the kernel, sent or not (SIOCOUTQ, tcp(7))."""
    count = array("i", [0])
    try:
        ioctl(transport.getHandle().fileno(), TIOCOUTQ, count)
    except (OSError, ValueError, AttributeError):  # closed meanwhile; it has no socket any more
        return 0
    return count[0]
