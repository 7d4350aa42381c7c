"""``python -m umberhitch.testing.fuzz --minutes N``: the state machine with random seeds."""

import logging
from time import monotonic
from typing import Any

import hypothesis
from absl import app as absl_app
from absl import flags
from hypothesis.stateful import run_state_machine_as_test

from umberhitch.testing.fuzz._machine import DeploymentMachine

SECONDS_PER_MINUTE = 60.0
ROUND_EXAMPLES = 200
PHASES = (hypothesis.Phase.generate, hypothesis.Phase.shrink)

_MINUTES = flags.DEFINE_float("minutes", 5.0, "how long to go on", lower_bound=0.0)
_STEPS = flags.DEFINE_integer("steps", 30, "steps of one run", lower_bound=1)
_SHRINK = flags.DEFINE_boolean("shrink", True, "shorten what breaks a promise; takes minutes")


def main(argv: list[str]) -> None:
    """Run rounds of examples until time is up; a violation ends the program."""
    logging.disable(logging.CRITICAL)
    end_s = monotonic() + _MINUTES.value * SECONDS_PER_MINUTE
    rounds = 0
    while True:
        settings: Any = hypothesis.settings(
            max_examples=ROUND_EXAMPLES,
            stateful_step_count=_STEPS.value,
            deadline=None,
            database=None,
            phases=PHASES if _SHRINK.value else PHASES[:1],
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        run_state_machine_as_test(DeploymentMachine, settings=settings)
        rounds += 1
        print(f"{rounds * ROUND_EXAMPLES} runs, no violation", flush=True)
        if monotonic() >= end_s:
            return


if __name__ == "__main__":
    absl_app.run(main)
