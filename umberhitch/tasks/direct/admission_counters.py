"""Counters of admission control, by service."""

from dataclasses import dataclass, field

__all__ = ["WAIT_BUCKETS_S", "AdmissionCounters"]

WAIT_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)
"""Upper bounds of the histogram of waiting times; longer waits count only in the sum."""


@dataclass(slots=True)
class AdmissionCounters:
    """Counters of one service since the start of the process.

    Attributes
    ----------
    waited, sent_after_waiting : int
        Requests that began to wait, and those of them that were sent.
    refused : dict of str to int
        Requests refused for lack of room, by reason.
    wait_s : float
        Sum of the waiting times of all that waited.
    wait_counts : list of int
        Waits up to each of `WAIT_BUCKETS_S`; the last one counts all.
    """

    waited: int = 0
    sent_after_waiting: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    wait_s: float = 0.0
    wait_counts: list[int] = field(default_factory=lambda: [0] * (len(WAIT_BUCKETS_S) + 1))

    def note_refused(self, reason: str) -> None:
        """Count a refusal."""
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def note_wait(self, wait_s: float) -> None:
        """Count a wait that is over."""
        self.wait_s += wait_s
        for index, bound_s in enumerate((*WAIT_BUCKETS_S, float("inf"))):
            self.wait_counts[index] += wait_s <= bound_s
