"""Roll-outs: which step comes next, decided from the configuration and what is observed.

The plan and its progress stand in the configuration. Each step is a change that is based on the
plan's revision, so that a step is made once whoever drives, and a driver that is lost midway leaves
nothing but what the next one reads.
"""

from collections import Counter
from dataclasses import dataclass, replace
from math import ceil
from typing import Protocol

from automat import TypeMachineBuilder

from umberhitch.config import Rollout, RolloutState, Version, VersionState

__all__ = [
    "EndpointView",
    "LoadEndpoint",
    "RolloutLifecycle",
    "RolloutView",
    "Step",
    "UpdatePlan",
    "is_restorable",
    "make_rollout_lifecycle",
    "next_step",
    "restored_version",
]

MAX_CONCURRENT_LOADS = 2
"""Endpoints that load weights at once; the weight store is rate-limited."""


class RolloutLifecycle(Protocol):
    """Inputs of a roll-out's life cycle."""

    def start(self) -> None:
        """The first stage begins."""

    def hold(self) -> None:
        """Go no further for now."""

    def resume(self) -> None:
        """Go on after a hold."""

    def finish(self) -> None:
        """The last stage has been passed."""

    def roll_back(self) -> None:
        """Return to the previous version."""


@dataclass(slots=True)
class _Cell:
    state: RolloutState


_builder = TypeMachineBuilder(RolloutLifecycle, _Cell)
_states = {state: _builder.state(state.value) for state in RolloutState}


def _transition(source: RolloutState, event: object, target: RolloutState) -> None:
    @_states[source].upon(event).to(_states[target])  # type: ignore[arg-type]
    def move(life: RolloutLifecycle, cell: _Cell) -> None:
        cell.state = target


_transition(RolloutState.PLANNED, RolloutLifecycle.start, RolloutState.RUNNING)
_transition(RolloutState.PLANNED, RolloutLifecycle.hold, RolloutState.HELD)
_transition(RolloutState.PLANNED, RolloutLifecycle.roll_back, RolloutState.ROLLED_BACK)
_transition(RolloutState.RUNNING, RolloutLifecycle.hold, RolloutState.HELD)
_transition(RolloutState.RUNNING, RolloutLifecycle.finish, RolloutState.DONE)
_transition(RolloutState.RUNNING, RolloutLifecycle.roll_back, RolloutState.ROLLED_BACK)
_transition(RolloutState.HELD, RolloutLifecycle.resume, RolloutState.RUNNING)
_transition(RolloutState.HELD, RolloutLifecycle.roll_back, RolloutState.ROLLED_BACK)

_make_machine = _builder.build()


def make_rollout_lifecycle(state: RolloutState) -> tuple[RolloutLifecycle, _Cell]:
    """Return the life cycle of a roll-out that stands at a state, and the cell that shows it."""
    cell = _Cell(state)
    life = _make_machine(cell)
    match state:
        case RolloutState.RUNNING:
            life.start()
        case RolloutState.HELD:
            life.hold()
        case RolloutState.DONE:
            life.start()
            life.finish()
        case RolloutState.ROLLED_BACK:
            life.roll_back()
    cell.state = state
    return life, cell


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint, as the driver sees it."""

    name: str
    zone: str
    targets: tuple[str, ...]
    load: float
    is_loading: bool = False


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What is observed of a roll-out.

    Attributes
    ----------
    answers : int
        Answers of the new version that the driver has evidence of.
    ratings : int
        Ratings among them.
    has_ratings : bool
        Whether the deployment has a rating service at all.
    """

    endpoints: tuple[EndpointView, ...]
    versions: dict[str, Version]
    answers: int
    ratings: int
    has_ratings: bool
    now_s: float
    driving_since_s: float = 0.0
    """When the driver took over; it waits for evidence from then on."""


@dataclass(frozen=True, slots=True)
class LoadEndpoint:
    """Order an endpoint to load a version in place of what it serves."""

    endpoint: str
    target: str


@dataclass(frozen=True, slots=True)
class UpdatePlan:
    """Change the plan, and with it the versions."""

    plan: Rollout
    versions: tuple[Version, ...] = ()


Step = LoadEndpoint | UpdatePlan


