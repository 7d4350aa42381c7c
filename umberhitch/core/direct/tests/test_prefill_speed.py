"""Prefill speed of a model, estimated despite unknown queues and unknown cached prefixes.

Guards against wrong estimates where several routers share few engines and each knows only a part of
the queues and of the prefix caches. The figures are those of an engine that prefills 126 tokens in
a ms with its smallest model (7.9 us per token) and starts an answer 25 ms after that.
"""

from random import Random

import pytest

from umberhitch.core.direct._prefill_speed import PrefillSpeed

TOKEN_S = 7.9e-6
ASSUMED_S = 5e-6


def learn(hidden_queue: float, hidden_cache: float, samples: int = 60) -> float:
    rng, speed = Random(5), PrefillSpeed()
    for _ in range(samples):
        tokens = int(rng.lognormvariate(8.0, 1.0))
        uncached = tokens * (0.2 if rng.random() < hidden_cache else 1.0)
        queue_s = rng.expovariate(2.0) if rng.random() < hidden_queue else 0.0
        speed.add_sample("m", tokens, 0.025 + queue_s + uncached * TOKEN_S, 0.0, ASSUMED_S)
    found = speed.token_s("m")
    assert found is not None
    return found


def test_the_overhead_of_the_first_event_does_not_count_as_prefill():
    assert learn(0.0, 0.0) == pytest.approx(TOKEN_S, rel=0.3)


@pytest.mark.parametrize(("hidden_queue", "hidden_cache"), [(0.3, 0.0), (0.0, 0.3), (0.25, 0.25)])
def test_unknown_load_of_other_routers_does_not_bias_the_estimate(hidden_queue, hidden_cache):
    assert learn(hidden_queue, hidden_cache) == pytest.approx(TOKEN_S, rel=0.6)


def test_one_sample_behind_a_long_queue_does_not_make_a_model_slow():
    speed = PrefillSpeed()
    speed.add_sample("m", 700, 1.0, 0.0, ASSUMED_S)
    assert speed.token_s("m") == ASSUMED_S


def test_short_prompts_are_ignored():
    speed = PrefillSpeed()
    speed.add_sample("m", 100, 0.5, 0.0, ASSUMED_S)
    assert speed.token_s("m") is None
