"""The router's view of agents: learned from the host list and from their heartbeats."""

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, field

from umberhitch.ports import Clock, Host, HostState
from umberhitch.wire import EndpointState, Heartbeat

__all__ = ["EMPTY_POOL", "Endpoint", "Fleet", "FleetLimits", "Pool", "make_pool"]


MAX_MISSED_HEARTBEATS = 3
OCCUPANCY_WEIGHT = 0.1
"""How much filled slots count beside urgent work: little enough only to decide between equals."""


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """When an agent is left out.

    Attributes
    ----------
    silence_s : float
        An agent not heard for this long is suspected and gets no new work.
    floor : float
        Fraction of a target's endpoints that stays in use however many are suspected: when more
        are silent than this allows, the router itself is probably at fault.
    eject_after : int
        Consecutive failures after which an endpoint is left out for a while.
    eject_first_s, eject_most_s : float
        For how long at first, and at most; it doubles from one ejection to the next.
    """

    min_heartbeat_timeout_s: float = 3.0
    min_usable_share: float = 0.5
    ejection_failures: int = 3
    base_ejection_s: float = 2.0
    max_ejection_s: float = 60.0


@dataclass(slots=True)
class Endpoint:
    """What a router knows of one endpoint and its agent."""

    name: str
    zone: str
    address: str
    incarnation: int = -1
    """Of the newest agent heard; -1 before the first heartbeat."""
    targets: tuple[str, ...] = ()
    state: EndpointState = EndpointState.READY
    is_listed_draining: bool = False
    revision: int = -1
    """Of its agent's configuration, as of the last heartbeat."""
    sent_revision: int = -1
    """Up to which its agent was sent the configuration, whether or not it arrived."""
    is_config_pushed: bool = True
    """Whether this router sends its agent each change unasked."""
    is_loading: bool = False
    """Whether it is loading a version, so that what it serves is about to change."""
    reported_attempts: int = 0
    """Attempts running and queued as of the last heartbeat."""
    own_at_heartbeat: int = 0
    """Attempts of this router in flight when that heartbeat came."""
    slots: int = 1
    own_attempts: int = 0
    """Attempts of this router in flight now."""
    reported_urgent: int = 0
    """Urgent attempts running and queued as of the last heartbeat."""
    own_urgent: int = 0
    own_urgent_at_heartbeat: int = 0
    last_heartbeat_s: float = -1.0
    failures: int = 0
    """Consecutive attempts that failed or were refused by the back end."""
    ejections: int = 0
    """Consecutive ejections, without a success between."""
    ejected_until_s: float = -1.0

    def load(self, is_urgent: bool = False) -> float:
        """Return the work at the endpoint per slot, corrected by what was sent since.

        What is urgent overtakes the rest of the queue, so that for it only urgent work counts, and
        other work as far as it fills the slots.
        """
        whole = (
            max(
                self.own_attempts,
                self.reported_attempts + self.own_attempts - self.own_at_heartbeat,
            )
            / self.slots
        )
        if not is_urgent:
            return whole
        since = self.own_urgent - self.own_urgent_at_heartbeat
        urgent = max(self.own_urgent, self.reported_urgent + since) / self.slots
        return urgent + OCCUPANCY_WEIGHT * min(1.0, whole)

    def note_attempt_started(self, is_urgent: bool) -> None:
        """Count an attempt of this router in."""
        self.own_attempts += 1
        self.own_urgent += is_urgent

    def note_attempt_finished(self, is_urgent: bool) -> None:
        """Count an attempt of this router out."""
        self.own_attempts = max(0, self.own_attempts - 1)
        self.own_urgent = max(0, self.own_urgent - is_urgent)


@dataclass(frozen=True, slots=True)
class Pool:
    """The endpoints that may get new work for one target, ready for a choice.

    Built when the fleet changes, so that a decision need not look at every endpoint.
    """

    endpoints: tuple[Endpoint, ...] = ()
    by_zone: dict[str, tuple[Endpoint, ...]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.endpoints)

    def __iter__(self) -> Iterator[Endpoint]:
        return iter(self.endpoints)

    def has_other_than(self, avoid: Container[str]) -> bool:
        """Whether there is an endpoint whose name is not to be avoided."""
        if not avoid:
            return bool(self.endpoints)
        return any(endpoint.name not in avoid for endpoint in self.endpoints)


EMPTY_POOL = Pool()


def make_pool(endpoints: Iterable[Endpoint]) -> Pool:
    """Return a pool of endpoints."""
    members = tuple(endpoints)
    by_zone: dict[str, list[Endpoint]] = {}
    for endpoint in members:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    return Pool(members, {zone: tuple(rows) for zone, rows in by_zone.items()})


