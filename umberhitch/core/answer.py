"""Reassembly of an answer from chunks that may be duplicated, delayed, lost or reordered."""

from umberhitch.errors import UmberhitchError

__all__ = ["AnswerAssembler", "AnswerConflictError"]

MAX_PENDING_CHUNKS = 1024
"""Maximum number of chunks buffered beyond a gap; further ones are dropped and refetched."""


class AnswerConflictError(UmberhitchError):
    """The messages of one answer disagree on its length."""


class AnswerAssembler:
    """Assembles the chunks of one answer in order.

    Attributes
    ----------
    length : int
        Number of characters received contiguously from the start.
    end : int or None
        Length of the complete answer in characters, or None while it is unknown.
    """

    __slots__ = ("_parts", "_pending", "end", "length")

    def __init__(self) -> None:
        self.length = 0
        self.end: int | None = None
        self._parts: list[str] = []
        self._pending: dict[int, str] = {}

    @property
    def has_gap(self) -> bool:
        """Whether text is missing before a buffered chunk or before the known end."""
        return bool(self._pending) or (self.end is not None and self.length < self.end)

    @property
    def is_complete(self) -> bool:
        """Whether every character up to the end has been received."""
        return self.end is not None and self.length == self.end

    def add(self, offset: int, text: str) -> str:
        """Add a chunk and return the text by which the contiguous answer has grown."""
        if offset > self.length:
            if len(self._pending) < MAX_PENDING_CHUNKS:
                known = self._pending.get(offset, "")
                self._pending[offset] = max(known, text, key=len)
            return ""
        new = text[self.length - offset :]
        if not new:
            return ""
        self._append(new)
        if not self._pending:
            return new
        return new + self._drain()

    def finish(self, length: int) -> None:
        """Set the length of the complete answer.

        Raises
        ------
        AnswerConflictError
            If a different length was set before, or more characters have been received.
        """
        if self.end is not None and self.end != length:
            raise AnswerConflictError(f"answer ends at {self.end} and at {length}")
        if self.length > length:
            raise AnswerConflictError(f"answer of {length} has {self.length} characters")
        self.end = length

    def text(self) -> str:
        """Return the text received contiguously from the start."""
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""

    def _append(self, text: str) -> None:
        self._parts.append(text)
        self.length += len(text)

    def _drain(self) -> str:
        drained = []
        for offset in sorted(self._pending):
            if offset > self.length:
                break
            new = self._pending.pop(offset)[self.length - offset :]
            if new:
                self._append(new)
                drained.append(new)
        return "".join(drained)
