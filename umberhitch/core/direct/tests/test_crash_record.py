"""Who is blamed for a crash, when a probe is let through, and what is remembered at most.

The load that this answers: one request takes endpoint after endpoint while others are under way
there, and some of these are asked for by many callers. Three crashes and 600 s: see `CrashLimits`.
"""

from itertools import pairwise, permutations
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import Crash, CrashLimits, CrashRecord

KEY = "c" * 16 + "1" * 16
OTHER = "d" * 16 + "2" * 16


def _crash(number: int, began_s: float = 10.0, place: str = "svc/v1") -> Crash:
    return Crash(f"e{number}", place, began_s, began_s + 0.1)


def _held(limits: CrashLimits | None = None) -> CrashRecord:
    record = CrashRecord(limits)
    for number in range(3):
        record.note_crash(KEY, _crash(number))
    return record


def test_the_third_endpoint_is_what_holds_a_request():
    record = CrashRecord()
    assert [record.note_crash(KEY, _crash(n)) for n in (1, 1, 2)] == [True, False, True]
    assert record.hold(KEY, 11.0) is None
    assert record.note_crash(KEY, _crash(3))
    assert record.is_held(KEY)
    assert not record.is_held(OTHER)


def test_a_run_that_ends_frees_of_the_blame_of_all_that_began_before():
    record = _held()
    assert record.note_run_end(KEY, 12.0)
    assert not record.is_suspect(KEY)
    assert not record.note_crash(KEY, _crash(7, began_s=11.0))
    assert record.note_crash(KEY, _crash(8, began_s=13.0))


def test_the_order_in_which_it_is_told_changes_nothing():
    def crash(number: int):
        return lambda record: record.note_crash(KEY, _crash(number, began_s=float(number)))

    steps = [crash(1), crash(2), crash(5), lambda record: record.note_end(KEY, 2.0)]
    found = set()
    for order in permutations(steps):
        record = CrashRecord()
        for step in order:
            step(record)
        found.add(tuple(sorted(each.lifetime for each in record.crashes(KEY))))
    assert found == {("e5",)}


WORDS = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.integers(0, 5), st.integers(0, 20)),
        st.tuples(st.just("end"), st.just(0), st.integers(0, 20)),
    ),
    max_size=12,
)


def _told(words: list[tuple[str, int, int]]) -> list[str]:
    """Return the lifetimes held against a request after all was told."""
    record = CrashRecord()
    for what, number, at in words:
        if what == "end":
            record.note_run_end(KEY, float(at))
        else:
            record.note_crash(KEY, Crash(f"e{number}.{at}", "svc/v1", float(at), at + 0.1))
    return sorted(each.lifetime for each in record.crashes(KEY))


@given(WORDS, st.integers(0, 1000))
def test_routers_that_heard_the_same_hold_the_same(words, seed):
    again = words + words
    Random(seed).shuffle(again)
    assert _told(again) == _told(words)


def test_probes_come_one_at_a_time_and_ever_more_seldom():
    record = _held()
    untils = []
    for probes in range(1, 6):
        hold = record.hold(KEY, 0.0)
        untils.append(round(hold.until_s, 1))
        record.note_probe(KEY, "svc/v1", probes, hold.until_s, hold.until_s + 5.0)
        assert record.hold(KEY, 0.0).until_s >= hold.until_s + 5.0, "one under way"
        record.note_probe_end(KEY)
    gaps = [round(later - sooner) for sooner, later in pairwise(untils)]
    assert gaps == [10, 600, 1200, 2400]
    assert untils[0] == 11.1


def test_another_version_gets_one_probe_of_its_own():
    record = _held()
    for probes in (1, 2):
        record.note_probe(KEY, "svc/v1", probes, 20.0 * probes, 20.0 * probes)
    assert record.hold(KEY, 50.0, "svc/v1").until_s == 640.0
    assert record.hold(KEY, 50.0, "svc/v2").until_s == 41.0
    record.note_probe(KEY, "svc/v2", 3, 50.0, 50.0)
    assert record.hold(KEY, 60.0, "svc/v2").until_s == 1250.0


def test_a_customer_with_many_bodies_takes_no_others_place():
    record = CrashRecord(CrashLimits(max_requests=20, max_requests_per_customer=8))
    for number in range(3):
        record.note_crash(OTHER, _crash(number))
    for number in range(1000):
        record.note_crash("c" * 16 + f"{number:016x}", _crash(number))
    assert len(record) == 9
    assert record.is_held(OTHER)


def test_many_customers_are_bounded_too_and_the_strongest_evidence_stays():
    record = _held(CrashLimits(max_requests=20, max_requests_per_customer=8))
    for number in range(1000):
        record.note_crash(f"{number:016x}" + "a" * 16, _crash(number))
    assert len(record) == 20
    assert record.is_held(KEY)


def test_ends_are_remembered_within_a_bound():
    record = CrashRecord(CrashLimits(max_run_ends=10))
    for number in range(1000):
        record.note_run_end(f"{number:032x}", float(number))
    assert len(record._run_ends) == 10
    assert record.last_run_end_s(f"{999:032x}") == 999.0


def test_what_is_long_past_is_forgotten():
    record = CrashRecord()
    record.note_crash(KEY, _crash(1))
    record.forget(3_600.0)
    assert len(record) == 1
    record.forget(3_700.0)
    assert len(record) == 0
    held = _held()
    held.note_probe(KEY, "svc/v1", 6, 20.0, 20.0)
    held.forget(4_000.0)
    assert held.is_held(KEY)
