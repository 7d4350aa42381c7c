"""Port to the platform's log service."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

__all__ = ["LogBatch", "LogPort"]


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Records read from one stream.

    Attributes
    ----------
    first : int
        Lowest offset that the service still retains.
    end : int
        Offset that the next appended record will get.
    records : tuple of (int, bytes)
        Offset and content, in offset order.
    """

    first: int
    end: int
    records: tuple[tuple[int, bytes], ...]


class LogPort(Protocol):
    """Append-only streams with offsets, limited retention and outages."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records as one group and return the offset of the first.

        Raises
        ------
        LogUnavailableError
            Nothing was appended.
        LogAnswerLostError
            Whether the group was appended is not known.
        """
        ...

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> LogBatch:
        """Return records from offset ``start``, waiting up to ``wait_s`` for the first.

        Raises
        ------
        LogTrimmedError
            If ``start`` is no longer retained.
        LogError
            If the service did not answer.
        """
        ...
