"""Which model answers a request, and when a small model's answer is dropped for a large one's.

A model declares its confidence with the head of its reply, before any event, so that a dropped
answer costs a reading of the prompt and little else. The answer is dropped where the large model's
is expected to be worth more, its price and the time that it takes counted in.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from umberhitch.core.direct._answer_value import AnswerValue
from umberhitch.core.direct._placement import Candidate
from umberhitch.core.direct._types import CallerRequest, Route

__all__ = ["Cascade", "CascadeLimits"]


@dataclass(frozen=True, slots=True)
class CascadeLimits:
    """What is known of answers.

    Attributes
    ----------
    middle, width : float
        Confidence at which an answer is as often good as not, and how fast that changes: a logistic
        curve. A straight line from 0 to 100 dropped too many good answers (`docs/results.md`).
    price : float
        Price of a model of which none is known, for 1,000 tokens generated.
    """

    middle: float = 50.0
    width: float = 8.0
    price: float = 0.3


class Cascade:
    """Decides on models; has no state."""

    def __init__(self, limits: CascadeLimits | None = None) -> None:
        self.limits = limits or CascadeLimits()

    def first_model(self, route: Route, ask: CallerRequest) -> str | None:
        """Return the model to begin with, or None where the choice is not ours."""
        if not ask.picks_model or not route.models:
            return None
        if route.max_attempts < 2:
            return route.models[-1]
        return route.models[0]

    def next_model(
        self,
        route: Route,
        ask: CallerRequest,
        stake: AnswerValue,
        model: str,
        confidence: int | None,
        prices: Mapping[str, float],
        waited_s: float,
        offer: Candidate,
    ) -> str | None:
        """Return the model to ask instead, or None to keep the answer that has begun.

        Parameters
        ----------
        route : Route
        ask : CallerRequest
        model : str
            Which one declared the confidence.
        confidence : int or None
        prices : mapping of str to float
            By model, for 1,000 tokens generated; a token that is read costs a quarter.
        waited_s : float
            Time since the request came.
        stake : AnswerValue
        offer : Candidate
            Where the larger model would be asked, its wait and what that costs others.
        """
        largest = route.models[-1]
        if confidence is None or model == largest:
            return None
        limits = self.limits
        read, made = ask.prompt_tokens / 1000, ask.output_tokens / 1000
        good = 1.0 / (1.0 + exp(-(confidence - limits.middle) / limits.width))
        kept = good * stake.value * stake.value_fraction(waited_s)
        # What the small model still has to make is paid if it is kept, the large one's if not.
        kept -= stake.priority_weight * prices.get(model, limits.price) * made
        other = stake.value * stake.value_fraction(waited_s + offer.wait_s) - offer.delay_cost
        other -= stake.priority_weight * prices.get(largest, limits.price) * (read / 4 + made)
        return largest if other > kept else None
