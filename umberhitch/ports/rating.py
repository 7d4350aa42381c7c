"""Port to the platform's rating service."""

from typing import Protocol

__all__ = ["RatingPort"]


class RatingPort(Protocol):
    """Rates answers; a rating may come late or be missing."""

    async def rate(self, target: str, klass: str, question: str, answer: str) -> float | None:
        """Return a rating between 0 and 1, or None if the answer was not rated.

        Raises
        ------
        OSError
            If the service cannot be reached.
        """
        ...
