"""The router: assembly of its tasks, messages from agents and peers, and life cycle."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from logging import getLogger
from math import ceil
from random import Random

from twisted.internet.defer import Deferred, ensureDeferred

from umberhitch.config import Change, SetState, Verdict, VersionState
from umberhitch.core.evidence import EvidenceLimits
from umberhitch.core.subsets import AgentSubset, SubsetLimits
from umberhitch.core.withdrawals import DirectWithdrawals
from umberhitch.ports import Clock, Host, HostListPort, HostRole, LinkPort, LogPort
from umberhitch.ports.rating import RatingPort
from umberhitch.tasks.appender import AppenderLimits
from umberhitch.tasks.attempts import Attempts, AttemptTiming
from umberhitch.tasks.burn import BurnContext, BurnTask
from umberhitch.tasks.claims import Claims
from umberhitch.tasks.config_feed import ConfigFeed
from umberhitch.tasks.evidence import EvidenceTask
from umberhitch.tasks.fleet import Endpoint, Fleet, FleetLimits
from umberhitch.tasks.follower import FollowerSettings
from umberhitch.tasks.leases import LeaseManager
from umberhitch.tasks.peers import Peers, PeersLimits
from umberhitch.tasks.requests import Requests
from umberhitch.tasks.resume import AnswerFetcher
from umberhitch.tasks.rollouts import ROLLOUT_LEASE, RolloutDriver
from umberhitch.tasks.usage_writer import UsageWriter
from umberhitch.wire import (
    AttemptAccepted,
    BurnReply,
    BurnRequest,
    Chunk,
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    Evidence,
    Failed,
    Finished,
    Heartbeat,
    Hello,
    LoadOrderReply,
    Message,
    Refused,
    RouterDigest,
    UsageHandover,
    Withdrawal,
)

__all__ = ["Router", "RouterSettings", "RouterState", "withdrawn_versions"]

log = getLogger(__name__)


PUBLISH_GRACE_S = 2.0
"""Seconds left to the publishers of an agent before this router also sends it the configuration."""
MAX_HEARTBEATS_PER_S = 50.0
"""Heartbeats per second above which a router asks its agents for a longer interval."""
BILLING_APPENDS_PER_S = 100.0
CLAIM_APPENDS_PER_S = 150.0
"""Maximum appends per second of all routers together, for usage records and for claims.

The platform's log takes several hundred a second.
"""


def withdrawn_versions(change: Change) -> list[str]:
    """Return the versions that a change withdraws from all work, including that of sessions."""
    withdrawn_states = (VersionState.WITHDRAWN, VersionState.QUARANTINED)
    return [
        op.version for op in change.ops if isinstance(op, SetState) and op.state in withdrawn_states
    ]


class RouterState(StrEnum):
    """Life cycle state of a router."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "leaving"


@dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """Settings of a router."""

    name: str
    incarnation: int
    zone: str
    hello_interval_s: float = 1.0
    host_list_interval_s: float = 2.0
    peers: PeersLimits = PeersLimits()
    attempt_timing: AttemptTiming = AttemptTiming()
    follower: FollowerSettings = FollowerSettings()
    fleet: FleetLimits = FleetLimits()
    billing: AppenderLimits = AppenderLimits()
    subsets: SubsetLimits = SubsetLimits()
    evidence: EvidenceLimits = EvidenceLimits()
    evidence_interval_s: float = 1.0
    rating_sample: float = 1.0
    """Fraction of answers that are sent to the rating service."""


