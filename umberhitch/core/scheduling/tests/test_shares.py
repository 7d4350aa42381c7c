"""What stays free for others, by own and peers' use: with peers lost, gone, or not yet heard."""

import pytest

from umberhitch.core.scheduling import Claim, CustomerShares, CustomerUse, fade
from umberhitch.core.scheduling._customer_use import OTHERS, customer_digest, make_use
from umberhitch.testing import make_claim
from umberhitch.wire import ServiceUse, encode_frame
from umberhitch.wire._messages import PeerReport

PLACES = 24.0


def use(name: str, running: float, waiting: float = 0.0, priority: int = 0) -> CustomerUse:
    return make_use(customer_digest(name), priority, 1.0, running, waiting)


def start(shares: CustomerShares, claim: Claim, count: int) -> None:
    for _ in range(count):
        shares.note_started(claim, 1.0)


def test_a_small_customer_finds_nothing_reserved_and_a_large_one_leaves_places_free() -> None:
    shares = CustomerShares()
    start(shares, make_claim("large"), 23)
    start(shares, make_claim("small"), 1)
    shares.note_waiting(make_claim("small"), 1.0)
    assert shares.reserved(make_claim("small"), PLACES, 1.0) == 0.0
    assert shares.reserved(make_claim("large"), PLACES, 1.0) >= 1.0
    assert shares.withheld == 1


def test_an_only_customer_uses_all() -> None:
    shares = CustomerShares()
    start(shares, make_claim("large"), 100)
    assert shares.reserved(make_claim("large"), PLACES, 1.0) == 0.0


def test_what_a_customer_left_unused_is_lent_out_within_seconds() -> None:
    shares = CustomerShares()
    start(shares, make_claim("large"), 20)
    start(shares, make_claim("gone"), 4)
    shares.reserved(make_claim("large"), PLACES, 1.0)
    for _ in range(4):
        shares.note_ended(make_claim("gone"), 1.0)
    start(shares, make_claim("large"), 4)
    assert shares.reserved(make_claim("large"), PLACES, 1.1) > 1.0
    assert shares.reserved(make_claim("large"), PLACES, 15.0) < 0.1


def test_use_at_peers_counts_as_own_use_does() -> None:
    """Each of six routers sees a sixth of a customer that has too much."""
    shares = CustomerShares()
    start(shares, make_claim("large"), 4)
    small = use("small", 0.0, 2.0)
    shares.set_peers([use("large", 10.0), use("large", 9.0), small])
    assert shares.reserved(make_claim("large"), PLACES / 6, 1.0, 6) == pytest.approx(2.0 / 6)
    assert shares.reserved(make_claim("small"), PLACES / 6, 1.0, 6) == 0.0


def test_a_router_that_starts_or_is_cut_off_goes_by_its_own_part() -> None:
    shares = CustomerShares()
    assert shares.reserved(make_claim("large"), PLACES / 6, 1.0, 6) == 0.0
    start(shares, make_claim("large"), 4)
    shares.note_waiting(make_claim("small"), 1.0)
    assert shares.reserved(make_claim("large"), PLACES / 6, 2.0) >= 1.0
    assert shares.reserved(make_claim("small"), PLACES / 6, 2.0) == 0.0


def test_the_use_of_a_router_that_vanished_fades() -> None:
    kept = [fade(use("large", 10.0, 5.0), weight) for weight in (1.0, 0.5, 0.0)]
    assert [each.running for each in kept] == [10.0, 5.0, 0.0]
    shares = CustomerShares()
    start(shares, make_claim("large"), 2)
    shares.note_waiting(make_claim("small"), 1.0)
    shares.set_peers([use("large", 30.0)])
    assert shares.reserved(make_claim("large"), PLACES, 1.0) > 0.0
    shares.set_peers([fade(use("large", 30.0), 0.0)])
    assert shares.reserved(make_claim("large"), PLACES, 20.0) == 0.0


def test_a_low_priority_leaves_what_a_high_one_waits_for_elsewhere_but_not_its_least_part() -> None:
    shares = CustomerShares()
    shares.set_peers([use("urgent", 20.0, 30.0, 0), use("urgent", 0.0, 30.0, 2)])
    low = make_claim("low", 2)
    assert shares.reserved(low, PLACES, 1.0) == 0.0
    start(shares, low, 8)
    shares.note_waiting(low, 1.0)
    assert shares.reserved(low, PLACES, 2.0) >= 4.0
    assert shares.reserved(make_claim("urgent", 0), PLACES, 2.0) == 0.0


def test_nothing_is_told_in_a_quiet_time() -> None:
    shares = CustomerShares()
    start(shares, make_claim("a"), 5)
    assert shares.told(10.0) == []
    shares.note_waiting(make_claim("a"), 1.0)
    shares.note_left(make_claim("a"), 1.0)
    assert shares.told(11.0) == [use("a", 5.0)]
    assert shares.told(12.5) == [use("a", 5.0)]
    assert shares.told(13.5) == []


@pytest.mark.parametrize("customers", [24, 1000])
def test_a_report_tells_the_largest_and_the_sum_of_the_others(customers: int) -> None:
    shares = CustomerShares()
    for number in range(customers):
        start(shares, make_claim(f"customer-{number}", number % 2), 9 if number < 3 else 1)
        shares.note_waiting(make_claim(f"customer-{number}", number % 2), 1.0)
    told = shares.told(1.0)
    assert sum(each.running for each in told) == customers + 24
    assert sum(each.waiting for each in told) == customers
    assert sum(each.customer == OTHERS for each in told) == 2
    reports = [
        PeerReport("r", 1, 1, [], [], customers=customers)
        for customers in ([], [ServiceUse("svc", told)])
    ]
    plain, full = (len(encode_frame("r", [report])) for report in reports)
    assert full - plain <= 90


def test_the_rows_for_operators_name_the_customers_that_use_most() -> None:
    shares = CustomerShares()
    start(shares, make_claim("small"), 1)
    start(shares, make_claim("large"), 9)
    shares.reserved(make_claim("large"), PLACES, 1.0)
    assert shares.rows(1) == [
        {"customer": "large", "priority": 0, "running": 9.0, "waiting": 0.0, "part": 9.0}
    ]


@pytest.mark.parametrize("peers", [1, 2, 3])
def test_refused_requests_that_several_peers_tell_of_add_up(peers: int) -> None:
    shares = CustomerShares()
    shares.set_peers([make_use(7, 0, 1.0, 1.0, 1.0, 20.0)] * peers)
    (use,) = shares._peers.values()
    assert use.refused_units == peers * make_use(7, 0, 1.0, 1.0, 1.0, 20.0).refused_units > 0
