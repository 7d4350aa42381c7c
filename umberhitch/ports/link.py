"""Port to the other processes of umberhitch."""

from collections.abc import Callable
from typing import Protocol

from umberhitch.wire import Message

__all__ = ["LinkPort", "Receiver"]

Receiver = Callable[[str, list[Message]], None]
"""Called with the sender's name and its messages."""


class LinkPort(Protocol):
    """Sends messages to peers by name; any may be lost, repeated, late or out of order."""

    def send(self, peer: str, message: Message, is_deferrable: bool = False) -> None:
        """Queue a message; messages to one peer share frames.

        A patient message waits a few milliseconds for others; any other takes along what waits.
        """
        ...

    def connect(self, peer: str, address: str) -> None:
        """Make the peer reachable at ``IP:PORT``; a new address replaces the old one."""
        ...

    def disconnect(self, peer: str) -> None:
        """Forget the peer."""
        ...

    def listen(self, receiver: Receiver) -> None:
        """Deliver what arrives to ``receiver``."""
        ...
