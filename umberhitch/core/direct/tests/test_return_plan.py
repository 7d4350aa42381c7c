"""Times to come back: as many as there is room for, by priority and time waited, without a wave."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberhitch.core.direct import Appointment, ReturnBook, ReturnPlan, RoomForecast
from umberhitch.testing import make_claim

FORECAST = RoomForecast(0.0, 100.0, 10)


def named(plan: ReturnPlan, count: int, latest_s: float = 2.0, **claim: object) -> list[float]:
    return [
        plan.retry_at_s(make_claim(**claim), FORECAST, 0.0, 0.1, latest_s)  # type: ignore[arg-type]
        for _ in range(count)
    ]


def most_within(times: list[float], span_s: float) -> int:
    return max(sum(start <= each < start + span_s for each in times) for start in times)


def test_returns_come_at_the_rate_of_room() -> None:
    times = named(ReturnPlan(), 150)
    assert most_within(times, 0.1) <= 16  # 10 in 0.1 s, and a span more
    assert max(times) == pytest.approx(1.65, abs=0.1)


def test_returns_leave_room_for_new_arrivals() -> None:
    plan = ReturnPlan()
    for number in range(600):
        plan.note_arrival(-6.0 + number * 0.02)  # 50 a second
    times = [plan.retry_at_s(make_claim(), FORECAST, 6.0, 6.1, 8.0) for _ in range(75)]
    assert max(times) == pytest.approx(7.6, abs=0.15)


def test_callers_without_room_are_spread_over_the_later_half_of_what_they_honor() -> None:
    plan = ReturnPlan()
    named(plan, 500)
    times = named(plan, 500)
    assert min(times) >= 1.05
    assert max(times) <= 2.0
    counts = Counter(int(each / 0.1) for each in times)
    assert max(counts.values()) <= 1.2 * 500 / 9.5
    assert plan.unplanned >= 500


def test_an_urgent_caller_comes_back_before_those_booked_before_it() -> None:
    plan = ReturnPlan()
    low = named(plan, 100, priority=2)
    urgent = named(plan, 10, priority=0)
    assert max(urgent) < sorted(low)[25]


def test_who_has_waited_longer_comes_back_sooner() -> None:
    plan = ReturnPlan()
    times = named(plan, 100, arrived_s=-1.0)
    claim = replace(make_claim(arrived_s=-1.0), waited_s=3.0)
    again = plan.retry_at_s(claim, FORECAST, 0.0, 0.1, 2.0)
    assert again < sorted(times)[10]


def test_a_customer_who_fills_all_spans_does_not_keep_another_from_coming_back() -> None:
    plan = ReturnPlan()
    named(plan, 1000, customer="eager")
    assert named(plan, 1, customer="calm")[0] < 0.3


def test_the_times_of_many_routers_interleave() -> None:
    times = [each for router in range(10) for each in named(ReturnPlan(router / 10), 15)]
    assert most_within(times, 0.1) <= 3 * len(times) * 0.1 / 0.2


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 0.05),
            st.integers(0, 2),
            st.sampled_from(["a", "b"]),
            st.floats(0.0, 4.0),
            st.floats(0.0, 500.0),
            st.booleans(),
        ),
        max_size=150,
    )
)
def test_no_time_is_beyond_what_callers_honor(
    steps: list[tuple[float, int, str, float, float, bool]],
) -> None:
    plan, now_s = ReturnPlan(0.3), 100.0
    for passed_s, priority, customer, patience_s, rate, is_new in steps:
        now_s += passed_s
        if is_new:
            plan.note_arrival(now_s)
        claim = make_claim(customer, priority, arrived_s=now_s - 0.1)
        earliest_s, latest_s = now_s + 0.1, now_s + 0.1 + patience_s
        forecast = RoomForecast(0.0, rate, 0)
        at_s = plan.retry_at_s(claim, forecast, now_s, earliest_s, latest_s)
        assert earliest_s <= at_s <= latest_s + 1e-9


def test_a_caller_is_recognized_once_and_only_at_its_time() -> None:
    book = ReturnBook()
    book.add("key", Appointment(1.0, 0.2), 0.3)
    assert book.take("key", 0.9) is None
    assert book.take("other", 1.0) is None
    assert book.take("key", 1.05) == Appointment(1.0, 0.2)
    assert book.take("key", 1.05) is None


def test_equal_requests_take_the_oldest_appointment_that_is_due() -> None:
    book = ReturnBook()
    for at_s, first_s in ((1.0, 0.5), (1.1, 0.1), (5.0, 0.0)):
        book.add("key", Appointment(at_s, first_s), 0.6)
    assert [book.take("key", 1.2) for _ in range(3)] == [
        Appointment(1.1, 0.1),
        Appointment(1.0, 0.5),
        None,
    ]


def test_old_appointments_and_too_many_are_forgotten() -> None:
    book = ReturnBook()
    for number in range(20_000):
        book.add(f"{number}", Appointment(1.0, 0.0), 0.0)
    assert len(book) <= 10_000
    book.add("last", Appointment(11.0, 10.0), 10.0)
    assert len(book) == 1


def test_a_deadline_that_is_far_off_costs_no_more():
    """All spans until then were looked at, one by one."""
    plan = ReturnPlan()
    at_s = plan.retry_at_s(make_claim(), RoomForecast(0.0, 0.0, 0), 0.0, 0.1, 1e9)
    assert 0.1 <= at_s <= 1e9
    assert plan.unplanned == 1
