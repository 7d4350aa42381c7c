"""Service-level burn at a router: counted here, gathered from the peers when someone asks."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from umberhitch.core.burn import BurnBook, BurnRow, burn_rows
from umberhitch.core.outcome import Done, NotRun, Outcome, Reason
from umberhitch.ports import Clock
from umberhitch.wire import BurnAsk, BurnReply, BurnSlice

if TYPE_CHECKING:
    from umberhitch.tasks.router import Router

__all__ = ["BurnReport", "BurnTask"]

GATHER_S = 1.0
"""How long peers are waited for."""

CALLERS_FAULT = frozenset(
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


class BurnTask:
    """Owns one router's book.

    Parameters
    ----------
    router : Router
    clock : Clock
    wall_s : callable
    """

    def __init__(self, router: "Router", clock: Clock, wall_s: Callable[[], float]) -> None:
        self._router = router
        self._clock = clock
        self._wall_s = wall_s
        self._book = BurnBook()
        self._asks = 0
        self._replies: dict[int, dict[str, list[BurnSlice]]] = {}

    def ended(self, customer: str, klass: str, outcome: Outcome, latency_s: float) -> None:
        """Count a request that has ended."""
        if isinstance(outcome, NotRun) and outcome.reason in CALLERS_FAULT:
            return
        known = self._router.feed.config.classes.get(klass)
        if known is None or not known.objective:
            return
        is_good = isinstance(outcome, Done) and latency_s <= known.objective_latency_s
        self._book.count(self._wall_s(), customer, klass, is_good, latency_s)

    async def report(self) -> BurnReport:
        """Gather the counts of all live routers and return the burn."""
        self._asks += 1
        ask = self._asks
        self._replies[ask] = {}
        peers = self._router.live_peers()
        for peer in peers:
            self._router.send(peer, BurnAsk(ask))
        if peers:
            done: Deferred[None] = Deferred()
            self._clock.callLater(GATHER_S, done.callback, None)
            await done
        replies = self._replies.pop(ask)
        own = self._router.settings.name
        slices = self._book.slices() + [part for parts in replies.values() for part in parts]
        objectives = {
            klass.name: (klass.objective, klass.objective_latency_s)
            for klass in self._router.feed.config.classes.values()
            if klass.objective
        }
        rows = burn_rows(slices, objectives, self._wall_s())
        missing = sorted(set(peers) - set(replies))
        return BurnReport(rows, sorted([own, *replies]), missing)

    def answer(self, sender: str, ask: BurnAsk) -> None:
        """Send the book to a router that asks for it."""
        self._router.send(sender, BurnReply(ask.ask, self._book.slices()))

    def take(self, sender: str, reply: BurnReply) -> None:
        """Take a peer's book."""
        replies = self._replies.get(reply.ask)
        if replies is not None:
            replies[sender] = reply.slices
