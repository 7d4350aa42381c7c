"""The stand-in platform goes by the steady clock, whatever the time of day does."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from msgspec import json

from umberhitch.platform.standins.client import call

COLD = {"seconds": 60.0, "rate": 2.0}
"""It bears 1.5 * 2 + 5 requests in a second."""
JUMP_S = 100.0
REQUESTS = 20
CODE = f"""
import signal, sys, time
real, ahead_s = time.time, [0.0]
time.time = lambda: real() + ahead_s[0]
from twisted.python import runtime
assert runtime.seconds is time.time
from umberhitch.platform.standins.__main__ import main
signal.signal(signal.SIGUSR1, lambda number, frame: ahead_s.__setitem__(0, {JUMP_S}))
main([])
"""


@contextmanager
def _jumping_platform() -> Iterator[tuple[subprocess.Popen, str]]:
    """Start a stand-in platform whose time of day jumps ahead at a signal."""
    process = subprocess.Popen([sys.executable, "-c", CODE], stdout=subprocess.PIPE)
    try:
        assert process.stdout is not None
        yield process, json.decode(process.stdout.readline())["control"]
    finally:
        process.kill()
        process.communicate()


def test_a_cold_endpoint_stays_cold_where_the_time_of_day_jumps_ahead() -> None:
    """It was warm at once: the soak saw 32 calls within a second at an endpoint still cold."""
    with _jumping_platform() as (process, control):
        body = json.encode({"service": "svc", "version": "v1", "zone": "a", "cold": COLD})
        address = json.decode(call(control, "POST", "/endpoints/e0", body).body)["address"]
        os.kill(process.pid, signal.SIGUSR1)
        for number in range(REQUESTS):
            call(address, "POST", "/look/x", b"body", {"Attempt-Id": f"q{number}"})
        assert json.decode(call(control, "GET", "/endpoints/e0/ended").body)
        assert len(json.decode(call(control, "GET", "/endpoints/e0/runs").body)) <= 8
