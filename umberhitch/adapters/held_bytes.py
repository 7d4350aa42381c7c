"""One account of the bytes that a router holds, and the end of connections that take none.

Held are callers' bodies, what waits to be written to callers and endpoints, and replies that are
buffered. Connections on which bytes wait are checked a few times a second; where none waits, no
timer runs.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from logging import getLogger
from typing import Any

from umberhitch.adapters.outgoing import Outgoing
from umberhitch.adapters.unsent import unacknowledged_bytes
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.buffered_bytes import BufferedBytes

__all__ = ["CALLER_STALL_S", "ENDPOINT_STALL_S", "HeldBytes", "Side", "WaitingBytes"]

log = getLogger(__name__)

CHECK_S = 0.25
MIN_CHECK_S = 0.02
"""At the bound, all connections are looked at again after so long."""
BUFFER_SHARE = 0.5
"""Share of the bound up to which whole replies are buffered; beyond it they are passed on as they
come, which takes less for each."""
MIN_STALL_S = 1.0
"""A lost packet that is sent again may take so long; below it, a connection counts as moving."""
CALLER_STALL_S = 5.0
"""Seconds in which a caller takes no byte; as long as one may be silent (`CALLER_SILENCE_S`)."""
ENDPOINT_STALL_S = 2.0
"""Seconds in which an endpoint takes no byte; callers may leave after so long."""


class Side(StrEnum):
    """Who is to read."""

    CALLER = "caller"
    ENDPOINT = "endpoint"


class WaitingBytes:
    """What waits to be written on one connection.

    Parameters
    ----------
    account : HeldBytes
    side : Side
    transport : ITCPTransport
    let_go : callable
        Ends the connection at once, so that what was cut does not look complete; gets the detail.
    outgoing : Outgoing or None
        What waits before the transport, if anything does.
    """

    def __init__(
        self,
        account: "HeldBytes",
        side: Side,
        transport: Any,
        let_go: Callable[[str], None],
        outgoing: Outgoing | None = None,
    ) -> None:
        self.side = side
        self.let_go = let_go
        self.count = 0
        self.stalled_s = 0.0
        self._account = account
        self._transport = transport
        self._outgoing = outgoing or Outgoing(transport)
        self._written = 0
        self._taken = 0

    def note_written(self, count: int) -> None:
        """Count bytes that were given to the transport."""
        self._written += count
        self._account.note_waiting(self, count)

    def close(self) -> None:
        """Forget the connection, which has ended."""
        self._account.forget(self)

    def refresh(self, elapsed_s: float) -> None:
        """See what still waits and whether any byte was taken."""
        unsent = self._outgoing.unsent
        self.count = self._outgoing.held if unsent else 0
        if not unsent:
            self.stalled_s = 0.0
            return
        taken = self._written - unsent - unacknowledged_bytes(self._transport)
        if taken > self._taken:
            self.stalled_s = 0.0
        else:
            self.stalled_s += elapsed_s
        self._taken = max(taken, self._taken)

    @property
    def limit_s(self) -> float:
        """Seconds without progress after which the connection is let go."""
        return CALLER_STALL_S if self.side is Side.CALLER else ENDPOINT_STALL_S


class HeldBytes:
    """The account of one process.

    Parameters
    ----------
    clock : Clock
    max_bytes : int or None
        Bytes held at once; None for no bound.
    buffered : BufferedBytes or None
        Counts the replies that requests buffer.

    Attributes
    ----------
    body_bytes, waiting_bytes : int
    let_go : Counter of (Side, str)
        Connections that were let go, by reason: ``stalled`` or ``bound``.
    """

    def __init__(
        self, clock: Clock, max_bytes: int | None = None, buffered: BufferedBytes | None = None
    ) -> None:
        self.max_bytes = max_bytes
        self.buffered = buffered or BufferedBytes()
        self.body_bytes = 0
        self.waiting_bytes = 0
        self.let_go: Counter[tuple[Side, str]] = Counter()
        self._clock = clock
        self._waiting: set[WaitingBytes] = set()
        self._checked_s = clock.seconds()
        self._is_checking = False
        self._is_relieving = False

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return self.body_bytes + self.waiting_bytes + self.buffered.count

    def hold_body(self, count: int) -> bool:
        """Count bytes of bodies held from now on, or no longer; return whether there is room."""
        if count > 0 and not self.has_room(count):
            return False
        self.body_bytes += count
        return True

    def has_room(self, count: int) -> bool:
        """Whether so many bytes more stay within the bound; if not, slow readers soon end."""
        if self.max_bytes is None or self.total_bytes + count <= self.max_bytes:
            return True
        if self._clock.seconds() - self._checked_s >= MIN_CHECK_S:
            self._refresh()
        self._relieve_soon()
        return self.total_bytes + count <= self.max_bytes

    def has_room_to_buffer(self, count: int) -> bool:
        """Whether so many bytes more of a whole reply may be buffered."""
        if self.max_bytes is None:
            return True
        is_within = self.total_bytes + count <= BUFFER_SHARE * self.max_bytes
        return is_within or self.has_room(count + int((1.0 - BUFFER_SHARE) * self.max_bytes))

    def note_waiting(self, waiting: WaitingBytes, count: int) -> None:
        """Count bytes that were written on a connection."""
        waiting.count += count
        self.waiting_bytes += count
        self._waiting.add(waiting)
        if not self._is_checking:
            self._is_checking = True
            self._checked_s = self._clock.seconds()
            self._clock.callLater(CHECK_S, self._check)
        if self.max_bytes is not None and self.total_bytes > self.max_bytes:
            self._relieve_soon()

    def forget(self, waiting: WaitingBytes) -> None:
        """Stop counting a connection."""
        if waiting in self._waiting:
            self._waiting.discard(waiting)
            self.waiting_bytes -= waiting.count
        waiting.count = 0

    def _refresh(self) -> None:
        now_s = self._clock.seconds()
        # A process that was suspended has not seen what its connections did meanwhile.
        elapsed_s = min(now_s - self._checked_s, 2 * CHECK_S)
        self._checked_s = now_s
        for waiting in list(self._waiting):
            try:
                waiting.refresh(elapsed_s)
            except Exception:
                log.exception("connection not checked", extra={"side": str(waiting.side)})
                waiting.count = 0
            if not waiting.count:
                self._waiting.discard(waiting)
        self.waiting_bytes = sum(each.count for each in self._waiting)

    def _check(self) -> None:
        # Scheduled first, so that the checks go on whatever one connection does.
        self._clock.callLater(CHECK_S, self._check_again)
        self._refresh()
        for waiting in [each for each in self._waiting if each.stalled_s >= each.limit_s]:
            self._let_go(waiting, "stalled")
        self._relieve()

    def _check_again(self) -> None:
        self._is_checking = bool(self._waiting)
        if self._is_checking:
            self._check()

    def _relieve_soon(self) -> None:
        """Make room, but not from within the write of a request that may be the one to end."""
        if not self._is_relieving:
            self._is_relieving = True
            self._clock.callLater(MIN_CHECK_S, self._relieve_now)

    def _relieve_now(self) -> None:
        self._is_relieving = False
        self._refresh()
        self._relieve()

    def _relieve(self) -> None:
        """Let go whoever holds most for longest without progress, until the bound is kept."""
        while self.max_bytes is not None and self.total_bytes > self.max_bytes:
            still = [each for each in self._waiting if each.stalled_s >= MIN_STALL_S]
            if not still:
                return
            self._let_go(max(still, key=lambda each: each.count * each.stalled_s), "bound")

    def _let_go(self, waiting: WaitingBytes, reason: str) -> None:
        self.let_go[waiting.side, reason] += 1
        facts = {"bytes": waiting.count, "seconds": round(waiting.stalled_s, 2), "reason": reason}
        log.warning("slow reader let go", extra={"side": str(waiting.side), **facts})
        self.forget(waiting)
        waiting.let_go(f"took no byte for {waiting.stalled_s:.2f} s ({reason})")
