"""What endpoints that name a limit may get, and what they got."""

from bisect import bisect_left

from umberhitch.fakes import FakeEndpoint

__all__ = ["LIMIT_SPAN_S", "limit_bound", "most_within"]

LIMIT_SPAN_S = 4.0
"""The bound holds for each span of so long."""
OVERRUN = 1.5
SLACK = 5.0


def limit_bound(rate: float) -> float:
    """Return how many requests an endpoint may get in a span that takes a rate, a second."""
    return rate * LIMIT_SPAN_S * OVERRUN + SLACK


def most_within(endpoint: FakeEndpoint, since_s: float = 0.0, span_s: float = LIMIT_SPAN_S) -> int:
    """Return the most calls that an endpoint got in a span that begins later than a time."""
    times = sorted(at_s for at_s in endpoint.called_s if at_s >= since_s)
    return max((bisect_left(times, t + span_s) - n for n, t in enumerate(times)), default=0)
