"""Callers who come while a router starts."""

from twisted.internet.task import Clock

from umberhitch.tasks.direct.startup_wait import MAX_STARTUP_WAIT_S, accept_when_loaded
from umberhitch.testing import DirectAsk, DirectWorld, make_direct_document

STEP_S = 0.01


def _steps(clock: Clock, seconds: float) -> None:
    clock.pump([STEP_S] * round(seconds / STEP_S))


def test_callers_are_served_who_come_while_a_router_reads_the_store():
    """43 were refused in the first 30 ms of a start (Cedarline, scale-1)."""
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.add_router()
    asked: list[DirectAsk] = []
    gateway = router.gateway
    accept_when_loaded(
        world.clock,
        lambda: gateway.view.is_loaded,
        lambda: asked.append(world.ask(router, "/look/x")),
    )
    world.run(MAX_STARTUP_WAIT_S / 4)
    assert not asked
    world.operator.put("config", make_direct_document())
    world.run(MAX_STARTUP_WAIT_S / 2)
    assert [each.status for each in asked] == [200]


def test_callers_are_told_to_come_back_where_the_store_is_away():
    clock = Clock()
    taken = []
    accept_when_loaded(clock, lambda: False, lambda: taken.append(clock.seconds()))
    _steps(clock, MAX_STARTUP_WAIT_S - 2 * STEP_S)
    assert not taken
    _steps(clock, 0.1 + 2 * STEP_S)
    assert len(taken) == 1
