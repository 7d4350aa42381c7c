"""Timers where the time of day jumps."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic

import pytest
from twisted.internet.epollreactor import EPollReactor

from umberhitch.adapters.steady import make_steady


def test_timers_go_by_the_steady_clock() -> None:
    """A jump of the time of day ended every stream and call at once (own day clock-hup-storm)."""
    reactor = EPollReactor()
    make_steady(reactor)
    before_s = clock_gettime(CLOCK_BOOTTIME)
    timer = reactor.callLater(5.0, lambda: None)
    assert before_s + 5.0 <= timer.getTime() <= clock_gettime(CLOCK_BOOTTIME) + 5.0
    assert before_s <= reactor.seconds() <= clock_gettime(CLOCK_BOOTTIME)


def test_time_goes_on_while_the_host_is_suspended(monkeypatch: pytest.MonkeyPatch) -> None:
    """The steady clock stands still meanwhile: a router woke up with a proof 4 s too young.

    Then keys that were taken away in between were served, and leases, deadlines and bans of before
    held on for as long again.
    """
    suspended_s = [0.0]
    monkeypatch.setattr(
        "umberhitch.adapters.steady.clock_gettime",
        lambda clock: monotonic() + (suspended_s[0] if clock == CLOCK_BOOTTIME else 0.0),
        raising=False,
    )
    reactor = EPollReactor()
    make_steady(reactor)
    timer = reactor.callLater(5.0, lambda: None)
    suspended_s[0] = 6.0
    assert timer.getTime() <= reactor.seconds()
