"""Requests to cold endpoints: within the bound over all routers, and not far below the rate."""

from bisect import bisect_left
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import ColdLimits, Directory, Endpoint, FleetShare
from umberhitch.testing import make_endpoint_entry

RATE = 14.0
LIMITS = ColdLimits(overrun=1.5, slack=5.0)
BOUND = RATE * LIMITS.overrun + LIMITS.slack


def _names(count: int) -> list[str]:
    return [f"r{number}" for number in range(count)]


def _endpoint(name: str = "e1") -> Endpoint:
    return Endpoint(make_endpoint_entry(name, cold_s=3.0))


def _share(name: str, names: list[str]) -> FleetShare:
    """Return the share of a router that is registered on a list."""
    share = FleetShare(name)
    share.set_routers(names)
    share.update_registration(True, 0.0)
    return share


def _may_send(share: FleetShare, endpoint: Endpoint, rate: float, now_s: float) -> bool:
    return share.wait_s(endpoint.lifetime, LIMITS.bound(rate), now_s) == 0.0


def _send_all(shares: list[FleetShare], endpoint: Endpoint, rate: float, now_s: float) -> int:
    """Let each router send as many requests as it may, and return how many were sent."""
    sent = 0
    for share in shares:
        while _may_send(share, endpoint, rate, now_s):
            share.note_sent(endpoint.lifetime, now_s)
            sent += 1
    return sent


def _shares(lists: list[list[str]]) -> list[FleetShare]:
    """Return a share for each name in each list, which uses that list."""
    return [_share(name, names) for names in lists for name in names]


@pytest.mark.parametrize("routers", [1, 2, 3, 6, 30, 100, 370])
def test_a_burst_at_all_routers_uses_most_of_the_rate_and_no_more(routers):
    shares = _shares([_names(routers)])
    sent = [_send_all(shares, _endpoint(f"e{number}"), RATE, 0.0) for number in range(20)]
    assert max(sent) <= RATE
    assert min(sent) >= 0.8 * RATE


@given(
    st.floats(0.2, 60.0),
    st.sets(st.integers(0, 60), min_size=1),
    st.sets(st.integers(0, 60), min_size=1),
    st.integers(0, 1000),
)
def test_routers_with_two_lists_together_stay_within_the_bound(rate, one, other, seed):
    """The lists may have no router in common, as in a network partition of the fleet."""
    shares = _shares([[f"r{number}" for number in sorted(names)] for names in (one, other)])
    endpoint, rng = _endpoint(f"e{seed}"), Random(seed)
    bound = rate * LIMITS.overrun + LIMITS.slack
    times: list[float] = []
    at_s = 0.0
    for _ in range(12):
        times += [at_s] * _send_all(shares, endpoint, rate, at_s)
        at_s += rng.uniform(0.0, 0.4)
    for index, first in enumerate(times):
        assert bisect_left(times, first + 1.0) - index <= bound


@given(st.floats(1.0, 400.0), st.integers(1, 60))
def test_at_least_half_of_the_rate_is_used(rate, routers):
    shares = _shares([_names(routers)])
    sent = _send_all(shares, _endpoint(), rate, 0.0)
    assert sent >= min(rate, shares[0].total_quota(LIMITS.bound(rate))) / 2


def test_many_concurrent_lists_mostly_stay_within_the_bound():
    """Each router uses one of eight lists from a second in which routers left and joined.

    These lists differ in few senders of an endpoint. So the sum stays within the bound though there
    are more lists than the bound allows for: at most 5 % of the endpoints may get more than 20
    requests.
    """
    rng = Random(3)
    over = 0
    for number in range(200):
        names = _names(30)
        lists = [list(names)]
        for step in range(7):
            names.remove(rng.choice(names)) if step % 2 else names.append(f"n{number}.{step}")
            lists.append(list(names))
        views = {
            name: rng.choice([routers for routers in lists if name in routers]) for name in names
        }
        shares = [_share(name, view) for name, view in views.items()]
        sent = _send_all(shares, _endpoint(f"e{number}"), RATE, 0.0)
        assert sent <= BOUND
        over += sent > 20
    assert over <= 10


