"""Connections whose other side has gone silent."""

from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_NODELAY
from typing import Any

__all__ = ["detect_silence"]

TCP_KEEPIDLE = 4
TCP_KEEPINTVL = 5
TCP_KEEPCNT = 6
TCP_USER_TIMEOUT = 18
"""Linux, tcp(7)."""


def detect_silence(transport: Any, silence_s: float) -> None:
    """Let the kernel end a connection whose other side does not answer."""
    sock = transport.getHandle()
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, 2)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, int(silence_s * 1000))
