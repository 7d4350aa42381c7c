"""Urgent requests go first, over all routers, and no kind of request is starved."""

import pytest

from umberhitch.core.direct import RouteKind
from umberhitch.testing._rivals import make_rivals, run_priorities


@pytest.mark.parametrize(
    ("routers", "seed", "kind"),
    [
        (1, 1, RouteKind.IDEMPOTENT),
        (3, 1, RouteKind.IDEMPOTENT),
        (3, 2, RouteKind.NON_IDEMPOTENT),
        (6, 1, RouteKind.IDEMPOTENT),
    ],
)
def test_urgent_requests_are_served_beside_a_low_priority_in_excess(
    routers: int, seed: int, kind: RouteKind
) -> None:
    high, low = run_priorities(make_rivals(routers, seed, kind), 0.8)
    assert high >= 0.95
    # All ask 2.2 times capacity; a kind is starved that gets a quarter of what all get.
    assert low >= 0.25 / 2.2


def test_thirty_routers_serve_urgent_requests() -> None:
    """Reports are 0.9 s apart, so that the first second is decided without them."""
    high, low = run_priorities(make_rivals(30, 1), 0.8)
    assert high >= 0.95
    assert low >= 0.25 / 2.2
