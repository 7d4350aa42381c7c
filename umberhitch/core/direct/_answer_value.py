"""What an answer is worth to its caller, by its size and by when it begins."""

from dataclasses import dataclass

from umberhitch.core.direct._types import CallerRequest, Route

__all__ = ["AnswerValue", "AnswerValueLimits", "make_answer_value"]

MIN_SLOPE_S = 0.001
"""Least time between in time and late, where a route names no objective; seconds."""


@dataclass(frozen=True, slots=True)
class AnswerValueLimits:
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

    value_per_kilotoken: float = 0.35
    priority_factor: float = 0.5
    late_share: float = 0.2
    on_time_share: float = 0.4


@dataclass(frozen=True, slots=True)
class AnswerValue:
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

    value: float
    priority_weight: float
    late_share: float
    on_time_s: float
    objective_s: float

    def value_fraction(self, first_event_s: float) -> float:
        """Return which share of its worth an answer with its first event then has."""
        late = (first_event_s - self.on_time_s) / self._slope_s
        return 1.0 - min(1.0, max(0.0, late)) * (1.0 - self.late_share)

    @property
    def loss_per_s(self) -> float:
        """Worth that a second of delay costs, between in time and late."""
        return self.value * (1.0 - self.late_share) / self._slope_s

    @property
    def _slope_s(self) -> float:
        return max(MIN_SLOPE_S, self.objective_s - self.on_time_s)


def make_answer_value(route: Route, ask: CallerRequest, limits: AnswerValueLimits) -> AnswerValue:
    """Return what a request's answer is worth."""
    worth = limits.value_per_kilotoken * (ask.prompt_tokens + 10 * ask.output_tokens) / 1000
    rank_share = limits.priority_factor**route.priority
    soon_s = limits.on_time_share * route.objective_s
    return AnswerValue(worth * rank_share, rank_share, limits.late_share, soon_s, route.objective_s)
