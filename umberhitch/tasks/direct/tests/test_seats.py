"""Routers beyond the seats of the store's group keep the limits that apply to all routers together.

With 40 routers and 10 seats, an endpoint with a limit of 2 requests a second received 28 in 4 s
from 14 routers, where 17 were allowed. The store accepts a join for which it has no seat; the
router counts itself among the listed ones, and the others do not know of it.
"""

from umberhitch.tasks.direct.tests import test_advertised_limits as limits


def test_a_limit_is_kept_by_more_routers_than_there_are_seats():
    world, endpoints = limits._world(10, 2, 1, 2.0)
    world.members.seats = 10
    for number in range(10, 40):
        world.add_router(f"r{number:03d}", zone="c")
    for each in world.endpoints.by_address.values():
        each.reply.delay_s = 0.5
    world.run(limits.SETTLED_S)
    limits._send_traffic(world, 3.0, 200.0)
    limited_s = world.clock.seconds()
    limits._send_traffic(world, 12.0, 200.0)
    limits._assert_kept(world, endpoints[0], 2.0, limited_s)
