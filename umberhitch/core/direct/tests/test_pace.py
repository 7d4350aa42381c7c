"""What a reported pace is still worth as it ages, and how work is priced by it."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import (
    AnswerValueLimits,
    CallerRequest,
    Candidate,
    Endpoint,
    EngineCall,
    EnginePrice,
    Placement,
    PromptPart,
    ReportedLoad,
    RouteKind,
    make_answer_value,
)
from umberhitch.core.direct._pace import AgingFigure, Persistence
from umberhitch.testing import make_endpoint_entry, make_route

ENDPOINTS = [Endpoint(make_endpoint_entry(f"e{number}")) for number in range(3)]
ROUTE = make_route("draft", RouteKind.STREAM, models=("m",), objective_s=3.0)


def _idle(pace: float | None = None) -> ReportedLoad:
    return ReportedLoad(0, 0, 8, pace)


def _plain() -> CallerRequest:
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0)


def _prompt() -> CallerRequest:
    parts = (PromptPart("own", 8000),)
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)


def _call(
    placement: Placement, endpoint: Endpoint, load: ReportedLoad, at_s: float, taken_s: float
) -> None:
    """Let an endpoint answer a plain call, and report."""
    placed = placement.place(endpoint, _plain(), "", (), None, at_s)
    placement.update_reported_load(endpoint.lifetime, load, at_s + taken_s)
    placement.note_reply_started(placed, at_s + taken_s)
    placement.release(placed, False)


def _reports(span_s: float, every_s: float, seed: int = 1) -> tuple[AgingFigure, list[float]]:
    """Return a figure whose value is new in each span, and what it was told."""
    rng, persistence = Random(seed), Persistence()
    figure, told, value = AgingFigure(persistence, 1.0, 1.0, 0.0), [], 1.0
    for number in range(1, 4000):
        at_s = number * every_s
        if int(at_s / span_s) != int((at_s - every_s) / span_s):
            value = rng.choice((1.0, 2.5))
        figure.update(value, at_s)
        told.append(value)
    return figure, told


def test_a_word_outlives_its_age_where_paces_last_and_not_where_they_change():
    lasting, _ = _reports(span_s=10.0, every_s=0.1)
    brief, _ = _reports(span_s=0.1, every_s=0.1)
    assert lasting._persistence.remaining(0.1) > 0.9
    assert brief._persistence.remaining(0.1) < 0.1


def test_a_pace_that_is_old_is_the_mean_of_those_before():
    figure, told = _reports(span_s=0.1, every_s=0.1)
    end_s = figure.reported_s
    assert figure.expected(end_s) == pytest.approx(figure.value, abs=0.2)
    assert figure.expected(end_s + 5.0) == pytest.approx(sum(told[-30:]) / 30, abs=0.15)


def test_the_mean_is_one_over_time_since_fast_endpoints_report_more_often():
    figure = AgingFigure(Persistence(), 1.0, 1.0, 0.0)
    at_s = 0.0
    for _ in range(10):
        for _ in range(50):
            at_s += 0.01
            figure.update(1.0, at_s)
        at_s += 0.5
        figure.update(3.0, at_s)
    assert 1.2 < figure.expected(at_s + 60.0) < 2.2


@given(
    st.lists(
        st.tuples(st.floats(0.0, 20.0), st.floats(0.01, 100.0)),
        max_size=30,
    ),
    st.floats(0.0, 1000.0),
)
def test_an_expected_pace_lies_between_those_reported(reports, later_s):
    figure = AgingFigure(Persistence(), 1.0, 1.0, 0.0)
    seen, at_s = [1.0], 0.0
    for gap_s, value in reports:
        at_s += gap_s
        figure.update(value, at_s)
        seen.append(value)
    assert min(seen) - 1e-6 <= figure.expected(at_s + later_s) <= max(seen) + 1e-6


def test_a_plain_call_goes_where_work_takes_less_time():
    placement = Placement("a")
    _call(placement, ENDPOINTS[0], _idle(2.5), 0.0, 0.05)
    _call(placement, ENDPOINTS[1], _idle(1.0), 0.0, 0.02)
    chosen = placement.choose_plain(ENDPOINTS[:2], 0.06)
    assert chosen.endpoint is ENDPOINTS[1]
    assert (chosen.pace, chosen.pace_age_s) == (1.0, pytest.approx(0.04))


def test_the_expected_time_grows_with_the_pace_and_with_the_queue():
    placement = Placement("a")
    for at_s in range(20):
        _call(placement, ENDPOINTS[0], _idle(1.0), at_s * 0.1, 0.02)
    usual_s = placement.choose_plain(ENDPOINTS[:1], 2.0).wait_s
    assert usual_s == pytest.approx(0.02, rel=0.1)
    placement.update_reported_load("e0", _idle(2.5), 2.0)
    assert placement.choose_plain(ENDPOINTS[:1], 2.0).wait_s == pytest.approx(2.5 * usual_s)
    placement.update_reported_load("e0", ReportedLoad(8, 16, 8, 2.5), 2.0)
    crowded_s = placement.choose_plain(ENDPOINTS[:1], 2.0).wait_s
    # A queue that has just appeared is expected to last, but not with certainty.
    assert 2.5 * usual_s * 2.5 < crowded_s <= 2.5 * usual_s * (1 + 17 / 8)


def test_a_reported_pace_is_not_counted_again_as_slowness():
    placement = Placement("a")
    for number in range(60):
        at_s = number * 0.1
        _call(placement, ENDPOINTS[0], _idle(2.5), at_s, 0.05)
        _call(placement, ENDPOINTS[1], _idle(1.0), at_s, 0.02)
    slow, fast = (placement.choose_plain([each], 6.0).wait_s for each in ENDPOINTS[:2])
    assert slow / fast == pytest.approx(2.5, rel=0.1)


def test_a_host_that_reports_no_pace_is_known_to_be_slow_by_its_calls():
    placement = Placement("a")
    for number in range(60):
        at_s = number * 0.1
        _call(placement, ENDPOINTS[0], _idle(), at_s, 0.05)
        _call(placement, ENDPOINTS[1], _idle(), at_s, 0.02)
    slow, fast = (placement.choose_plain([each], 6.0).wait_s for each in ENDPOINTS[:2])
    assert slow / fast == pytest.approx(2.5, rel=0.1)


def test_a_host_that_was_slow_is_called_again_though_it_is_not_heard_of():
    placement = Placement("a")
    for number in range(30):
        _call(placement, ENDPOINTS[0], _idle(8.0), number * 0.1, 0.16)
        _call(placement, ENDPOINTS[1], _idle(1.0), number * 0.1, 0.02)
    running = [placement.place(ENDPOINTS[1], _plain(), "", (), None, 3.0) for _ in range(8)]
    assert placement.choose_plain(ENDPOINTS[:2], 3.0).endpoint is ENDPOINTS[1]
    assert placement.choose_plain(ENDPOINTS[:2], 60.0).endpoint is ENDPOINTS[0]
    assert len(running) == 8


def test_an_unknown_figure_does_not_make_an_endpoint_look_idle():
    placement = Placement("a")
    for endpoint in ENDPOINTS[:2]:
        _call(placement, endpoint, ReportedLoad(2, 0, 8), 0.0, 0.02)
    placement.update_reported_load("e0", ReportedLoad(8, 40, 8), 0.1)
    for partial in (ReportedLoad(8, None, 8), ReportedLoad(None, 0, 8), _unknown()):
        placement.update_reported_load("e0", partial, 0.1)
        assert placement.choose_plain(ENDPOINTS[:2], 0.1).endpoint is ENDPOINTS[1]
    placement.update_reported_load("e1", ReportedLoad(8, 16, None), 0.1)
    assert placement.choose_plain(ENDPOINTS[1:2], 0.1).wait_s > 0.04


def _unknown() -> ReportedLoad:
    return ReportedLoad(None, None, 8, 1.0)


def test_a_new_lifetime_inherits_no_pace():
    placement = Placement("a")
    _call(placement, ENDPOINTS[0], ReportedLoad(8, 40, 8, 4.0), 0.0, 0.08)
    assert placement.reported_paces(0.1) == {"e0": pytest.approx(4.0, rel=0.1)}
    again = Endpoint(make_endpoint_entry("e0", born=2))
    placement.retain([again.lifetime])
    assert placement.reported_paces(0.1) == {}
    candidate = placement.choose_plain([again], 0.1)
    assert (candidate.pace, candidate.wait_s) == (None, pytest.approx(0.03, rel=0.5))


def test_services_without_reported_loads_are_chosen_as_before():
    placement = Placement("a")
    placement.place(ENDPOINTS[0], _plain(), "", (), None, 0.0)
    chosen = placement.choose_plain(ENDPOINTS[:1], 0.0)
    assert chosen == Candidate(ENDPOINTS[0], placement.limits.plain_call_s / 8)


def _engine_wait_s(placement: Placement, now_s: float) -> float:
    call = EngineCall(
        _prompt(),
        "m",
        ("m",),
        make_answer_value(ROUTE, _prompt(), AnswerValueLimits()),
        EnginePrice(1.0, 2.0, 1.0, 0.3),
    )
    return placement.choose_engine(ENDPOINTS[:1], call, now_s).wait_s


def test_an_engines_prefill_and_queue_take_longer_by_its_pace():
    placement = Placement("a")
    placed = [placement.place(ENDPOINTS[0], _prompt(), "m", ("m",), None, 0.0) for _ in range(3)]
    usual_s = _engine_wait_s(placement, 0.0)
    placement.update_reported_load("e0", _idle(2.5), 0.0)
    assert _engine_wait_s(placement, 0.0) == pytest.approx(2.5 * usual_s)
    assert len(placed) == 3


def test_an_engines_reported_pace_is_not_counted_again_as_slowness():
    waits = []
    for pace, told in ((1.0, None), (2.5, 2.5)):
        placement = Placement("a")
        for number in range(40):
            at_s = float(number)
            placed = placement.place(ENDPOINTS[0], _prompt(), "m", ("m",), None, at_s)
            placement.update_reported_load("e0", _idle(told), at_s + 0.4 * pace)
            placement.note_reply_started(placed, at_s + 0.4 * pace)
            placement.release(placed, False)
        waits.append(_engine_wait_s(placement, 40.0))
    assert waits[1] / waits[0] == pytest.approx(2.5, rel=0.15)
