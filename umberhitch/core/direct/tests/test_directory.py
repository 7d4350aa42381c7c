"""Ejections, sampling, draining and affinities in the directory."""

from random import Random

from umberhitch.core.direct import Directory, EndpointState
from umberhitch.testing import make_endpoint_entry


def test_a_failed_endpoint_is_retried_by_one_call_at_a_time():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"), 0.0)
    directory.put(make_endpoint_entry("e2"), 0.0)
    endpoint = directory.get("e1")
    endpoint.note_failure(0.0)
    assert endpoint not in directory.ready("svc", 0.4)
    assert endpoint in directory.ready("svc", 0.6)
    endpoint.note_call_sent(0.6)
    assert endpoint not in directory.ready("svc", 0.7)
    directory.note_answer(endpoint, 0.7)
    assert endpoint in directory.ready("svc", 0.7)


def test_ejections_are_ignored_where_all_endpoints_are_ejected():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"), 0.0)
    directory.get("e1").note_failure(0.0)
    assert len(directory.ready("svc", 0.1)) == 1


def test_an_affinity_changes_only_if_its_endpoint_is_removed():
    directory = Directory()
    for number in range(20):
        directory.put(make_endpoint_entry(f"e{number}"), 0.0)
    parts = [f"p{number}" for number in range(200)]
    before = {part: directory.affinity_endpoint("svc", part).entry.incarnation for part in parts}
    directory.drop("e3")
    after = {part: directory.affinity_endpoint("svc", part).entry.incarnation for part in parts}
    moved = {part for part in parts if before[part] != after[part]}
    assert moved == {part for part in parts if before[part] == "e3"}


def test_the_endpoints_of_a_large_service_are_sampled():
    directory = Directory()
    for number in range(600):
        directory.put(make_endpoint_entry(f"e{number}"), 0.0)
    assert len(directory.ready("svc", 0.0, Random(1))) == 32
    assert len(directory.ready("svc", 0.0)) == 600
    small = Directory()
    for number in range(40):
        small.put(make_endpoint_entry(f"e{number}"), 0.0)
    assert len(small.ready("svc", 0.0, Random(1))) == 40


def test_a_draining_endpoint_gets_no_requests_and_no_affinity():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"), 0.0)
    directory.put(make_endpoint_entry("e2"), 0.0)
    directory.put(make_endpoint_entry("e1", state=EndpointState.DRAINING), 0.0)
    assert [endpoint.entry.incarnation for endpoint in directory.ready("svc", 0.0)] == ["e2"]
    assert directory.affinity_endpoint("svc", "p").entry.incarnation == "e2"
