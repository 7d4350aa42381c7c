"""A router's view of the endpoints, from the host list and from the heartbeats of their agents."""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, field

from umberhitch.ports import Clock, Host, HostState
from umberhitch.wire import EndpointState, Heartbeat

__all__ = ["EMPTY_POOL", "Endpoint", "Fleet", "FleetLimits", "Pool", "make_pool"]


MAX_MISSED_HEARTBEATS = 3
"""Heartbeat intervals without a heartbeat after which an agent is suspected."""
OCCUPANCY_WEIGHT = 0.1
"""Weight of the used slots in the load for urgent work. The weight is so small that used slots only
decide between endpoints with equal urgent work."""


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Thresholds for suspecting an agent and for ejecting an endpoint (outlier detection).

    Attributes
    ----------
    min_heartbeat_timeout_s : float
        Lower limit of the timeout in seconds after which an agent without a heartbeat is suspected
        and gets no new work. The timeout grows with the interval of heartbeats.
    min_usable_share : float
        Fraction of a target's endpoints that must be usable. If fewer are, all of them are used,
        since the router itself is then probably at fault.
    ejection_failures : int
        Consecutive failures after which an endpoint is ejected.
    base_ejection_s, max_ejection_s : float
        Seconds of the first ejection and of the longest. The duration doubles at each ejection.
    """

    min_heartbeat_timeout_s: float = 3.0
    min_usable_share: float = 0.5
    ejection_failures: int = 3
    base_ejection_s: float = 2.0
    max_ejection_s: float = 60.0


@dataclass(slots=True)
class Endpoint:
    """State of one endpoint and its agent, as known to the router."""

    name: str
    zone: str
    address: str
    incarnation: int = -1
    """Newest incarnation of the agent that sent a heartbeat; -1 before the first."""
    targets: tuple[str, ...] = ()
    state: EndpointState = EndpointState.READY
    is_listed_draining: bool = False
    """Whether the host list says that the endpoint is draining."""
    revision: int = -1
    """Revision of the agent's configuration, as of the last heartbeat."""
    sent_revision: int = -1
    """Last revision that was sent to the agent, whether or not it arrived."""
    is_config_pushed: bool = True
    """Whether this router pushes each change of the configuration to the agent."""
    is_loading: bool = False
    """Whether the endpoint is loading a version, after which its targets change."""
    reported_attempts: int = 0
    """Attempts of all routers running and queued, as of the last heartbeat."""
    own_at_heartbeat: int = 0
    """Attempts of this router in flight when the last heartbeat arrived."""
    slots: int = 1
    """Attempts that the endpoint runs at the same time."""
    own_attempts: int = 0
    """Attempts of this router in flight now."""
    reported_urgent: int = 0
    """Urgent attempts of all routers running and queued, as of the last heartbeat."""
    own_urgent: int = 0
    """Urgent attempts of this router in flight now."""
    own_urgent_at_heartbeat: int = 0
    """Urgent attempts of this router in flight when the last heartbeat arrived."""
    last_heartbeat_s: float = -1.0
    failures: int = 0
    """Number of consecutive attempts that failed or were refused by the back end."""
    ejections: int = 0
    """Number of ejections since the last successful attempt."""
    ejected_until_s: float = -1.0

    def load(self, is_urgent: bool = False) -> float:
        """Return the attempts at the endpoint per slot.

        The number that the last heartbeat reported is corrected by the attempts of this router that
        started or finished since. An urgent attempt overtakes all others in the queue, so that only
        urgent attempts count in full for it; others count with a low weight, up to the slots.
        """
        total = (
            max(
                self.own_attempts,
                self.reported_attempts + self.own_attempts - self.own_at_heartbeat,
            )
            / self.slots
        )
        if not is_urgent:
            return total
        since = self.own_urgent - self.own_urgent_at_heartbeat
        urgent = max(self.own_urgent, self.reported_urgent + since) / self.slots
        return urgent + OCCUPANCY_WEIGHT * min(1.0, total)

    def note_attempt_started(self, is_urgent: bool) -> None:
        """Count an attempt of this router that starts."""
        self.own_attempts += 1
        self.own_urgent += is_urgent

    def note_attempt_finished(self, is_urgent: bool) -> None:
        """Count an attempt of this router that has finished."""
        self.own_attempts = max(0, self.own_attempts - 1)
        self.own_urgent = max(0, self.own_urgent - is_urgent)


