"""Attribution of crashes to requests, admission of probes, and size limits of the record.

They guard against one request that crashes endpoint after endpoint while other requests are running
there, some of which many callers send. `CrashLimits` gives the reasons for three crashes and 600 s.
"""

from itertools import pairwise, permutations
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import Crash, CrashLimits, CrashRecord

KEY = "c" * 16 + "1" * 16
OTHER = "d" * 16 + "2" * 16


def _crash(number: int, started_s: float = 10.0, service_version: str = "svc/v1") -> Crash:
    return Crash(f"e{number}", service_version, started_s, started_s + 0.1)


def _held(limits: CrashLimits | None = None) -> CrashRecord:
    record = CrashRecord(limits)
    for number in range(3):
        record.note_crash(KEY, _crash(number))
    return record


def test_a_request_is_held_from_the_third_crashed_endpoint_on():
    record = CrashRecord()
    assert [record.note_crash(KEY, _crash(n)) for n in (1, 1, 2)] == [True, False, True]
    assert record.hold(KEY, 11.0) is None
    assert record.note_crash(KEY, _crash(3))
    assert record.is_held(KEY)
    assert not record.is_held(OTHER)


def test_a_completed_run_clears_the_crashes_of_runs_started_before():
    record = _held()
    assert record.note_run_end(KEY, 12.0)
    assert not record.is_suspect(KEY)
    assert not record.note_crash(KEY, _crash(7, started_s=11.0))
    assert record.note_crash(KEY, _crash(8, started_s=13.0))


def test_the_order_of_notices_does_not_matter():
    def crash(number: int):
        return lambda record: record.note_crash(KEY, _crash(number, started_s=float(number)))

    steps = [crash(1), crash(2), crash(5), lambda record: record.note_run_end(KEY, 2.0)]
    found = set()
    for order in permutations(steps):
        record = CrashRecord()
        for step in order:
            step(record)
        found.add(tuple(sorted(crash.lifetime for crash in record.crashes(KEY))))
    assert found == {("e5",)}


NOTICES = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.integers(0, 5), st.integers(0, 20)),
        st.tuples(st.just("end"), st.just(0), st.integers(0, 20)),
    ),
    max_size=12,
)


def _crashed_lifetimes(notices: list[tuple[str, int, int]]) -> list[str]:
    """Return the lifetimes whose crashes count against a request after all notices."""
    record = CrashRecord()
    for kind, number, at in notices:
        if kind == "end":
            record.note_run_end(KEY, float(at))
        else:
            record.note_crash(KEY, Crash(f"e{number}.{at}", "svc/v1", float(at), at + 0.1))
    return sorted(crash.lifetime for crash in record.crashes(KEY))


@given(NOTICES, st.integers(0, 1000))
def test_routers_with_the_same_notices_hold_the_same_crashes(notices, seed):
    repeated = notices + notices
    Random(seed).shuffle(repeated)
    assert _crashed_lifetimes(repeated) == _crashed_lifetimes(notices)


def test_probes_run_one_at_a_time_at_increasing_intervals():
    record = _held()
    untils = []
    for probes in range(1, 6):
        hold = record.hold(KEY, 0.0)
        untils.append(round(hold.until_s, 1))
        record.note_probe(KEY, "svc/v1", probes, hold.until_s, hold.until_s + 5.0)
        assert record.hold(KEY, 0.0).until_s >= hold.until_s + 5.0, "one is running"
        record.note_probe_end(KEY)
    gaps = [round(later - sooner) for sooner, later in pairwise(untils)]
    assert gaps == [10, 600, 1200, 2400]
    assert untils[0] == 11.1


def test_another_version_gets_one_early_probe():
    record = _held()
    for probes in (1, 2):
        record.note_probe(KEY, "svc/v1", probes, 20.0 * probes, 20.0 * probes)
    assert record.hold(KEY, 50.0, "svc/v1").until_s == 640.0
    assert record.hold(KEY, 50.0, "svc/v2").until_s == 41.0
    record.note_probe(KEY, "svc/v2", 3, 50.0, 50.0)
    assert record.hold(KEY, 60.0, "svc/v2").until_s == 1250.0


def test_a_customer_with_many_requests_evicts_none_of_other_customers():
    record = CrashRecord(CrashLimits(max_causes=20, max_causes_per_customer=8))
    for number in range(3):
        record.note_crash(OTHER, _crash(number))
    for number in range(1000):
        record.note_crash("c" * 16 + f"{number:016x}", _crash(number))
    assert len(record) == 9
    assert record.is_held(OTHER)


def test_many_customers_are_bounded_and_requests_with_most_crashes_stay():
    record = _held(CrashLimits(max_causes=20, max_causes_per_customer=8))
    for number in range(1000):
        record.note_crash(f"{number:016x}" + "a" * 16, _crash(number))
    assert len(record) == 20
    assert record.is_held(KEY)


def test_the_number_of_remembered_completions_is_bounded():
    record = CrashRecord(CrashLimits(max_run_ends=10))
    for number in range(1000):
        record.note_run_end(f"{number:032x}", float(number))
    assert len(record._run_ends) == 10
    assert record.last_run_end_s(f"{999:032x}") == 999.0


def test_old_crashes_are_forgotten_but_not_holds():
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
