"""Attribution of crashes to the parts of prompts and the requests that were running."""

from itertools import permutations

from umberhitch.core.direct import (
    CallerRequest,
    Crash,
    CrashRecord,
    Customer,
    PromptPart,
    cause_keys,
)
from umberhitch.core.direct._crash_causes import Evidence, find_causes

CUSTOMER = "c" * 16
BAD = f"{CUSTOMER}:bad"
SYSTEM = f"{CUSTOMER}:system"


def _crashes(*names: str, spacing_s: float = 1.0, customer: str = "") -> dict[str, Crash]:
    times = {name: float(name[1:]) * spacing_s for name in names}
    return {
        name: Crash(name, "svc/v1", at_s, at_s + 0.05, customer) for name, at_s in times.items()
    }


def test_what_explains_most_crashes_is_the_cause_and_clears_the_others():
    evidence = {
        BAD: Evidence(_crashes("e1", "e2", "e3", "e4")),
        SYSTEM: Evidence(_crashes("e2", "e3", "e4")),
        "request": Evidence(_crashes("e1", "e2", "e3")),
    }
    assert find_causes(evidence, 3) == {BAD}


def test_a_part_that_completed_before_yields_to_one_that_never_did():
    evidence = {
        BAD: Evidence(_crashes("e1", "e2", "e3")),
        SYSTEM: Evidence(_crashes("e1", "e2", "e3", "e4"), has_completed=True),
    }
    assert find_causes(evidence, 3) == {BAD}


def test_a_part_that_turned_bad_is_found_beside_the_requests_that_it_came_with():
    names = [f"e{number}" for number in range(9)]
    evidence = {f"request{n}": Evidence(_crashes(*names[n : n + 3])) for n in (0, 3, 6)}
    evidence[SYSTEM] = Evidence(_crashes(*names), has_completed=True)
    assert find_causes(evidence, 3) == {SYSTEM}


def test_what_nothing_tells_apart_is_held_together():
    evidence = {key: Evidence(_crashes("e1", "e2", "e3")) for key in (BAD, SYSTEM)}
    assert find_causes(evidence, 3) == {BAD, SYSTEM}


def test_two_causes_of_separate_crashes_are_both_found():
    evidence = {
        BAD: Evidence(_crashes("e1", "e2", "e3")),
        "x": Evidence(_crashes("e4", "e5", "e6")),
    }
    assert find_causes(evidence, 3) == {BAD, "x"}


def test_a_lost_rack_counts_once_against_a_part_that_completed_before():
    rack = _crashes("e1", "e2", "e3", "e4", spacing_s=0.01)
    assert find_causes({SYSTEM: Evidence(rack, has_completed=True)}, 3) == set()
    assert find_causes({SYSTEM: Evidence(rack)}, 3) == {SYSTEM}


def test_a_part_of_all_customers_needs_two_of_them():
    one = _crashes("e1", "e2", "e3", customer="a")
    two = one | _crashes("e4", customer="b")
    assert find_causes({":bad": Evidence(one, needs_two_customers=True)}, 3) == set()
    assert find_causes({":bad": Evidence(two, needs_two_customers=True)}, 3) == {":bad"}


def test_the_order_of_notices_does_not_matter():
    def crash(key: str, number: int):
        at_s = float(number)
        return lambda record: record.note_crash(
            key, Crash(f"e{number}", "svc/v1", at_s, at_s + 0.1)
        )

    steps = [crash(BAD, 1), crash(BAD, 2), crash(BAD, 3), crash(SYSTEM, 1)]
    steps += [lambda record: record.note_run_end(SYSTEM, 0.5), crash(SYSTEM, 3)]
    found = set()
    for order in permutations(steps):
        record = CrashRecord()
        for step in order:
            step(record)
        found.add(record.held_keys())
    assert found == {frozenset({BAD})}


def test_the_last_part_and_repeated_ones_have_no_keys():
    parts = tuple(PromptPart(part_id, 10) for part_id in ("aa", "bb", "aa", "own"))
    req = CallerRequest("1", b"POST", b"/x", "host", "/x", [], None, 1.0, prompt=parts)
    request, *others = cause_keys(req, Customer("one"))
    assert others == [f"{request[:16]}:aa", f"{request[:16]}:bb", ":aa", ":bb"]
    other, *_ = cause_keys(req, Customer("two"))
    assert other[:16] != request[:16]


def test_an_odd_part_id_is_hashed_and_many_parts_are_bounded():
    odd = PromptPart("a b/" + "x" * 500, 10)
    parts = (odd, *(PromptPart(f"p{n}", 1) for n in range(500)), PromptPart("own", 1))
    req = CallerRequest("1", b"POST", b"/x", "host", "/x", [], None, 1.0, prompt=parts)
    keys = cause_keys(req, None)
    assert len(keys) == 1 + 2 * 64
    assert all(len(key) < 64 and " " not in key for key in keys)
