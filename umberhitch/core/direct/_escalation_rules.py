"""When a larger model is called in place of an answer, and how long it is waited for.

The small model's answer is at hand meanwhile. It is passed on in time for the route's objective, or
earlier if the larger model's answer is expected too late to be worth more. All times of one request
are seconds since its arrival.
"""

from dataclasses import dataclass
from math import exp

from umberhitch.core.direct._answer_value import AnswerValue

__all__ = [
    "LargerWait",
    "LargerWaits",
    "ModelValues",
    "WaitSample",
    "give_up_s",
    "is_worth_calling",
    "is_worth_waiting",
    "latest_delivery_s",
]

MARGIN_S = 0.15
"""Time between the delivery of a kept answer and the objective. The caller counts from sending to
receiving, a network way more on each side than the router sees, and timers of a busy router are
late; the same time is left for that when two models run."""
MARGIN_SHARE = 0.25
"""Upper bound of the margin as a share of the objective: more would leave a short objective too
little time for the larger model."""
RAISE_WEIGHT = 0.5
LOWER_WEIGHT = 0.2
"""Weights of the newest sample. A wait that is underestimated costs the caller's objective, one
that is overestimated only the better answer."""
MIN_WAIT_S = 0.001
"""Shorter waits are taken as this long."""
BISECTIONS = 16
"""Steps of the search for the end of the wait: a 60,000th of it."""


def latest_delivery_s(objective_s: float, deadline_s: float) -> float:
    """Return until when a kept answer must be passed on, so that the caller has it in time."""
    limit_s = min(objective_s, deadline_s)
    return limit_s - min(MARGIN_S, MARGIN_SHARE * limit_s)


@dataclass(frozen=True, slots=True)
class ModelValues:
    """Value of a small model's answer and of the larger model's, by the time of the first event.

    Attributes
    ----------
    answer_value : AnswerValue
        Value of a good answer.
    good_share : float
        Probability that the small model's answer is good.
    kept_price, larger_price : float
        Price of what the models still have to do, in units of value.
    delay_cost : float
        Value that other requests lose by the larger model's call.
    """

    answer_value: AnswerValue
    good_share: float
    kept_price: float
    larger_price: float
    delay_cost: float

    def kept(self, first_event_s: float) -> float:
        """Return the value of the small model's answer if it is passed on at a time."""
        value = self.answer_value
        return self.good_share * value.value * value.value_fraction(first_event_s) - self.kept_price

    def kept_loss_per_s(self, now_s: float) -> float:
        """Return the value that the small model's answer loses by a second of delay."""
        value = self.answer_value
        is_falling = value.on_time_s <= now_s < value.objective_s
        return self.good_share * value.loss_per_s if is_falling else 0.0

    def larger(self, first_event_s: float) -> float:
        """Return the value of the larger model's answer if its first event comes at a time."""
        value = self.answer_value
        worth = value.value * value.value_fraction(first_event_s)
        return worth - self.delay_cost - self.larger_price


@dataclass(frozen=True, slots=True)
class LargerWait:
    """The wait for a larger model's call that has been sent.

    Attributes
    ----------
    sent_s : float
        Time at which the call was sent.
    expected_s : float
        Wait that was expected of its endpoint.
    learned_s : float
        What such calls have taken longer than expected of late.
    """

    sent_s: float
    expected_s: float
    learned_s: float

    @property
    def due_s(self) -> float:
        """Time at which the first event is expected when the call is sent."""
        return self.sent_s + self.expected_s + self.learned_s

    def arrival_s(self, now_s: float) -> float:
        """Return when the first event is expected, given that it has not come yet.

        Nothing is known of the rest of a queue that is longer than expected. A call that is overdue
        is taken to need as long again.
        """
        return self.due_s + 2.0 * max(0.0, now_s - self.due_s)


def is_worth_calling(values: ModelValues, wait: LargerWait, now_s: float, latest_s: float) -> bool:
    """Whether the larger model's answer is expected in time and to be worth more."""
    arrival_s = wait.arrival_s(now_s)
    return arrival_s < latest_s and values.larger(arrival_s) > values.kept(now_s)


