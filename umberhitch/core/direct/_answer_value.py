"""Value of an answer to its caller, by its size and the time at which it starts."""

from dataclasses import dataclass

from umberhitch.core.direct._types import CallerRequest, Route

__all__ = ["AnswerValue", "AnswerValueLimits", "make_answer_value"]

MIN_SLOPE_S = 0.001
"""Shortest time between on time and late, where a route has no objective; seconds."""


@dataclass(frozen=True, slots=True)
class AnswerValueLimits:
    """Parameters that cannot be observed and are therefore configured.

    Attributes
    ----------
    value_per_kilotoken : float
        Value of 1,000 tokens of a request, in the unit of the models' prices; an output token
        counts as ten. What users pay for models is small compared with the value of the answers.
    priority_factor : float
        Factor by which the value of the same answer falls with each less urgent priority.
        Priorities are all that the configuration says about importance.
    late_share : float
        Value of a late answer as a share of the value of one on time.
    on_time_share : float
        Share of the objective up to which an expected first event counts as certainly on time. At
        the objective itself it counts as certainly late, since estimates of queues are too low.
    """

    value_per_kilotoken: float = 0.35
    priority_factor: float = 0.5
    late_share: float = 0.2
    on_time_share: float = 0.4


@dataclass(frozen=True, slots=True)
class AnswerValue:
    """Value of one answer as a function of the time of its first event; times in seconds.

    Attributes
    ----------
    value : float
        Value if on time, in the unit of the models' prices, with `priority_weight` applied.
    priority_weight : float
        Factor for the priority of the route.
    late_share : float
        Value of a late answer as a share of `value`.
    on_time_s : float
        Expected first events up to this time are certainly on time.
    objective_s : float
        Expected first events from this time on are certainly late.
    """

    value: float
    priority_weight: float
    late_share: float
    on_time_s: float
    objective_s: float

    def value_fraction(self, first_event_s: float) -> float:
        """Return the fraction of the value that an answer has with its first event at a time."""
        lateness = (first_event_s - self.on_time_s) / self._slope_s
        return 1.0 - min(1.0, max(0.0, lateness)) * (1.0 - self.late_share)

    @property
    def loss_per_s(self) -> float:
        """Value that a second of delay costs, between on time and late."""
        return self.value * (1.0 - self.late_share) / self._slope_s

    @property
    def _slope_s(self) -> float:
        return max(MIN_SLOPE_S, self.objective_s - self.on_time_s)


def make_answer_value(route: Route, req: CallerRequest, limits: AnswerValueLimits) -> AnswerValue:
    """Return the value of the answer to a request."""
    value = limits.value_per_kilotoken * (req.prompt_tokens + 10 * req.output_tokens) / 1000
    priority_weight = limits.priority_factor**route.priority
    on_time_s = limits.on_time_share * route.objective_s
    return AnswerValue(
        value * priority_weight, priority_weight, limits.late_share, on_time_s, route.objective_s
    )
