"""The configuration as frozen data classes.

Field constraints are ``annotated_types`` markers. The border (`umberhitch.config.parse_document`)
enforces them through pydantic; the fold enforces the references between objects.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from annotated_types import Ge, Interval, Len

__all__ = [
    "Config",
    "Customer",
    "Limits",
    "Model",
    "Policy",
    "RequestClass",
    "Rollout",
    "RolloutState",
    "Service",
    "SigningKey",
    "Version",
    "VersionState",
    "version_key",
]

Name = Annotated[str, Len(1, 128)]
Fraction = Annotated[float, Interval(ge=0.0, le=1.0)]
Positive = Annotated[float, Ge(0.0)]
Count = Annotated[int, Ge(0)]


class VersionState(StrEnum):
    """Life cycle of a version, as far as new work is concerned."""

    STAGED = "staged"
    """Known, but receives no work."""
    ACTIVE = "active"
    """Receives new requests and new sessions."""
    RETIRED = "retired"
    """Receives only the requests of sessions that are pinned to it."""
    QUARANTINED = "quarantined"
    """Receives no work; an operator may lift it."""
    WITHDRAWN = "withdrawn"
    """Receives no work, and its sessions have ended."""


def version_key(model: str, version: str) -> str:
    """Return the name under which a version is stored: ``model@version``."""
    return f"{model}@{version}"


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on what one customer may use at one router group."""

    requests_per_s: Positive = 0.0
    """Sustained rate; 0 means unlimited."""
    burst: Count = 0
    """Requests that may exceed the sustained rate at once."""
    concurrent: Count = 0
    """Requests in flight; 0 means unlimited."""
    reservation: Fraction = 0.0
    """Fraction of capacity that is guaranteed."""
    share: Positive = 1.0
    """Weight by which spare capacity is divided."""


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A tenant: its keys, the versions it may use, its limits."""

    name: Name
    key_sha256: Annotated[list[str], Len(1, 64)]
    """Hex SHA-256 digests of the bearer keys; the keys themselves are never stored."""
    models: list[str]
    """Permitted ``model`` or ``model@version`` names."""
    services: list[str] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, kw_only=True)
class RequestClass:
    """A kind of request, with the treatment that it gets."""

    name: Name
    priority: Annotated[int, Interval(ge=0, le=9)] = 5
    """0 is the most urgent."""
    quality_target: Fraction = 0.0
    deadline_s: Annotated[float, Interval(ge=0.01, le=3600.0)] = 60.0
    repeatable: bool = True
    """Whether a request may run more than once; hedges and retries after a send need it."""
    objective: Annotated[float, Interval(ge=0.0, lt=1.0)] = 0.0
    """Share of requests that are to be done within ``objective_latency_s``; 0 for none."""
    objective_latency_s: Positive = 10.0


@dataclass(frozen=True, kw_only=True)
class Model:
    """A family of versions that answer under one name."""

    name: Name
    description: str = ""


@dataclass(frozen=True, kw_only=True)
class Version:
    """One version of a model."""

    model: Name
    name: Name
    state: VersionState = VersionState.STAGED
    share: Fraction = 1.0
    """Relative weight among the model's active versions, used by roll-outs."""
    input_micros_per_token: Positive = 0.0
    """Price in millionths of the billing currency."""
    output_micros_per_token: Positive = 0.0
    quality: dict[str, Fraction] = field(default_factory=dict)
    """Expected quality by request class; ``*`` stands for every other class."""

    @property
    def key(self) -> str:
        """``model@version``."""
        return version_key(self.model, self.name)


@dataclass(frozen=True, kw_only=True)
class Service:
    """A plain service that stands beside the model engines."""

    name: Name
    non_repeatable: list[str] = field(default_factory=list)
    """``METHOD /path-prefix`` patterns of calls that must not run twice."""
    priority: Annotated[int, Interval(ge=0, le=9)] = 3
    deadline_s: Annotated[float, Interval(ge=0.01, le=3600.0)] = 30.0


@dataclass(frozen=True, kw_only=True)
class SigningKey:
    """A key that signs session tokens; older keys stay until their sessions have ended."""

    name: Name
    secret: Annotated[str, Len(32, 256)] = field(repr=False)
    signs: bool = True
    """Whether new tokens may be signed with it; otherwise it only verifies."""


class RolloutState(StrEnum):
    """Where a roll-out stands."""

    PLANNED = "planned"
    RUNNING = "running"
    HELD = "held"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, kw_only=True)
class Rollout:
    """A version takes over from another, stage by stage."""

    version: Name
    previous: Name
    stages: Annotated[list[Fraction], Len(1, 20)] = field(default_factory=lambda: [0.05, 0.25, 1.0])
    """Share of the traffic that each stage gives to the new version."""
    stage_s: Positive = 60.0
    """Shortest time that a stage lasts."""
    patience_s: Positive = 600.0
    """How long past that a stage waits for evidence before the roll-out is held."""
    min_answers: Count = 50
    """Answers, and ratings, that a stage needs before the next."""
    state: RolloutState = RolloutState.PLANNED
    stage: int = -1
    stage_since_s: float = 0.0
    reason: str = ""

    @property
    def name(self) -> str:
        """A roll-out goes by its new version."""
        return self.version


@dataclass(frozen=True, kw_only=True)
class Policy:
    """Deployment-wide choices that operators may change while running."""

    name: Name = "policy"
    session_ttl_s: Annotated[float, Interval(ge=1.0, le=604800.0)] = 3600.0
    max_attempts: Annotated[int, Interval(ge=1, le=10)] = 3
    retry_budget: Fraction = 0.1
    """Retries allowed as a fraction of requests."""
    max_staleness_s: Positive = 0.0
    """A router refuses requests once its configuration may be older than this; 0 for never."""
    rollout_stages: Annotated[list[Fraction], Len(1, 20)] = field(
        default_factory=lambda: [0.05, 0.25, 1.0]
    )
    rollout_stage_s: Positive = 60.0
    rollout_patience_s: Positive = 600.0
    rollout_min_answers: Count = 50
    idempotency_ttl_s: Annotated[float, Interval(ge=60.0, le=604800.0)] = 86400.0


@dataclass(frozen=True)
class Config:
    """The whole configuration at one revision; never changed in place."""

    customers: dict[str, Customer] = field(default_factory=dict)
    classes: dict[str, RequestClass] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    versions: dict[str, Version] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    keys: dict[str, SigningKey] = field(default_factory=dict)
    policies: dict[str, Policy] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)

    @property
    def policy(self) -> Policy:
        """The deployment's policy, or the defaults."""
        return self.policies.get("policy", Policy())

    def versions_of(self, model: str) -> list[Version]:
        """Return the versions of a model in name order."""
        found = [ver for ver in self.versions.values() if ver.model == model]
        return sorted(found, key=lambda ver: ver.name)

    def permits(self, customer: str, version: str) -> bool:
        """Whether a customer may use a version key (``model@version``)."""
        owner = self.customers.get(customer)
        ver = self.versions.get(version)
        if owner is None or ver is None:
            return False
        return version in owner.models or ver.model in owner.models
