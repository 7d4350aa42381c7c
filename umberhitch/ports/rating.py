"""Port to the platform's rating service."""

from typing import Protocol

__all__ = ["RatingPort"]


class RatingPort(Protocol):
    """Rates answers, late, and not always."""

    async def rate(self, target: str, klass: str, question: str, answer: str) -> float | None:
        """Return a rating between 0 and 1, or None where there is none.

        Raises
        ------
        OSError
            If the service cannot be reached.
        """
        ...
