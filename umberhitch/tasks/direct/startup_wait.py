"""Callers wait while a router that has just started reads the store."""

from collections.abc import Callable

from umberhitch.ports.clock import Clock

__all__ = ["MAX_STARTUP_WAIT_S", "accept_when_loaded"]

MAX_STARTUP_WAIT_S = 0.4
"""Longest wait. The store answers within some ms, so that nearly all who come during a start are
served; where it is away, they are told soon when to come back."""
POLL_INTERVAL_S = 0.005
"""How often it is looked whether the router has what it needs."""


def accept_when_loaded(
    clock: Clock, is_loaded: Callable[[], bool], accept: Callable[[], None]
) -> None:
    """Begin to take callers once all is loaded that answers need, or after `MAX_STARTUP_WAIT_S`.

    Their connections are accepted by the kernel meanwhile, and nothing of them is read.

    Parameters
    ----------
    clock : Clock
    is_loaded : callable
        Whether there are a configuration and a directory.
    accept : callable
        Begins to take callers; called once.
    """
    end_s = clock.seconds() + MAX_STARTUP_WAIT_S

    def look() -> None:
        if is_loaded() or clock.seconds() >= end_s:
            accept()
        else:
            clock.callLater(POLL_INTERVAL_S, look)

    look()
