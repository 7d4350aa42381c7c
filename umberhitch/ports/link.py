"""Port to the other processes of umberhitch."""

from collections.abc import Callable
from typing import Protocol

from umberhitch.wire import Message

__all__ = ["LinkPort", "Receiver"]

Receiver = Callable[[str, list[Message]], None]
"""Called with the name of the sender and its messages."""


class LinkPort(Protocol):
    """Sends messages to peers by name; any may be lost, duplicated, delayed or reordered."""

    def send(self, peer: str, message: Message, is_deferrable: bool = False) -> None:
        """Queue a message; messages to the same peer share frames.

        A deferrable message waits a few milliseconds for others to share its frame. Any other
        message is sent at once, along with the messages that wait.
        """
        ...

    def connect(self, peer: str, address: str) -> None:
        """Set the address of the peer, ``IP:PORT``; a new address replaces the old one."""
        ...

    def use_inbound(self, peer: str) -> None:
        """Send to the peer over the connection that it has made, as its process is a new one."""
        ...

    def disconnect(self, peer: str) -> None:
        """Remove the peer."""
        ...

    def listen(self, receiver: Receiver) -> None:
        """Deliver incoming messages to ``receiver``."""
        ...
