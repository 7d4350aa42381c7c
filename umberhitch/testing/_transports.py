"""Connections in memory, for the tests of protocols."""

from typing import Any

from twisted.internet.testing import MemoryReactorClock, StringTransport

__all__ = ["FakeTransport", "dial"]


class _Handle:
    """A socket whose options nobody reads."""

    def fileno(self) -> int:
        """Return no descriptor."""
        return -1

    def setsockopt(self, *args: Any) -> None:
        """Do nothing."""


class FakeTransport(StringTransport):
    """A transport that can be aborted and half closed."""

    is_half_closed = False
    offset = 0
    _tempDataLen = 0
    dataBuffer = b""
    """What the other side has not taken; tests set it."""

    def getHandle(self) -> _Handle:
        """Return a socket."""
        return _Handle()

    def loseWriteConnection(self) -> None:
        """Note that nothing more is written."""
        self.is_half_closed = True

    def take(self) -> bytes:
        """Return what was written since the last time."""
        data = self.value()
        self.clear()
        return data


def dial(reactor: MemoryReactorClock) -> tuple[Any, FakeTransport]:
    """Accept the newest connection that was dialled; returns its protocol and transport."""
    factory = reactor.tcpClients[-1][2]
    protocol: Any = factory.buildProtocol(None)
    transport = FakeTransport()
    protocol.makeConnection(transport)
    return protocol, transport
