"""Settings and counters of an agent."""

from dataclasses import dataclass, field

from umberhitch.core.ledger import LedgerLimits

__all__ = ["AgentCounters", "AgentSettings"]


@dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Settings of an agent."""

    endpoint: str
    incarnation: int
    zone: str
    targets: tuple[str, ...]
    """Targets of the endpoint: ``model@version`` names, or the name of a service."""
    slots: int = 8
    """Maximum number of concurrent calls at the endpoint."""
    queue: int = 64
    """Maximum number of attempts waiting for a slot."""
    heartbeat_interval_s: float = 1.0
    router_timeout_s: float = 5.0
    """Heartbeats to a router stop this many seconds after its last hello.

    If the heartbeat interval that the router asked for is longer than a second, the timeout is
    this number of intervals.
    """
    config_wait_s: float = 1.0
    """Seconds for which an attempt waits for a configuration newer than the agent's."""
    handover_delay_s: float = 10.0
    """Seconds until an unconfirmed usage record is handed over to another router."""
    overdue_grace_s: float = 5.0
    """Seconds after its deadline at which a running attempt is cancelled at the engine.

    After another such period the attempt is ended and its slot freed.
    """
    fencing_warm_up_s: float = 3.0
    """Seconds for which a new agent learns fencing tokens before it accepts load orders."""
    max_usage_records: int = 2000
    """Maximum number of unconfirmed usage records; above it, new work is refused."""
    ledger: LedgerLimits = LedgerLimits()


@dataclass(slots=True)
class AgentCounters:
    """Counts since the start of the agent, for metrics and tests."""

    started: int = 0
    finished: int = 0
    failed: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    handovers: int = 0
