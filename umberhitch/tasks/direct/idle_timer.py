"""Tells when a call has been silent for too long, but not while its caller reads too slowly."""

from collections.abc import Callable

from umberhitch.ports.clock import Clock, Timer

__all__ = ["IdleTimer"]


class IdleTimer:
    """Watches one call at a time.

    Parameters
    ----------
    clock : Clock
    on_silent : callable
        Called once where nothing has come for so long.
    """

    def __init__(self, clock: Clock, on_silent: Callable[[], None]) -> None:
        self._clock = clock
        self._on_silent = on_silent
        self._timer: Timer | None = None

    @property
    def is_running(self) -> bool:
        """Whether a call is watched."""
        return self._timer is not None

    def restart(self, timeout_s: float) -> None:
        """Watch from now on, or anew."""
        self.stop()
        self._timer = self._clock.callLater(timeout_s, self._ring)

    def stop(self) -> None:
        """Watch no more."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _ring(self) -> None:
        self._timer = None
        self._on_silent()
