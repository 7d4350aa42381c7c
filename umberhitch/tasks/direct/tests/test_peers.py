"""What routers tell each other: all at once where they are few, less across zones where many.

Answers the pattern of 32 routers in 3 zones, where what they tell each other and the bodies of
calls are the bytes between zones, which are paid for.
"""

from umberhitch.testing import DirectWorld, make_direct_document
from umberhitch.wire import PeerReport


def _reports(count: int, is_rolling_out: bool = False) -> tuple[int, int]:
    """Return how many reports a router got from a peer in its zone and from one in another."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for number in range(count):
        world.add_router(f"r{number}", zone="ab"[number % 2])
    world.run(12.0)
    if is_rolling_out:
        world.roll_out("v2", 100.0)
        world.run(1.0)
    got = {"r2": 0, "r1": 0}
    peers = world.routers["r0"].peers
    take = peers._handle_report

    def count_report(report: PeerReport) -> None:
        if report.router in got:
            got[report.router] += 1
        take(report)

    peers._handle_report = count_report
    world.run(12.0)
    assert len(peers.live_reports()) == count - 1
    return got["r2"], got["r1"]


def test_few_routers_tell_each_other_all_wherever_they_are():
    near, far = _reports(4)
    assert near == far >= 40


def test_many_routers_tell_those_in_other_zones_less_and_are_still_known():
    near, far = _reports(12)
    assert 3.0 * far <= near <= 5.0 * far


def test_during_a_roll_out_evidence_reaches_every_zone_at_full_pace():
    near, far = _reports(12, is_rolling_out=True)
    assert abs(near - far) <= 2


def test_what_many_peers_have_under_way_counts_between_their_reports():
    """With 68 routers each reported every 2.1 s and counted for 2.0 s."""
    world = DirectWorld()
    world.add_endpoint("e1")
    world.operator.put("config", make_direct_document())
    for number in range(68):
        world.add_router(f"r{number:02d}")
    world.run(6.0)
    counts = []
    for _ in range(50):
        world.run(0.1)
        counts.append(len(world.routers["r00"].peers.live_reports()))
    assert set(counts) == {67}
