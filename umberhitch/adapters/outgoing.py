"""Bytes on their way to a caller, of which the process holds what it counts.

A transport joins all that it is given into one buffer, and keeps it whole until its last byte is
sent. So it is given a piece at a time: what has been sent is free, and what is left is known. The
source of a reply is paused while there are bytes beyond the piece that is being sent.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from umberhitch.adapters.unsent import buffered_bytes, unsent_bytes

__all__ = ["PIECE_BYTES", "FlowControl", "Outgoing"]

PIECE_BYTES = 65_536
"""What a transport is given at a time: as much as it reads or sends at a time."""


@dataclass(frozen=True, slots=True)
class FlowControl:
    """How to pause and resume the source of a reply."""

    pause: Callable[[], None]
    resume: Callable[[], None]


@implementer(IPullProducer)
class Outgoing:
    """What waits to be sent on one connection.

    Parameters
    ----------
    transport : ITCPTransport
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._pieces: deque[bytes] = deque()
        self._queued = 0
        self._source: FlowControl | None = None
        self._is_source_paused = False

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken."""
        return self._queued + unsent_bytes(self._transport)

    @property
    def held(self) -> int:
        """Bytes of memory that they take."""
        return self._queued + buffered_bytes(self._transport)

    def set_source(self, source: FlowControl | None) -> None:
        """Set what is paused while bytes wait; None once the reply has ended."""
        self._source = source
        self._is_source_paused = False

    def write(self, data: bytes) -> None:
        """Send bytes, at once if the transport has room."""
        if not self._pieces and unsent_bytes(self._transport) + len(data) <= PIECE_BYTES:
            self._transport.write(data)
            return
        is_first = not self._pieces
        for start in range(0, len(data), PIECE_BYTES):
            self._pieces.append(data[start : start + PIECE_BYTES])
        self._queued += len(data)
        if is_first:
            self._transport.registerProducer(self, False)
        self._pause_source()

    def _pause_source(self) -> None:
        if self._source is not None and self._pieces and not self._is_source_paused:
            self._is_source_paused = True
            self._source.pause()

    def resumeProducing(self) -> None:
        """Give the transport the next piece, once it has sent the one before."""
        if unsent_bytes(self._transport):
            return
        piece = self._next_piece()
        if not self._pieces:
            self._transport.unregisterProducer()
        self._transport.write(piece)
        if not self._pieces and self._source is not None and self._is_source_paused:
            self._is_source_paused = False
            self._source.resume()

    def _next_piece(self) -> bytes:
        """Take small pieces together."""
        taken: list[bytes] = []
        count = 0
        while self._pieces and (not taken or count + len(self._pieces[0]) <= PIECE_BYTES):
            taken.append(self._pieces.popleft())
            count += len(taken[-1])
        self._queued -= count
        return b"".join(taken)

    def stopProducing(self) -> None:
        """Drop what waits, as the connection has ended."""
        self._pieces.clear()
        self._queued = 0
