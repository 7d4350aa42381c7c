"""SIGHUP while a process starts, before anything reads its settings again."""

import signal
from typing import Any

__all__ = ["keep_hangup", "was_hung_up"]

_hangups: list[int] = []


def keep_hangup() -> None:
    """Keep a SIGHUP in mind; by default, it would end the process."""
    signal.signal(signal.SIGHUP, _note)


def _note(number: int, frame: Any) -> None:
    _hangups.append(number)


def was_hung_up() -> bool:
    """Whether there was one since `keep_hangup`."""
    return bool(_hangups)
