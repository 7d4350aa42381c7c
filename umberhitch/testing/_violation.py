"""A promise that was broken."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and by what."""

    promise: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"
