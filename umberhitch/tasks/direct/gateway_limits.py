"""What a router of the direct path is told, and what it counts."""

from dataclasses import dataclass, field

from umberhitch.core.direct import (
    AnswerValueLimits,
    CascadeLimits,
    ColdLimits,
    EngineTimeLimits,
    LimitRules,
    PlacementLimits,
    RetryBudgetLimits,
)
from umberhitch.tasks.direct.feeds import FeedTiming
from umberhitch.tasks.direct.services import ProxyTimeouts

__all__ = ["GatewayCounters", "GatewaySettings"]


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """What a router of the direct path is told.

    Attributes
    ----------
    name, zone : str
    link_mbps : float
        Bandwidth of the host's link; 0 where it is not known.
    proof_age_s : float
        Where the proof that the keys are the newest is older, it is stale.
    behind_s : float
        Where a newer configuration has been known for so long and is not in force, requests are
        refused.
    is_strict : bool
        Whether requests with keys are refused then; else the last keys known are served.
    drain_s : float
        How long a shutdown may take in all.
    drain_notice_s : float
        At a shutdown, connections are taken for so long: the balancer notices only then.
    good_share : float
        Share of a route's requests that are to be done within its objective; the burn report
        measures against it.
    """

    name: str
    zone: str
    link_mbps: float = 0.0
    proof_age_s: float = 4.5
    max_lag_s: float = 2.8
    is_strict: bool = True
    drain_s: float = 8.0
    drain_notice_s: float = 2.6
    good_share: float = 0.99
    operator_polling: FeedTiming = field(
        default_factory=lambda: FeedTiming(wait_s=1.6, pause_s=0.05)
    )
    endpoint_polling: FeedTiming = field(
        default_factory=lambda: FeedTiming(wait_s=0.0, pause_s=0.95, timeouts_s=(0.5, 0.35, 1.0))
    )
    """Heartbeats come all the time, so calls are not held; one that is lost must not cost more than
    what is left of the 2 s in which an endpoint that leaves has to be known."""
    budget: RetryBudgetLimits = RetryBudgetLimits()
    cascade: CascadeLimits = CascadeLimits()
    cold: ColdLimits = ColdLimits()
    engine_time: EngineTimeLimits = EngineTimeLimits()
    placement: PlacementLimits = PlacementLimits()
    answer_value: AnswerValueLimits = AnswerValueLimits()
    limit_rules: LimitRules = LimitRules()
    timeouts: ProxyTimeouts = ProxyTimeouts()


@dataclass(slots=True)
class GatewayCounters:
    """Counts since the start."""

    requests: int = 0
    calls: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
