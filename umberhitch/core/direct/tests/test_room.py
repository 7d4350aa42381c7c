"""Places of endpoints, and the parts of routers."""

from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import (
    EndpointCounts,
    ReportedLoad,
    RouterPart,
    ServicePlaces,
    WorkTime,
    WorkTimes,
    count_places,
)

times = st.floats(0.001, 2.0)


def _service(own: int, routers: int, places: float = 20.0, taken: float = 0.0) -> ServicePlaces:
    slots = 6
    return ServicePlaces(slots, places, taken, max(0.0, slots - taken), own, routers, 0.2)


@given(st.integers(1, 64), times, times, times)
def test_an_endpoint_has_its_slots_and_no_more_places_than_end_in_time(
    servers: int, mean_s: float, deviation_s: float, budget_s: float
) -> None:
    places = count_places(servers, WorkTime(mean_s, deviation_s), budget_s)
    assert places >= servers
    waiting = places - servers
    if waiting > 1.0:
        assert mean_s * (1.0 + waiting / servers) <= budget_s + 1e-6


@given(st.integers(1, 64), times, times, times, times)
def test_more_time_is_more_room(
    servers: int, mean_s: float, deviation_s: float, one_s: float, other_s: float
) -> None:
    work = WorkTime(mean_s, deviation_s)
    less, more = sorted([one_s, other_s])
    assert count_places(servers, work, less) <= count_places(servers, work, more) + 1e-6


@given(st.integers(1, 40), st.floats(6.0, 200.0))
def test_the_parts_of_all_routers_fit_into_the_places(routers: int, places: float) -> None:
    # Each fills its part while it knows that the others do the same.
    total = 0
    for _ in range(routers):
        part, own = RouterPart(), 0
        while part.has_place(_service(own, routers, places, places), 0.0, 1000.0) and own < 300:
            part.note_started(_service(own, routers, places, places), 1000.0)
            own += 1
        total += own
    assert total <= 1.5 * places + 3 * routers
    assert total >= min(places, 6.0) - routers or total >= routers


def test_late_answers_reduce_the_part_to_that_of_the_slots_and_timely_ones_restore_it() -> None:
    part, service = RouterPart(), _service(5, 2)
    assert part.limit(service) == 10.0
    for number in range(100):
        part.note_answer(False, service, float(number), float(number))
    assert part.limit(service) == 3.0
    for number in range(1000):
        part.note_answer(True, service, 100.0 + number, 100.0 + number)
    assert part.limit(service) == 10.0


def test_single_late_answers_reduce_nothing() -> None:
    part, service = RouterPart(), _service(5, 2)
    for number in range(1000):
        part.note_answer(number % 50 > 0, service, float(number), float(number))
    assert part.limit(service) == 10.0


def test_free_slots_are_taken_beyond_the_part_and_given_up_at_a_queue() -> None:
    part, service = RouterPart(), _service(10, 2, taken=20.0)
    assert not part.has_place(service, 0.0, 1.0)
    assert not part.may_take_slot(service, 0.0)
    part.note_slots(4.0, service)
    assert part.may_take_slot(service, 0.0)
    assert not part.may_take_slot(service, 2.0)
    for _ in range(10):
        part.note_slots(-3.0, service)
    assert not part.may_take_slot(service, 0.0)


def test_what_is_reserved_for_others_stays_free() -> None:
    part, service = RouterPart(), _service(5, 2, taken=20.0)
    assert part.has_place(service, 0.0, 1.0)
    assert not part.has_place(service, 5.0, 1.0)


def test_first_calls_that_end_do_not_make_an_endpoint_look_fast() -> None:
    times = WorkTimes()
    for _ in range(4):
        times.add("svc", "e1", 0.001, 0.1)
    assert times.of("svc", "e1", 0.1).mean_s > 0.05
    for _ in range(300):
        times.add("svc", "e1", 0.02, 0.1)
    assert 0.019 < times.of("svc", "e1", 0.1).mean_s < 0.025


def test_a_report_counts_the_calls_of_others_and_its_weight_decays() -> None:
    counts = EndpointCounts()
    counts.note_report("e1", ReportedLoad(6, 4, 6), 3, 0, 10.0)
    assert counts.others("e1", 1.0, 10.0) == 7.0
    assert counts.is_fresh("e1", 10.0)
    assert 1.0 < counts.others("e1", 1.0, 10.5) < 4.0
    assert not counts.is_fresh("e1", 10.5)
