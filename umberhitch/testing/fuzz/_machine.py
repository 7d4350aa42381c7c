"""A hypothesis state machine: operators, callers and faults, composed freely.

The real core and tasks run on a virtual clock with fakes at the ports. After each run the faults
are undone, the deployment comes to rest, and the oracle judges what happened.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from umberhitch.config import Change, SetState, VersionState
from umberhitch.fakes import NetworkFaults
from umberhitch.tasks.rollouts import RolloutError
from umberhitch.testing._builders import make_change
from umberhitch.testing._oracle import check_world
from umberhitch.testing._world import AskOptions, World, WorldSettings
from umberhitch.wire import Cancel, ConfigRecords, Finished, LoadOrder, Start, UsageConfirmation

__all__ = ["DeploymentMachine"]

ENDPOINTS = {"e1": "m@1", "e2": "m@1", "e3": "m@2", "s1": "svc"}
ROUTERS = ("r1", "r2")
CLASSES = ("default", "lookup", "renewal")
MAX_BURST = 5

endpoint_names = st.sampled_from(sorted(ENDPOINTS))
engine_names = st.sampled_from(["e1", "e2", "e3"])
router_names = st.sampled_from(ROUTERS)
process_names = st.sampled_from([*ROUTERS, *ENDPOINTS])
pauses_s = st.sampled_from([0.0, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0])


class DeploymentMachine(RuleBasedStateMachine):
    """Two routers, three engines, a service, and everything that can go wrong with them."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0
        self.sessions: list[str] = []

    @initialize(seed=st.integers(0, 1_000_000))
    def begin(self, seed: int) -> None:
        """Start the deployment."""
        self.world = World(
            WorldSettings(endpoints=ENDPOINTS, routers=ROUTERS, zones=("a", "b"), seed=seed)
        )
        self.world.publish(make_change())
        self.world.start()

    def _next(self) -> int:
        self.count += 1
        return self.count

    # Callers

    @rule(
        router=router_names,
        klass=st.sampled_from(CLASSES),
        burst=st.integers(1, MAX_BURST),
        is_streamed=st.booleans(),
        deadline_s=st.sampled_from([None, 0.2, 1.0]),
    )
    def ask(
        self, router: str, klass: str, burst: int, is_streamed: bool, deadline_s: float | None
    ) -> None:
        """Send unkeyed requests."""
        if router not in self.world.routers or not self.world.routers[router].feed.is_ready:
            return
        for _ in range(burst):
            options = AskOptions(klass=klass, is_streamed=is_streamed, deadline_s=deadline_s)
            self.world.ask(f"question {self._next()}", router, options)

    @rule(router=router_names, key=st.integers(1, 3), klass=st.sampled_from(CLASSES))
    def ask_keyed(self, router: str, key: int, klass: str) -> None:
        """Send a request with one of a few idempotency keys."""
        if router not in self.world.routers or not self.world.routers[router].feed.is_ready:
            return
        options = AskOptions(klass=klass, key=f"{klass}-{key}")
        self.world.ask(f"keyed {klass} {key}", router, options)

    @rule(router=router_names, key=st.integers(1, 3))
    def renew(self, router: str, key: int) -> None:
        """Call a service that must not be called twice, with a key."""
        if router not in self.world.routers or not self.world.routers[router].feed.is_ready:
            return
        options = AskOptions(klass="renewal", spec="svc", key=f"svc-{key}", body=b"%d" % key)
        self.world.ask(f"renewals/{key}", router, options)

    @precondition(lambda self: len(self.sessions) < 3)
    @rule(version=st.sampled_from(["m@1", "m@2"]))
    def open_session(self, version: str) -> None:
        """Pin a session."""
        if self.world.routers and all(r.feed.is_ready for r in self.world.routers.values()):
            self.sessions.append(self.world.open_session(version))

    @precondition(lambda self: self.sessions)
    @rule(router=router_names, index=st.integers(0, 2))
    def ask_in_session(self, router: str, index: int) -> None:
        """Send a request in a session."""
        if router not in self.world.routers or not self.world.routers[router].feed.is_ready:
            return
        token = self.sessions[index % len(self.sessions)]
        self.world.ask(f"question {self._next()}", router, AskOptions(session_token=token))

    # Operators

    @rule(
        version=st.sampled_from(["m@1", "m@2"]),
        state=st.sampled_from(list(VersionState)),
        is_guarded=st.booleans(),
        router=router_names,
    )
    def set_state(self, version: str, state: VersionState, is_guarded: bool, router: str) -> None:
        """Change a version's state through a router."""
        node = self.world.routers.get(router)
        if node is None or not node.feed.is_ready:
            return
        seen = node.feed.fold.revisions.get(f"versions/{version}", 0) if is_guarded else None
        change = Change(f"chg-{self._next()}", router, [SetState(version, state, if_revision=seen)])
        node.submit_change(change).addErrback(lambda failure: None)

    @rule(action=st.sampled_from(["start", "hold", "go on", "roll back"]), router=router_names)
    def roll_out(self, action: str, router: str) -> None:
        """Start, hold, continue or undo a roll-out of m@2."""
        node = self.world.routers.get(router)
        if node is None or not node.feed.is_ready:
            return
        try:
            node.rollouts.command(action, "m@2", "m@1").addErrback(lambda failure: None)
        except RolloutError:
            return

    @rule(version=st.sampled_from(["m@1", "m@2"]), quality=st.sampled_from([0.3, 0.7, 0.9]))
    def rate(self, version: str, quality: float) -> None:
        """Let a version turn bad, or good again."""
        self.world.ratings.quality[version] = quality

    @rule(router=router_names, seconds=st.sampled_from([2, 8]))
    def load(self, router: str, seconds: int) -> None:
        """Send a steady load, so that there is evidence."""
        for _ in range(seconds * 5):
            if router in self.world.routers and self.world.routers[router].feed.is_ready:
                self.world.ask(f"question {self._next()}", router)
            self.world.advance(0.2)

    # Time

    @rule(seconds=pauses_s)
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.advance(seconds)

    # Faults

    @rule(is_down=st.booleans())
    def log_down(self, is_down: bool) -> None:
        """Take the log down, or up."""
        self.world.log_faults.is_down = is_down

    @rule(count=st.integers(0, 3), delay_s=st.sampled_from([0.0, 0.05, 0.7]))
    def log_unreliable(self, count: int, delay_s: float) -> None:
        """Lose answers of the log, or slow it down."""
        self.world.log_faults.lose_answers = count
        self.world.log_faults.delay_s = delay_s

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.5]),
        repeat=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.3]),
        late_s=st.sampled_from([0.05, 0.5, 3.0]),
    )
    def network(self, drop: float, repeat: float, late: float, late_s: float) -> None:
        """Lose, repeat and reorder messages."""
        self.world.network.faults = NetworkFaults(drop, repeat, late, late_s)

    @rule(one=process_names, other=process_names)
    def cut(self, one: str, other: str) -> None:
        """Cut two processes off from each other."""
        self.world.network.cut(one, other)

    @rule(
        kind=st.sampled_from([Start, Cancel, Finished, LoadOrder, UsageConfirmation, ConfigRecords])
    )
    def hold_messages(self, kind: type) -> None:
        """Keep messages of a kind on their way."""
        self.world.network.hold_where(lambda one, other, message: isinstance(message, kind))

    @rule()
    def release_messages(self) -> None:
        """Deliver what was kept."""
        self.world.network.release()

    @rule()
    def mend(self) -> None:
        """Mend the network."""
        self.world.network.mend_all()

    @rule(name=process_names)
    def pause(self, name: str) -> None:
        """Pause a process."""
        if name in self.world.routers or name in self.world.agents:
            self.world.pause(name)

    @rule(name=process_names)
    def resume(self, name: str) -> None:
        """Let a process go on."""
        self.world.resume(name)

    @rule(name=endpoint_names)
    def replace_agent(self, name: str) -> None:
        """Replace an endpoint's host."""
        self.world.replace_agent(name)

    @rule(name=router_names)
    def replace_router(self, name: str) -> None:
        """Replace a router."""
        self.world.replace_router(name)

    @rule(name=engine_names)
    def lose_engine(self, name: str) -> None:
        """Lose an engine whose agent goes on."""
        self.world.engines[name].lose()

    @rule(name=engine_names, is_stuck=st.booleans(), fails=st.sampled_from([None, 0, 3]))
    def break_engine(self, name: str, is_stuck: bool, fails: int | None) -> None:
        """Let an engine hang or fail midway."""
        faults = self.world.engines[name].faults
        faults.is_stuck, faults.fail_after_words = is_stuck, fails

    @rule(name=st.sampled_from([*ROUTERS, *ENDPOINTS]))
    def drain(self, name: str) -> None:
        """Drain a process."""
        process = self.world.routers.get(name) or self.world.agents.get(name)
        if process is not None:
            process.drain()

    @rule(is_frozen=st.booleans(), is_down=st.booleans())
    def host_list(self, is_frozen: bool, is_down: bool) -> None:
        """Let the host list lag or fail."""
        self.world.hosts.is_down = is_down
        if is_frozen:
            self.world.hosts.freeze()
        else:
            self.world.hosts.thaw()

    def teardown(self) -> None:
        """Come to rest and judge."""
        if hasattr(self, "world"):
            self.world.settle()
            violations = check_world(self.world)
            assert not violations, "\n".join(str(violation) for violation in violations)