@dataclass(frozen=True, slots=True)
class Pool:
    """The endpoints that may get new work for one target, also grouped by availability zone.

    A pool is built when the fleet changes, so that a routing decision need not check every
    endpoint.
    """

    endpoints: tuple[Endpoint, ...] = ()
    by_zone: dict[str, tuple[Endpoint, ...]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.endpoints)

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(self.endpoints)

    def has_other_than(self, avoid: Container[str]) -> bool:
        """Whether the pool has an endpoint whose name is not in ``avoid``."""
        if not avoid:
            return bool(self.endpoints)
        return any(endpoint.name not in avoid for endpoint in self.endpoints)


EMPTY_POOL = Pool()


def make_pool(endpoints: Iterable[Endpoint]) -> Pool:
    """Return the pool of the endpoints."""
    members = tuple(endpoints)
    by_zone: dict[str, list[Endpoint]] = {}
    for endpoint in members:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    return Pool(members, {zone: tuple(rows) for zone, rows in by_zone.items()})


@dataclass(slots=True)
class Fleet:
    """Maintains the state of the endpoints that a router knows.

    Attributes
    ----------
    clock : Clock
    limits : FleetLimits
    endpoints : dict of str to Endpoint
        Endpoints by name.
    """

    clock: Clock
    limits: FleetLimits = field(default_factory=FleetLimits)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    heartbeat_timeout_s: float = 0.0
    """Seconds without a heartbeat after which an agent is suspected."""
    _by_target: dict[str, list[Endpoint]] = field(default_factory=dict)
    _pools: dict[str, Pool] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.set_heartbeat_interval(0.0)

    def set_heartbeat_interval(self, interval_s: float) -> None:
        """Set the interval at which agents send heartbeats, from which the timeout is derived."""
        self.heartbeat_timeout_s = max(
            self.limits.min_heartbeat_timeout_s, MAX_MISSED_HEARTBEATS * interval_s
        )

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by name."""
        return self.endpoints.get(name)

    def update_hosts(self, hosts: Iterable[Host]) -> list[Endpoint]:
        """Apply the host list; return the endpoints that are new or have a new address.

        An endpoint that is no longer listed is kept while its agent sends heartbeats, since the
        list may lag or be wrong.
        """
        listed = {host.name: host for host in hosts}
        moved = [self._update_host(host) for host in listed.values()]
        self._pools.clear()
        now = self.clock.seconds()
        for name, endpoint in list(self.endpoints.items()):
            is_silent = now - endpoint.last_heartbeat_s > self.heartbeat_timeout_s
            if name not in listed and is_silent and not endpoint.own_attempts:
                self._remove(endpoint)
        return [endpoint for endpoint in moved if endpoint is not None]

    def forget_endpoints(self, names: Iterable[str]) -> None:
        """Remove endpoints that other routers now serve, unless attempts are in flight there."""
        for name in names:
            endpoint = self.endpoints.get(name)
            if endpoint is not None and not endpoint.own_attempts:
                self._remove(endpoint)

    def _update_host(self, host: Host) -> Endpoint | None:
        endpoint = self.endpoints.get(host.name)
        is_new = endpoint is None or endpoint.address != host.address
        if endpoint is None:
            endpoint = Endpoint(host.name, host.zone, host.address)
            self.endpoints[host.name] = endpoint
        endpoint.address = host.address
        endpoint.is_listed_draining = host.state is HostState.LEAVING
        return endpoint if is_new else None

    def _remove(self, endpoint: Endpoint) -> None:
        del self.endpoints[endpoint.name]
        self._index(endpoint, ())

    def refresh_pools(self) -> None:
        """Clear the pools, so that they are rebuilt without newly suspected agents."""
        self._pools.clear()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> int | None:
        """Apply a heartbeat; return the incarnation that it replaces, or None."""
        endpoint = self.endpoints.get(heartbeat.endpoint)
        if endpoint is None or heartbeat.incarnation < endpoint.incarnation:
            return None
        replaced = endpoint.incarnation if endpoint.incarnation >= 0 else None
        is_replaced = replaced is not None and heartbeat.incarnation > endpoint.incarnation
        if is_replaced:
            endpoint.is_listed_draining = False
        is_changed = endpoint.state is not heartbeat.state or endpoint.zone != heartbeat.zone
        if is_changed or is_replaced or self.is_silent(endpoint):
            for target in endpoint.targets:
                self._pools.pop(target, None)
        endpoint.incarnation = heartbeat.incarnation
        endpoint.zone = heartbeat.zone
        endpoint.state = heartbeat.state
        endpoint.is_loading = heartbeat.is_loading
        endpoint.revision = heartbeat.revision
        endpoint.reported_attempts = heartbeat.running + heartbeat.queued
        endpoint.own_at_heartbeat = endpoint.own_attempts
        endpoint.reported_urgent = heartbeat.urgent
        endpoint.own_urgent_at_heartbeat = endpoint.own_urgent
        endpoint.slots = max(1, heartbeat.slots)
        endpoint.last_heartbeat_s = self.clock.seconds()
        if tuple(heartbeat.targets) != endpoint.targets:
            self._index(endpoint, tuple(heartbeat.targets))
        return replaced if is_replaced else None

    def _index(self, endpoint: Endpoint, targets: tuple[str, ...]) -> None:
        for target in endpoint.targets:
            self._by_target[target].remove(endpoint)
            self._pools.pop(target, None)
        endpoint.targets = targets
        for target in targets:
            self._by_target.setdefault(target, []).append(endpoint)
            self._pools.pop(target, None)

    def note_success(self, name: str) -> None:
        """Record a successful attempt, which resets the failures and ejections of the endpoint."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.failures = endpoint.ejections = 0

    def note_failure(self, name: str) -> None:
        """Record a failure, and eject the endpoint after several consecutive failures."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        endpoint.failures += 1
        if endpoint.failures < self.limits.ejection_failures:
            return
        ejection_s = min(
            self.limits.max_ejection_s, self.limits.base_ejection_s * 2**endpoint.ejections
        )
        endpoint.failures = self.limits.ejection_failures - 1
        endpoint.ejections += 1
        endpoint.ejected_until_s = self.clock.seconds() + ejection_s
        for target in endpoint.targets:
            self._pools.pop(target, None)

    def is_excluded(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's agent is suspected or the endpoint is ejected."""
        return self.is_silent(endpoint) or self.clock.seconds() < endpoint.ejected_until_s

    def is_silent(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's agent has sent no heartbeat within the timeout."""
        return self.clock.seconds() - endpoint.last_heartbeat_s > self.heartbeat_timeout_s

    def candidates(self, target: str) -> Pool:
        """Return the endpoints that may get new work for a target."""
        pool = self._pools.get(target)
        if pool is None:
            pool = self._pools[target] = make_pool(self._usable_endpoints(target))
        return pool

    def _usable_endpoints(self, target: str) -> list[Endpoint]:
        known = self._by_target.get(target, [])
        ready = [
            endpoint
            for endpoint in known
            if endpoint.state is EndpointState.READY and not endpoint.is_listed_draining
        ]
        usable = [endpoint for endpoint in ready if not self.is_excluded(endpoint)]
        if len(usable) >= self.limits.min_usable_share * len(ready):
            return usable
        return ready

    def has_endpoint(self, target: str) -> bool:
        """Whether any endpoint may get new work for a target."""
        return bool(self.candidates(target).endpoints)

    def lowest_revisions(self) -> dict[str, list[int]]:
        """Return the number of live agents and their lowest revision, by availability zone."""
        zones: dict[str, list[int]] = {}
        for endpoint in self.endpoints.values():
            if endpoint.incarnation < 0 or self.is_silent(endpoint):
                continue
            row = zones.setdefault(endpoint.zone, [0, endpoint.revision])
            row[0] += 1
            row[1] = min(row[1], endpoint.revision)
        return zones
