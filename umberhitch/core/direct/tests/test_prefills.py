"""Concurrent prefills determine the inter-token latency that is normal for a stream.

Guards against a slow version that goes undetected under full load. On the old version's engines
half of all streams run beside a prefill, which makes their gaps 2 to 40 times longer. The old
version therefore looked slow itself (a fifth to two fifths of its answers), and a new one that was
4 to 8 times slower and nearly idle looked no slower. The gaps are those of an engine that generates
an event of 3 tokens in 6 ms, and between two events prefills 1,024 tokens in 8 ms with the smallest
model and in 81 ms with the largest.
"""

from random import Random

import pytest

from umberhitch.core.direct import (
    NO_PREFILL,
    ActivePrefills,
    CallerRequest,
    Endpoint,
    EvidenceThreshold,
    Placement,
    PromptPart,
    TokenLatencies,
)
from umberhitch.testing import make_endpoint_entry

GAP_S = {NO_PREFILL: 0.006, 0: 0.03, 2: 0.25}
ENDPOINT = Endpoint(make_endpoint_entry("e0"))
MODELS = ("small", "middle", "large")


def make_request(tokens: int) -> CallerRequest:
    parts = (PromptPart("own", tokens),)
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)


def count_slow(slowness: float, is_conditioned: bool) -> tuple[int, int, float, int]:
    """Return slow and judged answers of a new version, rate and judged answers of the old one."""
    rng, latencies = Random(3), TokenLatencies()
    slow = {True: 0, False: 0}
    judged = {True: 0, False: 0}
    for number in range(600):
        is_new = number > 100 and rng.random() < 0.07
        weights = (6, 3, 1) if is_new else (3, 4, 3)
        rank = rng.choices(list(GAP_S), weights)[0]
        latency_s = GAP_S[rank] * rng.lognormvariate(0.0, 0.2) * (slowness if is_new else 1.0)
        series = f"small {rank}" if is_conditioned else "small"
        verdict = latencies.is_slow("svc", series, latency_s)
        if not is_new:
            latencies.learn("svc", series, latency_s)
        if verdict is not None:
            judged[is_new] += 1
            slow[is_new] += verdict
    return slow[True], judged[True], slow[False] / judged[False], judged[False]


@pytest.mark.parametrize("slowness", [4.0, 8.0])
def test_a_slow_version_is_detected_given_the_concurrent_prefills(slowness):
    threshold = EvidenceThreshold(min_count=4, rate=0.3, max_assumed_rate=0.1, deviations=6.0)
    assert threshold.is_exceeded(*count_slow(slowness, True), 3)
    assert not threshold.is_exceeded(*count_slow(slowness, False), 3)


def test_concurrent_prefills_do_not_make_a_good_version_slow():
    new, new_total, old, old_total = count_slow(1.0, True)
    assert new <= 0.05 * new_total
    assert old <= 0.05 * old_total


def test_a_prefill_counts_while_it_runs_and_for_streams_that_ran_beside_it():
    placement = Placement("a")
    long = placement.place(ENDPOINT, make_request(50_000), "large", MODELS, None, 0.0)
    short = placement.place(ENDPOINT, make_request(100), "small", MODELS, None, 0.0)
    assert placement.largest_prefill_rank("e0", 0.5) == 2
    placement.note_reply_started(long, 1.0)
    assert placement.largest_prefill_rank("e0", 0.5) == 2
    assert placement.largest_prefill_rank("e0", 1.0) == NO_PREFILL
    placement.release(long, None)
    placement.release(short, None)
    assert placement.own_load() == {}


def test_prefills_of_peers_count_until_they_were_last_reported():
    placement = Placement("a")
    placement.update_peer_load("e0", 3, 0.5, 1, 2.0)
    placement.update_peer_load("e0", 3, 0.0, NO_PREFILL, 2.25)
    assert placement.largest_prefill_rank("e0", 1.9) == 1
    assert placement.largest_prefill_rank("e0", 2.1) == NO_PREFILL
    assert placement.largest_prefill_rank("never seen", 0.0) == NO_PREFILL


def test_a_dropped_prefill_is_no_longer_active():
    prefills = ActivePrefills()
    prefills.start(2, 1.0)
    prefills.start(0, 1.0)
    prefills.start(1, 0.001)
    assert prefills.largest_active() == 2
    prefills.finish(2, 1.0)
    assert prefills.largest_active() == 0
