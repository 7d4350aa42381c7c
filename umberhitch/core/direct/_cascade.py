"""Which model answers a request, and when a small model's answer is dropped for a large one's.

A model declares its confidence with the head of its reply, before any event, so that a dropped
answer costs a reading of the prompt and little else. The answer is dropped where the large model's
is expected to be worth more, its price and the time that it takes counted in.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from umberhitch.core.direct._types import Ask, Route

__all__ = ["Cascade", "CascadeLimits"]


@dataclass(frozen=True, slots=True)
class CascadeLimits:
    """What is known of answers.

    Attributes
    ----------
    token_worth : float
        Worth of 1,000 tokens of a request, an output token counted as ten, in the unit of the
        models' prices: what users pay for models is small against what answers are worth to them.
    late_share : float
        What a late answer is worth of one in time.
    soon : float
        Share of the objective up to which an expected first event is in time for sure; at the
        objective itself it is late for sure, since estimates of queues are low.
    middle, width : float
        Confidence at which an answer is as often good as not, and how fast that changes: a logistic
        curve. A straight line from 0 to 100 dropped too many good answers (`docs/results.md`).
    price : float
        Price of a model of which none is known, for 1,000 tokens generated.
    """

    token_worth: float = 0.35
    late_share: float = 0.2
    soon: float = 0.4
    middle: float = 50.0
    width: float = 12.0
    price: float = 0.3


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
        self,
        route: Route,
        ask: Ask,
        model: str,
        confidence: int | None,
        prices: Mapping[str, float],
        waited_s: float,
        wait_s: float,
    ) -> str | None:
        """Return the model to ask instead, or None to keep the answer that has begun.

        Parameters
        ----------
        route : Route
        ask : Ask
        model : str
            Which one declared the confidence.
        confidence : int or None
        prices : mapping of str to float
            By model, for 1,000 tokens generated; a token that is read costs a quarter.
        waited_s : float
            Time since the request came.
        wait_s : float
            Expected time until the larger model's first event.
        """
        largest = route.models[-1]
        if confidence is None or model == largest:
            return None
        limits = self.limits
        read, made = ask.prompt_tokens / 1000, ask.output_tokens / 1000
        worth = limits.token_worth * (read + 10 * made)
        good = 1.0 / (1.0 + exp(-(confidence - limits.middle) / limits.width))
        kept = good * worth * self._timely(route, waited_s)
        # What the small model still has to make is paid if it is kept, the large one's if not.
        kept -= prices.get(model, limits.price) * made
        other = worth * self._timely(route, waited_s + wait_s)
        other -= prices.get(largest, limits.price) * (read / 4 + made)
        return largest if other > kept else None

    def _timely(self, route: Route, first_event_s: float) -> float:
        """Return which share of its worth an answer with its first event then has."""
        limits = self.limits
        part = first_event_s / route.objective_s
        late = min(1.0, max(0.0, (part - limits.soon) / (1.0 - limits.soon)))
        return 1.0 - late * (1.0 - limits.late_share)
