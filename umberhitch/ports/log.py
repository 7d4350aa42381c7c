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
        Lowest offset that the service retains.
    end : int
        Offset of the next record to be appended.
    records : tuple of (int, bytes)
        Offset and content of each record, in the order of offsets.
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
            It is unknown whether the group was appended.
        """
        ...

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> LogBatch:
        """Return the records from offset ``start``; wait up to ``wait_s`` seconds for the first.

        Raises
        ------
        LogTrimmedError
            If ``start`` is no longer retained.
        LogError
            If the service did not answer.
        """
        ...
