"""Splits an event stream at event boundaries without changing its bytes."""

__all__ = ["EventSplitter", "is_event_boundary"]

MAX_EVENT_BYTES = 1_048_576
"""A stream with a longer event counts as broken."""


def is_event_boundary(data: bytes | bytearray) -> bool:
    """Whether the last event of a stream's bytes is complete, or there is none."""
    return not data or data.endswith((b"\n\n", b"\r\n\r\n"))


class EventSplitter:
    """Buffers the incomplete event at the end of the received bytes.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last complete event.
    count : int
        Complete events received.
    """

    def __init__(self, last_id: bytes | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._partial = b""

    @property
    def is_at_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that are complete now.

        Raises
        ------
        ValueError
            If an event is over the limit.
        """
        data = self._partial + data if self._partial else data
        end = data.rfind(b"\n\n")
        step = 2
        other = data.rfind(b"\r\n\r\n")
        if other > end:
            end, step = other, 4
        if end < 0:
            self._partial = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("event too large")
            return b""
        complete, self._partial = data[: end + step], data[end + step :]
        self._record(complete)
        return complete

    def _record(self, complete: bytes) -> None:
        for event in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
            if not event:
                continue
            self.count += 1
            for line in event.split(b"\n"):
                if line.startswith(b"id:"):
                    self.last_id = line[3:].strip()

    def discard_partial(self) -> None:
        """Discard the incomplete event, since the call that sent it has finished."""
        self._partial = b""
