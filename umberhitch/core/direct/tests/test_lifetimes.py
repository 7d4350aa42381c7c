"""Restarts of an endpoint under the same incarnation, in the directory."""

import pytest

from umberhitch.core.direct import Directory, EndpointState
from umberhitch.core.direct._directory import LAPSED_KEPT_S, STALE_ENTRY_S
from umberhitch.testing import make_endpoint_entry


def _directory(*born: int | None) -> Directory:
    directory = Directory()
    for born_ms in born:
        directory.put(make_endpoint_entry("e1", born=born_ms), 0.0)
    return directory


def _born(directory: Directory) -> int | None:
    return directory.get("e1").entry.born


def test_a_new_lifetime_does_not_inherit_ejections():
    directory = _directory(1000)
    before = directory.get("e1")
    before.note_failure(0.0)
    ended = directory.put(make_endpoint_entry("e1", born=2000), 0.1)
    assert ended is before
    after = directory.get("e1")
    assert after.accepts_work(0.1)
    before.note_failure(0.2)  # a call to the previous lifetime fails late
    assert after.accepts_work(0.2)
    assert directory.of_lifetime(before.lifetime) is None
    assert directory.of_lifetime(after.lifetime) is after


@pytest.mark.parametrize("born", [500, 2000, None])
def test_a_lifetime_is_new_whatever_its_start_time(born):
    assert _born(_directory(1000, born)) == born


def test_the_same_lifetime_keeps_its_state():
    directory = _directory(1000)
    known = directory.get("e1")
    draining = make_endpoint_entry("e1", state=EndpointState.DRAINING, born=1000)
    assert directory.put(draining, 0.1) is None
    assert directory.get("e1") is known


def test_a_delayed_entry_of_a_replaced_lifetime_is_ignored():
    """A write whose reply was lost may take effect some seconds later."""
    directory = _directory(1000, 2000)
    directory.put(make_endpoint_entry("e1", "v0", born=1000), 1.0)
    assert _born(directory) == 2000
    directory.put(make_endpoint_entry("e1", born=2000), 2.0)  # next write of the running process
    directory.sweep(9.0)
    assert _born(directory) == 2000


def test_an_entry_that_stays_is_applied_though_its_lifetime_was_replaced():
    """Another writer named a lifetime that never existed, and the endpoint continues to write."""
    directory = _directory(1000, 7)
    directory.put(make_endpoint_entry("e1", born=1000), 1.0)
    directory.put(make_endpoint_entry("e1", born=1000), 2.2)
    assert [endpoint.lifetime for endpoint in directory.sweep(1.0 + STALE_ENTRY_S)] == ["e1@7"]
    assert _born(directory) == 1000


def test_a_delayed_entry_after_the_endpoint_was_removed_is_not_applied_at_once():
    directory = _directory(1000, 2000)
    directory.drop("e1")
    directory.put(make_endpoint_entry("e1", born=1000), 1.0)
    assert directory.get("e1") is None


def test_a_lapsed_entry_may_return_in_the_same_lifetime_or_another():
    directory = _directory(1000)
    known = directory.get("e1")
    directory.lapse("e1", 0.0, None)
    directory.put(make_endpoint_entry("e1", born=1000), 1.0)
    assert directory.get("e1") is known
    directory.lapse("e1", 1.0, None)
    directory.put(make_endpoint_entry("e1", born=2000), 1.5)
    directory.sweep(1.0 + LAPSED_KEPT_S)
    assert _born(directory) == 2000


def test_parts_keep_their_affinity_when_its_endpoint_restarts():
    directory = Directory()
    for number in range(20):
        directory.put(make_endpoint_entry(f"e{number}", born=1), 0.0)
    parts = [f"p{number}" for number in range(100)]
    before = {part: directory.affinity_endpoint("svc", part).entry.incarnation for part in parts}
    directory.put(make_endpoint_entry("e3", born=2), 0.1)
    affinities = {part: directory.affinity_endpoint("svc", part) for part in parts}
    assert {part: endpoint.entry.incarnation for part, endpoint in affinities.items()} == before
    assert all(
        endpoint is directory.get(endpoint.entry.incarnation) for endpoint in affinities.values()
    )