def is_worth_waiting(values: ModelValues, wait: LargerWait, now_s: float) -> bool:
    """Whether waiting on for an overdue call is expected to gain more than it loses.

    The call is as likely to begin in the next second as it was on average in those that it took so
    far. A second of waiting therefore gains that share of the difference of both answers, and loses
    what the kept answer loses by its delay.
    """
    gain = values.larger(now_s) - values.kept(now_s)
    waited_s = max(MIN_WAIT_S, now_s - wait.sent_s)
    return gain / waited_s > values.kept_loss_per_s(now_s)


def give_up_s(values: ModelValues, wait: LargerWait, latest_s: float) -> float:
    """Return the time at which a call is given up for the kept answer if it has not begun."""
    first_s, last_s = wait.due_s, latest_s
    if last_s <= first_s or is_worth_waiting(values, wait, last_s):
        return last_s
    for _ in range(BISECTIONS):  # the gain falls with time, and the loss does not
        middle_s = (first_s + last_s) / 2
        if is_worth_waiting(values, wait, middle_s):
            first_s = middle_s
        else:
            last_s = middle_s
    return last_s


@dataclass(frozen=True, slots=True)
class WaitSample:
    """What a larger model's call has shown.

    Attributes
    ----------
    expected_s : float
        Wait that was expected of its endpoint.
    waited_s : float
        Time to its first event, or for which it was waited for in vain.
    has_begun : bool
        Whether the first event came.
    on_time_s : float
        Shorter waits are certainly on time, so that they tell of no load.
    memory_s : float
        Time after which the sample has lost two thirds of its weight.
    """

    expected_s: float
    waited_s: float
    has_begun: bool
    on_time_s: float
    memory_s: float

    @property
    def excess_s(self) -> float:
        """How much longer than expected the wait is, if that matters.

        A call that was given up would have taken longer: it is taken to need as long again.
        """
        if self.waited_s <= self.on_time_s:
            return 0.0
        whole_s = self.waited_s if self.has_begun else 2.0 * self.waited_s
        return max(0.0, whole_s - self.expected_s)


@dataclass(slots=True)
class _Learned:
    excess_s: float
    at_s: float
    memory_s: float

    def decayed_s(self, now_s: float) -> float:
        return self.excess_s * exp(min(0.0, self.at_s - now_s) / self.memory_s)


class LargerWaits:
    """How much longer than expected larger models' calls take, by service and model.

    The excess is a time and not a ratio: what is not known of an engine is its queue for slots,
    which does not grow with the prompt of the call that waits in it.
    """

    def __init__(self) -> None:
        self._learned: dict[tuple[str, str], _Learned] = {}

    def excess_s(self, service: str, model: str, now_s: float) -> float:
        """Return what is to be added to an expected wait; 0 while waits are as expected."""
        learned = self._learned.get((service, model))
        if learned is None:
            return 0.0
        excess_s = learned.decayed_s(now_s)
        return 0.0 if excess_s < MARGIN_S else excess_s  # the margin covers less

    def age_s(self, service: str, model: str, now_s: float) -> float | None:
        """Return the age of what was learned, or None if nothing was."""
        learned = self._learned.get((service, model))
        return None if learned is None else now_s - learned.at_s

    def record(self, service: str, model: str, sample: WaitSample, now_s: float) -> None:
        """Learn from a call that has begun, or that was given up before it began."""
        key = (service, model)
        before = self._learned.get(key)
        before_s = 0.0 if before is None else before.decayed_s(now_s)
        excess_s = sample.excess_s
        if excess_s > before_s:
            now_excess_s = before_s + RAISE_WEIGHT * (excess_s - before_s)
        elif sample.has_begun and before is not None:
            now_excess_s = before_s + LOWER_WEIGHT * (excess_s - before_s)
        else:
            return  # a call that was given up early does not show that waits are shorter now
        self._learned[key] = _Learned(now_excess_s, now_s, max(MARGIN_S, sample.memory_s))

    def rows(self, now_s: float) -> dict[str, dict[str, dict[str, float]]]:
        """Return what is known, by service and model, for operators."""
        rows: dict[str, dict[str, dict[str, float]]] = {}
        for (service, model), learned in sorted(self._learned.items()):
            rows.setdefault(service, {})[model] = {
                "excess_s": round(self.excess_s(service, model, now_s), 3),
                "age_s": round(now_s - learned.at_s, 3),
            }
        return rows
