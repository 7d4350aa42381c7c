"""The pace at which a model reads: right in spite of hidden queues and hidden caches.

Answers the pattern of several routers before few engines: each sees a part of the queues and of
what is cached. The figures are those of an engine that reads 126 tokens in a ms with its smallest
model (7.9 us a token) and begins an answer 25 ms after that.
"""

from random import Random

import pytest

from umberhitch.core.direct._prefill_speed import PrefillSpeed

TOKEN_S = 7.9e-6
ASSUMED_S = 5e-6


def learn(hidden_queue: float, hidden_cache: float, samples: int = 60) -> float:
    rng, pace = Random(5), PrefillSpeed()
    for _ in range(samples):
        tokens = int(rng.lognormvariate(8.0, 1.0))
        read = tokens * (0.2 if rng.random() < hidden_cache else 1.0)
        queue_s = rng.expovariate(2.0) if rng.random() < hidden_queue else 0.0
        pace.add_sample("m", tokens, 0.025 + queue_s + read * TOKEN_S, 0.0, ASSUMED_S)
    found = pace.token_s("m")
    assert found is not None
    return found


def test_the_first_events_own_time_is_not_taken_for_reading():
    assert learn(0.0, 0.0) == pytest.approx(TOKEN_S, rel=0.3)


@pytest.mark.parametrize(("hidden_queue", "hidden_cache"), [(0.3, 0.0), (0.0, 0.3), (0.25, 0.25)])
def test_what_other_routers_hide_does_not_carry_the_pace_away(hidden_queue, hidden_cache):
    assert learn(hidden_queue, hidden_cache) == pytest.approx(TOKEN_S, rel=0.6)


def test_one_sample_behind_a_long_queue_does_not_make_a_model_slow():
    pace = PrefillSpeed()
    pace.add_sample("m", 700, 1.0, 0.0, ASSUMED_S)
    assert pace.token_s("m") == ASSUMED_S


def test_short_prompts_say_nothing():
    pace = PrefillSpeed()
    pace.add_sample("m", 100, 0.5, 0.0, ASSUMED_S)
    assert pace.token_s("m") is None
