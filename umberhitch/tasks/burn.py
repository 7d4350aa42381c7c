"""Burn rates of the service-level objectives: counted per router, merged over peers on request."""

from collections.abc import Callable
from dataclasses import dataclass

from umberhitch.core.burn import BurnCounter, BurnRow, burn_rows
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason
from umberhitch.ports.clock import Clock, pause
from umberhitch.wire import BurnReply, BurnRequest, BurnSlice, Message

__all__ = ["BurnContext", "BurnReport", "BurnTask"]

GATHER_TIMEOUT_S = 1.0
"""Seconds that a report waits for the replies of the peers."""

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
"""Reasons of refusals that the caller caused; they use none of the error budget."""


class BurnReport:
    """Burn rates over all routers that replied.

    Attributes
    ----------
    rows : list of BurnRow
    routers : list of str
        Names of the routers whose counts are included.
    missing : list of str
        Names of live routers that did not reply in time.
    """

    def __init__(self, rows: list[BurnRow], routers: list[str], missing: list[str]) -> None:
        self.rows = rows
        self.routers = routers
        self.missing = missing


@dataclass(frozen=True, slots=True)
class BurnContext:
    """Functions of the router that a `BurnTask` uses.

    Attributes
    ----------
    name : str
        Name of the router.
    peers : callable
        Returns the names of the live peers.
    send : callable
        Sends a message to a peer.
    objectives : callable
        Returns the objective of each request class: the share of good requests, and the latency in
        seconds within which a request is good.
    """

    name: str
    peers: Callable[[], list[str]]
    send: Callable[[str, Message], None]
    objectives: Callable[[], dict[str, tuple[float, float]]]


class BurnTask:
    """Counts the requests of one router and answers reports.

    Parameters
    ----------
    context : BurnContext
    clock : Clock
    wall_s : callable
        Returns seconds since the epoch.
    has_latencies : bool
        Whether latency histograms are kept in addition to the counts.
    """

    def __init__(
        self,
        context: BurnContext,
        clock: Clock,
        wall_s: Callable[[], float],
        has_latencies: bool = True,
    ) -> None:
        self._context = context
        self._clock = clock
        self._wall_s = wall_s
        self._counter = BurnCounter(has_latencies=has_latencies)
        self._last_request_id = 0
        self._replies: dict[int, dict[str, list[BurnSlice]]] = {}

    def note_request_finished(
        self, customer: str, klass: str, outcome: Outcome, latency_s: float
    ) -> None:
        """Count a finished request, unless the caller caused its refusal."""
        if isinstance(outcome, NotRun) and outcome.reason in CALLER_ERROR_REASONS:
            return
        self.count(customer, klass, isinstance(outcome, Done), latency_s)

    def count(self, customer: str, klass: str, is_done: bool, latency_s: float) -> None:
        """Count a finished request; requests of a class without an objective are not counted."""
        objective = self._context.objectives().get(klass)
        if objective is not None:
            is_good = is_done and latency_s <= objective[1]
            self._counter.count(self._wall_s(), customer, klass, is_good, latency_s)

    async def report(self) -> BurnReport:
        """Return the burn rates, with the counts gathered from all live routers."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self._replies[request_id] = {}
        peers = self._context.peers()
        for peer in peers:
            self._context.send(peer, BurnRequest(request_id))
        if peers:
            await pause(self._clock, GATHER_TIMEOUT_S)
        replies = self._replies.pop(request_id)
        own = self._context.name
        slices = self._counter.slices() + [part for parts in replies.values() for part in parts]
        rows = burn_rows(slices, self._context.objectives(), self._wall_s())
        missing = sorted(set(peers) - set(replies))
        return BurnReport(rows, sorted([own, *replies]), missing)

    def handle_request(self, sender: str, request: BurnRequest) -> None:
        """Send this router's counts to a router that requests them."""
        self._context.send(sender, BurnReply(request.request_id, self._counter.slices()))

    def handle_reply(self, sender: str, reply: BurnReply) -> None:
        """Store the counts that a peer sent, if the report still waits for them."""
        replies = self._replies.get(reply.request_id)
        if replies is not None:
            replies[sender] = reply.slices
