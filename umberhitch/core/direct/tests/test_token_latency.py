"""Inter-token latency of streams, and detection of slow ones."""

from umberhitch.core.direct import InterTokenLatency, TokenLatencies

GAP_S = 0.02


def _inter_token_s(gaps: list[float], is_end: bool = False) -> float | None:
    latency, now_s = InterTokenLatency(), 0.0
    latency.record_events(1, now_s)
    for count, gap_s in enumerate(gaps, start=2):
        now_s += gap_s
        latency.record_events(count, now_s)
    return latency.inter_token_s(is_end)


def test_prefills_of_other_requests_make_no_stream_slow():
    """By the mean gap, one good answer in 20 counted as slow and a good version was rolled back."""
    found = _inter_token_s([GAP_S] * 3 + [12 * GAP_S] * 2 + [GAP_S] * 3)
    assert found is not None
    assert abs(found - GAP_S) < GAP_S / 100


def test_a_short_stream_is_judged_at_its_end_and_a_very_short_one_never():
    assert _inter_token_s([GAP_S] * 3) is None
    assert _inter_token_s([GAP_S] * 3, is_end=True) is not None
    assert _inter_token_s([GAP_S], is_end=True) is None


def test_events_that_are_received_together_share_their_gap():
    latency = InterTokenLatency()
    latency.record_events(1, 0.0)
    latency.record_events(5, 4 * GAP_S)
    latency.record_events(9, 8 * GAP_S)
    found = latency.inter_token_s(False)
    assert found is not None
    assert abs(found - GAP_S) < GAP_S / 100


def test_a_slow_version_is_detected_despite_a_few_very_slow_answers():
    latencies = TokenLatencies()
    for number in range(200):
        latencies.learn("svc", "m", GAP_S if number % 10 else 15 * GAP_S)
    assert latencies.is_slow("svc", "m", 3 * GAP_S) is True
    assert latencies.is_slow("svc", "m", GAP_S) is False
    assert latencies.is_slow("svc", "other", GAP_S) is None


def test_an_endpoint_that_has_just_received_the_full_load_may_be_slower():
    """Guards against the rollback of a good version right after all traffic moves to it.

    6 of the first 18 answers after the switch took over twice the usual time.
    """
    latencies = TokenLatencies()
    for _ in range(50):
        latencies.learn("svc", "m", GAP_S)
    assert latencies.is_slow("svc", "m", 3 * GAP_S) is True
    assert latencies.is_slow("svc", "m", 3 * GAP_S, is_loaded=True) is False
    assert latencies.is_slow("svc", "m", 6 * GAP_S, is_loaded=True) is True
