"""Inter-token latency of streams, and detection of slow ones."""

from dataclasses import dataclass
from math import exp, log
from statistics import median

__all__ = ["InterTokenLatency", "TokenLatencies", "TokenLatencyLimits"]

FULL_SAMPLE_GAPS = 8
MIN_GAPS = 2
"""Minimum number of gaps between events from which the latency of a finished stream is computed.
For a stream that is still running, `FULL_SAMPLE_GAPS` are needed."""
MIN_LATENCY_S = 0.0001
"""Shorter gaps arise from events that were received together."""


class InterTokenLatency:
    """Measures the inter-token latency of one stream: the median gap between its events.

    The mean is unsuitable: an engine prefills the prompts of other requests between the events, and
    one long prompt makes a few gaps many times longer, whereas a slow version makes all of them
    longer.
    """

    def __init__(self) -> None:
        self._count = 0
        self._at_s: float | None = None
        self.first_event_s = 0.0
        """Time at which the first event was received."""
        self._gaps: list[float] = []

    def record_events(self, count: int, now_s: float) -> None:
        """Record that ``count`` events have been received in all.

        Events that are received together share the gap before them.
        """
        new = count - self._count
        if new <= 0:
            return
        if self._at_s is not None:
            self._gaps += [(now_s - self._at_s) / new] * min(new, FULL_SAMPLE_GAPS)
        else:
            self.first_event_s = now_s
        self._count, self._at_s = count, now_s

    def inter_token_s(self, is_end: bool) -> float | None:
        """Return the median seconds between events, or None while there are too few gaps."""
        needed = MIN_GAPS if is_end else FULL_SAMPLE_GAPS
        return median(self._gaps) if len(self._gaps) >= needed else None


@dataclass(frozen=True, slots=True)
class TokenLatencyLimits:
    """When a latency counts as slow.

    Attributes
    ----------
    factor : float
        Multiple of the usual latency that must be exceeded.
    loaded_factor : float
        The same for an endpoint that has just received the full load with an empty prefix cache.
        There, good answers were up to 3 times slower than usual, those of a slow version 4 to 12
        times.
    min_excess_s : float
        Seconds by which the usual latency must be exceeded as well.
    weight : float
        Weight of the newest latency in the running mean.
    """

    factor: float = 2.0
    loaded_factor: float = 4.0
    min_excess_s: float = 0.01
    weight: float = 0.05


class TokenLatencies:
    """The usual latencies of the events of each model and of the replies of each route.

    The usual latency is a running geometric mean: latencies spread over a factor of ten, and a few
    very slow ones would raise an arithmetic mean so far that no slow version is detected.

    Parameters
    ----------
    limits : TokenLatencyLimits
    """

    def __init__(self, limits: TokenLatencyLimits | None = None) -> None:
        self._limits = limits or TokenLatencyLimits()
        self._usual_log: dict[tuple[str, str], float] = {}

    def is_slow(
        self, service: str, series: str, latency_s: float, is_loaded: bool = False
    ) -> bool | None:
        """Whether a latency is slow, or None where no usual one is known.

        Parameters
        ----------
        service : str
        series : str
            Route, or model and rank of the largest concurrent prefill, whose latencies are
            compared.
        latency_s : float
            Latency in seconds.
        is_loaded : bool
            Whether the endpoint has just received the full load.
        """
        usual_log = self._usual_log.get((service, series))
        if usual_log is None:
            return None
        usual_s, limits = exp(usual_log), self._limits
        factor = limits.loaded_factor if is_loaded else limits.factor
        return latency_s > factor * usual_s and latency_s > usual_s + limits.min_excess_s

    def learn(self, service: str, series: str, latency_s: float) -> None:
        """Add a latency to the running mean."""
        latency_log = log(max(latency_s, MIN_LATENCY_S))
        usual_log = self._usual_log.setdefault((service, series), latency_log)
        self._usual_log[(service, series)] = usual_log + self._limits.weight * (
            latency_log - usual_log
        )
