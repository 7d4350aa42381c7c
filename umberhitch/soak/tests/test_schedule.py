"""The same seed gives the same schedule."""

from umberhitch.soak import SoakConfig, make_schedule
from umberhitch.soak._schedule import Fault


def test_a_seed_gives_one_schedule():
    assert make_schedule(7, SoakConfig()) == make_schedule(7, SoakConfig())
    assert make_schedule(7, SoakConfig()) != make_schedule(8, SoakConfig())


def test_every_fault_comes_and_ends_within_the_run():
    cfg = SoakConfig()
    steps = [step for seed in range(100) for step in make_schedule(seed, cfg)]
    assert {step.fault for step in steps} == set(Fault)
    assert all(step.at_s + step.for_s <= cfg.length_s + 0.01 for step in steps)
