"""The answer of a small model, kept while a larger model is called instead.

The larger model's call may be refused, break off or stay silent, so the answer is given up only
when the larger model's answer has started. Both models then run for a short time; after it, an
answer that is still incomplete must be given up, since a request must not run twice for long. A
complete answer needs no endpoint any more and is kept as long as it may be needed.
"""

from collections.abc import Callable

from umberhitch.core.direct import ReplyHead, is_event_boundary
from umberhitch.ports.direct import CallEvents, CallFailure
from umberhitch.tasks.direct.active_call import ActiveCall
from umberhitch.tasks.direct.idle_timer import IdleTimer
from umberhitch.tasks.direct.services import Services

__all__ = ["KeptAnswer"]

MAX_OVERLAP_S = 0.25
"""Maximum time for which both models run, with time left for the cancellation to arrive."""
MAX_KEPT_BYTES = 262_144
"""Size from which on the rest of a kept answer is not read until the answer is needed."""


class KeptAnswer:
    """A reply whose head has arrived and of which nothing was passed on; implements `CallEvents`.

    Parameters
    ----------
    services : Services
    call : ActiveCall
        Call of the small model; its events come here from now on.
    is_stream : bool
        Whether the answer consists of events.
    on_overlap_over : callable
        Called when both models have run for the maximum time and the answer is still incomplete.
    """

    def __init__(
        self,
        services: Services,
        call: ActiveCall,
        is_stream: bool,
        on_overlap_over: Callable[[], None],
    ) -> None:
        self.call = call
        self.is_complete = False
        self.has_failed = False
        self._svc = services
        self._is_stream = is_stream
        self._on_overlap_over = on_overlap_over
        self._data = bytearray()
        self._timer = IdleTimer(services.clock, self._check_overlap)
        self._timer.restart(MAX_OVERLAP_S)
        call.handler = self

    def _check_overlap(self) -> None:
        if not self.is_complete and not self.has_failed:
            self._on_overlap_over()

    def discard(self) -> None:
        """Give the answer up."""
        self._timer.stop()
        self._take()
        self.call.stop()

    def hand_over(self, handler: CallEvents) -> None:
        """Pass the answer on to a handler that knows its head: what there is, and what follows."""
        self._timer.stop()
        self.call.handler = handler
        data = self._take()
        if data:
            handler.on_data(data)
        if self.is_complete:
            handler.on_end()
        else:
            self.call.resume()

    def _take(self) -> bytes:
        data, self._data = bytes(self._data), bytearray()
        self._svc.buffered.remove(len(data))
        return data

    # Events

    def on_head(self, head: ReplyHead) -> None:
        """Ignore a second head."""

    def on_late_head(self, head: ReplyHead) -> None:
        """Ignore the head of a reply to an earlier call, which the call has recorded."""

    def on_data(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._data += data
        self._svc.buffered.add(len(data))
        if len(self._data) > MAX_KEPT_BYTES:
            self.call.pause()

    def on_end(self) -> None:
        """Note that the answer is complete, so that its endpoint is no longer needed."""
        if self._is_stream and not is_event_boundary(self._data):
            self.on_failure(CallFailure.BROKEN, "ended within an event")
            return
        self.is_complete = True
        self.call.settle_run(self._svc.crash_guard.record_completed)
        self.call.release(False)

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        """Note that the answer can no longer become complete."""
        self.has_failed = True
        self._take()
        self.call.settle_run(self._svc.crash_guard.record_broken)
        self.call.release(True)
