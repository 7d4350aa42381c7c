"""When a larger model is called in place of an answer, and how long it is waited for.

The small model's answer is at hand meanwhile. It is passed on in time for the route's objective, or
earlier if the larger model's answer is expected too late to be worth more. All times of one request
are seconds since its arrival.
"""

from dataclasses import dataclass
from math import exp, inf

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
SAMPLE_WEIGHT = 0.2
"""Weight of the newest call in what is learned."""
MIN_IN_TIME_SHARE = 0.5
"""A larger model is not called, or waited for, that is more likely late than not."""
LEARNED_S = 60.0
"""Time after which what was learned has lost two thirds of its weight."""
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
    in_time_share : float
        Share of such calls that began in time of late.
    """

    sent_s: float
    expected_s: float
    in_time_share: float = 1.0

    @property
    def due_s(self) -> float:
        """Time at which the first event is expected when the call is sent."""
        return self.sent_s + self.expected_s

    def arrival_s(self, now_s: float) -> float:
        """Return when the first event is expected, given that it has not come yet.

        Nothing is known of the rest of a queue that is longer than expected. A call that is overdue
        is taken to need as long again.
        """
        return self.due_s + 2.0 * max(0.0, now_s - self.due_s)


def is_worth_calling(values: ModelValues, wait: LargerWait, now_s: float, latest_s: float) -> bool:
    """Whether the larger model's answer is expected in time and to be worth more.

    Where the call does not begin in time, the answer at hand is passed on, and the call has cost
    its price and delayed others for nothing.
    """
    arrival_s = wait.arrival_s(now_s)
    share = wait.in_time_share
    if arrival_s >= latest_s or share < MIN_IN_TIME_SHARE:
        return False
    gain = values.larger(arrival_s) - values.kept(now_s)
    return share * gain > (1.0 - share) * (values.larger_price + values.delay_cost)


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
    waited_s : float
        Time to its first event, or for which it was waited for in vain.
    has_begun : bool
        Whether the first event came.
    on_time_s : float
        A call that ends earlier than this without an event shows nothing about waits.
    limit_s : float
        Wait up to which a call is in time.
    """

    waited_s: float
    has_begun: bool
    on_time_s: float
    limit_s: float

    @property
    def is_in_time(self) -> bool | None:
        """Whether the call began in time; None if that is not known."""
        if self.has_begun:
            return self.waited_s <= max(self.limit_s, self.on_time_s)
        return None if self.waited_s <= self.on_time_s else False


@dataclass(slots=True)
class _Learned:
    late_share: float
    at_s: float
    probed_s: float = -inf
    """Time of the last call that was sent although most are late."""

    def decayed(self, now_s: float) -> float:
        return self.late_share * exp(min(0.0, self.at_s - now_s) / LEARNED_S)


class LargerWaits:
    """What share of larger models' calls begins in time, by service and model.

    Estimated waits of queued calls are rough, and leave out what no router has reported yet. A
    share needs no model of the queue, and is known as soon as a call is given up. While most calls
    are late, one at a time probes whether they still are.
    """

    def __init__(self) -> None:
        self._learned: dict[tuple[str, str], _Learned] = {}

    def in_time_share(self, service: str, model: str, now_s: float) -> float:
        """Return the share of calls that began in time of late; 1.0 while nothing is known."""
        learned = self._learned.get((service, model))
        return 1.0 if learned is None else 1.0 - learned.decayed(now_s)

    def age_s(self, service: str, model: str, now_s: float) -> float | None:
        """Return the age of what was learned, or None if nothing was."""
        learned = self._learned.get((service, model))
        return None if learned is None else now_s - learned.at_s

    def record(self, service: str, model: str, sample: WaitSample, now_s: float) -> None:
        """Learn from a call that has begun, or that was given up before it began."""
        key = (service, model)
        before = self._learned.get(key)
        is_in_time = sample.is_in_time
        if is_in_time is None or (is_in_time and before is None):
            return
        late_share = 0.0 if before is None else before.decayed(now_s)
        late_share += SAMPLE_WEIGHT * (float(not is_in_time) - late_share)
        # A call that began in time makes room for the next probe.
        probed_s = -inf if before is None or is_in_time else before.probed_s
        self._learned[key] = _Learned(late_share, now_s, probed_s)

    def may_probe(self, service: str, model: str, now_s: float, limit_s: float) -> bool:
        """Whether to probe, as most calls are late and no probe was sent for ``limit_s``."""
        learned = self._learned.get((service, model))
        if learned is None or 1.0 - learned.decayed(now_s) >= MIN_IN_TIME_SHARE:
            return False
        return now_s >= learned.probed_s + limit_s

    def note_sent(self, service: str, model: str, now_s: float) -> None:
        """Record that a call was sent, which is a probe while most calls are late."""
        learned = self._learned.get((service, model))
        if learned is not None:
            learned.probed_s = now_s

    def rows(self, now_s: float) -> dict[str, dict[str, dict[str, float]]]:
        """Return what is known, by service and model, for operators."""
        rows: dict[str, dict[str, dict[str, float]]] = {}
        for (service, model), learned in sorted(self._learned.items()):
            rows.setdefault(service, {})[model] = {
                "in_time_share": round(self.in_time_share(service, model, now_s), 3),
                "age_s": round(now_s - learned.at_s, 3),
            }
        return rows
