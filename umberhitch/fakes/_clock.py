"""The clock of one process that can be paused."""

from collections.abc import Callable
from typing import Any

from umberhitch.ports import Clock, Timer

__all__ = ["ProcessClock"]


class ProcessClock:
    """A `Clock` whose calls are held while the process is paused.

    Time itself goes on, as it does for a stopped process.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self.is_paused = False
        self._clock = clock
        self._held: list[Callable[[], Any]] = []

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self._clock.seconds()

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Timer:
        """Call after ``delay`` seconds, or at the resumption if that is later."""

        def run() -> None:
            if self.is_paused:
                self._held.append(lambda: callable(*args, **kw))
            else:
                callable(*args, **kw)

        return self._clock.callLater(delay, run)

    def resume(self) -> None:
        """Run what was due in the meantime."""
        self.is_paused = False
        held, self._held = self._held, []
        for call in held:
            call()
