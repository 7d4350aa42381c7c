"""The directory: bans, and one call at a time for what failed."""

from random import Random

from umberhitch.core.direct import Directory, EndpointState
from umberhitch.testing import make_endpoint_entry


def test_an_endpoint_that_failed_is_tried_by_one_call_at_a_time():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"), 0.0)
    directory.put(make_endpoint_entry("e2"), 0.0)
    dark = directory.get("e1")
    dark.note_failure(0.0)
    assert dark not in directory.ready("svc", 0.4)
    assert dark in directory.ready("svc", 0.6)
    dark.note_call_sent(0.6)
    assert dark not in directory.ready("svc", 0.7)
    directory.note_answer(dark, 0.7)
    assert dark in directory.ready("svc", 0.7)


def test_where_all_endpoints_are_banned_the_bans_are_not_kept():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"), 0.0)
    directory.get("e1").note_failure(0.0)
    assert len(directory.ready("svc", 0.1)) == 1


def test_a_home_moves_only_with_its_own_endpoint():
    directory = Directory()
    for number in range(20):
        directory.put(make_endpoint_entry(f"e{number}"), 0.0)
    parts = [f"p{number}" for number in range(200)]
    before = {part: directory.affinity_endpoint("svc", part).entry.incarnation for part in parts}
    directory.drop("e3")
    after = {part: directory.affinity_endpoint("svc", part).entry.incarnation for part in parts}
    moved = {part for part in parts if before[part] != after[part]}
    assert moved == {part for part in parts if before[part] == "e3"}


def test_of_a_large_service_a_sample_is_looked_at():
    directory = Directory()
    for number in range(600):
        directory.put(make_endpoint_entry(f"e{number}"), 0.0)
    assert len(directory.ready("svc", 0.0, Random(1))) == 32
    assert len(directory.ready("svc", 0.0)) == 600
    small = Directory()
    for number in range(40):
        small.put(make_endpoint_entry(f"e{number}"), 0.0)
    assert len(small.ready("svc", 0.0, Random(1))) == 40


def test_a_draining_endpoint_takes_no_work_and_is_no_home():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"), 0.0)
    directory.put(make_endpoint_entry("e2"), 0.0)
    directory.put(make_endpoint_entry("e1", state=EndpointState.DRAINING), 0.0)
    assert [each.entry.incarnation for each in directory.ready("svc", 0.0)] == ["e2"]
    assert directory.affinity_endpoint("svc", "p").entry.incarnation == "e2"
