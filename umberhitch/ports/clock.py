"""Port to the clock: the subset of Twisted's ``IReactorTime`` that the tasks use.

The reactor implements it in production and `twisted.internet.task.Clock` in tests.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

__all__ = ["Clock", "Timer", "pause"]


class Timer(Protocol):
    """A delayed call."""

    def cancel(self) -> None:
        """Cancel the call."""
        ...

    def active(self) -> bool:
        """Return whether the call is still pending."""
        ...


class Clock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds; only differences are meaningful."""
        ...

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Timer:
        """Call ``callable`` after ``delay`` seconds."""
        ...


def pause(clock: Clock, delay_s: float) -> Deferred[None]:
    """Return a Deferred that fires after ``delay_s`` seconds."""
    done: Deferred[None] = Deferred()
    clock.callLater(max(0.0, delay_s), done.callback, None)
    return done