@dataclass(slots=True)
class Fleet:
    """Owns the endpoints that a router knows.

    Attributes
    ----------
    clock : Clock
    limits : FleetLimits
    """

    clock: Clock
    limits: FleetLimits = field(default_factory=FleetLimits)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    heartbeat_timeout_s: float = 0.0
    """How long an agent may be silent; grows with the pace of heartbeats."""
    _by_target: dict[str, list[Endpoint]] = field(default_factory=dict)
    _pools: dict[str, Pool] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.set_heartbeat_interval(0.0)

    def set_heartbeat_interval(self, beat_s: float) -> None:
        """Expect agents to be heard this often; three missed heartbeats are silence."""
        self.heartbeat_timeout_s = max(
            self.limits.min_heartbeat_timeout_s, MAX_MISSED_HEARTBEATS * beat_s
        )

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by name."""
        return self.endpoints.get(name)

    def update_hosts(self, hosts: Iterable[Host]) -> list[Endpoint]:
        """Take the host list; returns the endpoints that are new or have moved.

        An endpoint that is no longer listed is kept while its agent is heard, since the list may
        lag or be wrong.
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
        """Forget endpoints that other routers serve now, unless work runs there."""
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
        """Look for endpoints that have fallen silent; called at the pace of heartbeats."""
        self._pools.clear()

    def handle_heartbeat(self, beat: Heartbeat) -> int | None:
        """Take a heartbeat; returns the incarnation that it replaces, if it does."""
        endpoint = self.endpoints.get(beat.endpoint)
        if endpoint is None or beat.incarnation < endpoint.incarnation:
            return None
        replaced = endpoint.incarnation if endpoint.incarnation >= 0 else None
        is_replaced = replaced is not None and beat.incarnation > endpoint.incarnation
        if is_replaced:
            endpoint.is_listed_draining = False
        is_changed = endpoint.state is not beat.state or endpoint.zone != beat.zone
        if is_changed or is_replaced or self.is_silent(endpoint):
            for target in endpoint.targets:
                self._pools.pop(target, None)
        endpoint.incarnation = beat.incarnation
        endpoint.zone = beat.zone
        endpoint.state = beat.state
        endpoint.is_loading = beat.is_loading
        endpoint.revision = beat.revision
        endpoint.reported_attempts = beat.running + beat.queued
        endpoint.own_at_heartbeat = endpoint.own_attempts
        endpoint.reported_urgent = beat.urgent
        endpoint.own_urgent_at_heartbeat = endpoint.own_urgent
        endpoint.slots = max(1, beat.slots)
        endpoint.last_heartbeat_s = self.clock.seconds()
        if tuple(beat.targets) != endpoint.targets:
            self._index(endpoint, tuple(beat.targets))
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
        """Note that an attempt at an endpoint went well."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.failures = endpoint.ejections = 0

    def note_failure(self, name: str) -> None:
        """Note that an endpoint failed; after a few in a row it is left out for a while."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        endpoint.failures += 1
        if endpoint.failures < self.limits.ejection_failures:
            return
        wait_s = min(
            self.limits.max_ejection_s, self.limits.base_ejection_s * 2**endpoint.ejections
        )
        endpoint.failures = self.limits.ejection_failures - 1
        endpoint.ejections += 1
        endpoint.ejected_until_s = self.clock.seconds() + wait_s
        for target in endpoint.targets:
            self._pools.pop(target, None)

    def is_excluded(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is left out for now: its agent is silent, or it was ejected."""
        return self.is_silent(endpoint) or self.clock.seconds() < endpoint.ejected_until_s

    def is_silent(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's agent has not been heard lately."""
        return self.clock.seconds() - endpoint.last_heartbeat_s > self.heartbeat_timeout_s

    def candidates(self, target: str) -> Pool:
        """Return the endpoints that may get new work for a target."""
        pool = self._pools.get(target)
        if pool is None:
            pool = self._pools[target] = make_pool(self._usable(target))
        return pool

    def _usable(self, target: str) -> list[Endpoint]:
        known = self._by_target.get(target, [])
        open_ = [
            endpoint
            for endpoint in known
            if endpoint.state is EndpointState.READY and not endpoint.is_listed_draining
        ]
        heard = [endpoint for endpoint in open_ if not self.is_excluded(endpoint)]
        if len(heard) >= self.limits.min_usable_share * len(open_):
            return heard
        return open_

    def has_endpoint(self, target: str) -> bool:
        """Whether any endpoint may get new work for a target."""
        return bool(self.candidates(target).endpoints)

    def lowest_revisions(self) -> dict[str, list[int]]:
        """Return, by availability zone, how many agents are heard and the lowest revision there."""
        zones: dict[str, list[int]] = {}
        for endpoint in self.endpoints.values():
            if endpoint.incarnation < 0 or self.is_silent(endpoint):
                continue
            row = zones.setdefault(endpoint.zone, [0, endpoint.revision])
            row[0] += 1
            row[1] = min(row[1], endpoint.revision)
        return zones
