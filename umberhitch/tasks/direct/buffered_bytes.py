"""Bytes of endpoints' replies that requests buffer before they are passed on."""

from collections.abc import Callable

__all__ = ["BufferedBytes"]


def _always(count: int) -> bool:
    return True


class BufferedBytes:
    """Counts what all requests of a router buffer.

    Attributes
    ----------
    count : int
        Bytes that are buffered now.
    has_room : callable
        Whether so many bytes more may be held in the process.
    """

    def __init__(self) -> None:
        self.count = 0
        self.has_room: Callable[[int], bool] = _always

    def add(self, count: int) -> None:
        """Count bytes that are buffered from now on."""
        self.count += count

    def remove(self, count: int) -> None:
        """Count bytes that are no longer buffered."""
        self.count -= count
