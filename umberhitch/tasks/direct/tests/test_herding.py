"""Routers that know little of each other do not all choose the same of endpoints that look alike.

Seen: three routers, twelve idle endpoints, 30 requests a second: all went to the first few; when
these refused within 10 ms, none was served while eight endpoints were idle. Cause: the first of
equals was the same at every router, and one that refuses fast has nothing under way.
"""

from umberhitch.fakes import Reply
from umberhitch.tasks.direct.tests import test_named_limits as limits

REFUSED = Reply(status=503, delay_s=0.01, is_signed=False, not_run=True)
CROWD = 30.0


def test_callers_are_served_by_idle_endpoints_while_the_usual_ones_refuse_fast():
    world, endpoints = limits._world(3, 0, 12, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.05)
    limits._crowd(world, 3.0, CROWD)
    busiest = sorted(endpoints, key=lambda each: -len(each.calls))[:4]
    for each in busiest:
        each.reply = REFUSED
    asks = limits._crowd(world, 3.0, CROWD)
    world.run(1.0)
    assert sum(ask.status == 200 for ask in asks) >= 0.95 * len(asks)


def test_callers_are_served_while_two_thirds_refuse_fast():
    world, endpoints = limits._world(3, 0, 12, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.05)
    for each in endpoints[:8]:
        each.reply = REFUSED
    limits._crowd(world, 1.0, CROWD)
    asks = limits._crowd(world, 3.0, CROWD)
    world.run(1.0)
    assert sum(ask.status == 200 for ask in asks) >= 0.95 * len(asks)


def test_the_usual_endpoints_of_routers_differ():
    world, endpoints = limits._world(6, 0, 12, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.02)
    limits._crowd(world, 3.0, CROWD)
    most = max(len(each.calls) for each in endpoints)
    assert most <= 0.6 * sum(len(each.calls) for each in endpoints)


def test_an_endpoint_that_refuses_is_tried_again_when_others_are_busy():
    world, endpoints = limits._world(1, 0, 2, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.3)
    endpoints[0].reply = REFUSED
    limits._crowd(world, 2.0, CROWD)
    endpoints[0].reply = Reply(delay_s=0.3)
    calls = len(endpoints[0].calls)
    limits._crowd(world, 4.0, CROWD)
    assert len(endpoints[0].calls) > calls + 20
