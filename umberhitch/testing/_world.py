"""A deployment on a virtual clock: the real core and tasks, with fakes at the ports.

Scenarios and state machines drive it, and read from it what an oracle needs: what ran, what was
billed, what each caller got.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from umberhitch.config import Change, Config, Fold, VersionState, decode_record, encode_record
from umberhitch.core.billing import BillFold
from umberhitch.core.outcome import Done, Outcome
from umberhitch.core.session import Session, read_session_token, sign_session_token
from umberhitch.fakes import (
    EnginePace,
    FakeEngine,
    FakeHostList,
    FakeLink,
    FakeLog,
    FakeNetwork,
    FakeRatings,
    LogFaults,
    MemoryLog,
    ProcessClock,
)
from umberhitch.fakes._engine import EngineRun
from umberhitch.ports import Host, HostRole
from umberhitch.tasks.agent import Agent, AgentSettings
from umberhitch.tasks.config_feed import CONFIG_STREAM
from umberhitch.tasks.request_state import CallerRequest
from umberhitch.tasks.router import Router, RouterSettings
from umberhitch.tasks.usage_writer import BILLING_STREAM
from umberhitch.testing._violation import Violation
from umberhitch.wire import EngineWork, ServiceWork

__all__ = ["AskOptions", "CallerRecord", "World", "WorldSettings"]

NO_TIMER_S = float("inf")


@dataclass(frozen=True, kw_only=True)
class WorldSettings:
    """What a world starts with.

    Attributes
    ----------
    endpoints : dict
        Target of each endpoint by its name.
    routers : tuple of str
    zones : tuple of str
        Given out in turn, to routers and to endpoints.
    """

    endpoints: dict[str, str]
    routers: tuple[str, ...] = ("r1", "r2")
    zones: tuple[str, ...] = ("a",)
    seed: int = 1
    pace: EnginePace = EnginePace(token_s=0.02)
    agent: dict[str, Any] = field(default_factory=dict)
    router: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class AskOptions:
    """How a caller asks."""

    customer: str = "acme"
    klass: str = "default"
    spec: str = "m"
    key: str = ""
    session_token: str = ""
    deadline_s: float | None = None
    is_streamed: bool = False
    body: bytes = b""


@dataclass(slots=True)
class CallerRecord:
    """One caller's request and what it got."""

    request: str
    router: str
    question: str
    options: AskOptions
    asked_s: float
    due_s: float
    is_repeatable: bool
    outcome: Outcome | None = None
    ended_s: float | None = None
    shown: list[str] = field(default_factory=list)
    locators: list[str] = field(default_factory=list)
    is_orphaned: bool = False
    """Whether the router was lost before it answered."""

    @property
    def text(self) -> str:
        """The answer as it was shown piece by piece."""
        return "".join(self.shown)