def next_step(plan: Rollout, view: RolloutView) -> Step | None:
    """Return the next step of a roll-out, or None while there is nothing to do but wait."""
    new = view.versions.get(plan.version)
    old = view.versions.get(plan.previous)
    if new is None or old is None:
        return _hold(plan, "a version is missing")
    is_live = plan.state in (RolloutState.PLANNED, RolloutState.RUNNING, RolloutState.HELD)
    if is_live and new.state in (VersionState.QUARANTINED, VersionState.WITHDRAWN):
        return _roll_back(plan, new, old)
    if not is_restorable(old) and plan.state in (RolloutState.PLANNED, RolloutState.RUNNING):
        return _hold(plan, f"{old.key} is {old.state.value}")
    match plan.state:
        case RolloutState.PLANNED:
            return _enter_stage(plan, view, 0, new, old)
        case RolloutState.RUNNING:
            return _run(plan, view, new, old)
        case RolloutState.ROLLED_BACK:
            return _restore(plan, view)
        case _:
            return None


def _serving(view: RolloutView, target: str) -> list[EndpointView]:
    return [row for row in view.endpoints if target in row.targets and not row.is_loading]


def _wanted_endpoints(plan: Rollout, view: RolloutView, share: float) -> int:
    """Return how many endpoints the new version needs for a share; one stays for the old."""
    total = sum(
        plan.version in row.targets or plan.previous in row.targets or row.is_loading
        for row in view.endpoints
    )
    return max(1, min(ceil(share * total), total - 1))


def _load_one(plan: Rollout, view: RolloutView, target: str, source: str) -> Step | None:
    """Order one more endpoint to load, from the availability zone that has most of the source."""
    if sum(row.is_loading for row in view.endpoints) >= MAX_CONCURRENT_LOADS:
        return None
    candidates = _serving(view, source)
    if len(candidates) <= 1:
        return None
    zones = Counter(row.zone for row in candidates)
    chosen = min(candidates, key=lambda row: (-zones[row.zone], row.load, row.name))
    return LoadEndpoint(chosen.name, target)


def _enter_stage(
    plan: Rollout, view: RolloutView, stage: int, new: Version, old: Version
) -> Step | None:
    """Bring up the endpoints that a stage needs, then move the traffic."""
    share = plan.stages[stage]
    if len(_serving(view, plan.version)) < _wanted_endpoints(plan, view, share):
        return _load_one(plan, view, plan.version, plan.previous)
    next_plan = replace(
        plan, state=RolloutState.RUNNING, stage=stage, stage_since_s=view.now_s, reason=""
    )
    versions = (
        replace(new, state=VersionState.ACTIVE, share=share),
        replace(old, share=round(1.0 - share, 6)),
    )
    return UpdatePlan(next_plan, versions)


def _run(plan: Rollout, view: RolloutView, new: Version, old: Version) -> Step | None:
    elapsed_s = view.now_s - plan.stage_since_s
    if elapsed_s < plan.stage_s:
        return None
    has_ratings = not view.has_ratings or view.ratings >= plan.min_answers
    if view.answers < plan.min_answers or not has_ratings:
        waited_s = view.now_s - max(plan.stage_since_s, view.driving_since_s)
        if waited_s >= plan.stage_s + plan.patience_s:
            return _hold(plan, "evidence is missing")
        return None
    if plan.stage + 1 < len(plan.stages):
        return _enter_stage(plan, view, plan.stage + 1, new, old)
    done = replace(plan, state=RolloutState.DONE, reason="")
    return UpdatePlan(done, (replace(old, state=VersionState.RETIRED, share=1.0),))


def _hold(plan: Rollout, reason: str) -> Step | None:
    if plan.state in (RolloutState.HELD, RolloutState.DONE, RolloutState.ROLLED_BACK):
        return None
    return UpdatePlan(replace(plan, state=RolloutState.HELD, reason=reason))


def _roll_back(plan: Rollout, new: Version, old: Version) -> Step:
    next_plan = replace(
        plan, state=RolloutState.ROLLED_BACK, reason=f"{new.key} is {new.state.value}"
    )
    return UpdatePlan(next_plan, (restored_version(old),) if is_restorable(old) else ())


def is_restorable(ver: Version) -> bool:
    """Whether a roll-out may give traffic back to a version; never to one that was withdrawn."""
    return ver.state in (VersionState.ACTIVE, VersionState.RETIRED)


def restored_version(ver: Version) -> Version:
    """Return a version as it is once a roll-out has been taken back."""
    return replace(ver, state=VersionState.ACTIVE, share=1.0)


def _restore(plan: Rollout, view: RolloutView) -> Step | None:
    """Give the endpoints back to the previous version."""
    if not _serving(view, plan.version):
        return None
    return _load_back(plan, view)


def _load_back(plan: Rollout, view: RolloutView) -> Step | None:
    if sum(row.is_loading for row in view.endpoints) >= MAX_CONCURRENT_LOADS:
        return None
    chosen = min(_serving(view, plan.version), key=lambda row: (row.load, row.name))
    return LoadEndpoint(chosen.name, plan.previous)
