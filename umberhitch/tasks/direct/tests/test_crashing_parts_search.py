"""A search for a load under which a crashing part is not held, or takes sound requests with it.

Guards against causes of crashes that are found in the loads of the directed tests only.
"""

import logging
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from umberhitch.fakes import Reply
from umberhitch.testing import CrashingFleet, CrashShape, PartLoad
from umberhitch.testing._crashing_parts import MIN_REQUESTS

MAX_SENDS = 3
SILENCE_S = 3.0
"""After which the kernel ends a connection that doesn't answer its keep-alives."""
AT_LEAST = 0.5
"""Share of the sound requests that must still begin, of those that did before."""
REPLIES = {
    "/look/x": Reply(delay_s=0.2),
    "/order/x": Reply(delay_s=0.1),
    "/draft/x": Reply(events=20, gap_s=0.05),
}


@dataclass(frozen=True)
class Play:
    """One load; times in seconds."""

    path: str
    position: int
    routers: int
    endpoints: int
    after_s: float
    back_s: float
    is_silent: bool
    bad_gap_s: float
    burst: int
    lost_share: float
    lost_at_s: float


PLAYS = st.builds(
    Play,
    path=st.sampled_from(sorted(REPLIES)),
    position=st.integers(0, 2),
    routers=st.integers(1, 6),
    endpoints=st.integers(8, 20),
    after_s=st.sampled_from([0.003, 0.05, 0.1, 0.15]),
    back_s=st.floats(0.5, 4.0),
    is_silent=st.booleans(),
    bad_gap_s=st.floats(0.1, 1.0),
    burst=st.integers(0, 20),
    lost_share=st.sampled_from([0.0, 0.0, 0.25, 0.5]),
    lost_at_s=st.floats(4.0, 12.0),
)


def _play(play: Play) -> PartLoad:
    fleet = CrashingFleet(
        routers=play.routers,
        endpoints=play.endpoints,
        shape=CrashShape(play.after_s, play.back_s, is_silent=play.is_silent, silence_s=SILENCE_S),
        reply=REPLIES[play.path],
        crashing_parts=("bad",),
    )
    load = PartLoad(fleet, play.path, position=play.position)
    fleet.every(0.1, 24.0, lambda n: load.send_sound(n * 7))
    fleet.world.run(4.0)
    for number in range(play.burst):
        load.send_bad(1000 + number)
    fleet.every(play.bad_gap_s, 20.0, load.send_bad)
    if play.lost_share:
        fleet.world.clock.callLater(play.lost_at_s, fleet.crash_share, play.lost_share)
    fleet.world.run(26.0)
    return load


@settings(
    max_examples=10,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
@given(play=PLAYS)
def test_no_load_gets_the_part_past_its_bound(play: Play):
    logging.disable(logging.WARNING)
    try:
        load = _play(play)
    finally:
        logging.disable(logging.NOTSET)
    assert load.late_sends() <= MAX_SENDS
    if len(load.sound_after()) >= MIN_REQUESTS:
        assert load.served_after() >= AT_LEAST * load.served_before()
