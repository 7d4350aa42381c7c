"""What the steps of a running scenario share."""

from twisted.internet.defer import Deferred

from umberhitch.config import Verdict
from umberhitch.scenarios._parser import Scenario, Step
from umberhitch.testing import CallerRecord, World

__all__ = ["RunnerState", "ScenarioError"]


class ScenarioError(AssertionError):
    """An expectation did not hold, or a promise was broken."""


class RunnerState:
    """The deployment of one scenario, and what its steps have left to look at."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._routers: tuple[str, ...] = ("r1", "r2")
        self._zones: tuple[str, ...] = ("a",)
        self._endpoints: dict[str, str] = {}
        self._world: World | None = None
        self._asked: dict[str, list[CallerRecord]] = {}
        self._sessions: dict[str, str] = {}
        self._changes: dict[str, Deferred[Verdict]] = {}
        self._fetched: dict[str, Deferred] = {}
        self._drained: dict[str, Deferred] = {}
        self._paused = ""
        self._policy: dict[str, float] = {}
        self._runs_at_drain: dict[str, int] = {}
        self._count = 0

    @property
    def world(self) -> World:
        """The deployment; only after ``start``."""
        assert self._world is not None, "the scenario does not start its deployment"
        return self._world

    def run(self, step: Step) -> None:
        """Carry out one step."""
        getattr(self, f"do_{step.name}")(step, *step.items)

    def _fail(self, step: Step, problem: str) -> None:
        raise ScenarioError(f"{self._scenario.path.name}:{step.line}: {problem}")
