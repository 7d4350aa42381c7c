"""What an answer is worth to its caller, by its size and by when it begins."""

from dataclasses import dataclass

from umberhitch.core.direct._types import Ask, Route

__all__ = ["Stake", "WorthLimits", "make_stake"]

LEAST_SLOPE_S = 0.001
"""Least time between in time and late, where a route names no objective; seconds."""


@dataclass(frozen=True, slots=True)
class WorthLimits:
    """What is not observable, and so is set.

    Attributes
    ----------
    token_worth : float
        Worth of 1,000 tokens of a request, an output token counted as ten, in the unit of the
        models' prices: what users pay for models is small against what answers are worth to them.
    rank_share : float
        What the same answer is worth on a route that is one rank less urgent: the ranks are all
        that the configuration says of what matters more.
    late_share : float
        What a late answer is worth of one in time.
    soon : float
        Share of the objective up to which an expected first event is in time for sure; at the
        objective itself it is late for sure, since estimates of queues are low.
    """

    token_worth: float = 0.35
    rank_share: float = 0.5
    late_share: float = 0.2
    soon: float = 0.4


@dataclass(frozen=True, slots=True)
class Stake:
    """What one answer is worth; times in seconds.

    Attributes
    ----------
    worth : float
        In time, in the unit of the models' prices, times
    rank_share : float
        what the rank of the route makes of it.
    late_share : float
    soon_s, objective_s : float
        Expected first events up to ``soon_s`` are in time for sure, from ``objective_s`` late.
    """

    worth: float
    rank_share: float
    late_share: float
    soon_s: float
    objective_s: float

    def timely(self, first_event_s: float) -> float:
        """Return which share of its worth an answer with its first event then has."""
        late = (first_event_s - self.soon_s) / self._slope_s
        return 1.0 - min(1.0, max(0.0, late)) * (1.0 - self.late_share)

    @property
    def loss_per_s(self) -> float:
        """Worth that a second of delay costs, between in time and late."""
        return self.worth * (1.0 - self.late_share) / self._slope_s

    @property
    def _slope_s(self) -> float:
        return max(LEAST_SLOPE_S, self.objective_s - self.soon_s)


def make_stake(route: Route, ask: Ask, limits: WorthLimits) -> Stake:
    """Return what a request's answer is worth."""
    worth = limits.token_worth * (ask.prompt_tokens + 10 * ask.output_tokens) / 1000
    rank_share = limits.rank_share**route.priority
    soon_s = limits.soon * route.objective_s
    return Stake(worth * rank_share, rank_share, limits.late_share, soon_s, route.objective_s)
