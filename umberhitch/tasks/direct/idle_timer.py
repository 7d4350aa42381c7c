"""Idle timeout of a call, which does not run while the caller reads too slowly."""

from collections.abc import Callable

from umberhitch.ports.clock import Clock, Timer

__all__ = ["IdleTimer"]


class IdleTimer:
    """Times out one call at a time.

    Parameters
    ----------
    clock : Clock
    on_timeout : callable
        Called once if nothing has arrived within the timeout.
    """

    def __init__(self, clock: Clock, on_timeout: Callable[[], None]) -> None:
        self._clock = clock
        self._on_timeout = on_timeout
        self._timer: Timer | None = None

    @property
    def is_running(self) -> bool:
        """Whether the timer is running."""
        return self._timer is not None

    def restart(self, timeout_s: float) -> None:
        """Start the timer, or start it over."""
        self.stop()
        self._timer = self._clock.callLater(timeout_s, self._expire)

    def stop(self) -> None:
        """Stop the timer."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _expire(self) -> None:
        self._timer = None
        self._on_timeout()
