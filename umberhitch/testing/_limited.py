"""What endpoints that name a limit may get, and what they got."""

from bisect import bisect_left

from umberhitch.fakes import FakeEndpoint

__all__ = ["LIMIT_SPAN_S", "limit_bound", "most_from_told", "most_within"]

LIMIT_SPAN_S = 4.0
"""The bound holds for each span of so long."""
OVERRUN = 1.5
SLACK = 5.0


def limit_bound(rate: float) -> float:
    """Return how many requests an endpoint may get in a span that takes a rate, a second."""
    return rate * LIMIT_SPAN_S * OVERRUN + SLACK


def most_within(endpoint: FakeEndpoint, since_s: float = 0.0, span_s: float = LIMIT_SPAN_S) -> int:
    """Return the most calls that an endpoint got in a span that begins later than a time."""
    return _most([at_s for at_s in endpoint.called_s if at_s >= since_s], span_s)


def most_from_told(endpoint: FakeEndpoint, since_s: float, told_s: float) -> int:
    """Return the same for calls of routers that were told its limit so much longer ago."""
    first_s: dict[str, float] = {}
    for sender, at_s in endpoint.limit_words:
        first_s.setdefault(sender, at_s)
    counted = [
        at_s
        for sender, at_s in endpoint.arrivals
        if at_s >= max(since_s, first_s.get(sender, float("inf")) + told_s)
    ]
    return _most(counted, LIMIT_SPAN_S)


def _most(times: list[float], span_s: float) -> int:
    times = sorted(times)
    return max((bisect_left(times, t + span_s) - n for n, t in enumerate(times)), default=0)
