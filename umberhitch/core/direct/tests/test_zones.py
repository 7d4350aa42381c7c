"""Availability zones out of service, in the directory: nothing new goes there, and back."""

from random import Random

import pytest

from umberhitch.core.direct import Directory, EndpointState
from umberhitch.testing import make_endpoint_entry

PARTS = [f"p{number}" for number in range(200)]


def _directory(zones: str = "abc", each: int = 4) -> Directory:
    directory = Directory()
    for zone in zones:
        for number in range(each):
            directory.put(make_endpoint_entry(f"{zone}{number}", zone=zone), 0.0)
    return directory


def _zones(directory: Directory) -> set[str]:
    return {each.entry.zone for each in directory.ready("svc", 1.0, Random(1))}


def _homes(directory: Directory) -> dict[str, str]:
    found = {part: directory.affinity_endpoint("svc", part) for part in PARTS}
    return {part: home.entry.incarnation for part, home in found.items() if home is not None}


def test_nothing_new_goes_to_a_zone_that_is_out():
    directory = _directory()
    assert directory.disable_zone("b", 0.0)
    assert _zones(directory) == {"a", "c"}
    assert not any(name.startswith("b") for name in _homes(directory).values())


def test_only_the_homes_of_the_zone_move_and_they_return():
    directory = _directory()
    before = _homes(directory)
    directory.disable_zone("b", 0.0)
    during = _homes(directory)
    moved = {part for part in PARTS if before[part] != during[part]}
    assert moved == {part for part in PARTS if before[part].startswith("b")}
    directory.enable_zone("b", 5.0)
    assert _homes(directory) == before


def test_an_entry_that_comes_while_its_zone_is_out_takes_no_work():
    directory = _directory()
    directory.disable_zone("b", 0.0)
    directory.put(make_endpoint_entry("b9", zone="b"), 1.0)
    assert _zones(directory) == {"a", "c"}
    assert "b9" not in _homes(directory).values()


def test_bans_of_all_others_do_not_open_a_zone_that_is_out():
    directory = _directory("ab", 1)
    directory.disable_zone("b", 0.0)
    directory.get("a0").note_failure(0.0)
    assert _zones(directory) == {"a"}


def test_with_all_zones_out_there_is_no_endpoint_and_no_home():
    directory = _directory("ab")
    directory.disable_zone("a", 0.0)
    directory.disable_zone("b", 0.0)
    assert directory.ready("svc", 1.0) == []
    assert directory.affinity_endpoint("svc", "p1") is None


def test_a_zone_that_nobody_knows_and_twenty_at_once_do_no_harm():
    directory = _directory()
    for number in range(20):
        directory.disable_zone(f"z{number}", 0.0)
    assert _zones(directory) == {"a", "b", "c"}
    directory.put(make_endpoint_entry("late", zone="z7"), 1.0)
    assert "late" not in {each.entry.incarnation for each in directory.ready("svc", 1.0)}


def test_out_twice_is_out_once_and_back_twice_is_back_once():
    directory = _directory()
    assert directory.disable_zone("a", 0.0)
    assert not directory.disable_zone("a", 0.0)
    assert directory.enable_zone("a", 1.0)
    assert not directory.enable_zone("a", 1.0)


@pytest.mark.parametrize("cold_start_s", [0.0, 3.0])
def test_endpoints_of_a_zone_that_is_back_are_taken_for_cold(cold_start_s):
    directory = _directory("ab", 1)
    directory.set_cold_starts({"svc": cold_start_s})
    directory.disable_zone("b", 0.0)
    directory.enable_zone("b", 10.0)
    back, other = directory.get("b0"), directory.get("a0")
    assert back.is_cold(10.0 + 0.99 * cold_start_s) is (cold_start_s > 0)
    assert not back.is_cold(10.0 + cold_start_s)
    assert not other.is_cold(10.0)


def test_a_warm_word_from_before_does_not_end_the_guard():
    directory = _directory("ab", 1)
    directory.set_cold_starts({"svc": 3.0})
    directory.disable_zone("b", 0.0)
    directory.enable_zone("b", 10.0)
    directory.put(make_endpoint_entry("b0", zone="b", cold_s=0.0), 10.1)
    assert directory.get("b0").is_cold(12.9)


def test_what_drains_in_a_zone_that_is_out_is_no_home_when_that_is_back():
    directory = _directory("ab", 1)
    directory.disable_zone("b", 0.0)
    directory.put(make_endpoint_entry("b0", zone="b", state=EndpointState.DRAINING), 1.0)
    directory.enable_zone("b", 2.0)
    assert _zones(directory) == {"a"}