class Router:
    """One router incarnation.

    Parameters
    ----------
    settings : RouterSettings
    clock : Clock
    wall_s : callable
        Returns seconds since the epoch.
    rng : Random
    link : LinkPort
    log_port : LogPort
    host_list : HostListPort
    ratings : RatingPort or None
        None if the platform has no rating service; versions are then judged by failures and
        latency alone.
    """

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        wall_s: Callable[[], float],
        rng: Random,
        link: LinkPort,
        log_port: LogPort,
        host_list: HostListPort,
        ratings: RatingPort | None = None,
    ) -> None:
        self.settings = settings
        self.state = RouterState.STARTING
        self._clock = clock
        self.rng = rng
        self._link = link
        self._host_list = host_list
        self._next_hello_index = 0
        self._config_changed_s = 0.0
        self._is_stopped = False
        self.peers = Peers(settings.name, settings.incarnation, clock, rng, link, settings.peers)
        self._drained: Deferred[None] | None = None
        self.withdrawals = DirectWithdrawals()
        self._subsets = AgentSubset(settings.name, settings.subsets)
        self.fleet = Fleet(clock, settings.fleet)
        self.attempts = Attempts(
            settings.name, settings.incarnation, clock, link, self.fleet, settings.attempt_timing
        )
        self.feed = ConfigFeed(log_port, clock, rng, self._on_config, settings.follower)
        self.bills = UsageWriter(log_port, clock, rng, link, settings.billing)
        self.claims = Claims(log_port, clock, rng, settings.follower)
        self.evidence = EvidenceTask(
            self, clock, rng, ratings, settings.rating_sample, settings.evidence
        )
        self.lease = LeaseManager(
            ROLLOUT_LEASE,
            settings.name,
            settings.incarnation,
            log_port,
            clock,
            rng,
            lambda: [settings.name, *self.live_peers()],
            settings.follower,
        )
        self.rollouts = RolloutDriver(self, self.evidence, self.lease, clock, wall_s)
        burn_context = BurnContext(settings.name, self.live_peers, self.send, self._objectives)
        self.burn = BurnTask(burn_context, clock, wall_s)
        self.requests = Requests(self, self.evidence, self.burn, clock, wall_s, rng)
        self.answer_fetcher = AnswerFetcher(self.attempts, self.fleet)

    # Life cycle

    def start(self) -> None:
        """Start to follow the log, to discover agents and to receive messages."""
        self._link.listen(self.receive)
        self.attempts.start()
        self.feed.start()
        self.claims.start()
        self.lease.start()
        self._every(1.0, self._drive_rollouts)
        self._every(self.settings.host_list_interval_s, self._refresh_hosts)
        self._every(self.settings.hello_interval_s, self._send_hellos_and_digests)
        self._every(self.settings.evidence_interval_s, self.evidence.send_evidence)

    def stop(self) -> None:
        """Stop all activity without draining, as if the process had exited."""
        self._is_stopped = True
        self.attempts.stop()
        self.feed.stop()
        self.claims.stop()
        self.lease.stop()

    def drain(self) -> Deferred[None]:
        """Refuse new requests; the Deferred fires once requests are done and usage is recorded."""
        self.state = RouterState.DRAINING
        if self._drained is None:
            self._drained = Deferred()
            self.requests.when_idle(lambda: self.bills.when_idle(self._finish_drain))
        return self._drained

    def _finish_drain(self) -> None:
        if self._drained is not None and not self._drained.called:
            self._drained.callback(None)

    def _every(self, interval_s: float, action: Callable[[], None]) -> None:
        if self._is_stopped:
            return
        action()
        self._clock.callLater(interval_s, self._every, interval_s, action)

    @property
    def revision(self) -> int:
        """Revision of the router's configuration."""
        return self.feed.revision

    @property
    def is_ready(self) -> bool:
        """Whether the router has a configuration and is not draining."""
        return self.state is not RouterState.DRAINING and self.feed.is_ready

    # Hosts and peers

    def _refresh_hosts(self) -> None:
        ensureDeferred(self._read_hosts()).addErrback(self._log_host_error)

    def _log_host_error(self, failure: object) -> None:
        log.warning("could not read host list", extra={"error": str(failure)})

    async def _read_hosts(self) -> None:
        hosts = await self._host_list.hosts()
        if not self._is_stopped:
            self.apply_host_list(hosts)

    def apply_host_list(self, hosts: list[Host]) -> None:
        """Update agents and peers from the platform's list of hosts."""
        zones = {host.name: host.zone for host in hosts if host.role is HostRole.ROUTER}
        self._subsets.set_routers({**zones, self.settings.name: self.settings.zone})
        agents = [
            host for host in hosts if host.role is HostRole.AGENT and self._subsets.serves(host)
        ]
        served_names = {host.name for host in agents}
        self.fleet.forget_endpoints(
            host.name
            for host in hosts
            if host.role is HostRole.AGENT and host.name not in served_names
        )
        changed = self.fleet.update_hosts(agents)
        for host in agents:
            self.fleet.endpoints[host.name].is_config_pushed = self._subsets.publishes_to(host)
        for endpoint in changed:
            self._link.connect(endpoint.name, endpoint.address)
            self._link.send(endpoint.name, self._hello())
        self.peers.update_hosts({host.name: host for host in hosts if host.role is HostRole.ROUTER})
        count = 1 + len(self.peers.names)
        self.requests.admission.routers = count
        self.bills.appender.limit_append_rate(count, BILLING_APPENDS_PER_S)
        self.claims.appender.limit_append_rate(count, CLAIM_APPENDS_PER_S)

    def _drive_rollouts(self) -> None:
        self.lease.tick(self.state is RouterState.DRAINING)
        self.rollouts.tick()

    def _hello(self) -> Hello:
        cfg = self.settings
        token = self.lease.highest_token
        return Hello(
            cfg.name,
            cfg.incarnation,
            cfg.zone,
            self.feed.revision,
            token,
            self._heartbeat_interval_s(),
        )

    def _heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval in seconds, longer with many agents to bound the cost."""
        return max(self.settings.hello_interval_s, len(self.fleet.endpoints) / MAX_HEARTBEATS_PER_S)

    def _send_hellos_and_digests(self) -> None:
        self.fleet.refresh_pools()
        self._send_hellos()
        digest = self.make_digest()
        for name in self.peers.sample():
            self._link.send(name, digest)

    def _send_hellos(self) -> None:
        """Send hellos to a share of the agents, such that each gets one per heartbeat interval."""
        hello = self._hello()
        self.fleet.set_heartbeat_interval(hello.heartbeat_interval_s)
        names = list(self.fleet.endpoints)
        count = ceil(len(names) * self.settings.hello_interval_s / hello.heartbeat_interval_s)
        for index in range(min(count, len(names))):
            self._link.send(names[(self._next_hello_index + index) % len(names)], hello)
        self._next_hello_index += count

    def make_digest(self) -> RouterDigest:
        """Return the digest of this router that is sent to its peers."""
        cfg = self.settings
        return RouterDigest(
            cfg.name,
            cfg.incarnation,
            cfg.zone,
            self.feed.revision,
            self.fleet.lowest_revisions(),
            self.config_age_s(),
        )

    def config_age_s(self) -> float:
        """Return the maximum age of the configuration in seconds, or a negative number if unknown.

        The age counts from the last read of the end of the log by this router, or by any peer whose
        revision this router has reached.
        """
        ages = self.peers.config_ages_s(self.revision)
        if self.feed.caught_up_s is not None:
            ages.append(self._clock.seconds() - self.feed.caught_up_s)
        return min(ages, default=-1.0)

    @property
    def is_stale(self) -> bool:
        """Whether the configuration is older than the policy permits."""
        limit_s = self.feed.config.policy.max_staleness_s
        age_s = self.config_age_s()
        return limit_s > 0 and (age_s < 0 or age_s > limit_s)

    def _on_config(self) -> None:
        """Apply a new revision and send it to the agents that this router publishes to."""
        self.requests.rebuild_key_index()
        self.claims.fold.ttl_s = self.feed.config.policy.idempotency_ttl_s
        if self.state is RouterState.STARTING:
            self.state = RouterState.READY
        self._config_changed_s = self._clock.seconds()
        for endpoint in self.fleet.endpoints.values():
            if endpoint.incarnation >= 0 and endpoint.is_config_pushed:
                self._publish_config(endpoint, max(endpoint.revision, endpoint.sent_revision))

    def _publish_config(self, endpoint: Endpoint, revision: int) -> None:
        """Send an agent the configuration records that follow a revision."""
        self._send_update(endpoint.name, revision)
        endpoint.sent_revision = self.feed.revision

    def _send_update(self, peer: str, revision: int) -> None:
        update = self.feed.updates_since(revision)
        if update is not None:
            self._link.send(peer, update)

    def _objectives(self) -> dict[str, tuple[float, float]]:
        return {
            klass.name: (klass.objective, klass.objective_latency_s)
            for klass in self.feed.config.classes.values()
            if klass.objective
        }

    def live_peers(self) -> list[str]:
        """Return the names of the peers whose digests are recent."""
        return [digest.router for digest in self.peers.live_digests()]

    def send(self, peer: str, message: Message) -> None:
        """Send a message to another router or to an agent."""
        self._link.send(peer, message)

    def withdraw_version(self, message: Withdrawal) -> None:
        """Withdraw a version here and at every agent and peer, before the log has the record."""
        self._apply_withdrawal(message, self.peers.names)

    def _gossip_withdrawal(self, message: Withdrawal) -> None:
        """Apply a peer's withdrawal and gossip it to a sample of peers to bound the messages."""
        self._apply_withdrawal(message, self.peers.sample())

    def _apply_withdrawal(self, message: Withdrawal, peers: list[str]) -> None:
        if not self.withdrawals.add(message, self.feed.fold):
            return
        for name in (*self.fleet.endpoints, *peers):
            self._link.send(name, message)

    def submit_change(self, change: Change) -> Deferred[Verdict]:
        """Submit a configuration change; its withdrawals take effect before it is in the log."""
        for version in withdrawn_versions(change):
            self.withdraw_version(Withdrawal(version, change.change_id))
        return self.feed.submit(change)

    # Messages

    def receive(self, sender: str, messages: list[Message]) -> None:
        """Handle messages from an agent or another router."""
        if self._is_stopped:
            return
        for message in messages:
            self._handle(sender, message)

    def _handle(self, sender: str, message: Message) -> None:
        match message:
            case Chunk() | AttemptAccepted() | Finished() | Refused() | Failed():
                self.attempts.handle(message)
            case Heartbeat():
                self._on_heartbeat(message)
            case ConfigRequest(revision=revision):
                self._send_update(sender, revision)
            case UsageHandover(records=records):
                for record in records:
                    self.bills.write(record, [sender])
            case RouterDigest():
                self._on_digest(sender, message)
            case ConfigRecords(previous=previous, records=records):
                if not self.feed.apply_peer_records(previous, records):
                    self._link.send(sender, ConfigRequest(self.feed.revision))
            case ConfigSnapshot(data=data):
                self.feed.apply_peer_snapshot(data)
            case Withdrawal():
                self._gossip_withdrawal(message)
            case LoadOrderReply():
                self.rollouts.handle_reply(message)
            case BurnRequest():
                self.burn.handle_request(sender, message)
            case BurnReply():
                self.burn.handle_reply(sender, message)
            case Evidence():
                self.evidence.handle_evidence(message)
            case _:
                log.warning("unexpected message", extra={"message_type": type(message).__name__})

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        replaced = self.fleet.handle_heartbeat(heartbeat)
        if replaced is not None:
            self.attempts.handle_agent_replaced(heartbeat.endpoint, heartbeat.incarnation)
        endpoint = self.fleet.get(heartbeat.endpoint)
        if endpoint is None or endpoint.incarnation != heartbeat.incarnation:
            return
        is_past_grace = self._clock.seconds() - self._config_changed_s >= PUBLISH_GRACE_S
        if heartbeat.revision < self.feed.revision and (endpoint.is_config_pushed or is_past_grace):
            self._publish_config(endpoint, heartbeat.revision)

    def _on_digest(self, sender: str, digest: RouterDigest) -> None:
        if not self.peers.handle_digest(sender, digest):
            return
        if digest.revision < self.feed.revision:
            self._send_update(sender, digest.revision)
        elif digest.revision > self.feed.revision:
            self._link.send(sender, ConfigRequest(self.feed.revision))
