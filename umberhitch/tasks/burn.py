"""Service-level burn at a router: counted here, gathered from the peers when someone asks."""

from collections.abc import Callable
from dataclasses import dataclass

from umberhitch.core.burn import BurnCounter, BurnRow, burn_rows
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason
from umberhitch.ports.clock import Clock, pause
from umberhitch.wire import BurnReply, BurnRequest, BurnSlice, Message

__all__ = ["BurnContext", "BurnReport", "BurnTask"]

GATHER_TIMEOUT_S = 1.0
"""How long peers are waited for."""

CALLER_ERROR_REASONS = frozenset(
    {
        Reason.NOT_PERMITTED,
        Reason.UNKNOWN_MODEL,
        Reason.KEY_REUSED,
        Reason.KEY_IN_USE,
        Reason.RATE_LIMITED,
        Reason.SESSION_ENDED,
    }
)
"""Refusals that spend no error budget."""


class BurnReport:
    """The burn over all routers that answered.

    Attributes
    ----------
    rows : list of BurnRow
    routers : list of str
        Whose counts are in it.
    missing : list of str
        Live routers that did not answer in time.
    """

    def __init__(self, rows: list[BurnRow], routers: list[str], missing: list[str]) -> None:
        self.rows = rows
        self.routers = routers
        self.missing = missing


@dataclass(frozen=True, slots=True)
class BurnContext:
    """What the report needs of its router.

    Attributes
    ----------
    name : str
    peers : callable
        Returns the names of the routers that were heard lately.
    send : callable
        Sends a message to one of them.
    objectives : callable
        Returns by class the share of requests that are to be good, and their latency in seconds.
    """

    name: str
    peers: Callable[[], list[str]]
    send: Callable[[str, Message], None]
    objectives: Callable[[], dict[str, tuple[float, float]]]


class BurnTask:
    """Owns one router's book.

    Parameters
    ----------
    host : BurnContext
    clock : Clock
    wall_s : callable
    has_latencies : bool
        Whether latencies are kept besides the counts.
    """

    def __init__(
        self,
        host: BurnContext,
        clock: Clock,
        wall_s: Callable[[], float],
        has_latencies: bool = True,
    ) -> None:
        self._host = host
        self._clock = clock
        self._wall_s = wall_s
        self._book = BurnCounter(has_latencies=has_latencies)
        self._asks = 0
        self._replies: dict[int, dict[str, list[BurnSlice]]] = {}

    def note_request_finished(
        self, customer: str, klass: str, outcome: Outcome, latency_s: float
    ) -> None:
        """Count a request that has ended."""
        if isinstance(outcome, NotRun) and outcome.reason in CALLER_ERROR_REASONS:
            return
        self.count(customer, klass, isinstance(outcome, Done), latency_s)

    def count(self, customer: str, klass: str, is_done: bool, latency_s: float) -> None:
        """Count a request that has ended; a class without an objective is not counted."""
        known = self._host.objectives().get(klass)
        if known is not None:
            is_good = is_done and latency_s <= known[1]
            self._book.count(self._wall_s(), customer, klass, is_good, latency_s)

    async def report(self) -> BurnReport:
        """Gather the counts of all live routers and return the burn."""
        self._asks += 1
        ask = self._asks
        self._replies[ask] = {}
        peers = self._host.peers()
        for peer in peers:
            self._host.send(peer, BurnRequest(ask))
        if peers:
            await pause(self._clock, GATHER_TIMEOUT_S)
        replies = self._replies.pop(ask)
        own = self._host.name
        slices = self._book.slices() + [part for parts in replies.values() for part in parts]
        rows = burn_rows(slices, self._host.objectives(), self._wall_s())
        missing = sorted(set(peers) - set(replies))
        return BurnReport(rows, sorted([own, *replies]), missing)

    def handle_request(self, sender: str, ask: BurnRequest) -> None:
        """Send the book to a router that asks for it."""
        self._host.send(sender, BurnReply(ask.request_id, self._book.slices()))

    def handle_reply(self, sender: str, reply: BurnReply) -> None:
        """Take a peer's book."""
        replies = self._replies.get(reply.request_id)
        if replies is not None:
            replies[sender] = reply.slices
