"""Builders of claims."""

from umberhitch.core.scheduling import Claim

__all__ = ["make_claim"]


def make_claim(
    customer: str = "c1",
    priority: int = 0,
    value: float = 0.0,
    share: float = 1.0,
    arrived_s: float = 0.0,
    begin_by_s: float = 1.0,
) -> Claim:
    """Return a claim of a plain request."""
    return Claim(priority, value, customer, share, arrived_s, begin_by_s)
