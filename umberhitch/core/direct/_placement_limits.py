"""Weights by which endpoints are chosen."""

from dataclasses import dataclass

__all__ = ["PlacementLimits"]


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """Weights of the estimate; times in seconds.

    Attributes
    ----------
    initial_token_s : float
        Prefill time per token of the smallest model until replies have shown the true one.
    rank_slowdown : float
        Factor by which each next larger model is assumed to be slower until then.
    running_call_s : float
        Wait that one running call on an engine adds for another.
    plain_call_s : float
        Wait that one running call on a plain service adds for another.
    queued_call_s : float
        Wait that one call in an engine's queue for a slot adds for another.
    cross_zone_s : float
        Penalty of a plain call to another availability zone, since traffic between zones is billed.
    cross_zone_byte_cost : float
        The same for a call to an engine, in units of value per byte of its body. For a small model
        a local prefill of a long prompt costs less than sending it to the zone whose engine has it
        cached; for a large model sending it pays.
    queue_risk : float
        Cost of a second in an engine's queue where the answer is on time all the same, as a share
        of the cost where it is not. Estimates err, so that a queue is a risk.
    failure_penalty_s : float
        Penalty of an endpoint whose every call fails, or that refuses every call.
    refusal_penalty : float
        Share of an answer's value that an engine's refusal costs, since it uses up an attempt.
    load_decay_s : float
        Time in which a reported load, or a refusal, loses two thirds of its weight.
    cache_share : float
        Share of an engine's memory that is assumed to hold cached prompt parts.
    affinity_share : float
        Probability that the affinity endpoint of a shared prompt part holds the part, where this
        router does not know. Routers know only their own placements; the affinity endpoint is the
        same for all of them.
    """

    initial_token_s: float = 0.000005
    rank_slowdown: float = 3.0
    running_call_s: float = 0.0006
    plain_call_s: float = 0.02
    queued_call_s: float = 0.05
    cross_zone_s: float = 0.004
    cross_zone_byte_cost: float = 0.00003
    queue_risk: float = 0.05
    failure_penalty_s: float = 0.5
    refusal_penalty: float = 0.1
    load_decay_s: float = 1.0
    cache_share: float = 0.5
    affinity_share: float = 0.8
