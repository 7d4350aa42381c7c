"""Timers by the steady clock."""

from time import monotonic
from typing import Any

__all__ = ["make_steady"]


def make_steady(reactor: Any) -> None:
    """Let a reactor go by the steady clock; call it before anything uses its time.

    Twisted's reactors go by the time of day (`twisted.python.runtime`), which jumps where hosts
    are set right: ahead, and every deadline is over at once; back, and nothing ends, and a proof of
    freshness seems newer than it is. A reactor asks its own ``seconds`` for all of its timers.

    Parameters
    ----------
    reactor : IReactorTime
    """
    reactor.seconds = monotonic
