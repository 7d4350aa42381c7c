"""Availability zones that go out of service and back, in the directory."""

from random import Random

import pytest

from umberhitch.core.direct import Directory, EndpointState
from umberhitch.testing import make_endpoint_entry

PARTS = [f"p{number}" for number in range(200)]


def _directory(zones: str = "abc", per_zone: int = 4) -> Directory:
    directory = Directory()
    for zone in zones:
        for number in range(per_zone):
            directory.put(make_endpoint_entry(f"{zone}{number}", zone=zone), 0.0)
    return directory


def _zones(directory: Directory) -> set[str]:
    return {endpoint.entry.zone for endpoint in directory.ready("svc", 1.0, Random(1))}


def _affinities(directory: Directory) -> dict[str, str]:
    found = {part: directory.affinity_endpoint("svc", part) for part in PARTS}
    return {
        part: endpoint.entry.incarnation for part, endpoint in found.items() if endpoint is not None
    }


def test_a_zone_out_of_service_gets_no_new_requests():
    directory = _directory()
    assert directory.disable_zone("b", 0.0)
    assert _zones(directory) == {"a", "c"}
    assert not any(name.startswith("b") for name in _affinities(directory).values())


def test_only_affinities_in_the_zone_change_and_they_return():
    directory = _directory()
    before = _affinities(directory)
    directory.disable_zone("b", 0.0)
    during = _affinities(directory)
    moved = {part for part in PARTS if before[part] != during[part]}
    assert moved == {part for part in PARTS if before[part].startswith("b")}
    directory.enable_zone("b", 5.0)
    assert _affinities(directory) == before


def test_an_endpoint_that_appears_in_a_zone_out_of_service_gets_no_requests():
    directory = _directory()
    directory.disable_zone("b", 0.0)
    directory.put(make_endpoint_entry("b9", zone="b"), 1.0)
    assert _zones(directory) == {"a", "c"}
    assert "b9" not in _affinities(directory).values()


def test_ejections_of_all_others_do_not_enable_a_zone_out_of_service():
    directory = _directory("ab", 1)
    directory.disable_zone("b", 0.0)
    directory.get("a0").note_failure(0.0)
    assert _zones(directory) == {"a"}


def test_with_all_zones_out_of_service_there_is_no_endpoint_and_no_affinity():
    directory = _directory("ab")
    directory.disable_zone("a", 0.0)
    directory.disable_zone("b", 0.0)
    assert directory.ready("svc", 1.0) == []
    assert directory.affinity_endpoint("svc", "p1") is None


def test_zones_without_endpoints_may_go_out_of_service():
    directory = _directory()
    for number in range(20):
        directory.disable_zone(f"z{number}", 0.0)
    assert _zones(directory) == {"a", "b", "c"}
    directory.put(make_endpoint_entry("late", zone="z7"), 1.0)
    assert "late" not in {endpoint.entry.incarnation for endpoint in directory.ready("svc", 1.0)}


def test_repeated_changes_of_a_zone_have_no_effect():
    directory = _directory()
    assert directory.disable_zone("a", 0.0)
    assert not directory.disable_zone("a", 0.0)
    assert directory.enable_zone("a", 1.0)
    assert not directory.enable_zone("a", 1.0)


@pytest.mark.parametrize("cold_start_s", [0.0, 3.0])
def test_endpoints_of_a_zone_back_in_service_are_assumed_cold(cold_start_s):
    directory = _directory("ab", 1)
    directory.set_cold_starts({"svc": cold_start_s})
    directory.disable_zone("b", 0.0)
    directory.enable_zone("b", 10.0)
    back, other = directory.get("b0"), directory.get("a0")
    assert back.is_cold(10.0 + 0.99 * cold_start_s) is (cold_start_s > 0)
    assert not back.is_cold(10.0 + cold_start_s)
    assert not other.is_cold(10.0)


def test_an_entry_without_cold_time_left_does_not_end_the_assumption():
    directory = _directory("ab", 1)
    directory.set_cold_starts({"svc": 3.0})
    directory.disable_zone("b", 0.0)
    directory.enable_zone("b", 10.0)
    directory.put(make_endpoint_entry("b0", zone="b", cold_s=0.0), 10.1)
    assert directory.get("b0").is_cold(12.9)


def test_an_endpoint_that_drained_in_a_zone_out_of_service_stays_out():
    directory = _directory("ab", 1)
    directory.disable_zone("b", 0.0)
    directory.put(make_endpoint_entry("b0", zone="b", state=EndpointState.DRAINING), 1.0)
    directory.enable_zone("b", 2.0)
    assert _zones(directory) == {"a"}
