"""Routers beyond the seats of the store's group share what holds for all together as well.

Seen: with 40 routers and 10 seats an endpoint that named 2 a second got 28 in 4 s from 14 routers,
17 allowed. Cause: the store takes a router's join that has no seat for it; the router counts itself
among the listed ones, and the others do not know of it.
"""

from umberhitch.tasks.direct.tests import test_named_limits as limits


def test_a_limit_is_kept_by_more_routers_than_there_are_seats():
    world, endpoints = limits._world(10, 2, 1, 2.0)
    world.members.seats = 10
    for number in range(10, 40):
        world.add_router(f"r{number:03d}", zone="c")
    for each in world.endpoints.by_address.values():
        each.reply.delay_s = 0.5
    world.run(limits.SETTLED_S)
    limits._crowd(world, 3.0, 200.0)
    told_s = world.clock.seconds()
    limits._crowd(world, 12.0, 200.0)
    limits._assert_kept(world, endpoints[0], 2.0, told_s)
