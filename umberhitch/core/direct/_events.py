"""Cuts the bytes of an event stream at the ends of events, and changes none of them."""

__all__ = ["EventSplitter"]

MAX_EVENT_BYTES = 1_048_576
"""A longer event is no event; the stream counts as broken."""


class EventSplitter:
    """Holds back the piece of an event that is not whole yet.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last whole event.
    count : int
        Whole events seen.
    """

    def __init__(self, last_id: bytes | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._held = b""

    @property
    def is_at_boundary(self) -> bool:
        """Whether no piece of an event is held back."""
        return not self._held

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that are whole now.

        Raises
        ------
        ValueError
            If an event is over the limit.
        """
        data = self._held + data if self._held else data
        end = data.rfind(b"\n\n")
        step = 2
        other = data.rfind(b"\r\n\r\n")
        if other > end:
            end, step = other, 4
        if end < 0:
            self._held = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("event too large")
            return b""
        whole, self._held = data[: end + step], data[end + step :]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        for event in whole.replace(b"\r\n", b"\n").split(b"\n\n"):
            if not event:
                continue
            self.count += 1
            for line in event.split(b"\n"):
                if line.startswith(b"id:"):
                    self.last_id = line[3:].strip()

    def discard_partial(self) -> None:
        """Forget the piece that is held back: its run has ended."""
        self._held = b""
