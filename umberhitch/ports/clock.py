"""Port to time: the part of Twisted's ``IReactorTime`` that the tasks use.

A reactor offers it in production, `twisted.internet.task.Clock` in tests.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

__all__ = ["Clock", "Timer", "pause"]


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Drop the call."""
        ...

    def active(self) -> bool:
        """Whether the call is still due."""
        ...


class Clock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the time in seconds; only differences mean something."""
        ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Timer:
        """Call after ``delay`` seconds."""
        ...


def pause(clock: Clock, delay_s: float) -> Deferred[None]:
    """Return a Deferred that fires after a delay."""
    done: Deferred[None] = Deferred()
    clock.callLater(max(0.0, delay_s), done.callback, None)
    return done
