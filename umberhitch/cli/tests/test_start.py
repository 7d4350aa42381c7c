"""A router's start loads only what a router needs: callers wait for it after each restart.

The loss of all routers at once breaks every stream; what is back within the longest good pause of a
stream is still on time. On a small host a start took 1.4 s, of which a quarter went into modules
that a router never uses and into passes of the garbage collector that found nothing.
"""

import subprocess
import sys

LOAD = """
import sys
from umberhitch.cli import early
from umberhitch.cli._gateway_process import put_off_imports
from umberhitch.cli._lean import keep_out_tls
from umberhitch.gateway_settings import load_gateway_file
put_off_imports()
keep_out_tls()  # the hosts of routers have no such library
import umberhitch.adapters.logs, umberhitch.adapters.steady, umberhitch.adapters.zmq_link
import umberhitch.gateway_node
from twisted.internet import reactor
print(*sys.modules)
"""
NEVER_USED = (
    "absl",
    "email.parser",
    "http.client",
    "pydantic",
    "umberhitch.adapters.burn_page",
    "umberhitch.ports.engine",
    "umberhitch.settings",
    "urllib.request",
    "xml",
)


def test_a_start_loads_nothing_that_a_router_never_uses():
    found = subprocess.run(
        [sys.executable, "-c", LOAD], stdout=subprocess.PIPE, check=True, text=True
    )
    loaded = set(found.stdout.split())
    assert "umberhitch.gateway_node" in loaded
    assert loaded.isdisjoint(NEVER_USED)


def test_what_was_put_off_is_there_when_it_is_used():
    code = (
        "from umberhitch.cli._lean import put_off_imports; put_off_imports();"
        "from http import cookiejar; import http.cookiejar;"
        "print(cookiejar.CookieJar is http.cookiejar.CookieJar)"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, check=True, text=True
    )
    assert found.stdout.strip() == "True"
