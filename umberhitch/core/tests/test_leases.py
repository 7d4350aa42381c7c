"""Fold of the leases stream, and fencing."""

from umberhitch.core.fencing import Fence
from umberhitch.core.leases import (
    NO_TOKEN,
    Acquire,
    LeaseFold,
    Renew,
    Yield,
    encode_lease_record,
)


def apply(fold: LeaseFold, offset: int, record) -> None:
    fold.apply(offset, encode_lease_record(record))


def acquire(holder: str, previous: int = NO_TOKEN) -> Acquire:
    return Acquire("x", holder, 1, previous, 15.0)


def test_the_first_acquisition_in_log_order_wins() -> None:
    fold = LeaseFold()
    apply(fold, 3, acquire("a"))
    apply(fold, 4, acquire("b"))
    assert (fold.leases["x"].holder, fold.leases["x"].token) == ("a", 3)


def test_one_of_two_competing_routers_wins_and_a_duplicate_append_has_no_effect() -> None:
    fold = LeaseFold()
    apply(fold, 0, acquire("a"))
    apply(fold, 5, acquire("b", previous=0))
    apply(fold, 6, acquire("c", previous=0))
    apply(fold, 7, acquire("b", previous=0))
    assert (fold.leases["x"].holder, fold.leases["x"].token) == ("b", 5)


def test_a_renewal_by_a_replaced_holder_has_no_effect() -> None:
    fold = LeaseFold()
    apply(fold, 0, acquire("a"))
    apply(fold, 1, acquire("b", previous=0))
    apply(fold, 2, Renew("x", 0, "a", 1, 15.0))
    apply(fold, 3, Yield("x", 0))
    assert fold.leases["x"].holder == "b"
    assert not fold.leases["x"].is_yielded


def test_a_reader_without_the_acquisition_restores_the_lease_from_a_renewal() -> None:
    """Otherwise the reader would acquire a lease that all other routers know to be held."""
    full, late = LeaseFold(), LeaseFold()
    apply(full, 0, acquire("a"))
    for fold in (full, late):
        apply(fold, 9, Renew("x", 0, "a", 1, 15.0))
        apply(fold, 10, acquire("b"))
    assert late.leases["x"].holder == full.leases["x"].holder == "a"


def test_a_fence_admits_no_older_token_and_no_order_before_it_opens() -> None:
    fence = Fence(opens_s=3.0)
    assert not fence.admits(7, now_s=2.9)
    assert fence.admits(7, now_s=3.0)
    assert fence.admits(7, now_s=3.1)
    fence.observe(9)
    assert not fence.admits(8, now_s=4.0)
    assert fence.admits(9, now_s=4.0)
