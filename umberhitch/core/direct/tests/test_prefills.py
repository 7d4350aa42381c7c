"""What is read beside a stream says how fast its events may come.

Answers the pattern of a slow version under full load: on the old version's engines half of all
streams run beside a reading, which makes their gaps 2 to 40 times longer, so that an old version
looked slow itself (a fifth to two fifths of its answers) and a new one, 4 to 8 times slower and
nearly idle, no slower than that. Gaps are those of an engine that makes an event of 3 tokens in
6 ms, and between two of them reads 1,024 tokens in 8 ms with the smallest model and in 81 ms with
the largest.
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


def make_ask(tokens: int) -> CallerRequest:
    parts = (PromptPart("own", tokens),)
    return CallerRequest("a", b"POST", b"/", "h", "/", [], None, 10.0, True, parts, 100)


def count_slow(slowness: float, is_conditioned: bool) -> tuple[int, int, int, int]:
    """Return slow and judged answers of a new version and of the old one."""
    rng, paces = Random(3), TokenLatencies()
    slow = {True: 0, False: 0}
    judged = {True: 0, False: 0}
    for number in range(600):
        is_new = number > 100 and rng.random() < 0.07
        weights = (6, 3, 1) if is_new else (3, 4, 3)
        rank = rng.choices(list(GAP_S), weights)[0]
        pace_s = GAP_S[rank] * rng.lognormvariate(0.0, 0.2) * (slowness if is_new else 1.0)
        what = f"small {rank}" if is_conditioned else "small"
        verdict = paces.is_slow("svc", what, pace_s)
        if not is_new:
            paces.learn("svc", what, pace_s)
        if verdict is not None:
            judged[is_new] += 1
            slow[is_new] += verdict
    return slow[True], judged[True], slow[False], judged[False]


@pytest.mark.parametrize("slowness", [4.0, 8.0])
def test_a_slow_version_is_told_by_what_is_read_beside_it(slowness):
    bar = EvidenceThreshold(min_count=4, rate=0.3, max_assumed_rate=0.1, deviations=6.0)
    assert bar.is_exceeded(*count_slow(slowness, True), 3)
    assert not bar.is_exceeded(*count_slow(slowness, False), 3)


def test_a_good_version_is_not_slow_for_what_is_read_beside_it():
    new, new_of, old, old_of = count_slow(1.0, True)
    assert new <= 0.05 * new_of
    assert old <= 0.05 * old_of


def test_a_reading_counts_while_it_lasts_and_for_what_ran_beside_it():
    placement = Placement("a")
    reading = placement.place(ENDPOINT, make_ask(50_000), "large", MODELS, None, 0.0)
    short = placement.place(ENDPOINT, make_ask(100), "small", MODELS, None, 0.0)
    assert placement.largest_prefill_rank("e0", 0.5) == 2
    placement.note_reply_started(reading, 1.0)
    assert placement.largest_prefill_rank("e0", 0.5) == 2
    assert placement.largest_prefill_rank("e0", 1.0) == NO_PREFILL
    placement.release(reading, None)
    placement.release(short, None)
    assert placement.own_load() == {}


def test_what_peers_read_counts_until_it_was_heard_last():
    placement = Placement("a")
    placement.update_peer_load("e0", 3, 0.5, 1, 2.0)
    placement.update_peer_load("e0", 3, 0.0, NO_PREFILL, 2.25)
    assert placement.largest_prefill_rank("e0", 1.9) == 1
    assert placement.largest_prefill_rank("e0", 2.1) == NO_PREFILL
    assert placement.largest_prefill_rank("never seen", 0.0) == NO_PREFILL


def test_a_reading_that_is_dropped_is_under_way_no_more():
    readings = ActivePrefills()
    readings.start(2, 1.0)
    readings.start(0, 1.0)
    readings.start(1, 0.001)
    assert readings.largest_active() == 2
    readings.finish(2, 1.0)
    assert readings.largest_active() == 0
