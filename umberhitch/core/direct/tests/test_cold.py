"""What cold endpoints get: within the bound over all routers, and not far under what they bear."""

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
    """Return a router that has its seat on a list."""
    share = FleetShare(name)
    share.set_routers(names)
    share.update_registration(True, 0.0)
    return share


def _may_send(share: FleetShare, endpoint: Endpoint, rate: float, now_s: float) -> bool:
    return share.wait_s(endpoint.lifetime, LIMITS.bound(rate), now_s) == 0.0


def _send_all(shares: list[FleetShare], endpoint: Endpoint, rate: float, now_s: float) -> int:
    """Let each router send as often as it may, and return how many were sent."""
    sent = 0
    for share in shares:
        while _may_send(share, endpoint, rate, now_s):
            share.note_sent(endpoint.lifetime, now_s)
            sent += 1
    return sent


def _shares(lists: list[list[str]]) -> list[FleetShare]:
    """Return a router for each name in each list, which goes by that list."""
    return [_share(name, names) for names in lists for name in names]


@pytest.mark.parametrize("routers", [1, 2, 3, 6, 30, 100, 370])
def test_a_crowd_at_all_routers_gets_no_more_than_the_rate_and_most_of_it(routers):
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
def test_routers_by_two_lists_stay_within_the_bound_together(rate, one, other, seed):
    """The lists may have no router in common: parts of the fleet that do not see each other."""
    shares = _shares([[f"r{each}" for each in sorted(names)] for names in (one, other)])
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
def test_half_of_what_is_borne_is_used_at_least(rate, routers):
    shares = _shares([_names(routers)])
    sent = _send_all(shares, _endpoint(), rate, 0.0)
    assert sent >= min(rate, shares[0].total_quota(LIMITS.bound(rate))) / 2


def test_many_changes_of_the_list_at_once_stay_within_the_bound_mostly():
    """Each router goes by one of eight lists of a second in which five of 30 went and five came.

    Such lists differ in few of an endpoint's senders, so that the sum stays under the bound though
    there are more lists than it is reckoned with: 5 in 100 endpoints at most may see more than 20.
    """
    rng = Random(3)
    over = 0
    for number in range(200):
        names = _names(30)
        lists = [list(names)]
        for step in range(7):
            names.remove(rng.choice(names)) if step % 2 else names.append(f"n{number}.{step}")
            lists.append(list(names))
        views = {name: rng.choice([each for each in lists if name in each]) for name in names}
        shares = [_share(name, view) for name, view in views.items()]
        sent = _send_all(shares, _endpoint(f"e{number}"), RATE, 0.0)
        assert sent <= BOUND
        over += sent > 20
    assert over <= 10


def test_a_router_that_knows_no_list_sends_nothing():
    assert not _may_send(FleetShare("r1"), _endpoint(), RATE, 0.0)


def test_a_share_comes_back_a_second_after_it_was_used():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    assert _send_all([share], endpoint, RATE, 0.0) == 13
    assert share.wait_s(endpoint.lifetime, LIMITS.bound(RATE), 0.25) == 0.75
    assert not _may_send(share, endpoint, RATE, 0.99)
    assert _may_send(share, endpoint, RATE, 1.0)


def test_what_was_sent_while_it_was_warm_counts():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    for _ in range(40):
        share.note_sent(endpoint.lifetime, 0.0)
    assert not _may_send(share, endpoint, RATE, 0.5)


def test_a_rate_of_less_than_one_a_second_lets_one_through_in_a_longer_time():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    share.note_sent(endpoint.lifetime, 0.0)
    assert share.wait_s(endpoint.lifetime, LIMITS.bound(0.25), 1.0) == 3.0


def test_nothing_is_kept_of_lifetimes_that_are_gone():
    share = _share("r1", ["r1"])
    endpoint = _endpoint()
    _send_all([share], endpoint, RATE, 0.0)
    share.forget([])
    assert not share._send_times
    assert not share._ranks


# How a directory knows


def _directory(cold_start_s: float = 3.0) -> Directory:
    directory = Directory()
    directory.is_loaded = True
    directory.set_cold_starts({"svc": cold_start_s})
    return directory


def test_an_endpoint_is_cold_as_long_as_it_says_from_when_that_is_heard():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=2.0), 5.0)
    endpoint = directory.get("e1")
    assert endpoint.is_cold(6.99)
    assert not endpoint.is_cold(7.0)
    assert endpoint.cold_source == "its entry"


def test_it_may_become_cold_again_and_warm_sooner():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 5.0)
    endpoint = directory.get("e1")
    assert not endpoint.is_cold(5.0)
    directory.put(make_endpoint_entry("e1", cold_s=3.0), 8.0)
    assert endpoint.is_cold(9.0)
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 9.0)
    assert not endpoint.is_cold(9.0)


def test_the_same_word_said_again_counts_from_when_it_is_said_again():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=2.0), 5.0)
    directory.put(make_endpoint_entry("e1", cold_s=2.0), 6.5)
    assert directory.get("e1").is_cold(8.4)


def test_a_new_one_that_does_not_say_is_taken_for_cold():
    directory = _directory()
    directory.put(make_endpoint_entry("e1"), 5.0)
    assert directory.get("e1").is_cold(7.9)
    assert not directory.get("e1").is_cold(8.0)


def test_one_that_was_there_when_the_router_started_is_not():
    directory = _directory()
    directory.is_loaded = False
    directory.put(make_endpoint_entry("e1"), 5.0)
    assert not directory.get("e1").is_cold(5.0)


def test_a_process_that_ended_and_answers_again_is_taken_for_cold():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 5.0)
    endpoint = directory.get("e1")
    endpoint.note_failure(6.0, has_exited=True)
    directory.note_answer(endpoint, 9.0)
    assert endpoint.is_cold(11.9)
    assert endpoint.cold_source == "its process had ended"


def test_one_that_was_only_silent_is_not():
    directory = _directory()
    directory.put(make_endpoint_entry("e1", cold_s=0.0), 5.0)
    endpoint = directory.get("e1")
    endpoint.note_failure(6.0)
    directory.note_answer(endpoint, 9.0)
    assert not endpoint.is_cold(9.0)


def test_where_no_endpoint_is_ever_cold_none_is_taken_for_it():
    directory = _directory(0.0)
    directory.put(make_endpoint_entry("e1"), 5.0)
    directory.disable_zone("a", 5.0)
    directory.enable_zone("a", 6.0)
    assert directory.cold_endpoints(6.0) == []
