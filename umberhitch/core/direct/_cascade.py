"""Model cascade: which model answers, and when a small model's answer is dropped for a large one's.

A model declares its confidence in the head of its reply, before any event, so that a dropped answer
costs little more than the prefill of the prompt. The answer is dropped where the large model's
answer is expected to have more value, with its price and the time that it takes included.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, inf

from umberhitch.core.direct._answer_value import AnswerValue
from umberhitch.core.direct._escalation_rules import LargerWait, ModelValues, is_worth_calling
from umberhitch.core.direct._placement import Candidate
from umberhitch.core.direct._types import CallerRequest, Route

__all__ = ["Cascade", "CascadeLimits", "LargerChoice"]


@dataclass(frozen=True, slots=True)
class CascadeLimits:
    """Parameters of the estimated quality of answers.

    Attributes
    ----------
    middle : float
        Confidence at which an answer is good with a probability of one half.
    width : float
        Width of the logistic curve that maps confidence to the probability of a good answer. A
        straight line from 0 to 100 dropped too many good answers.
    price : float
        Price for 1,000 generated tokens of a model whose price is unknown.
    """

    middle: float = 50.0
    width: float = 8.0
    price: float = 0.3


@dataclass(frozen=True, slots=True)
class LargerChoice:
    """A larger model that is worth calling in place of an answer.

    Attributes
    ----------
    model : str
    candidate : Candidate
        Endpoint for its first call.
    values : ModelValues
        Value of either model's answer.
    in_time_share : float
        Share of its calls that began in time of late; 1.0 for a call that probes it.
    """

    model: str
    candidate: Candidate
    values: ModelValues
    in_time_share: float = 1.0


class Cascade:
    """Chooses models; has no state.

    Parameters
    ----------
    limits : CascadeLimits
    """

    def __init__(self, limits: CascadeLimits | None = None) -> None:
        self.limits = limits or CascadeLimits()

    def first_model(self, route: Route, req: CallerRequest) -> str | None:
        """Return the model to try first, or None where the router does not choose it."""
        if not req.picks_model or not route.models:
            return None
        if route.max_attempts < 2:
            return route.models[-1]
        return route.models[0]

    def next_model(
        self,
        route: Route,
        req: CallerRequest,
        answer_value: AnswerValue,
        model: str,
        confidence: int | None,
        prices: Mapping[str, float],
        waited_s: float,
        candidate: Candidate,
        in_time_share: float = 1.0,
        latest_s: float = inf,
    ) -> LargerChoice | None:
        """Return the larger model to call instead, or None to keep the answer that has started.

        Parameters
        ----------
        route : Route
        req : CallerRequest
        answer_value : AnswerValue
        model : str
            Model that declared the confidence.
        confidence : int or None
            Declared confidence, 0 to 100.
        prices : mapping of str to float
            Price by model for 1,000 generated tokens; a prompt token costs a quarter.
        waited_s : float
            Seconds since the request arrived.
        candidate : Candidate
            Endpoint for the larger model, with the expected wait and its cost to other requests.
        in_time_share : float
            Share of larger models' calls that began in time of late.
        latest_s : float
            Time until which the answer is kept; the larger model is not called to begin later.
        """
        values = self._values(route, req, answer_value, model, confidence, prices, candidate)
        if values is None:
            return None
        wait = LargerWait(waited_s, candidate.wait_s, in_time_share)
        if not is_worth_calling(values, wait, waited_s, latest_s):
            return None
        return LargerChoice(route.models[-1], candidate, values, in_time_share)

    def _values(
        self,
        route: Route,
        req: CallerRequest,
        answer_value: AnswerValue,
        model: str,
        confidence: int | None,
        prices: Mapping[str, float],
        candidate: Candidate,
    ) -> ModelValues | None:
        """Return the value of either model's answer, or None where there is no choice."""
        largest = route.models[-1]
        if confidence is None or model == largest:
            return None
        limits = self.limits
        prompt, output = req.prompt_tokens / 1000, req.output_tokens / 1000
        weight = answer_value.priority_weight
        return ModelValues(
            answer_value,
            1.0 / (1.0 + exp(-(confidence - limits.middle) / limits.width)),
            # Keeping the answer costs the small model's remaining output, dropping it the large
            # one's.
            weight * prices.get(model, limits.price) * output,
            weight * prices.get(largest, limits.price) * (prompt / 4 + output),
            candidate.delay_cost,
        )
