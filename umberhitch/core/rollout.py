"""Roll-outs: selection of the next step from the configuration and the observed state.

The plan and its progress are stored in the configuration. Each step is a change based on the
revision of the plan, so that it is applied once even if several drivers attempt it. A driver that
is lost midway leaves no other state behind; the next driver continues from the configuration.
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
"""Maximum number of endpoints that load weights at once; the weight store is rate-limited."""


class RolloutLifecycle(Protocol):
    """Inputs of a roll-out's state machine."""

    def start(self) -> None:
        """Start the first stage."""

    def hold(self) -> None:
        """Suspend the roll-out."""

    def resume(self) -> None:
        """Resume the roll-out after a hold."""

    def finish(self) -> None:
        """Finish the roll-out after its last stage."""

    def roll_back(self) -> None:
        """Return to the previous version."""


@dataclass(slots=True)
class _StateCell:
    state: RolloutState


_builder = TypeMachineBuilder(RolloutLifecycle, _StateCell)
_states = {state: _builder.state(state.value) for state in RolloutState}


def _transition(source: RolloutState, event: object, target: RolloutState) -> None:
    @_states[source].upon(event).to(_states[target])  # type: ignore[arg-type]
    def move(lifecycle: RolloutLifecycle, cell: _StateCell) -> None:
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


def make_rollout_lifecycle(state: RolloutState) -> tuple[RolloutLifecycle, _StateCell]:
    """Return a state machine in the given state, and the cell that holds its present state."""
    cell = _StateCell(state)
    lifecycle = _make_machine(cell)
    match state:
        case RolloutState.RUNNING:
            lifecycle.start()
        case RolloutState.HELD:
            lifecycle.hold()
        case RolloutState.DONE:
            lifecycle.start()
            lifecycle.finish()
        case RolloutState.ROLLED_BACK:
            lifecycle.roll_back()
    cell.state = state
    return lifecycle, cell


@dataclass(frozen=True, slots=True)
class EndpointView:
    """State of an endpoint, as observed by the driver."""

    name: str
    zone: str
    targets: tuple[str, ...]
    load: float
    is_loading: bool = False


@dataclass(frozen=True, slots=True)
class RolloutView:
    """Observed state of a roll-out.

    Attributes
    ----------
    answers : int
        Number of answers of the new version in the driver's evidence.
    ratings : int
        Number of ratings of the new version in the driver's evidence.
    has_ratings : bool
        Whether the deployment has a rating service.
    """

    endpoints: tuple[EndpointView, ...]
    versions: dict[str, Version]
    answers: int
    ratings: int
    has_ratings: bool
    now_s: float
    driving_since_s: float = 0.0
    """Time at which the driver took over, from which on it waits for evidence."""


@dataclass(frozen=True, slots=True)
class LoadEndpoint:
    """Order an endpoint to load a version in place of the one that it serves."""

    endpoint: str
    target: str


@dataclass(frozen=True, slots=True)
class UpdatePlan:
    """Change the plan and its versions."""

    plan: Rollout
    versions: tuple[Version, ...] = ()


Step = LoadEndpoint | UpdatePlan


def next_step(plan: Rollout, view: RolloutView) -> Step | None:
    """Return the next step of a roll-out, or None if there is nothing to do now."""
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
            return _advance(plan, view, new, old)
        case RolloutState.ROLLED_BACK:
            return _restore(plan, view)
        case _:
            return None


def _serving(view: RolloutView, target: str) -> list[EndpointView]:
    return [
        endpoint
        for endpoint in view.endpoints
        if target in endpoint.targets and not endpoint.is_loading
    ]


def _wanted_endpoints(plan: Rollout, view: RolloutView, share: float) -> int:
    """Return how many endpoints a share of the new version needs; one stays for the old."""
    total = sum(
        plan.version in endpoint.targets or plan.previous in endpoint.targets or endpoint.is_loading
        for endpoint in view.endpoints
    )
    return max(1, min(ceil(share * total), total - 1))


def _load_one(plan: Rollout, view: RolloutView, target: str, source: str) -> Step | None:
    """Order another endpoint to load, in the zone with the most endpoints that serve the source."""
    if sum(endpoint.is_loading for endpoint in view.endpoints) >= MAX_CONCURRENT_LOADS:
        return None
    candidates = _serving(view, source)
    if len(candidates) <= 1:
        return None
    zones = Counter(endpoint.zone for endpoint in candidates)
    chosen = min(
        candidates, key=lambda endpoint: (-zones[endpoint.zone], endpoint.load, endpoint.name)
    )
    return LoadEndpoint(chosen.name, target)


def _enter_stage(
    plan: Rollout, view: RolloutView, stage: int, new: Version, old: Version
) -> Step | None:
    """Load the version on as many endpoints as a stage needs, then move the traffic."""
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


def _advance(plan: Rollout, view: RolloutView, new: Version, old: Version) -> Step | None:
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
    """Whether a roll-back may return traffic to a version; withdrawn versions get none."""
    return ver.state in (VersionState.ACTIVE, VersionState.RETIRED)


def restored_version(ver: Version) -> Version:
    """Return a version as it is after a roll-back."""
    return replace(ver, state=VersionState.ACTIVE, share=1.0)


def _restore(plan: Rollout, view: RolloutView) -> Step | None:
    """Return the endpoints to the previous version."""
    if not _serving(view, plan.version):
        return None
    return _load_back(plan, view)


def _load_back(plan: Rollout, view: RolloutView) -> Step | None:
    if sum(endpoint.is_loading for endpoint in view.endpoints) >= MAX_CONCURRENT_LOADS:
        return None
    chosen = min(_serving(view, plan.version), key=lambda endpoint: (endpoint.load, endpoint.name))
    return LoadEndpoint(chosen.name, plan.previous)
