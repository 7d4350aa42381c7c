"""Timers where the time of day jumps."""

from time import monotonic

from twisted.internet.epollreactor import EPollReactor

from umberhitch.adapters.steady import make_steady


def test_timers_go_by_the_steady_clock() -> None:
    """A jump of the time of day ended every stream and call at once (own day clock-hup-storm)."""
    reactor = EPollReactor()
    make_steady(reactor)
    before_s = monotonic()
    timer = reactor.callLater(5.0, lambda: None)
    assert before_s + 5.0 <= timer.getTime() <= monotonic() + 5.0
    assert before_s <= reactor.seconds() <= monotonic()
