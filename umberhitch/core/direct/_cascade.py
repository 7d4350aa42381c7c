"""Which model answers a request, and when a small model's answer is dropped for a large one's.

A model declares its confidence with the head of its reply, before any event, so that a dropped
answer costs a reading of the prompt and little else.
"""

from dataclasses import dataclass

from umberhitch.core.direct._types import Ask, Route

__all__ = ["Cascade", "CascadeLimits"]


@dataclass(frozen=True, slots=True)
class CascadeLimits:
    """When an answer is dropped.

    Attributes
    ----------
    confidence : int
        An answer of a smaller model that declares less is dropped while there is room. 55 to 78
        differ by less than the spread of the runs (`docs/design/0009`).
    busy_confidence : int
        The same where the largest model's queue is as long as the objective.
    time_share : float
        Share of the objective that must be left to start again.
    """

    confidence: int = 65
    busy_confidence: int = 25
    time_share: float = 0.25


class Cascade:
    """Decides on models; has no state."""

    def __init__(self, limits: CascadeLimits | None = None) -> None:
        self.limits = limits or CascadeLimits()

    def first(self, route: Route, ask: Ask) -> str | None:
        """Return the model to begin with, or None where the choice is not ours."""
        if not ask.picks_model or not route.models:
            return None
        if route.max_attempts < 2:
            return route.models[-1]
        return route.models[0]

    def next_model(
        self, route: Route, model: str, confidence: int | None, waited_s: float, wait_s: float
    ) -> str | None:
        """Return the model to ask instead, or None to keep the answer that has begun.

        Parameters
        ----------
        route : Route
        model : str
            Which one declared the confidence.
        confidence : int or None
        waited_s : float
            Time since the request came.
        wait_s : float
            Expected time until the larger model's first event.
        """
        largest = route.models[-1]
        if confidence is None or model == largest:
            return None
        left_s = route.objective_s - waited_s
        busy = min(1.0, wait_s / max(left_s, 0.001)) if left_s > 0 else 1.0
        limits = self.limits
        bar = limits.confidence + (limits.busy_confidence - limits.confidence) * busy
        if confidence >= bar:
            return None
        if left_s < limits.time_share * route.objective_s and confidence > 0:
            return None
        return largest
