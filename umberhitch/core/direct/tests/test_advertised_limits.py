"""Rate limits advertised by endpoints, and a router's quota of them."""

from bisect import bisect_left
from math import inf
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import AdvertisedLimits, FleetBound, FleetShare, LimitChange, LimitRules

RULES = LimitRules()
RATES = (0.0, 0.3, 0.45, 0.7, 1.6, 2.3, 10.0, 60.0, 300.0)
SIZES = (1, 2, 6, 30, 100, 370)


def _names(count: int, prefix: str = "r") -> list[str]:
    return [f"{prefix}{number}" for number in range(count)]


def _share(name: str, names: list[str], is_settled: bool = True) -> FleetShare:
    share = FleetShare(name)
    share.set_routers(names)
    share.update_registration(True, 0.0)
    share.update_registration(is_settled, 0.0)
    return share


def _sends(
    shares: list[FleetShare], bound: FleetBound, seconds: float, lifetime: str = "e1"
) -> list[float]:
    """Let each router send whenever it may, checked 50 times per second; return the times."""
    sent_s = []
    for step in range(round(seconds * 50)):
        now_s = step / 50
        for share in shares:
            while share.wait_s(lifetime, bound, now_s) == 0.0:
                share.note_sent(lifetime, now_s)
                sent_s.append(now_s)
    return sent_s


def _max_within(times: list[float], span_s: float) -> int:
    return max((bisect_left(times, t + span_s) - n for n, t in enumerate(times)), default=0)


# Quotas


@pytest.mark.parametrize("routers", SIZES)
@pytest.mark.parametrize("rate", RATES)
def test_at_least_four_fifths_of_the_rate_are_used_and_no_more_than_all(rate, routers):
    bound = RULES.bound(rate)
    names = _names(routers)
    shares = [share for name in names if (share := _share(name, names)).quota("e1", bound)]
    times = _sends(shares, bound, 24.0)
    assert _max_within(times, RULES.span_s) <= bound.rate * RULES.span_s + 1
    wanted = min(bound.rate, 50.0 * len(shares)) * 24.0  # limited by the checks per second
    assert len(times) >= 0.8 * wanted - 1


@given(
    st.floats(0.0, 200.0),
    st.sets(st.integers(0, 60), min_size=1),
    st.sets(st.integers(0, 60), min_size=1),
    st.integers(0, 1000),
)
def test_registered_routers_and_unregistered_ones_with_an_older_list_stay_within_the_bound(
    rate, one, other, seed
):
    """The lists may have no router in common: those cut off from the store, and all others."""
    bound = RULES.bound(rate)
    new = [f"r{number}" for number in sorted(one)]
    old = [f"r{number}" for number in sorted(other)]
    shares = [_share(name, new) for name in new] + [_share(name, old, False) for name in old]
    for share in shares:
        share.update_registration(share.is_registered, 0.0)
    times = _sends(shares, bound, 9.0, f"e{seed}")
    assert _max_within(times, RULES.span_s) <= bound.max_requests


def test_a_quota_counts_as_used_when_a_limit_is_first_received():
    """Requests that were sent before are in flight and weren't counted."""
    share, bound = _share("r1", ["r1"]), RULES.bound(2.0)
    share.assume_used("e1", bound, 10.0)
    assert share.used("e1", bound, 10.0) == share.quota("e1", bound)
    assert 0.0 < share.wait_s("e1", bound, 10.0) <= 0.5


def test_requests_that_were_counted_are_not_counted_again():
    share, bound = _share("r1", ["r1"]), RULES.bound(2.0)
    share.note_sent("e1", 9.0)
    share.assume_used("e1", bound, 10.0)
    assert share.used("e1", bound, 10.0) == 1


def test_a_burst_is_spread_over_the_span():
    share, bound = _share("r1", ["r1"]), RULES.bound(2.0)
    share.note_sent("e1", 1.0)
    assert share.wait_s("e1", bound, 1.0) == pytest.approx(0.25)


def test_a_router_that_was_stalled_has_no_list_until_it_is_registered():
    share, bound = _share("r1", ["r1"]), RULES.bound(2.0)
    share.update_registration(True, 1.0)
    assert share.has_router_list(3.0)
    assert not share.has_router_list(4.0)
    share.update_registration(False, 9.0)
    assert not share.has_router_list(9.0)
    share.update_registration(True, 10.0)
    assert share.has_router_list(10.0)
    assert share.wait_s("e1", bound, 10.0) == 0.0


def test_an_unregistered_router_uses_its_last_list_for_a_minute_with_a_reduced_quota():
    share, bound = _share("r1", ["r1"]), RULES.bound(10.0)
    full_quota = share.quota("e1", bound)
    for second in range(60):
        share.update_registration(False, float(second))
    share.set_routers(["r1", "r2", "r3"])
    share.update_registration(False, 60.0)
    assert share.has_router_list(60.0)
    assert share.router_count == 1
    assert 0.5 * full_quota <= share.quota("e1", bound) <= 0.6 * full_quota
    share.update_registration(False, 60.5)
    assert not share.has_router_list(60.5)


