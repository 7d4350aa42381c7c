"""Protocols through which the tasks of a router use each other without importing the router."""

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
    """Name and zone of a router."""

    @property
    def name(self) -> str:
        """Name of the router, unchanged over restarts."""
        ...

    @property
    def zone(self) -> str:
        """Availability zone of the router."""
        ...


class RouterParts(Protocol):
    """Components of one router incarnation that its tasks share."""

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
        """Name and zone of the router."""
        ...

    @property
    def is_ready(self) -> bool:
        """Whether the router accepts requests."""
        ...

    @property
    def is_stale(self) -> bool:
        """Whether the configuration may be older than the policy permits."""
        ...

    def live_peers(self) -> list[str]:
        """Return the names of the peers whose digests are recent."""
        ...

    def send(self, peer: str, message: Message) -> None:
        """Send a message to another router or to an agent."""
        ...

    def submit_change(self, change: Change) -> Deferred[Verdict]:
        """Submit a change of the configuration."""
        ...


class AttemptRunner(Protocol):
    """Places and runs single attempts of a request."""

    def place_attempt(self, progress: RequestProgress) -> AttemptPlacement | NotRun:
        """Return the placement of the next attempt, or why there is none."""
        ...

    async def run_attempt(self, progress: RequestProgress, placement: AttemptPlacement) -> Outcome:
        """Run one attempt and return its outcome."""
        ...

    def may_retry(self, progress: RequestProgress, outcome: Outcome) -> bool:
        """Whether another attempt may follow an outcome."""
        ...
