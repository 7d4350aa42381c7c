"""How fast answers usually come, so that slow ones can be told."""

from dataclasses import dataclass
from math import exp, log
from statistics import median

__all__ = ["InterTokenLatency", "TokenLatencies", "TokenLatencyLimits"]

FULL_SAMPLE_GAPS = 8
MIN_GAPS = 2
"""Gaps between events by which the pace of a stream is judged; fewer where it has no more."""
MIN_LATENCY_S = 0.0001
"""Shorter gaps come of events that were read together."""


class InterTokenLatency:
    """Measures the pace of one stream: the median gap between its events.

    The mean would not do: an engine reads the prompts of others between the events, and one long
    prompt makes a few gaps many times longer, whereas a slow version makes all of them longer.
    """

    def __init__(self) -> None:
        self._count = 0
        self._at_s: float | None = None
        self.first_event_s = 0.0
        """When the first of the events came."""
        self._gaps: list[float] = []

    def record_events(self, count: int, now_s: float) -> None:
        """Note that ``count`` events have come by now; those that came together share the gap."""
        new = count - self._count
        if new <= 0:
            return
        if self._at_s is not None:
            self._gaps += [(now_s - self._at_s) / new] * min(new, FULL_SAMPLE_GAPS)
        else:
            self.first_event_s = now_s
        self._count, self._at_s = count, now_s

    def inter_token_s(self, is_end: bool) -> float | None:
        """Return the pace in seconds an event, or None where it cannot be told (yet)."""
        least = MIN_GAPS if is_end else FULL_SAMPLE_GAPS
        return median(self._gaps) if len(self._gaps) >= least else None


@dataclass(frozen=True, slots=True)
class TokenLatencyLimits:
    """When a pace is slow.

    Attributes
    ----------
    factor : float
        So many times the usual, and
    loaded_factor : float
        so many where an endpoint has just got the whole load, with no prompt in its cache: there
        good answers were up to 3 times slower than usual, those of a slow version 4 to 12 times;
    least_s : float
        and so many seconds over it.
    weight : float
        Of the newest pace in the running mean.
    """

    factor: float = 2.0
    loaded_factor: float = 4.0
    min_excess_s: float = 0.01
    weight: float = 0.05


class TokenLatencies:
    """The usual pace of what is paced: the events of a model, the replies of a route.

    It is the geometric mean of late ones: paces spread over a factor of ten, and a few very slow
    ones would carry a plain mean up to where no slow version is told.
    """

    def __init__(self, limits: TokenLatencyLimits | None = None) -> None:
        self._limits = limits or TokenLatencyLimits()
        self._usual_log: dict[tuple[str, str], float] = {}

    def is_slow(
        self, service: str, what: str, pace_s: float, is_loaded: bool = False
    ) -> bool | None:
        """Whether a pace is slow, or None where no usual one is known."""
        usual_log = self._usual_log.get((service, what))
        if usual_log is None:
            return None
        usual_s, limits = exp(usual_log), self._limits
        factor = limits.loaded_factor if is_loaded else limits.factor
        return pace_s > factor * usual_s and pace_s > usual_s + limits.min_excess_s

    def learn(self, service: str, what: str, pace_s: float) -> None:
        """Take a pace into the running mean."""
        pace_log = log(max(pace_s, MIN_LATENCY_S))
        usual_log = self._usual_log.setdefault((service, what), pace_log)
        self._usual_log[(service, what)] = usual_log + self._limits.weight * (pace_log - usual_log)
