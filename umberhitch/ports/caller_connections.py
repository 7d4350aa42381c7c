"""What is under way on callers' connections: one definition for drain, connection and pages."""

from collections import Counter
from enum import StrEnum
from typing import Protocol

__all__ = ["UNDER_WAY", "CallerConnections", "ConnectionStage", "NoConnections"]


class ConnectionStage(StrEnum):
    """How far a caller's connection is with its request."""

    IDLE = "idle"
    """Nothing of a request has come that is not answered, and every answer was taken."""
    RECEIVING = "receiving"
    """First bytes of a request have come, or were pipelined; it has not been read whole."""
    ANSWERING = "answering"
    """A request was read whole, and its answer has not ended."""
    DELIVERING = "delivering"
    """An answer has ended, and the caller has not taken all of it."""
    CLOSING = "closing"
    """Nothing more comes of it."""


UNDER_WAY = (ConnectionStage.RECEIVING, ConnectionStage.ANSWERING, ConnectionStage.DELIVERING)
"""Stages in which the end of the connection costs its caller something."""


class CallerConnections(Protocol):
    """The callers' connections of one router."""

    def stages(self) -> Counter[ConnectionStage]:
        """Return the number of connections in each stage."""
        ...


class NoConnections:
    """Stands for connections where requests come without any."""

    def stages(self) -> Counter[ConnectionStage]:
        """Return nothing."""
        return Counter()
