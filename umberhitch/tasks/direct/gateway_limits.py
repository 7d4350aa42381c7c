"""Settings and counters of a router of the direct path."""

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
from umberhitch.tasks.direct.second_runs import SecondRuns
from umberhitch.tasks.direct.services import ProxyTimeouts

__all__ = ["STOP_MARGIN_S", "GatewayCounters", "GatewaySettings"]

STOP_MARGIN_S = 0.6
"""A shutdown that has to be cut short is cut so long before its time is up, so that callers still
get the answers to what is cut."""


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a router of the direct path.

    Attributes
    ----------
    name, zone : str
    link_mbps : float
        Bandwidth of the host's link in megabits per second; 0 if it is not known.
    proof_age_s : float
        Age in seconds from which the proof that the API keys are current counts as stale.
    max_lag_s : float
        Requests are refused if a newer configuration has been known for this many seconds and is
        still not active.
    is_strict : bool
        Whether requests with API keys are refused while the proof is stale. If false, requests
        with the last known keys are served.
    drain_s : float
        Maximum duration of a shutdown in seconds.
    drain_notice_s : float
        Seconds for which connections are accepted during a shutdown, until the load balancer has
        noticed it.
    good_share : float
        Target share of a route's requests that succeed within its latency objective; the burn
        report uses it.
    has_admission_control : bool
        Whether requests for which there is no room wait in the order of their urgency and their
        customers' shares, or are rejected.
    has_engine_admission : bool
        Whether that includes requests to engines. It refuses some of them while an engine has
        nothing to read, so that no deployment sets it.
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
    has_admission_control: bool = False
    has_engine_admission: bool = False
    operator_polling: FeedTiming = field(
        default_factory=lambda: FeedTiming(wait_s=1.6, pause_s=0.05)
    )
    endpoint_polling: FeedTiming = field(
        default_factory=lambda: FeedTiming(wait_s=0.0, pause_s=0.95, timeouts_s=(0.5, 0.35, 1.0))
    )
    """Polling of the endpoint registry. Heartbeats arrive all the time, so the store does not hold
    these calls. A lost call must not cost more than what remains of the 2 s within which a draining
    endpoint must be known."""
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
    """Counters since the start of the process."""

    requests: int = 0
    calls: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    ready_answers: dict[str, int] = field(default_factory=dict)
    """Small models' answers for which a larger model was called, by `ReadyAnswerFate`."""
    second_runs: SecondRuns = field(default_factory=SecondRuns)
