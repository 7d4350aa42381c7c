"""What runs beside the routers goes by the steady clock too: a jump of the time of day ends none of
its calls and timers.
"""

import subprocess
import sys

import pytest

from umberhitch.adapters.steady import steady_s
from umberhitch.conftest import Served

LIMIT_S = 30.0
STANDINS = ("log", "hosts", "engine", "ratings", "service")
PROGRAMS = (*(f"umberhitch.standins.{name}" for name in STANDINS), "umberhitch.demo")
CODE = """
import runpy, sys, time
from twisted.internet import reactor
steady_s = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)

def run(**kwargs):
    print(steady_s() <= reactor.seconds() <= steady_s())
    sys.exit(0)

reactor.run = run
sys.argv = [sys.argv[1]]
runpy.run_module(sys.argv[0], run_name="__main__")
"""


def test_the_deployment_of_the_tests_goes_by_the_steady_clock(served: Served) -> None:
    """A jump of 46 s ended a request at its deadline: a test got 504 for 200."""
    before_s = steady_s()
    assert before_s <= served.deployment.reactor.seconds() <= steady_s()


@pytest.mark.parametrize("program", PROGRAMS)
def test_every_program_beside_the_routers_goes_by_the_steady_clock(program: str) -> None:
    command = [sys.executable, "-c", CODE, program]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
    assert done.stdout.splitlines()[-1:] == ["True"], done.stderr
