"""Log lines on records that cannot be used; anyone may write such, as often as they like."""

from logging import getLogger

from umberhitch.ports.clock import Clock

__all__ = ["ProblemLog"]

log = getLogger(__name__)

EVERY_S = 1.0
"""A line at most so often, for each stream: a replica writes its entry as often."""
MAX_CHARACTERS = 300


class ProblemLog:
    """Writes a line for a record that cannot be used, and counts those that it passes over.

    Parameters
    ----------
    clock : Clock
    topic : str
    """

    def __init__(self, clock: Clock, topic: str) -> None:
        self._clock = clock
        self._topic = topic
        self._next_s = float("-inf")
        self._passed_over = 0

    def write(self, problem: str) -> None:
        """Write a line, unless one was written lately."""
        now_s = self._clock.seconds()
        if now_s < self._next_s:
            self._passed_over += 1
            return
        self._next_s = now_s + EVERY_S
        extra = {
            "topic": self._topic,
            "problem": problem[:MAX_CHARACTERS],
            "passed_over": self._passed_over,
        }
        log.warning("record not valid", extra=extra)
        self._passed_over = 0
