"""A request that crashes each endpoint that runs it and is retried at all routers.

Guards against routers that forget a request when its run is over and don't share crashes: a request
that was retried under new ids at four routers, each time about 0.1 s after the previous one, was
sent up to ten more times in half a minute after three crashes, and crashed 24 engines with all
calls that ran there. The tests have this load.
"""

import pytest

from umberhitch.fakes import Reply
from umberhitch.testing import CrashingFleet, CrashShape

KNOWN_S = 3.0
"""Seconds after the third crash within which all routers know the request."""
MAX_SENDS = 3
"""Maximum number of sends to endpoints after that, by all routers together."""
STREAM = Reply(events=8, gap_s=0.05)


def _send_all(fleet: CrashingFleet, path: str, others_s: float = 19.0) -> list[int | None]:
    """Send the request every 0.4 s for 19 s; return the statuses of other requests beside it."""
    fleet.every(0.4, 19.0, lambda n: fleet.ask(n, path))
    others = []
    fleet.every(
        0.05, others_s, lambda n: others.append(fleet.ask(n * 7, path, body=b"other %d" % n))
    )
    fleet.world.run(25.0)
    return [req.status for req in others]


@pytest.mark.parametrize("path", ["/look/x", "/order/x", "/draft/x"])
def test_all_routers_together_stop_it_after_its_third_crash(path: str):
    fleet = CrashingFleet(reply=STREAM if path == "/draft/x" else Reply(delay_s=0.2))
    statuses = _send_all(fleet, path)
    assert len(fleet.crashes_s) >= 3
    assert fleet.late_sends(KNOWN_S) <= MAX_SENDS
    assert statuses.count(200) > 0.9 * len(statuses)


@pytest.mark.parametrize(
    "shape",
    [
        CrashShape(keeps_name=True),
        CrashShape(is_silent=True),
        CrashShape(after_s=0.005),
        CrashShape(after_s=0.3, back_s=1.0),
        CrashShape(lapse_s=0.3),
    ],
    ids=[
        "same-name",
        "silent",
        "before-head",
        "late-and-restarted-soon",
        "entry-gone-at-once",
    ],
)
def test_the_bound_holds_however_the_endpoint_crashes(shape: CrashShape):
    fleet = CrashingFleet(shape=shape, reply=STREAM)
    _send_all(fleet, "/draft/x")
    assert len(fleet.crashes_s) >= 3
    assert fleet.late_sends(KNOWN_S) <= MAX_SENDS
