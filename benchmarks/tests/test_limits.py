"""The way that is taken to share a rate keeps it, and uses it, at all sizes that are measured."""

from random import Random

import pytest

from benchmarks.limits import DELAYS_S, RATES, SIZES, WAYS, _play, _row


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("routers", SIZES)
def test_a_few_routers_by_hash_keep_a_rate_and_use_most_of_it(routers, rate, delay_s):
    may_send = WAYS["few by hash (taken)"](routers, rate, Random(3))
    row = _row("", routers, rate, delay_s, _play(may_send, routers, rate, delay_s))
    assert row["worst_in_4_s"] <= row["bound"]
    assert row["used"] >= 0.8
