"""Delay of incoming connections until a router that has just started has read the store."""

from collections.abc import Callable

from umberhitch.ports.clock import Clock

__all__ = ["MAX_STARTUP_WAIT_S", "accept_when_loaded"]

MAX_STARTUP_WAIT_S = 0.4
"""Maximum delay. The store answers within a few ms, so nearly all callers who connect during a
start are served. If the store is unreachable, they are soon told when to retry."""
POLL_INTERVAL_S = 0.005
"""Interval in seconds between checks whether the router is loaded."""


def accept_when_loaded(
    clock: Clock, is_loaded: Callable[[], bool], accept: Callable[[], None]
) -> None:
    """Accept connections once the router is loaded, or after `MAX_STARTUP_WAIT_S`.

    Until then the kernel accepts connections into its backlog, and nothing is read from them.

    Parameters
    ----------
    clock : Clock
    is_loaded : callable
        Returns whether a configuration and an endpoint directory are loaded.
    accept : callable
        Starts accepting connections; called once.
    """
    deadline_s = clock.seconds() + MAX_STARTUP_WAIT_S

    def check() -> None:
        if is_loaded() or clock.seconds() >= deadline_s:
            accept()
        else:
            clock.callLater(POLL_INTERVAL_S, check)

    check()
