"""How fast models read prompts, told from how long replies took to begin."""

from collections import deque
from dataclasses import dataclass

__all__ = ["PrefillSpeed"]

MAX_SAMPLES = 31
"""Samples of a model's pace that are kept: some seconds' worth."""
FIRST_EVENT_OVERHEAD_S = 0.02
"""Time of the way there and back and of the first step, which is in every sample; seconds."""
MIN_TOKENS = 300
"""Shorter readings say nothing: the first event's own time is many times theirs."""
MIN_TOKEN_S = 0.000001
PRIOR_TOKENS = 2000.0
"""Weight of what is assumed, against tokens that were read."""


@dataclass(frozen=True, slots=True)
class _Sample:
    token_s: float
    weight: float


class PrefillSpeed:
    """Seconds a token by model: the weighted median of late samples.

    A sample errs high where a queue was longer than known and low where another router had had the
    prompt read, both by many times; so means do not do, and long readings without a queue count
    most. A mean gave up to four times the smallest model's pace, as the first event's own time was
    in it.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[_Sample]] = {}
        self._known: dict[str, float] = {}

    def token_s(self, model: str) -> float | None:
        """Return a model's pace, or None where nothing is known of it."""
        return self._known.get(model)

    def add_sample(
        self, model: str, tokens: int, taken_s: float, queue_s: float, assumed_s: float
    ) -> None:
        """Take how long a reply took to begin.

        Parameters
        ----------
        model : str
        tokens : int
            Read for it, as far as known.
        taken_s : float
        queue_s : float
            Expected time before the reading began.
        assumed_s : float
            Pace that was assumed before any sample, seconds a token.
        """
        if tokens < MIN_TOKENS:
            return
        samples = self._samples.get(model)
        if samples is None:
            samples = self._samples[model] = deque(maxlen=MAX_SAMPLES)
            samples.append(_Sample(assumed_s, PRIOR_TOKENS))
        token_s = max(MIN_TOKEN_S, (taken_s - queue_s - FIRST_EVENT_OVERHEAD_S) / tokens)
        share = 1.0 - min(0.95, queue_s / max(taken_s, 0.001))
        samples.append(_Sample(token_s, tokens * share))
        self._known[model] = _weighted_median(samples)


def _weighted_median(samples: "deque[_Sample]") -> float:
    ordered = sorted(samples, key=lambda each: each.token_s)
    half = sum(each.weight for each in ordered) / 2
    total = 0.0
    for each in ordered:
        total += each.weight
        if total >= half:
            return each.token_s
    return ordered[-1].token_s
