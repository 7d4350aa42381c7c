"""The pace of streams, and when it is slow."""

from umberhitch.core.direct import InterTokenLatency, TokenLatencies

GAP_S = 0.02


def _pace(gaps: list[float], is_end: bool = False) -> float | None:
    pace, now_s = InterTokenLatency(), 0.0
    pace.record_events(1, now_s)
    for count, gap_s in enumerate(gaps, start=2):
        now_s += gap_s
        pace.record_events(count, now_s)
    return pace.inter_token_s(is_end)


def test_the_prompts_of_others_make_no_stream_slow():
    """Mean gaps called one good answer in twenty slow (Cedarline, scale-1: a good version lost)."""
    found = _pace([GAP_S] * 3 + [12 * GAP_S] * 2 + [GAP_S] * 3)
    assert found is not None
    assert abs(found - GAP_S) < GAP_S / 100


def test_a_short_stream_is_judged_at_its_end_and_a_very_short_one_never():
    assert _pace([GAP_S] * 3) is None
    assert _pace([GAP_S] * 3, is_end=True) is not None
    assert _pace([GAP_S], is_end=True) is None


def test_events_that_come_together_share_their_gap():
    pace = InterTokenLatency()
    pace.record_events(1, 0.0)
    pace.record_events(5, 4 * GAP_S)
    pace.record_events(9, 8 * GAP_S)
    found = pace.inter_token_s(False)
    assert found is not None
    assert abs(found - GAP_S) < GAP_S / 100


def test_a_few_very_slow_answers_hide_no_slow_version():
    paces = TokenLatencies()
    for number in range(200):
        paces.learn("svc", "m", GAP_S if number % 10 else 15 * GAP_S)
    assert paces.is_slow("svc", "m", 3 * GAP_S) is True
    assert paces.is_slow("svc", "m", GAP_S) is False
    assert paces.is_slow("svc", "other", GAP_S) is None


def test_an_endpoint_that_has_just_got_the_whole_load_may_be_slower():
    """6 of the first 18 answers after the switch were over twice the usual, and a good version was
    turned back (Cedarline, quiet-1)."""
    paces = TokenLatencies()
    for _ in range(50):
        paces.learn("svc", "m", GAP_S)
    assert paces.is_slow("svc", "m", 3 * GAP_S) is True
    assert paces.is_slow("svc", "m", 3 * GAP_S, is_loaded=True) is False
    assert paces.is_slow("svc", "m", 6 * GAP_S, is_loaded=True) is True