def test_a_router_without_a_list_sends_nothing():
    assert not _may_send(FleetShare("r1"), _endpoint(), RATE, 0.0)


def test_a_quota_is_available_again_after_a_second():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    assert _send_all([share], endpoint, RATE, 0.0) == 13
    assert share.wait_s(endpoint.lifetime, LIMITS.bound(RATE), 0.25) == 0.75
    assert not _may_send(share, endpoint, RATE, 0.99)
    assert _may_send(share, endpoint, RATE, 1.0)


def test_requests_sent_while_the_endpoint_was_warm_count():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    for _ in range(40):
        share.note_sent(endpoint.lifetime, 0.0)
    assert not _may_send(share, endpoint, RATE, 0.5)


def test_a_rate_below_one_per_second_admits_one_request_in_a_longer_window():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    share.note_sent(endpoint.lifetime, 0.0)
    assert share.wait_s(endpoint.lifetime, LIMITS.bound(0.25), 1.0) == 3.0


def test_state_of_ended_lifetimes_is_removed():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    _send_all([share], endpoint, RATE, 0.0)
    share.forget([])
    assert not share._send_times
    assert not share._current.ranks


# Cold endpoints in the directory


def _directory(cold_start_s: float = 3.0) -> Directory:
    directory = Directory()
    directory.is_loaded = True
    directory.set_cold_starts({"svc": cold_start_s})
    return directory


def test_an_endpoint_is_cold_for_the_named_time_from_receipt_of_its_entry():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=2.0), 5.0)
    endpoint = directory.get("e1")
    assert endpoint.is_cold(6.99)
    assert not endpoint.is_cold(7.0)
    assert endpoint.cold_source == "its entry"


def test_an_endpoint_may_become_cold_again_and_warm_early():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 5.0)
    endpoint = directory.get("e1")
    assert not endpoint.is_cold(5.0)
    directory.put(make_endpoint_entry("e1", cold_s=3.0), 8.0)
    assert endpoint.is_cold(9.0)
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 9.0)
    assert not endpoint.is_cold(9.0)


def test_a_repeated_entry_restarts_the_cold_time():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=2.0), 5.0)
    directory.put(make_endpoint_entry("e1", cold_s=2.0), 6.5)
    assert directory.get("e1").is_cold(8.4)


def test_a_new_endpoint_without_a_cold_time_is_assumed_cold():
    directory = _directory()
    directory.put(make_endpoint_entry("e1"), 5.0)
    assert directory.get("e1").is_cold(7.9)
    assert not directory.get("e1").is_cold(8.0)


def test_an_endpoint_known_at_router_start_is_not_assumed_cold():
    directory = _directory()
    directory.is_loaded = False
    directory.put(make_endpoint_entry("e1"), 5.0)
    assert not directory.get("e1").is_cold(5.0)


def test_an_endpoint_that_crashed_and_answers_again_is_assumed_cold():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 5.0)
    endpoint = directory.get("e1")
    endpoint.note_failure(6.0, has_exited=True)
    directory.note_answer(endpoint, 9.0)
    assert endpoint.is_cold(11.9)
    assert endpoint.cold_source == "its process had ended"


def test_an_unreachable_endpoint_that_did_not_crash_is_not_assumed_cold():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 5.0)
    endpoint = directory.get("e1")
    endpoint.note_failure(6.0)
    directory.note_answer(endpoint, 9.0)
    assert not endpoint.is_cold(9.0)


def test_no_endpoint_is_assumed_cold_where_the_cold_time_is_zero():
    directory = _directory(0.0)
    directory.put(make_endpoint_entry("e1"), 5.0)
    directory.disable_zone("a", 5.0)
    directory.enable_zone("a", 6.0)
    assert directory.cold_endpoints(6.0) == []
