"""The reports between routers: to all peers if there are few, fewer across zones if there are many.

With 32 routers in 3 zones, these reports and the bodies of calls are the bytes between zones, which
are charged for.
"""

from umberhitch.testing import DirectWorld, make_direct_document
from umberhitch.wire import PeerReport


def _reports(count: int, is_rolling_out: bool = False) -> tuple[int, int]:
    """Return how many reports a router received from a peer in its zone and from one in another."""
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
    handle = peers._handle_report

    def count_report(report: PeerReport) -> None:
        if report.router in got:
            got[report.router] += 1
        handle(report)

    peers._handle_report = count_report
    world.run(12.0)
    assert len(peers.live_reports()) == count - 1
    return got["r2"], got["r1"]


def test_few_routers_send_every_report_to_all_zones():
    local, remote = _reports(4)
    assert local == remote >= 40


def test_many_routers_send_fewer_reports_to_other_zones_and_are_still_known():
    local, remote = _reports(12)
    assert 3.0 * remote <= local <= 5.0 * remote


def test_during_a_roll_out_every_report_goes_to_all_zones():
    local, remote = _reports(12, is_rolling_out=True)
    assert abs(local - remote) <= 2


def test_the_reports_of_many_peers_count_until_the_next_ones():
    """Guards against reports that count for 2.0 s while 68 routers each report every 2.1 s."""
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
