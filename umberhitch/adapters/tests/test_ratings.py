"""Ratings over HTTP, and a router that has its answers rated, over real sockets."""

import time
from http.client import HTTPConnection
from typing import Any

import pytest
from msgspec import json
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import blockingCallFromThread

from umberhitch.adapters.http_client import HttpClient
from umberhitch.adapters.http_ratings import HttpRatings
from umberhitch.conftest import Served

TRIES = 200


def rate(served: Served, target: str) -> float | None:
    reactor: Any = served.deployment.reactor
    ratings = HttpRatings(HttpClient(reactor), served.deployment.platform["ratings"])
    return blockingCallFromThread(
        reactor, lambda: ensureDeferred(ratings.rate(target, "default", "q", "a"))
    )


def test_an_answer_is_rated(served: Served) -> None:
    rating = rate(served, "m@1")
    assert rating is not None
    assert 0.0 <= rating <= 1.0


def test_a_service_that_is_down_is_an_os_error(served: Served) -> None:
    faults = served.deployment.ratings.ratings.faults
    faults.is_down = True
    with pytest.raises(OSError, match="503"):
        rate(served, "m@1")
    faults.is_down = False


def test_the_router_has_its_answers_rated(served: Served) -> None:
    router = served.deployment.routers["r1"].router
    host, _, port = served.callers.rpartition(":")
    body = json.encode({"model": "m@1", "messages": [{"role": "user", "content": "rated"}]})
    before = sum(router.evidence.judge.rating_counts.values())
    for _ in range(TRIES):
        conn = HTTPConnection(host, int(port), timeout=20)
        conn.request("POST", "/v1/chat/completions", body, {"Authorization": "Bearer key-acme"})
        assert conn.getresponse().status == 200
        conn.close()
        if sum(router.evidence.judge.rating_counts.values()) > before:
            return
        time.sleep(0.05)
    pytest.fail("no rating arrived")
