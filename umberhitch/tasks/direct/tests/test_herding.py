"""Routers with little knowledge of each other do not all choose the same of equal endpoints.

With three routers, twelve idle endpoints and 30 requests per second, all requests went to the same
few endpoints. When these refused within 10 ms, no request was served while eight endpoints were
idle: all routers broke ties in the same order, and an endpoint that refuses fast has no running
calls, so it looked idle.
"""

from umberhitch.fakes import Reply
from umberhitch.tasks.direct.tests import test_advertised_limits as limits

REFUSED = Reply(status=503, delay_s=0.01, is_signed=False, not_run=True)
CROWD = 30.0


def test_callers_are_served_by_idle_endpoints_while_the_preferred_ones_refuse_fast():
    world, endpoints = limits._world(3, 0, 12, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.05)
    limits._send_traffic(world, 3.0, CROWD)
    busiest = sorted(endpoints, key=lambda each: -len(each.calls))[:4]
    for each in busiest:
        each.reply = REFUSED
    reqs = limits._send_traffic(world, 3.0, CROWD)
    world.run(1.0)
    assert sum(req.status == 200 for req in reqs) >= 0.95 * len(reqs)


def test_callers_are_served_while_two_thirds_of_the_endpoints_refuse_fast():
    world, endpoints = limits._world(3, 0, 12, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.05)
    for each in endpoints[:8]:
        each.reply = REFUSED
    limits._send_traffic(world, 1.0, CROWD)
    reqs = limits._send_traffic(world, 3.0, CROWD)
    world.run(1.0)
    assert sum(req.status == 200 for req in reqs) >= 0.95 * len(reqs)


def test_routers_prefer_different_endpoints():
    world, endpoints = limits._world(6, 0, 12, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.02)
    limits._send_traffic(world, 3.0, CROWD)
    most = max(len(each.calls) for each in endpoints)
    assert most <= 0.6 * sum(len(each.calls) for each in endpoints)


def test_an_endpoint_that_refused_is_retried_when_others_are_busy():
    world, endpoints = limits._world(1, 0, 2, None)
    for each in endpoints:
        each.reply = Reply(delay_s=0.3)
    endpoints[0].reply = REFUSED
    limits._send_traffic(world, 2.0, CROWD)
    endpoints[0].reply = Reply(delay_s=0.3)
    calls = len(endpoints[0].calls)
    limits._send_traffic(world, 4.0, CROWD)
    assert len(endpoints[0].calls) > calls + 20
