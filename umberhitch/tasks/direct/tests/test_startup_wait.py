"""Callers that connect while a router starts."""

from twisted.internet.task import Clock

from umberhitch.tasks.direct.startup_wait import MAX_STARTUP_WAIT_S, accept_when_loaded
from umberhitch.testing import DirectAsk, DirectWorld, make_direct_document

STEP_S = 0.01


def _steps(clock: Clock, seconds: float) -> None:
    clock.pump([STEP_S] * round(seconds / STEP_S))


def test_callers_that_connect_while_a_router_reads_the_store_are_served():
    """Without the wait, 43 callers were refused in the first 30 ms of a start."""
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.add_router()
    requests: list[DirectAsk] = []
    gateway = router.gateway
    accept_when_loaded(
        world.clock,
        lambda: gateway.view.is_loaded,
        lambda: requests.append(world.ask(router, "/look/x")),
    )
    world.run(MAX_STARTUP_WAIT_S / 4)
    assert not requests
    world.operator.put("config", make_direct_document())
    world.run(MAX_STARTUP_WAIT_S / 2)
    assert [each.status for each in requests] == [200]


def test_connections_are_accepted_after_the_maximum_wait_if_the_store_is_unreachable():
    clock = Clock()
    taken = []
    accept_when_loaded(clock, lambda: False, lambda: taken.append(clock.seconds()))
    _steps(clock, MAX_STARTUP_WAIT_S - 2 * STEP_S)
    assert not taken
    _steps(clock, 0.1 + 2 * STEP_S)
    assert len(taken) == 1
