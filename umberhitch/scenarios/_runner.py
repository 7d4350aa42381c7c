"""Runs a scenario on a deployment on a virtual clock."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import ensureDeferred

from umberhitch.config import Change, Kind, Put, SetState
from umberhitch.fakes import LogFaults
from umberhitch.language import compile_changes, make_permission, make_rollout, make_state_change
from umberhitch.scenarios._expectations import Expectations
from umberhitch.scenarios._parser import Scenario, Step
from umberhitch.scenarios._state import ScenarioError
from umberhitch.tasks.resume import parse_locator
from umberhitch.testing import (
    AskOptions,
    World,
    WorldSettings,
    check_world,
    make_change,
    make_document,
    make_version,
)
from umberhitch.wire import (
    AttemptAccepted,
    Cancel,
    Chunk,
    ConfigRecords,
    ConfigSnapshot,
    Finished,
    Heartbeat,
    LoadOrder,
    Message,
    Refused,
    Start,
    UsageConfirmation,
    UsageHandover,
)

__all__ = ["ScenarioError", "run_scenario"]

ANSWER_WORDS = 12
PERCENT = 100.0
MESSAGE_TYPES: dict[str, tuple[type, ...]] = {
    "start": (Start,),
    "taken": (AttemptAccepted,),
    "chunk": (Chunk,),
    "finished": (Finished,),
    "refused": (Refused,),
    "billed": (UsageConfirmation,),
    "config": (ConfigRecords, ConfigSnapshot),
    "beat": (Heartbeat,),
    "handover": (UsageHandover,),
    "cancel": (Cancel,),
    "order": (LoadOrder,),
}


def run_scenario(scenario: Scenario) -> World:
    """Run every step, then judge the promises; raises `ScenarioError`."""
    runner = _Runner(scenario)
    for step in scenario.steps:
        runner.run(step)
    runner.world.settle()
    violations = check_world(runner.world)
    if violations:
        listing = "\n".join(f"  {violation}" for violation in violations)
        raise ScenarioError(f"{scenario.path.name}: promises broken:\n{listing}")
    return runner.world


class _Runner(Expectations):
    """Carries out the steps of one scenario; each method is named after its rule."""

    # Set-up

    def do_routers(self, step: Step, *names: str | None) -> None:
        """``routers r1 r2 in zones a b``"""
        given = [name for name in names if name is not None]
        routers = [name for name in given if name.startswith("r")]
        self._routers = tuple(routers)
        self._zones = tuple(name for name in given if name not in routers) or ("a",)

    def do_endpoint(self, step: Step, name: str, target: str) -> None:
        """``endpoint e1 of m@1``"""
        self._endpoints[name] = target

    def do_policy(self, step: Step, name: str, value: float) -> None:
        """``policy max_staleness_s 10``"""
        self._policy[name] = value

    def do_start_up(self, step: Step) -> None:
        """``start``"""
        self._world = World(
            WorldSettings(endpoints=self._endpoints, routers=self._routers, zones=self._zones)
        )
        self._world.publish(make_change(versions=self._versions(), policies=[self._make_policy()]))
        self._world.start()

    def _make_policy(self) -> dict[str, Any]:
        return {**make_document()["policies"][0], **self._policy}

    def _versions(self) -> list[dict[str, Any]]:
        names = {target.partition("@")[2] for target in self._endpoints.values() if "@" in target}
        return [
            make_version(name, "active" if name == min(names) else "staged")
            for name in sorted(names)
        ]

    def do_wait(self, step: Step, seconds: float) -> None:
        """``wait 2s``"""
        self.world.advance(seconds)

    # Callers

    def do_ask(self, step: Step, question: str, *options: Step) -> None:
        """``ask "question" at r1 class lookup``"""
        router, times, opts = self._options(options)
        for index in range(times):
            text = f"{question} {index + 1}" if times > 1 else question
            record = self.world.ask(text, router, opts)
            self._asked.setdefault(question, []).append(record)

    def do_call(self, step: Step, path: str, service: str, body: str, *options: Step) -> None:
        """``call "renewals/1" of svc with "body" key "k"``"""
        router, _, opts = self._options(options, spec=service, body=body.encode(), klass="renewal")
        record = self.world.ask(path, router, opts)
        self._asked.setdefault(path, []).append(record)

    def _options(
        self, options: tuple[Step, ...], **defaults: Any
    ) -> tuple[str | None, int, AskOptions]:
        given = {option.name: (option.items or (True,))[0] for option in options}
        fields: dict[str, Any] = dict(defaults)
        names = {"customer": "customer", "klass": "klass", "model": "spec", "key": "key"}
        fields |= {names[name]: given[name] for name in names if name in given}
        if "session" in given:
            fields["session_token"] = self._sessions[given["session"]]
        if "within" in given:
            fields["deadline_s"] = given["within"]
        fields["is_streamed"] = "streamed" in given
        return given.get("at"), int(given.get("times", 1)), AskOptions(**fields)

    def do_open_session(self, step: Step, name: str, version: str, ttl_s: float | None) -> None:
        """``open session s of m@1 for 10s``"""
        self._sessions[name] = self.world.open_session(version, ttl_s=ttl_s or 3600.0)

    def do_fetch(self, step: Step, question: str, router: str | None) -> None:
        """``fetch "question" at r2``"""
        record = self._asked[question][-1]
        where = parse_locator(record.locators[-1])
        assert where is not None
        node = self.world.routers[router or next(iter(self.world.routers))]
        self._fetched[question] = ensureDeferred(
            node.answer_fetcher.fetch(where, record.options.customer, 0)
        )

    # Operators

    def do_operate(
        self, step: Step, router: str, change: Step, name: str | None, revision: int | None
    ) -> None:
        """``at r1 withdraw m@1 as "change" if revision 3``"""
        node = self.world.routers[router]
        self._changes[name or "-"] = node.submit_change(self._change(change, name, revision))

    def do_publish(self, step: Step, change: Step) -> None:
        """``direct withdraw m@1``: straight into the log, as a lost router may have done."""
        self.world.publish(self._change(change, None, None))

    def _change(self, step: Step, name: str | None, revision: int | None) -> Change:
        self._count += 1
        ops: list[Any]
        if step.name == "version_change":
            wanted = make_state_change(list(step.items))
            ops = [SetState(wanted.version, wanted.state, wanted.share, revision)]
        else:
            fold = next(iter(self.world.routers.values())).feed.fold
            statements = [make_permission(list(step.items))]
            ops = compile_changes(
                list(statements), fold.snapshot().objects, fold.revisions, revision
            )
        return Change(name or f"chg-{self._count}", "scenario", ops)

    def do_command_rollout(self, step: Step, router: str, change: Step) -> None:
        """``at r1 roll out m@2 from m@1``"""
        wanted = make_rollout(list(change.items))
        node = self.world.routers[router]
        node.rollouts.command(wanted.action, wanted.version, wanted.previous)

    def do_load(self, step: Step, rate: int, seconds: float, *options: Step) -> None:
        """``load 10 a second for 30s``"""
        router, _, opts = self._options(options)
        for _ in range(round(rate * seconds)):
            self._count += 1
            question = f"load {self._count}"
            self._asked.setdefault("load", []).append(self.world.ask(question, router, opts))
            self.world.advance(1.0 / rate)

    def do_version_rated(self, step: Step, version: str, rating: float) -> None:
        """``version m@2 rated 0.4``"""
        self.world.ratings.quality[version] = rating

    def do_ratings_down(self, step: Step) -> None:
        """``rating service down``"""
        self.world.ratings.faults.is_down = True

    def do_ratings_up(self, step: Step) -> None:
        """``rating service up``"""
        self.world.ratings.faults.is_down = False

    def _resolve(self, step: Step, name: str) -> str:
        """Return a process's name; ``driver`` stands for the router that holds the lease."""
        if name != "driver":
            return name
        for router in self.world.routers.values():
            if router.rollouts.is_driving:
                return router.settings.name
        self._fail(step, "no router drives roll-outs")
        return name

    def do_rotate_key(self, step: Step, name: str) -> None:
        """``rotate key k2``: a new key signs, the old ones verify."""
        node = next(iter(self.world.routers.values()))
        ops = [
            Put(Kind.KEY, {"name": key.name, "secret": key.secret, "signs": False})
            for key in node.feed.config.keys.values()
        ]
        ops.append(Put(Kind.KEY, {"name": name, "secret": name * 16}))
        self._count += 1
        self.world.publish(Change(f"chg-{self._count}", "scenario", list(ops)))

    # Faults

    def _log_faults(self, router: str | None) -> LogFaults:
        """Return the faults of the log, or of one router's way to it."""
        if router is None:
            return self.world.log_faults
        return self.world.log_ports[router].own_faults

    def do_log_down(self, step: Step, router: str | None) -> None:
        """``log down``, or ``log down at r1``"""
        self._log_faults(router).is_down = True

    def do_log_up(self, step: Step) -> None:
        """``log up``"""
        for router in (None, *self.world.log_ports):
            self._log_faults(router).is_down = False
            self._log_faults(router).delay_s = 0.0

    def do_log_slow(self, step: Step, seconds: float, router: str | None) -> None:
        """``log slow 1s``, or ``log slow 1s at r1``"""
        router = self._resolve(step, router) if router is not None else None
        self._log_faults(router).delay_s = seconds

    def do_log_loses(self, step: Step, answers: int) -> None:
        """``log loses 2 answers``"""
        self.world.log_faults.lose_answers = answers

    def do_log_keeps(self, step: Step, records: int, stream: str) -> None:
        """``log keeps 1 records of config``"""
        self.world.memory.trim(stream, records)

    def do_hosts_frozen(self, step: Step) -> None:
        """``host list frozen``"""
        self.world.hosts.freeze()

    def do_hosts_down(self, step: Step) -> None:
        """``host list down``"""
        self.world.hosts.is_down = True

    def do_hosts_forget(self, step: Step, name: str) -> None:
        """``host list forgets e1``"""
        self.world.hosts.shown = [row for row in self.world.hosts.rows.values() if row.name != name]

    def do_hosts_up(self, step: Step) -> None:
        """``host list up``"""
        self.world.hosts.is_down = False
        self.world.hosts.thaw()

    def do_network_loses(self, step: Step, percent: float) -> None:
        """``network loses 20 %``"""
        self.world.network.faults.drop = percent / PERCENT

    def do_network_repeats(self, step: Step, percent: float) -> None:
        """``network repeats 20 %``"""
        self.world.network.faults.repeat = percent / PERCENT

    def do_network_delays(self, step: Step, percent: float, seconds: float) -> None:
        """``network delays 20 % by 1s``"""
        self.world.network.faults.late = percent / PERCENT
        self.world.network.faults.late_s = seconds

    def do_network_drops(
        self, step: Step, kind: str, source: str | None, receiver: str | None
    ) -> None:
        """``network drops finished from e1 to r1``"""
        self.world.network.drop_where(_message_test(kind, source, receiver))

    def do_network_holds(
        self, step: Step, kind: str, source: str | None, receiver: str | None
    ) -> None:
        """``network holds start from r1``: until ``network releases``."""
        source = self._resolve(step, source) if source is not None else None
        self.world.network.hold_where(_message_test(kind, source, receiver))

    def do_network_releases(self, step: Step) -> None:
        """``network releases``"""
        self.world.network.release()

    def do_network_heals(self, step: Step) -> None:
        """``network heals``"""
        self.world.network.mend_all()

    def do_cut(self, step: Step, one: str, other: str) -> None:
        """``cut r1 from e1``"""
        self.world.network.cut(one, other)

    def do_mend(self, step: Step, one: str, other: str) -> None:
        """``mend r1 and e1``"""
        self.world.network.mend(one, other)

    def do_lose(self, step: Step, name: str) -> None:
        """``lose r1``, or ``lose driver``"""
        name = self._resolve(step, name)
        if name in self.world.routers:
            self.world.lose_router(name)
        else:
            self.world.lose_agent(name)

    def do_replace(self, step: Step, name: str) -> None:
        """``replace e1``"""
        if name in self._routers:
            self.world.replace_router(name)
        else:
            self.world.replace_agent(name)

    def do_pause(self, step: Step, name: str) -> None:
        """``pause r1``, or ``pause driver``"""
        name = self._resolve(step, name)
        self._paused = name
        self.world.pause(name)

    def do_resume(self, step: Step, name: str) -> None:
        """``resume r1``, or ``resume paused``"""
        self.world.resume(self._paused if name == "paused" else name)

    def do_drain(self, step: Step, name: str) -> None:
        """``drain e1``"""
        process = self.world.routers.get(name) or self.world.agents[name]
        if name in self.world.engines:
            self._runs_at_drain[name] = len(self.world.engines[name].runs)
        self._drained[name] = process.drain()

    def do_engine_lost(self, step: Step, name: str) -> None:
        """``engine e1 lost``"""
        self.world.engines[name].lose()

    def do_engine_stuck(self, step: Step, name: str) -> None:
        """``engine e1 stuck``"""
        self.world.engines[name].faults.is_stuck = True

    def do_engine_refuses(self, step: Step, name: str) -> None:
        """``engine e1 refuses``"""
        self.world.engines[name].faults.is_refusing = True

    def do_engine_fails(self, step: Step, name: str, words: int) -> None:
        """``engine e1 fails after 3 words``"""
        self.world.engines[name].faults.fail_after_words = words

    def do_engine_slower(self, step: Step, name: str, times: float) -> None:
        """``engine e1 slower 10 times``"""
        self.world.engines[name].faults.slowdown = times

    def do_heal(self, step: Step) -> None:
        """``heal``: undo every fault of log, network and host list."""
        self.world.settle(0.0)


def _message_test(
    kind: str, source: str | None, receiver: str | None
) -> Callable[[str, str, Message], bool]:
    types = MESSAGE_TYPES[kind]

    def matches(one: str, other: str, message: Message) -> bool:
        is_between = source in (None, one) and receiver in (None, other)
        return is_between and isinstance(message, types)

    return matches
