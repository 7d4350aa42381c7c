"""Requests that wait at this router for room at the endpoints of one service."""

from collections.abc import Callable
from dataclasses import dataclass

from umberhitch.core.scheduling import Claim, FairQueue, Ticket
from umberhitch.ports.clock import Timer
from umberhitch.tasks.direct.services import AdmittedRequest, Waiter

__all__ = ["WaitingRequest", "WaitingRequests"]


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits.

    Attributes
    ----------
    since_s, until_s : float
        Time at which it began to wait, and at which it is refused.
    position : int
        Its place in the queue when it began to wait, from 1.
    """

    waiter: Waiter
    claim: Claim
    since_s: float
    until_s: float
    position: int
    ticket: Ticket | None = None
    timer: Timer | None = None

    @property
    def body_bytes(self) -> int:
        """Return the length of the request's body."""
        return len(self.waiter.admitted.request.body)


class WaitingRequests:
    """Waiting requests of one service whose calls may go to the same endpoints.

    Parameters
    ----------
    on_left : callable
        Called with each request that no longer waits, whatever the reason.
    """

    def __init__(self, on_left: Callable[[WaitingRequest], None]) -> None:
        self._queue: FairQueue[WaitingRequest] = FairQueue()
        self._by_id: dict[int, WaitingRequest] = {}
        self._on_left = on_left

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, admitted: AdmittedRequest) -> WaitingRequest | None:
        """Return the entry of a request that waits."""
        return self._by_id.get(id(admitted))

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        waiting.ticket = self._queue.push(waiting, waiting.claim)
        self._by_id[id(waiting.waiter.admitted)] = waiting

    def first(self) -> WaitingRequest | None:
        """Return the request that is served next."""
        return self._queue.peek()

    def heads(self) -> list[WaitingRequest]:
        """Return the first request of each customer, in order; a place may be free for some only.

        Of one priority, a customer with more than its part leaves places that the next may take.
        """
        return [waiting for _, waiting in self._queue.heads()]

    def last(self) -> WaitingRequest | None:
        """Return the request that would be served last."""
        return self._queue.last()

    def serve(self, waiting: WaitingRequest) -> None:
        """Remove a request that is sent."""
        assert waiting.ticket is not None
        self._queue.take(waiting.ticket)
        self._leave(waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that is not sent."""
        assert waiting.ticket is not None
        self._queue.remove(waiting.ticket)
        self._leave(waiting)

    def _leave(self, waiting: WaitingRequest) -> None:
        del self._by_id[id(waiting.waiter.admitted)]
        timer, waiting.timer = waiting.timer, None
        if timer is not None and timer.active():
            timer.cancel()
        self._on_left(waiting)

    def all(self) -> list[WaitingRequest]:
        """Return all requests."""
        return list(self._by_id.values())
