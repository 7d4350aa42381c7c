"""A router that gets most new connections closes unread what it can't serve in time.

Guards against a router that reads everything: at 990 new connections a second, 0.12 of the requests
were on time, while two other routers had nothing to do.
"""

from twisted.internet.task import Clock

from umberhitch.adapters.accept_gate import CHECK_S, MIN_ACCEPTED, MIN_SHARE, AcceptGate


class Loop:
    """An event loop that serves a number of connections a second, and no timer meanwhile."""

    def __init__(self, connections_per_s: float) -> None:
        self.clock = Clock()
        self.gate = AcceptGate(self.clock)
        self.served = 0
        self._rate = connections_per_s

    def run(self, arrivals_per_s: float, for_s: float) -> int:
        """Let connections arrive evenly; return how many were read."""
        before = self.served
        began_s, arrived = self.clock.seconds(), 0
        while self.clock.seconds() < began_s + for_s:
            due = int((self.clock.seconds() - began_s) * arrivals_per_s)
            read = sum(self.gate.admits() for _ in range(due - arrived))
            arrived, self.served = due, self.served + read
            self.clock.advance(max(0.005, read / self._rate))
        return self.served - before


def test_at_a_usual_load_all_are_read_without_a_timer():
    loop = Loop(1000.0)
    assert loop.run(50.0, 5.0) >= 249
    assert loop.gate.closed == 0
    assert loop.clock.getDelayedCalls() == []


def test_many_connections_that_can_be_served_are_all_read():
    loop = Loop(1000.0)
    loop.run(600.0, 5.0)
    assert loop.gate.closed == 0


def test_under_overload_as_many_are_read_as_can_be_served():
    loop = Loop(300.0)
    loop.run(1500.0, 2.0)
    assert 0.7 * 300.0 * 8.0 <= loop.run(1500.0, 8.0) <= 1.1 * 300.0 * 8.0


def test_some_are_read_however_great_the_overload_is():
    loop = Loop(5.0)
    loop.run(2000.0, 10.0)
    assert loop.gate.share >= MIN_SHARE
    assert any(loop.gate.admits() for _ in range(int(1 / MIN_SHARE) + 1))


def test_all_are_read_again_soon_after_the_overload():
    loop = Loop(300.0)
    loop.run(1500.0, 5.0)
    loop.run(20.0, 5.0)
    assert loop.gate.share == 1.0
    assert loop.clock.getDelayedCalls() == []


def test_a_single_pause_of_the_process_closes_nothing_at_a_usual_load():
    loop = Loop(1000.0)
    for _ in range(MIN_ACCEPTED - 1):
        assert loop.gate.admits()
    loop.clock.advance(10 * CHECK_S)
    assert all(loop.gate.admits() for _ in range(MIN_ACCEPTED - 1))