# Updates of the limits


def test_an_answer_without_a_limit_ends_the_limit():
    limits = AdvertisedLimits()
    assert limits.apply_answer("e1", 2.0, 1.0) is LimitChange.STARTED
    assert limits.apply_answer("e1", 2.0, 2.0) is LimitChange.NONE
    assert limits.apply_answer("e1", 1.0, 2.5) is LimitChange.LOWERED
    assert limits.apply_answer("e1", 3.0, 2.6) is LimitChange.NONE
    assert limits.apply_answer("e1", None, 3.0) is LimitChange.ENDED
    assert limits.apply_answer("e1", None, 3.5) is LimitChange.NONE
    assert len(limits) == 0


def test_a_newer_notice_of_a_peer_wins_and_an_older_one_is_ignored():
    limits = AdvertisedLimits()
    limits.apply_notice("e1", 2.0, 1.0, "r2", 10.0)
    limits.apply_notice("e1", 5.0, 3.0, "r3", 10.0)
    assert limits.get("e1").rate == 2.0
    limits.apply_notice("e1", 4.0, 0.5, "r3", 10.0)
    assert (limits.get("e1").rate, limits.get("e1").source) == (4.0, "r3")


def test_a_delayed_notice_does_not_restore_an_ended_limit():
    limits = AdvertisedLimits()
    limits.apply_answer("e1", 2.0, 1.0)
    limits.apply_answer("e1", None, 5.0)
    assert limits.apply_notice("e1", 2.0, 3.0, "r2", 6.0) is LimitChange.NONE
    assert limits.apply_notice("e1", 2.0, 0.1, "r2", 6.0) is LimitChange.STARTED


def test_an_end_notice_is_applied_only_if_it_is_certainly_newer():
    limits = AdvertisedLimits()
    limits.apply_answer("e1", 2.0, 10.0)
    assert limits.apply_end_notice("e1", 0.0, 10.4) is LimitChange.NONE
    assert limits.apply_end_notice("e1", 0.0, 10.6) is LimitChange.ENDED


@given(st.lists(st.tuples(st.floats(0, 30), st.booleans()), min_size=1, max_size=12), st.data())
def test_peers_converge_on_the_newest_notice_in_any_order(notices, data):
    """Notices are (time, whether a rate is named), in any order and with correct ages."""
    now_s = 40.0
    limits = AdvertisedLimits()
    for at_s, is_named in data.draw(st.permutations(notices)):
        if is_named:
            limits.apply_notice("e1", 2.0, now_s - at_s, "r2", now_s)
        else:
            limits.apply_end_notice("e1", now_s - at_s, now_s)
    named = [at_s for at_s, is_named in notices if is_named]
    if not named:
        assert limits.get("e1") is None
    elif not [at_s for at_s, is_named in notices if not is_named and at_s > max(named)]:
        assert limits.get("e1") is not None


def test_a_router_that_is_no_sender_rechecks_after_a_minute_and_not_with_all_others():
    limits = AdvertisedLimits()
    limits.apply_answer("e1", 2.0, 0.0)
    limit = limits.get("e1")
    assert not limits.may_recheck(limit, 6, 0.0, 59.0)
    assert limits.may_recheck(limit, 6, 0.0, 61.0)
    assert not limits.may_recheck(limit, 6, 0.5, 61.0)
    assert not limits.may_recheck(limit, 370, 0.0, 739.0)
    rng, checks_s = Random(1), []
    for _ in range(370):
        jitter = rng.random()
        checks_s.append(740.0 * (1.0 + jitter))
    assert _max_within(sorted(checks_s), RULES.span_s) <= RULES.slack + 3


def test_send_times_are_kept_only_as_long_as_a_quota_needs_them():
    share, bound = _share("r1", ["r1"]), RULES.bound(300.0)
    for number in range(5000):
        share.note_sent("e1", number / 500)
    assert share.wait_s("e1", bound, 10.0) > 0.0
    for second in range(20, 30):
        for _ in range(100):
            share.note_sent("e1", float(second))
    assert len(share._send_times["e1"]) <= 1000


def test_state_of_ended_lifetimes_is_removed():
    limits = AdvertisedLimits()
    limits.apply_answer("e1", 2.0, 0.0)
    limits.apply_answer("e2", 2.0, 0.0)
    limits.apply_answer("e2", None, 1.0)
    limits.forget(["e3"])
    assert len(limits) == 0
    assert limits.recently_ended(1.0) == {}


def test_a_router_without_a_list_sends_nothing():
    assert FleetShare("r1").wait_s("e1", RULES.bound(5.0), 0.0) == inf
