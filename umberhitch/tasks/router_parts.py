"""What the tasks of one router need of each other, as a port: none of them knows the router."""

from typing import Protocol

from twisted.internet.defer import Deferred

from umberhitch.config import Change, Verdict
from umberhitch.core.outcome import NotRun, Outcome
from umberhitch.core.withdrawals import DirectWithdrawals
from umberhitch.tasks.attempts import Attempts
from umberhitch.tasks.claims import Claims
from umberhitch.tasks.config_feed import ConfigFeed
from umberhitch.tasks.fleet import Fleet
from umberhitch.tasks.leases import LeaseManager
from umberhitch.tasks.peers import Peers
from umberhitch.tasks.request_state import AttemptPlacement, RequestProgress
from umberhitch.tasks.usage_writer import UsageWriter
from umberhitch.wire import Message

__all__ = ["AttemptRunner", "RouterIdentity", "RouterParts"]


class RouterIdentity(Protocol):
    """Who a router is."""

    @property
    def name(self) -> str:
        """Name, the same over restarts."""
        ...

    @property
    def zone(self) -> str:
        """Availability zone."""
        ...


class RouterParts(Protocol):
    """The parts of one router incarnation."""

    feed: ConfigFeed
    fleet: Fleet
    attempts: Attempts
    bills: UsageWriter
    claims: Claims
    lease: LeaseManager
    peers: Peers
    withdrawals: DirectWithdrawals

    @property
    def settings(self) -> RouterIdentity:
        """Who the router is."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether requests are taken."""
        ...

    @property
    def is_stale(self) -> bool:
        """Whether the configuration may be too old to go by."""
        ...

    def live_peers(self) -> list[str]:
        """Return the names of the routers that were heard lately."""
        ...

    def send(self, peer: str, message: Message) -> None:
        """Send a message to another router, or to an agent."""
        ...

    def submit_change(self, change: Change) -> Deferred[Verdict]:
        """Submit a change of configuration."""
        ...


class AttemptRunner(Protocol):
    """Places and runs single attempts of a request."""

    def place_attempt(self, progress: RequestProgress) -> AttemptPlacement | NotRun:
        """Return where the next attempt goes, or why it cannot."""
        ...

    async def run_attempt(self, progress: RequestProgress, placement: AttemptPlacement) -> Outcome:
        """Run one attempt to its outcome."""
        ...

    def may_retry(self, progress: RequestProgress, outcome: Outcome) -> bool:
        """Whether another attempt may be made after an outcome."""
        ...
