"""Selection of the version and the endpoint for a request.

The functions are pure; randomness comes from the caller's generator.
"""

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeVar

from umberhitch.config import Config, RequestClass, Version, VersionState
from umberhitch.core.outcome import NotRun, Reason
from umberhitch.core.session import Session

__all__ = [
    "ANY_MODEL",
    "FixedLoadEndpoint",
    "SelectableEndpoint",
    "choose_endpoint",
    "choose_version",
    "expected_quality",
    "permitted_versions",
]

ANY_MODEL = "auto"
"""Model name with which a caller lets the router select the model."""

SPILLOVER_LOAD = 0.9
"""Load from which endpoints of other availability zones are considered."""


class SelectableEndpoint(Protocol):
    """Endpoint properties used by the selection."""

    @property
    def name(self) -> str: ...

    @property
    def zone(self) -> str: ...

    def load(self, is_urgent: bool) -> float:
        """Return the running and queued work ahead of a new attempt, divided by the slots."""
        ...


T = TypeVar("T", bound=SelectableEndpoint)


@dataclass(frozen=True, slots=True)
class FixedLoadEndpoint:
    """A `SelectableEndpoint` with a fixed load."""

    name: str
    zone: str
    value: float

    def load(self, is_urgent: bool) -> float:
        """Return the fixed load."""
        return self.value


def permitted_versions(
    config: Config, customer: str, spec: str, session: Session | None
) -> list[Version] | NotRun:
    """Return the versions that may serve a request for ``spec``.

    Parameters
    ----------
    config : Config
    customer : str
    spec : str
        `ANY_MODEL`, a model, or ``model@version``.
    session : Session or None
        Verified session of the request; it allows only the version to which it is pinned.
    """
    if session is not None:
        return _pinned_version(config, customer, spec, session)
    if spec == ANY_MODEL:
        named = list(config.versions.values())
    elif spec in config.versions:
        named = [config.versions[spec]]
    elif spec in config.models:
        named = config.versions_of(spec)
    else:
        return NotRun(Reason.UNKNOWN_MODEL, f'no model "{spec}"')
    allowed = [ver for ver in named if config.permits(customer, ver.key)]
    if not allowed:
        return NotRun(Reason.NOT_PERMITTED, f'"{spec}" is not permitted to this customer')
    active = [ver for ver in allowed if ver.state is VersionState.ACTIVE and ver.share > 0]
    if not active:
        return NotRun(Reason.WITHDRAWN, f'no version of "{spec}" takes new work')
    return active


def _pinned_version(
    config: Config, customer: str, spec: str, session: Session
) -> list[Version] | NotRun:
    if session.customer != customer:
        return NotRun(Reason.NOT_PERMITTED, "the session belongs to another customer")
    ver = config.versions.get(session.target)
    if ver is None or ver.state not in (VersionState.ACTIVE, VersionState.RETIRED):
        return NotRun(Reason.SESSION_ENDED, f"version {session.target} takes no more work")
    if not config.permits(customer, ver.key):
        return NotRun(Reason.NOT_PERMITTED, f"{ver.key} is no longer permitted")
    if spec not in (ANY_MODEL, ver.model, ver.key):
        return NotRun(Reason.NOT_PERMITTED, f"the session is pinned to {ver.key}")
    return [ver]


def expected_quality(ver: Version, klass: str) -> float:
    """Return the configured quality of a version for a request class."""
    return ver.quality.get(klass, ver.quality.get("*", 1.0))


def expected_cost(ver: Version) -> float:
    """Return the price used to compare versions: that of one input and one output token."""
    return ver.input_micros_per_token + ver.output_micros_per_token


def choose_version(
    versions: Sequence[Version],
    klass: RequestClass,
    has_endpoint: Callable[[str], bool],
    rng: Random,
) -> Version | None:
    """Return a version of the cheapest model that meets the class's quality target.

    Among the versions of that model, one is drawn in proportion to the traffic shares, so that a
    roll-out receives its share. If no model meets the target, the one of highest quality is used.
    """
    live = [ver for ver in versions if has_endpoint(ver.key)]
    if not live:
        return None
    good = [ver for ver in live if expected_quality(ver, klass.name) >= klass.quality_target]
    if good:
        model = min(good, key=lambda ver: (expected_cost(ver), ver.key)).model
    else:
        model = max(live, key=lambda ver: (expected_quality(ver, klass.name), ver.key)).model
    siblings = [ver for ver in (good or live) if ver.model == model]
    return rng.choices(siblings, weights=[ver.share for ver in siblings])[0]


def choose_endpoint(
    pool: Sequence[T],
    same_zone: Sequence[T],
    rng: Random,
    excluded: Container[str] = (),
    is_urgent: bool = False,
) -> T | None:
    """Return the less loaded of two random endpoints, preferring the router's own zone.

    Two random choices keep stale load reports from sending every router to the same endpoint
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

    Parameters
    ----------
    pool : sequence of SelectableEndpoint
        All endpoints that may be chosen.
    same_zone : sequence of SelectableEndpoint
        Endpoints of ``pool`` in the router's availability zone.
    rng : Random
    excluded : container of str
        Names of endpoints that were already tried.
    is_urgent : bool
        Whether the request goes ahead of non-urgent work in an agent's queue.
    """
    best = _less_loaded_of_two(same_zone, rng, excluded, is_urgent)
    if best is not None and best.load(is_urgent) < SPILLOVER_LOAD:
        return best
    other = _less_loaded_of_two(pool, rng, excluded, is_urgent)
    if best is None or (other is not None and other.load(is_urgent) < best.load(is_urgent)):
        return other
    return best


def _less_loaded_of_two(
    candidates: Sequence[T], rng: Random, avoid: Container[str], is_urgent: bool
) -> T | None:
    if avoid:
        candidates = [cand for cand in candidates if cand.name not in avoid]
    if not candidates:
        return None
    first = candidates[int(rng.random() * len(candidates))]
    second = candidates[int(rng.random() * len(candidates))]
    return first if first.load(is_urgent) <= second.load(is_urgent) else second
