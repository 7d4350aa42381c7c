"""The caller's side of one request: what was passed on of the replies, and what is buffered."""

from collections.abc import Callable

from umberhitch.core.direct import EventSplitter, ReplyHead
from umberhitch.ports.direct import CallerReply, HeaderList
from umberhitch.tasks.direct.buffered_bytes import BufferedBytes

__all__ = ["Relay"]

MAX_BUFFERED_BYTES = 1_048_576
"""A plain reply up to this size is passed on only when it is complete, if there is room."""


class Relay:
    """Passes on streams by complete events, and plain replies complete unless they are long.

    Parameters
    ----------
    reply : CallerReply
    last_event : bytes or None
        Id of the last event of the stream that the caller already has.
    pause, resume : callable
        Called when the caller reads too slowly, and when it has caught up, respectively.
    account : BufferedBytes
    is_head : bool
        Whether the request is a HEAD, whose reply tells the length of a body that it does not have.

    Attributes
    ----------
    is_streaming : bool
        Whether a stream has started; other endpoints may resume it.
    """

    def __init__(
        self,
        reply: CallerReply,
        last_event: bytes | None,
        pause: Callable[[], None],
        resume: Callable[[], None],
        account: BufferedBytes,
        is_head: bool = False,
    ) -> None:
        self.is_streaming = False
        self._account = account
        self._is_head = is_head
        self._reply = reply
        self._pause = pause
        self._resume = resume
        self._event_splitter = EventSplitter(last_event)
        self._awaited_head: ReplyHead | None = None
        """Head of a stream that starts with its first event."""
        self._buffered: list[bytes] = []
        """Parts of a plain reply as they came: joined, they would be copied twice."""
        self._buffered_bytes = 0
        self._is_passing_through = False

    @property
    def has_started(self) -> bool:
        """Whether any part of a reply was passed to the caller."""
        return self.is_streaming or self._is_passing_through

    @property
    def has_events(self) -> bool:
        """Whether the body of the current reply consists of events."""
        return self.is_streaming or self._awaited_head is not None

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether no partial event is buffered."""
        return self._event_splitter.is_at_boundary

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that was passed to the caller."""
        return self._event_splitter.last_id

    @property
    def event_count(self) -> int:
        """Number of complete events so far."""
        return self._event_splitter.count

    def start_call(self) -> None:
        """Discard what is buffered of the reply to an earlier call."""
        self.release()
        self._awaited_head = None
        self._event_splitter.discard_partial()

    def release(self) -> None:
        """Discard what is buffered."""
        self._account.remove(self._buffered_bytes)
        self._buffered, self._buffered_bytes = [], 0

    def drop_partial_event(self) -> None:
        """Discard the partial event that is buffered, since its call has failed."""
        self._event_splitter.discard_partial()

    def start_stream(self, head: ReplyHead) -> None:
        """Start a stream with the head that its first endpoint sent."""
        self.is_streaming = True
        self._awaited_head = None
        self._start(head)

    def await_first_event(self, head: ReplyHead) -> None:
        """Start a stream when its first event arrives; until then, other replies may replace it."""
        self._awaited_head = head

    def _start(self, head: ReplyHead) -> None:
        self._reply.set_flow_control(self._pause, self._resume)
        self._reply.head(head.status, head.headers)

    def stream_data(self, data: bytes) -> bool:
        """Pass on the events that are now complete; return whether there were any.

        Raises
        ------
        ValueError
            If an event exceeds the size limit.
        """
        events = self._event_splitter.feed(data)
        if events and self._awaited_head is not None:
            self.start_stream(self._awaited_head)
        if events:
            self._reply.data(events)
        return bool(events)

    def plain_data(self, head: ReplyHead, data: bytes) -> None:
        """Buffer a part of a plain reply, or pass it on if the reply is long."""
        if self._is_passing_through:
            self._reply.data(data)
            return
        has_room = self._account.has_room(len(data))
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        self._account.add(len(data))
        if self._buffered_bytes > MAX_BUFFERED_BYTES or not has_room:
            self._is_passing_through = True
            self._start(head)
            self._pass_buffered()

    def end(self, head: ReplyHead) -> None:
        """Finish the reply as complete."""
        if self._awaited_head is not None:
            self.start_stream(self._awaited_head)
        if not self.has_started:
            self._send_whole(head)
        self._reply.end()

    def _send_whole(self, head: ReplyHead) -> None:
        self._reply.head(head.status, self._headers_of_whole(head))
        self._pass_buffered()

    def _headers_of_whole(self, head: ReplyHead) -> HeaderList:
        if self._is_head:
            return head.headers
        headers = [item for item in head.headers if item[0].lower() != b"content-length"]
        if head.status not in (204, 304):
            headers.append((b"Content-Length", str(self._buffered_bytes).encode()))
        return headers

    def _pass_buffered(self) -> None:
        """Pass on what is buffered, which is the reply's from now on."""
        parts = self._buffered
        self.release()
        for part in parts:
            self._reply.data(part)

    def abort(self) -> None:
        """Abort the reply, so that it does not look complete."""
        self._reply.abort()
