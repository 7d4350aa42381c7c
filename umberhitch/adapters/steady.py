"""Timers by a clock that nobody sets and that a suspension of the host does not stop."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Any

__all__ = ["make_steady", "steady_s"]


def steady_s() -> float:
    """Return the seconds since the host started, those in which it was suspended included.

    The usual steady clock leaves these out: a process that wakes up would take its proof of the
    keys, leases, deadlines and bans for younger than they are, by seconds.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def make_steady(reactor: Any) -> None:
    """Let a reactor go by the steady clock; call it before anything uses its time.

    Twisted's reactors go by the time of day (`twisted.python.runtime`), which jumps where hosts
    are set right: ahead, and every deadline is over at once; back, and nothing ends, and a proof of
    freshness seems newer than it is. A reactor asks its own ``seconds`` for all of its timers.

    Parameters
    ----------
    reactor : IReactorTime
    """
    reactor.seconds = steady_s
