"""Burn rates and alert severity."""

from umberhitch.core.burn import BurnCounter, Severity, burn_rows

OBJECTIVES = {"lookup": (0.99, 1.0)}
NOW_S = 600_000.0


def fill(counter: BurnCounter, minutes: int, bad_of_100: int) -> None:
    for minute in range(minutes):
        at_s = NOW_S - 60.0 * (minutes - 1 - minute)
        for index in range(100):
            counter.count(at_s, "acme", "lookup", index >= bad_of_100, 0.1 + index / 1000)


def test_burn_rate_is_one_if_the_budget_is_spent_exactly_as_allowed() -> None:
    counter = BurnCounter()
    fill(counter, 60, 1)
    (row,) = burn_rows(counter.slices(), OBJECTIVES, NOW_S)
    assert row.rates[300] == row.rates[3600] == 1.0
    assert (row.requests, row.bad) == (6000, 60)
    assert row.severity is Severity.TICKET


def test_a_fast_burn_pages_only_while_both_windows_exceed_the_rate() -> None:
    counter = BurnCounter()
    fill(counter, 60, 20)
    assert burn_rows(counter.slices(), OBJECTIVES, NOW_S)[0].severity is Severity.PAGE
    after_360_s = burn_rows(counter.slices(), OBJECTIVES, NOW_S + 360.0)[0]
    assert after_360_s.rates[300] == 0.0
    assert after_360_s.severity is Severity.PAGE  # from the windows of 6 h and 30 min
    after_1900_s = burn_rows(counter.slices(), OBJECTIVES, NOW_S + 1900.0)[0]
    assert after_1900_s.rates[1800] == 0.0
    assert after_1900_s.severity is Severity.TICKET


def test_slices_of_several_routers_merge_exactly() -> None:
    one, other, combined = BurnCounter(), BurnCounter(), BurnCounter()
    for index in range(1000):
        counter = one if index % 3 else other
        for target in (counter, combined):
            target.count(NOW_S, "acme", "lookup", index % 10 > 0, index / 100)
    merged = burn_rows([*one.slices(), *other.slices()], OBJECTIVES, NOW_S)
    assert merged == burn_rows(combined.slices(), OBJECTIVES, NOW_S)


def test_a_class_without_an_objective_has_no_row() -> None:
    counter = BurnCounter()
    counter.count(NOW_S, "acme", "letter", True, 0.5)
    assert burn_rows(counter.slices(), OBJECTIVES, NOW_S) == []
