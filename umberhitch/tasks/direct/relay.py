"""The caller's side of one request: what of the replies has gone out, and what is held."""

from collections.abc import Callable

from umberhitch.core.direct import EventSplitter, ReplyHead
from umberhitch.ports.direct import CallerReply

__all__ = ["Relay"]

MAX_BUFFERED_BYTES = 1_048_576
"""A plain reply up to this size is passed on only when it is whole."""


class Relay:
    """Passes streams on by whole events, and plain replies whole unless they are long.

    Parameters
    ----------
    reply : CallerReply
    last_event : bytes or None
        The caller has the events of the stream up to this id.
    pause, resume : callable
        Called when the caller reads too slowly, and when it has caught up.

    Attributes
    ----------
    is_streaming : bool
        Whether a stream has begun; other endpoints may go on with it.
    """

    def __init__(
        self,
        reply: CallerReply,
        last_event: bytes | None,
        pause: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        self.is_streaming = False
        self._reply = reply
        self._pause = pause
        self._resume = resume
        self._cutter = EventSplitter(last_event)
        self._held = bytearray()
        self._is_passing = False

    @property
    def has_started(self) -> bool:
        """Whether the caller has any of a reply."""
        return self.is_streaming or self._is_passing

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no piece of an event is held back."""
        return self._cutter.is_at_boundary

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that the caller has."""
        return self._cutter.last_id

    @property
    def event_count(self) -> int:
        """Whole events so far."""
        return self._cutter.count

    def start_call(self) -> None:
        """Forget what is held of the reply to an earlier call."""
        self._held.clear()

    def drop_partial_event(self) -> None:
        """Forget the piece of an event that is held back: its run has ended."""
        self._cutter.discard_partial()

    def start_stream(self, head: ReplyHead) -> None:
        """Begin a stream with the head of its first endpoint."""
        self.is_streaming = True
        self._begin(head)

    def _begin(self, head: ReplyHead) -> None:
        self._reply.set_flow_control(self._pause, self._resume)
        self._reply.head(head.status, head.headers)

    def stream_data(self, data: bytes) -> bool:
        """Pass on the events that are whole now; return whether there were any.

        Raises
        ------
        ValueError
            If an event is over the limit.
        """
        whole = self._cutter.feed(data)
        if whole:
            self._reply.data(whole)
        return bool(whole)

    def plain_data(self, head: ReplyHead, data: bytes) -> None:
        """Hold more of a plain reply, or pass it on if it is long."""
        if self._is_passing:
            self._reply.data(data)
            return
        self._held += data
        if len(self._held) > MAX_BUFFERED_BYTES:
            self._is_passing = True
            self._begin(head)
            self._reply.data(bytes(self._held))
            self._held.clear()

    def end(self, head: ReplyHead) -> None:
        """End the reply as complete."""
        if not self.has_started:
            self._send_whole(head, bytes(self._held))
        self._reply.end()

    def _send_whole(self, head: ReplyHead, body: bytes) -> None:
        headers = [item for item in head.headers if item[0].lower() != b"content-length"]
        if head.status not in (204, 304):
            headers.append((b"Content-Length", str(len(body)).encode()))
        self._reply.head(head.status, headers)
        if body:
            self._reply.data(body)

    def abort(self) -> None:
        """Break off, so that the reply does not look complete."""
        self._reply.abort()
