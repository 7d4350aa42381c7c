"""Prefill speed of models, estimated from the times to first event."""

from collections import deque
from dataclasses import dataclass

__all__ = ["PrefillSpeed"]

MAX_SAMPLES = 31
"""Samples that are kept per model; they cover some seconds."""
FIRST_EVENT_OVERHEAD_S = 0.02
"""Round trip and first decoding step, which every sample contains; seconds."""
MIN_TOKENS = 300
"""Shorter prefills are ignored: the overhead of the first event is many times their own time."""
MIN_TOKEN_S = 0.000001
PRIOR_TOKENS = 2000.0
"""Weight of the assumed speed, in tokens of a sample."""


@dataclass(frozen=True, slots=True)
class _Sample:
    token_s: float
    weight: float


class PrefillSpeed:
    """Prefill time per token by model: the weighted median of recent samples.

    A sample is too high where the queue was longer than known, and too low where another router had
    already filled the prefix cache, both by large factors. A mean is therefore unsuitable: it gave
    up to four times the smallest model's time per token, as the overhead of the first event was in
    it. Long prefills without a queue have the largest weight.
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[_Sample]] = {}
        self._known: dict[str, float] = {}

    def token_s(self, model: str) -> float | None:
        """Return a model's prefill time in seconds per token, or None without samples."""
        return self._known.get(model)

    def add_sample(
        self, model: str, tokens: int, taken_s: float, queue_s: float, assumed_s: float
    ) -> None:
        """Add the time to first event of a reply.

        Parameters
        ----------
        model : str
        tokens : int
            Number of prefilled tokens as known to this router.
        taken_s : float
            Seconds from sending the call to the start of the reply.
        queue_s : float
            Expected seconds before the prefill started.
        assumed_s : float
            Prefill time that was assumed before any sample, in seconds per token.
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
    ordered = sorted(samples, key=lambda sample: sample.token_s)
    half = sum(sample.weight for sample in ordered) / 2
    total = 0.0
    for sample in ordered:
        total += sample.weight
        if total >= half:
            return sample.token_s
    return ordered[-1].token_s
