"""What a scenario expects, checked."""

from umberhitch.config import Accepted, Rejected
from umberhitch.core.outcome import Done, NotRun, Unknown
from umberhitch.fakes import expected_answer
from umberhitch.scenarios._parser import Step
from umberhitch.scenarios._state import RunnerState
from umberhitch.tasks.resume import parse_locator
from umberhitch.testing import CallerRecord, make_work

__all__ = ["Expectations"]

ANSWER_WORDS = 12


class Expectations(RunnerState):
    """The steps that begin with ``expect``; each method is named after its rule."""

    def do_expect(self, step: Step, expectation: Step) -> None:
        """``expect …``"""
        self.run(expectation)

    def _records(self, step: Step, question: str) -> list[CallerRecord]:
        if question not in self._asked:
            self._fail(step, f'nobody asked "{question}"')
        return self._asked[question]

    def do_is_done(self, step: Step, question: str, version: str | None) -> None:
        """``expect "question" is done by m@1``"""
        for record in self._records(step, question):
            outcome = record.outcome
            if not isinstance(outcome, Done):
                self._fail(step, f'"{record.question}" is {outcome}')
            elif version is not None and outcome.target != version:
                self._fail(step, f'"{record.question}" was done by {outcome.target}')

    def do_is_not_run(self, step: Step, question: str, reason: str | None) -> None:
        """``expect "question" is not run because deadline``"""
        for record in self._records(step, question):
            outcome = record.outcome
            if not isinstance(outcome, NotRun):
                self._fail(step, f'"{record.question}" is {outcome}')
            elif reason is not None and outcome.reason != reason:
                self._fail(step, f'"{record.question}" was not run because {outcome.reason}')

    def do_is_unknown(self, step: Step, question: str, reason: str | None) -> None:
        """``expect "question" is unknown``"""
        for record in self._records(step, question):
            outcome = record.outcome
            if not isinstance(outcome, Unknown):
                self._fail(step, f'"{record.question}" is {outcome}')
            elif reason is not None and outcome.reason != reason:
                self._fail(step, f'"{record.question}" is unknown because {outcome.reason}')

    def do_is_answered(self, step: Step, question: str) -> None:
        """``expect "question" is answered``: with any outcome."""
        for record in self._records(step, question):
            if record.outcome is None:
                self._fail(step, f'"{record.question}" has no outcome yet')

    def do_is_open(self, step: Step, question: str) -> None:
        """``expect "question" is open``"""
        for record in self._records(step, question):
            if record.outcome is not None:
                self._fail(step, f'"{record.question}" ended already: {record.outcome}')

    def do_ran(self, step: Step, question: str, times: int) -> None:
        """``expect "question" ran 1 times``"""
        runs = self.world.runs_of(question)
        if runs != times:
            self._fail(step, f'"{question}" ran {runs} times')

    def do_billed(self, step: Step, question: str, times: int) -> None:
        """``expect "question" billed 1 times``: counted over all who asked it."""
        requests = {record.request for record in self._records(step, question)}
        billed = len(requests & self.world.bills().records.keys())
        if billed != times:
            self._fail(step, f'"{question}" was billed {billed} times')

    def do_all_done(self, step: Step) -> None:
        """``expect all done``"""
        for question in self._asked:
            self.do_is_done(step, question, None)

    def do_drained(self, step: Step, name: str) -> None:
        """``expect drained e1``"""
        if not self._drained[name].called:
            self._fail(step, f"{name} has not drained")

    def do_not_drained(self, step: Step, name: str) -> None:
        """``expect not drained e1``"""
        if self._drained[name].called:
            self._fail(step, f"{name} has drained already")

    def do_accepted(self, step: Step, name: str) -> None:
        """``expect change "c" accepted``"""
        self._expect_verdict(step, name, Accepted)

    def do_rejected(self, step: Step, name: str) -> None:
        """``expect change "c" rejected``"""
        self._expect_verdict(step, name, Rejected)

    def _expect_verdict(self, step: Step, name: str, wanted: type) -> None:
        submitted = self._changes[name]
        verdict = submitted.result if submitted.called else None
        if not isinstance(verdict, wanted):
            self._fail(step, f'change "{name}" is {verdict}')

    def do_state_at(self, step: Step, version: str, state: str, process: str) -> None:
        """``expect m@1 is withdrawn at e1``"""
        router = self.world.routers.get(process)
        config = router.feed.config if router else self.world.agents[process].config
        found = config.versions[version].state
        if found != state:
            self._fail(step, f"{version} is {found} at {process}")

    def do_revision_at(self, step: Step, process: str, revision: int) -> None:
        """``expect e1 at revision 3``"""
        node = self.world.routers.get(process) or self.world.agents[process]
        if node.revision != revision:
            self._fail(step, f"{process} is at revision {node.revision}")

    def do_knows(self, step: Step, router: str, count: int, target: str) -> None:
        """``expect r1 knows 2 endpoints of m@1``"""
        known = self.world.routers[router].fleet.candidates(target)
        if len(known) != count:
            self._fail(step, f"{router} knows {[endpoint.name for endpoint in known]}")

    def do_fetched_whole(self, step: Step, question: str) -> None:
        """``expect fetched "question" is whole``"""
        fetched = self._fetched[question]
        outcome = fetched.result if fetched.called else None
        if not isinstance(outcome, Done):
            self._fail(step, f"fetched {outcome}")
            return
        record = self._asked[question][-1]
        target = self.world.settings.endpoints[parse_endpoint(record)]
        if outcome.text != expected_answer(target, make_work(question), ANSWER_WORDS):
            self._fail(step, f"fetched {outcome.text!r}")

    def do_rollout_is(self, step: Step, version: str, state: str) -> None:
        """``expect rollout of m@2 is done``"""
        for router in self.world.routers.values():
            plan = router.feed.config.rollouts[version]
            if plan.state != state:
                self._fail(step, f"{plan} at {router.settings.name}")

    def do_served_by(self, step: Step, version: str, count: int) -> None:
        """``expect m@2 is served by 3 endpoints``"""
        serving = [name for name, agent in self.world.agents.items() if version in agent.targets]
        if len(serving) != count:
            self._fail(step, f"{version} is served by {serving}")

    def do_loaded_once(self, step: Step) -> None:
        """``expect no endpoint loaded twice``"""
        for name, engine in self.world.engines.items():
            if len(engine.orders) > 1:
                self._fail(step, f"{name} got the orders {engine.orders}")

    def do_one_drives(self, step: Step) -> None:
        """``expect one router drives``"""
        drivers = [
            router.settings.name
            for router in self.world.routers.values()
            if router.rollouts.is_driving
        ]
        if len(drivers) != 1:
            self._fail(step, f"{drivers} drive")

    def do_refused_order(self, step: Step, name: str) -> None:
        """``expect paused refused an order``: that router's order was refused by an agent."""
        router = self.world.routers[self._paused if name == "paused" else name]
        if not router.rollouts.refused_orders:
            self._fail(step, f"no order of {router.settings.name} was refused")

    def do_no_usage(self, step: Step, agent: str) -> None:
        """``expect e1 holds no usage``"""
        held = self.world.agents[agent].unconfirmed_usage
        if held:
            self._fail(step, f"{agent} holds {held} usage records")

    def do_nothing_since_drain(self, step: Step, name: str) -> None:
        """``expect e1 ran nothing since its drain``"""
        new = self.world.engines[name].runs[self._runs_at_drain[name] :]
        if new:
            self._fail(step, f"{name} ran {[run.body for run in new]}")

    def do_source_at(self, step: Step, source: str, router: str) -> None:
        """``expect configuration from peer at r2``"""
        found = self.world.routers[router].feed.source
        if found != source:
            self._fail(step, f"{router} has its configuration from {found.value}")


def parse_endpoint(record: CallerRecord) -> str:
    """Return the endpoint that a caller's last locator names."""
    where = parse_locator(record.locators[-1])
    assert where is not None
    return where.endpoint