class World:
    """Routers, agents, engines and the platform, on one virtual clock.

    Parameters
    ----------
    settings : WorldSettings
    """

    def __init__(self, settings: WorldSettings) -> None:
        self.settings = settings
        self.clock: Any = Clock()
        self.rng = Random(settings.seed)
        self.memory = MemoryLog()
        self.log_faults = LogFaults()
        self.log_ports: dict[str, FakeLog] = {}
        self.hosts = FakeHostList()
        self.ratings = FakeRatings(self.clock, Random(settings.seed + 2))
        self.network = FakeNetwork(self.clock, Random(settings.seed + 1))
        self.routers: dict[str, Router] = {}
        self.agents: dict[str, Agent] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.links: dict[str, FakeLink] = {}
        self.retired_engines: list[FakeEngine] = []
        self.records: list[CallerRecord] = []
        self.all_routers: list[Router] = []
        self.violations: list[Violation] = []
        self.ever_permitted: set[tuple[str, str]] = set()
        self.services: set[str] = set()
        self.ever_paused: set[str] = set()
        self._truth = Fold()
        self._seen_revisions: dict[int, int] = {}
        self._clocks: dict[str, ProcessClock] = {}
        self._unbilled_losses: set[str] = set()
        self._incarnations: Iterator[int] = count(1)
        self._requests: Iterator[int] = count(1)
        self._zones: dict[str, str] = {}

    # Set-up

    def publish(self, change: Change) -> None:
        """Append a change to the log, as an operator's router would."""
        self.memory.append(CONFIG_STREAM, [encode_record(change)])

    def start(self) -> None:
        """Start every process and let them find each other."""
        for index, (name, target) in enumerate(self.settings.endpoints.items()):
            zone = self.settings.zones[index % len(self.settings.zones)]
            self.add_endpoint(name, target, zone)
        for index, name in enumerate(self.settings.routers):
            self.add_router(name, self.settings.zones[index % len(self.settings.zones)])
        self.advance(2.5)

    def add_router(self, name: str, zone: str) -> Router:
        """Start a router; it replaces the one of that name."""
        self._zones[name] = zone
        self.hosts.put(Host(name, HostRole.ROUTER, zone, "-"))
        self.links[name] = self.network.link(name)
        clock = self._clocks[name] = ProcessClock(self.clock)
        log_port = self.log_ports[name] = FakeLog(self.memory, clock, self.log_faults)
        router = Router(
            RouterSettings(
                name=name, incarnation=next(self._incarnations), zone=zone, **self.settings.router
            ),
            clock,
            self.clock.seconds,
            Random(self.rng.getrandbits(32)),
            self.links[name],
            log_port,
            self.hosts,
            self.ratings,
        )
        self.routers[name] = router
        self.all_routers.append(router)
        router.start()
        return router

    def add_endpoint(self, name: str, target: str, zone: str) -> Agent:
        """Start an engine with its agent; they replace the ones of that name."""
        self._zones[name] = zone
        known = self.engines.get(name)
        if known is not None:
            known.lose()
            self.retired_engines.append(known)
        self.hosts.put(Host(name, HostRole.AGENT, zone, "-"))
        engine = self.engines[name] = FakeEngine(self.clock, self.settings.pace)
        engine.on_run = lambda run: self._check_run(name, run)
        self.links[name] = self.network.link(name)
        clock = self._clocks[name] = ProcessClock(self.clock)
        agent = Agent(
            AgentSettings(
                endpoint=name,
                incarnation=next(self._incarnations),
                zone=zone,
                targets=(target,),
                **self.settings.agent,
            ),
            clock,
            self.clock.seconds,
            self.links[name],
            self.engines[name],
        )
        self.agents[name] = agent
        agent.start()
        return agent

    # Time

    def advance(self, seconds: float) -> None:
        """Let time pass, from one timer to the next, and watch what must hold meanwhile."""
        end_s = self.clock.seconds() + seconds
        while True:
            due_s = min(
                (call.getTime() for call in self.clock.getDelayedCalls()), default=NO_TIMER_S
            )
            if due_s > end_s:
                break
            self.clock.advance(max(0.0, due_s - self.clock.seconds()))
            self._watch()
        self.clock.advance(max(0.0, end_s - self.clock.seconds()))

    def _watch(self) -> None:
        """Note permissions, and revisions that fall."""
        for offset, data in self.memory.all_records(CONFIG_STREAM)[-50:]:
            if offset > self._truth.revision:
                before = self._truth.config
                self._truth.apply(offset, data)
                self._check_revival(before, data)
                self._note_permissions(self._truth.config)
        processes: list[Router | Agent] = [*self.routers.values(), *self.agents.values()]
        for process in processes:
            revision = process.revision
            seen = self._seen_revisions.get(id(process), -1)
            if revision < seen:
                self.violations.append(
                    Violation(
                        "never reverts", f"{type(process).__name__} from {seen} to {revision}"
                    )
                )
            self._seen_revisions[id(process)] = revision

    def _check_revival(self, before: Config, data: bytes) -> None:
        """No router brings back by itself a version that was withdrawn."""
        record = decode_record(data)
        if not isinstance(record, Change) or not record.author.startswith("router "):
            return
        for key, ver in self._truth.config.versions.items():
            old = before.versions.get(key)
            was_withdrawn = old is not None and old.state is VersionState.WITHDRAWN
            if was_withdrawn and ver.state is not VersionState.WITHDRAWN:
                detail = f"{record.author} brought back {key} by {record.change_id}"
                self.violations.append(Violation("withdrawn gets no new work", detail))

    def _check_run(self, name: str, run: EngineRun) -> None:
        """Hold each run against the configuration that its own agent has at that moment."""
        agent = self.agents.get(name)
        ver = agent.config.versions.get(run.target) if agent is not None else None
        if ver is None:
            return
        is_pinned = any(
            record.options.session_token and record.question == run.body for record in self.records
        )
        if ver.state is VersionState.ACTIVE or (ver.state is VersionState.RETIRED and is_pinned):
            return
        detail = f"{run.body} began on {run.target}, which is {ver.state.value}"
        self.violations.append(Violation("withdrawn gets no new work", detail))

    def _note_permissions(self, config: Config) -> None:
        self.services |= set(config.services)
        for customer in config.customers.values():
            for name in customer.models:
                self.ever_permitted.add((customer.name, name.partition("@")[0]))

    def settle(self, seconds: float = 30.0) -> None:
        """Undo every fault and let the deployment come to rest."""
        self.network.mend_all()
        for faults in (self.log_faults, *(port.own_faults for port in self.log_ports.values())):
            faults.is_down = False
            faults.delay_s = 0.0
            faults.lose_answers = 0
        self.hosts.thaw()
        self.hosts.is_down = False
        for name in list(self._clocks):
            self.resume(name)
        self.advance(seconds)

    # Callers

    def ask(
        self, question: str, router: str | None = None, options: AskOptions | None = None
    ) -> CallerRecord:
        """Send a request; its record fills in as time passes."""
        opts = options or AskOptions()
        name = router or self.rng.choice(sorted(self.routers))
        node = self.routers[name]
        config = node.feed.config
        klass = config.classes[opts.klass]
        work = self._work(question, opts)
        record = CallerRecord(
            f"q{next(self._requests)}",
            name,
            question,
            opts,
            self.clock.seconds(),
            self.clock.seconds() + (opts.deadline_s or klass.deadline_s),
            klass.repeatable,
        )
        self.records.append(record)
        session = self._session(node, opts)
        ask = CallerRequest(
            request_id=record.request,
            customer=config.customers[opts.customer],
            klass=klass,
            spec=opts.spec,
            work=work,
            timeout_s=opts.deadline_s or klass.deadline_s,
            is_repeatable=klass.repeatable,
            session=session,
            session_token=opts.session_token,
            idempotency_key=f"{opts.customer}/{opts.key}" if opts.key else "",
            fingerprint=question,
            is_streamed=opts.is_streamed,
        )
        serving: Deferred[Outcome] = ensureDeferred(
            node.requests.serve(ask, record.shown.append, record.locators.append)
        )
        serving.addCallback(self._ended, record)
        return record

    def _work(self, question: str, opts: AskOptions) -> EngineWork | ServiceWork:
        if opts.body:
            return ServiceWork("POST", question, {}, opts.body)
        return EngineWork([{"role": "user", "content": question}], 12)

    def _session(self, node: Router, opts: AskOptions) -> Session | None:
        if not opts.session_token:
            return None
        return read_session_token(opts.session_token, node.feed.config, self.clock.seconds())

    def _ended(self, outcome: Outcome, record: CallerRecord) -> None:
        if not record.is_orphaned:
            record.outcome = outcome
            record.ended_s = self.clock.seconds()

    def open_session(self, target: str, customer: str = "acme", ttl_s: float = 3600.0) -> str:
        """Return a session token."""
        node = next(iter(self.routers.values()))
        session = Session("ses-1", customer, target, self.clock.seconds() + ttl_s)
        return sign_session_token(session, node.feed.config)

    # Faults

    def lose_router(self, name: str) -> None:
        """Stop a router at once; its callers get no answer from it."""
        router = self.routers.pop(name)
        router.stop()
        self._note_losses()
        self.network.unplug(name)
        for record in self.records:
            if record.router == name and record.outcome is None:
                record.is_orphaned = True

    def pause(self, name: str) -> None:
        """Stop a process where it is; what arrives and what is due waits."""
        self.ever_paused.add(name)
        self._clocks[name].is_paused = True
        self.links[name].is_paused = True

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        if self._clocks[name].is_paused:
            self._clocks[name].resume()
            self.links[name].resume()

    def is_bill_excused(self, record: CallerRecord) -> bool:
        """Whether both holders of a usage record were lost before it was in the log."""
        return record.request in self._unbilled_losses

    def _note_losses(self) -> None:
        """Note the answers whose usage record is held by no process and is not in the log."""
        billed = self.bills().records
        for record in self.done():
            if record.request not in billed and not self._is_usage_held(record):
                self._unbilled_losses.add(record.request)

    def _is_usage_held(self, record: CallerRecord) -> bool:
        return any(
            router.bills.is_pending(record.request) for router in self.routers.values()
        ) or any(agent.holds_usage(record.request) for agent in self.agents.values())

    def lose_agent(self, name: str) -> None:
        """Stop an agent at once; its engine goes on until the host is replaced."""
        self.agents.pop(name).stop()
        self._note_losses()
        self.network.unplug(name)

    def replace_agent(self, name: str) -> Agent:
        """Replace an endpoint's host: a new engine with a new agent."""
        if name in self.agents:
            self.lose_agent(name)
        return self.add_endpoint(name, self.settings.endpoints[name], self._zones[name])

    def replace_router(self, name: str) -> Router:
        """Replace a router by a new incarnation."""
        if name in self.routers:
            self.lose_router(name)
        return self.add_router(name, self._zones[name])

    # What an oracle reads

    def bills(self) -> BillFold:
        """Return the fold of the billing stream."""
        fold = BillFold()
        for offset, data in self.memory.all_records(BILLING_STREAM):
            fold.apply(offset, data)
        return fold

    def all_engines(self) -> list[FakeEngine]:
        """Return every engine that ever ran."""
        return [*self.retired_engines, *self.engines.values()]

    def runs_of(self, question: str) -> int:
        """Return how often any engine has begun a question."""
        return sum(run.body == question for engine in self.all_engines() for run in engine.runs)

    def done(self) -> list[CallerRecord]:
        """Return the callers that got an answer."""
        return [record for record in self.records if isinstance(record.outcome, Done)]
