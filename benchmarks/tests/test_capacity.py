"""The page of capacities is what the slopes give."""

from msgspec import json

from benchmarks._fit import fit_line
from benchmarks.capacity import PAGE, SLOPES, SWEEP, make_page


def test_the_page_is_up_to_date() -> None:
    assert PAGE.read_text() == make_page(
        json.decode(SLOPES.read_bytes()), json.decode(SWEEP.read_bytes())
    )


def test_a_line_is_fitted_with_its_error() -> None:
    fit = fit_line([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
    assert (round(fit.base, 9), round(fit.slope, 9)) == (1.0, 2.0)
    assert fit.slope_error < 1e-9
    assert fit_line([(0.0, 1.0), (1.0, 3.5), (2.0, 5.0)]).slope_error > 0.1
