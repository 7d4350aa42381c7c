"""What an agent is told about itself, and what it counts."""

from dataclasses import dataclass, field

from umberhitch.core.ledger import LedgerLimits

__all__ = ["AgentCounters", "AgentSettings"]


@dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """What an agent is told about itself."""

    endpoint: str
    incarnation: int
    zone: str
    targets: tuple[str, ...]
    """What its endpoint serves: ``model@version`` names, or the name of a service."""
    slots: int = 8
    """Calls given to the endpoint at once."""
    queue: int = 64
    """Attempts that may wait for a slot."""
    heartbeat_interval_s: float = 1.0
    router_timeout_s: float = 5.0
    """A router not heard for this long gets no more heartbeats."""
    config_wait_s: float = 1.0
    """How long an attempt waits for a configuration that the router has and the agent lacks."""
    handover_delay_s: float = 10.0
    """How long a usage record waits for its router before others are asked to write it."""
    overdue_grace_s: float = 5.0
    """How long past its deadline a running attempt is left to the engine, and again after that."""
    fencing_warm_up_s: float = 3.0
    """How long a new agent listens for fencing tokens before it carries out orders."""
    max_usage_records: int = 2000
    """Unconfirmed usage records held; beyond this, new work is refused."""
    ledger: LedgerLimits = LedgerLimits()


@dataclass(slots=True)
class AgentCounters:
    """Counts since the start, for metrics and tests."""

    started: int = 0
    finished: int = 0
    failed: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    handovers: int = 0
