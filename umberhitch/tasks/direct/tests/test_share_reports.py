"""Customers' use between routers: peers cut off, gone or new, and quiet times."""

from itertools import combinations

import pytest

from umberhitch.core.scheduling import CustomerShares
from umberhitch.tasks.direct.share_reports import apply_uses, told_uses
from umberhitch.testing import Stream, make_claim
from umberhitch.testing._overload import OverloadWorld
from umberhitch.testing._rivals import make_rivals, run_customers
from umberhitch.wire import PeerReport, ServiceUse


def make_report(running: int) -> PeerReport:
    shares = CustomerShares()
    for _ in range(running):
        shares.note_started(make_claim("big"), 1.0)
    shares.note_waiting(make_claim("big"), 1.0)
    return PeerReport("r2", 1, 1, [], [], customers=told_uses({"svc": shares}, 1.0))


@pytest.mark.parametrize(
    ("age_s", "expected"), [(0.0, 12.0), (1.0, 12.0), (1.5, 6.0), (2.0, 0.0), (9.0, 0.0)]
)
def test_the_use_of_a_router_that_vanished_fades_by_age(age_s: float, expected: float) -> None:
    shares = CustomerShares()
    apply_uses({"svc": shares}, [(make_report(12), age_s, 2.0)])
    running = [row["running"] for row in shares.rows()]
    assert running == ([expected] if expected else [])


def test_use_of_unknown_services_is_ignored() -> None:
    report = PeerReport("r2", 1, 1, [], [], customers=[ServiceUse("other", [])])
    shares = {"svc": CustomerShares()}
    apply_uses(shares, [(report, 0.0, 2.0), (make_report(3), 0.0, 2.0)])
    assert [row["running"] for row in shares["svc"].rows()] == [3.0]


def running_of(world: OverloadWorld, router: str, customer: str) -> float:
    control = world.routers[router].gateway.admission_control
    assert control is not None
    rows = control.shares["svc"].rows() if "svc" in control.shares else []
    return sum(float(str(row["running"])) for row in rows if row["customer"] == customer)


def test_routers_that_are_cut_off_from_each_other_go_by_their_own_parts() -> None:
    """A weaker bound: a customer's requests that meet at one router share its part only."""
    world = make_rivals(6, 1, endpoints=4)
    for one, other in combinations(world.routers, 2):
        world.network.cut(one, other)
    small, capacity = run_customers(world, 6.0, 0.7)
    assert small >= 0.75
    assert capacity >= 0.9


def test_routers_that_are_killed_or_start_in_an_overload_are_counted_within_seconds() -> None:
    world = make_rivals(3, 1, endpoints=2)
    rate = 3.0 * world.capacity_per_s
    overload = [Stream("big", lambda now_s: rate, customer="big")]
    world.offer(overload, 1.0)
    assert running_of(world, "r0", "big") >= 10.0
    world.kill_router("r2")
    world.run(3.0)
    assert running_of(world, "r0", "big") == 0.0
    world.add_router("r3", has_admission_control=True)
    world.run(1.0)
    world.offer(overload, 1.0)
    assert running_of(world, "r3", "big") >= 10.0
    world.settle(4.0)
    assert [running_of(world, name, "big") for name in world.routers] == [0.0] * 3
    reports = [router.peers._make_report() for router in world.routers.values()]
    assert [report.customers for report in reports] == [[]] * 3
