"""Routers of the direct path on a virtual clock, with a fake store and fake endpoints around."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.task import Clock

from umberhitch.core.direct import (
    Customer,
    Document,
    EndpointEntry,
    EndpointState,
    RetryBudgetLimits,
    RolloutOrder,
    Route,
    RouteKind,
    Service,
    StoreEpoch,
    ZoneOut,
    key_digest,
)
from umberhitch.fakes import (
    FakeEndpoint,
    FakeEndpoints,
    FakeFeed,
    FakeHolds,
    FakeMembers,
    FakeNetwork,
    FakeReply,
    FakeStatuses,
    FakeWire,
    KeyedMemory,
    MemberRows,
    ProcessClock,
    StatusRows,
    StoreFaults,
)
from umberhitch.ports.direct import (
    FeedPort,
    FeedRecord,
    Member,
    OperatorValue,
    RawRequest,
    StoredHold,
)
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.tasks.direct.gateway import Gateway
from umberhitch.tasks.direct.gateway_limits import GatewaySettings
from umberhitch.tasks.direct.peers import DirectPeers
from umberhitch.tasks.direct.read_sharing import ReadSharing, StreamName
from umberhitch.tasks.direct.shared_view import share_stream
from umberhitch.tasks.direct.stored_holds import StoredHolds

__all__ = [
    "DirectAsk",
    "DirectRouter",
    "DirectWorld",
    "LostRecords",
    "StoreCopy",
    "make_direct_document",
    "make_endpoint_entry",
    "make_route",
]

STEP_S = 0.01
LINGER_S = 0.1
"""From the end of a drain to that of the process."""
KEY = "key-1"
HOST = "models.example"


def make_route(name: str, kind: RouteKind = RouteKind.IDEMPOTENT, **changes: object) -> Route:
    """Return a route at ``/NAME/``."""
    values: dict[str, object] = {
        "timeout_s": 5.0,
        "objective_s": 0.5,
        "priority": 1,
        "services": (("svc", 1.0),),
        "max_attempts": 1 if kind is RouteKind.NON_IDEMPOTENT else 3,
        "is_resumable": kind is RouteKind.STREAM,
        **changes,
    }
    return Route(name, HOST, f"/{name}/", kind, **values)  # type: ignore[arg-type]


def make_direct_document(
    number: int = 1,
    routes: tuple[Route, ...] = (),
    keys: tuple[str, ...] = (KEY,),
    **service: Any,
) -> Document:
    """Return a document with three routes, one of each kind, or with those given.

    ``service`` is what its service has besides.
    """
    routes = routes or (
        make_route("look"),
        make_route("order", RouteKind.NON_IDEMPOTENT),
        make_route("draft", RouteKind.STREAM),
    )
    services = {"svc": Service("svc", slots=8, cache_tokens=100_000, **service)}
    return Document(number, routes, services, {key_digest(key): Customer("c1") for key in keys})


def make_endpoint_entry(
    incarnation: str,
    version: str = "v1",
    state: EndpointState = EndpointState.READY,
    born: int | None = None,
    zone: str = "a",
    cold_s: float | None = None,
) -> EndpointEntry:
    """Return the entry of an endpoint whose address is ``@`` and its incarnation."""
    address = f"@{incarnation}"
    return EndpointEntry(incarnation, "svc", address, zone, version, 8, state, born, cold_s)


@dataclass
class DirectRouter:
    """One router with what is its own."""

    gateway: Gateway
    trials: CanaryController
    peers: DirectPeers
    clock: ProcessClock
    faults: StoreFaults
    operator: FakeFeed[OperatorValue]
    registry: FakeFeed[EndpointEntry]
    statuses: FakeStatuses
    members: FakeMembers
    holds: StoredHolds
    holds_port: FakeHolds

    @property
    def store_calls(self) -> float:
        """Calls to the store so far; to keep a seat in its group counts a tenth."""
        whole = self.operator.calls + self.registry.calls
        whole += self.statuses.calls + self.members.lists + self.holds_port.calls
        return whole + 0.1 * self.members.joins


@dataclass
class DirectWorld:
    """A store, endpoints and routers; time passes only by `run`."""

    clock: Clock = field(default_factory=Clock)
    rng: Random = field(default_factory=lambda: Random(7))

    def __post_init__(self) -> None:
        self.operator: KeyedMemory[OperatorValue] = KeyedMemory()
        self.registry: KeyedMemory[EndpointEntry] = KeyedMemory()
        self.statuses = StatusRows()
        self.members = MemberRows()
        self.held: dict[str, StoredHold] = {}
        self.network = FakeNetwork(self.clock, self.rng)
        self.endpoints = FakeEndpoints(self.clock)
        self.routers: dict[str, DirectRouter] = {}
        self._starts: Counter[str] = Counter()
        self._asked = 0

    def add_endpoint(
        self, incarnation: str, version: str = "v1", born: int | None = None, **entry: Any
    ) -> FakeEndpoint:
        """Start an endpoint, perhaps again, and register it; ``entry`` is what its entry says."""
        endpoint = FakeEndpoint()
        self.endpoints.by_address[f"@{incarnation}"] = endpoint
        made = make_endpoint_entry(incarnation, version, born=born, **entry)
        self.registry.put(incarnation, made)
        return endpoint

    def add_router(
        self,
        name: str = "r1",
        slack: float = 100.0,
        status_faults: StoreFaults | None = None,
        zone: str = "a",
        operator_port: FeedPort[OperatorValue] | None = None,
        **settings: Any,
    ) -> DirectRouter:
        """Start a router; ``settings`` are those of `GatewaySettings`.

        What operators write it reads from the fake store, or from ``operator_port``.
        """
        self._starts[name] += 1
        incarnation = self._starts[name]
        clock = ProcessClock(self.clock)
        faults = StoreFaults()
        epochs = StoreEpoch()
        operator = FakeFeed(self.operator, clock, faults, epochs)
        registry = FakeFeed(self.registry, clock, faults, epochs)
        statuses = FakeStatuses(self.statuses, status_faults or faults, epochs, clock)
        trials = CanaryController(clock, Random(name), statuses)
        link = self.network.link(name)
        sharing = ReadSharing(name, incarnation, clock, Random(name), link.send, epochs=epochs)
        operator_view = share_stream(sharing, StreamName.OPERATOR, operator_port or operator)
        registry_view = share_stream(sharing, StreamName.REGISTRY, registry)
        gateway = Gateway(
            GatewaySettings(
                name=name,
                zone=zone,
                budget=RetryBudgetLimits(0.9, slack, 10.0),
                **settings,
            ),
            clock,
            Random(name),
            FakeWire(),
            self.endpoints.of(name),
            operator_view,
            registry_view,
            trials,
            epochs,
        )
        operator_view.attach_feed(gateway.view.operator_feed)
        registry_view.attach_feed(gateway.view.registry_feed)
        me = Member(name, f"@{name}")
        members = FakeMembers(self.members, faults, epochs, clock)
        peers = DirectPeers(me, incarnation, gateway, clock, Random(name), link, members, sharing)
        gateway.start()
        trials.start()
        peers.start()
        holds_port = FakeHolds(self.held, faults)
        holds = StoredHolds(clock, holds_port, gateway.crash_guard.sharing, peers.rank, epochs)
        holds.start()
        router = DirectRouter(
            gateway,
            trials,
            peers,
            clock,
            faults,
            operator,
            registry,
            statuses,
            members,
            holds,
            holds_port,
        )
        self.routers[name] = router
        return router

    def kill_router(self, name: str) -> None:
        """Let a router lose power: it does and says nothing more."""
        router = self.routers.pop(name)
        router.clock.is_paused = True
        self.network.unplug(name)
        self.members.drop(name)

    def stop_router(self, name: str) -> None:
        """Let a router drain and end, as at SIGTERM."""
        router = self.routers[name]

        def end() -> None:
            router.peers.leave()
            router.clock.callLater(LINGER_S, self.kill_router, name)

        router.gateway.drain(lambda: None, end)

    def ready_router(self, document: Document | None = None) -> DirectRouter:
        """Publish a document, start a router and let it become ready."""
        self.operator.put("config", document or make_direct_document())
        router = self.add_router()
        self.run(0.1)
        assert router.gateway.is_ready
        return router

    def roll_out(self, target: str, duration_s: float) -> None:
        """Order a roll-out."""
        self.operator.put("rollout/svc", RolloutOrder("svc", target, duration_s))

    def take_out(self, zone: str) -> None:
        """Take an availability zone out of service."""
        self.operator.put(f"zone/{zone}", ZoneOut(zone))

    def take_back(self, zone: str) -> None:
        """Take it back into service."""
        self.operator.put(f"zone/{zone}", None)

    def copy_store(self) -> "StoreCopy":
        """Return a copy of the store as it is now."""
        return StoreCopy(
            len(self.operator.records),
            len(self.registry.records),
            len(self.statuses),
            dict(self.members.rows),
            self.members.generation,
            dict(self.held),
        )

    def restore_store(self, copy: "StoreCopy", *, is_noticed: bool = True) -> "LostRecords":
        """Let the store return from a copy; return what operators and endpoints wrote since."""
        lost = LostRecords(
            self.operator.records[copy.operator_end :], self.registry.records[copy.registry_end :]
        )
        self.operator.restore(copy.operator_end, is_noticed=is_noticed)
        self.registry.restore(copy.registry_end, is_noticed=is_noticed)
        self.statuses.restore(copy.status_end)
        self.members.restore(copy.members, copy.generation)
        self.held.clear()
        self.held.update(copy.held)
        return lost

    def write_again(
        self, lost: "LostRecords", max_delay_s: float = 0.0, *, newest_only: bool = True
    ) -> None:
        """Let operators and endpoints write the lost records once more.

        Parameters
        ----------
        lost : LostRecords
        max_delay_s : float
            Each key is written after a random delay of up to so many seconds.
        newest_only : bool
            Whether only the newest record of each key is written, or all of them in order.
        """
        for memory, records in ((self.operator, lost.operator), (self.registry, lost.registry)):
            by_key: dict[str, list[Any]] = {}
            for record in records:
                by_key.setdefault(record.key, []).append(record.value)
            for key, values in by_key.items():
                again = values[-1:] if newest_only else values
                delay_s = max_delay_s * self.rng.random()
                self.clock.callLater(delay_s, _put_all, memory, key, again)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def ask(
        self,
        router: DirectRouter,
        path: str,
        key: str | None = KEY,
        body: bytes = b"body",
        **headers: str,
    ) -> "DirectAsk":
        """Send a request; ``headers`` are those of `FakeWire`, underscores for hyphens."""
        self._asked += 1
        call_id = f"q{self._asked}"
        lines = [(b"Id", call_id.encode()), (b"Host", HOST.encode())]
        if key is not None:
            lines.append((b"Key", key.encode()))
        for name, value in headers.items():
            lines.append((name.replace("_", "-").encode(), value.encode()))
        reply = FakeReply()
        raw = RawRequest(b"POST", path.encode(), lines, body, self.clock.seconds())
        leave = router.gateway.handle(raw, reply)
        return DirectAsk(call_id, reply, leave)


def _put_all(memory: KeyedMemory[Any], key: str, values: list[Any]) -> None:
    """Write the values of a key, unless its writer has written a newer one meanwhile."""
    if memory.written[key] != values[-1]:
        return
    for value in values:
        memory.put(key, value)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a copy of the store has: all records before an end, the members and the holds."""

    operator_end: int
    registry_end: int
    status_end: int
    members: dict[str, Member]
    generation: int
    held: dict[str, StoredHold]


@dataclass(frozen=True, slots=True)
class LostRecords:
    """Records that a copy of the store lacks, which their writers write again."""

    operator: list[FeedRecord[OperatorValue]]
    registry: list[FeedRecord[EndpointEntry]]


@dataclass
class DirectAsk:
    """A request that was sent."""

    call_id: str
    reply: FakeReply
    leave: Callable[[], None]

    @property
    def status(self) -> int | None:
        """Status of the reply, None before it has begun."""
        return self.reply.status
