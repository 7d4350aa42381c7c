"""Fixtures and profiles that every test shares."""

from collections.abc import Iterator
from dataclasses import dataclass
from threading import Event, Thread
from typing import Any

import hypothesis
import pytest
from twisted.internet import reactor as global_reactor

from umberhitch.adapters.steady import make_steady
from umberhitch.embedded import EmbeddedDeployment, EndpointSpec, start_deployment
from umberhitch.testing import World, WorldSettings, make_change, make_document

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.register_profile("long", deadline=None, database=None, max_examples=100_000)
hypothesis.settings.load_profile("ci")


START_TIMEOUT_S = 30.0


@dataclass
class Served:
    """A deployment on loopback that runs in a thread of its own."""

    callers: str
    operators: str
    deployment: EmbeddedDeployment


def _serve(reactor: Any, ready: Event, found: dict[str, Any]) -> None:
    """Run the one reactor of this process; treq sends bodies by the global one."""
    make_steady(reactor)
    deployment = start_deployment(reactor)
    deployment.publish(make_document())
    node = deployment.add_router("r1", "a")
    deployment.add_endpoint(EndpointSpec("e1", "a", "m@1"))
    deployment.add_endpoint(EndpointSpec("s1", "a", "svc", is_service=True))

    def check() -> None:
        fleet = node.router.fleet
        if fleet.has_endpoint("m@1") and fleet.has_endpoint("svc") and node.router.is_ready:
            found["served"] = Served(node.callers_address, node.operators_address, deployment)
            ready.set()
        else:
            reactor.callLater(0.05, check)

    reactor.callWhenRunning(check)
    reactor.addSystemEventTrigger("before", "shutdown", deployment.stop)
    reactor.run(installSignalHandlers=False)


@pytest.fixture(scope="session")
def served() -> Iterator[Served]:
    """One router, one engine and one service, over real sockets on loopback."""
    reactor: Any = global_reactor
    ready: Event = Event()
    found: dict[str, Any] = {}
    thread = Thread(target=_serve, args=(reactor, ready, found), daemon=True)
    thread.start()
    assert ready.wait(START_TIMEOUT_S)
    yield found["served"]
    reactor.callFromThread(reactor.stop)
    thread.join(START_TIMEOUT_S)


@pytest.fixture
def world() -> World:
    """A started world with two routers and three endpoints of ``m@1``."""
    made = World(WorldSettings(endpoints={"e1": "m@1", "e2": "m@1", "e3": "m@1"}))
    made.publish(make_change())
    made.start()
    return made
