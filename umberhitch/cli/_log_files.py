"""Log files that a command is given by name."""

import sys
from pathlib import Path

from umberhitch.explain import Line, read_lines

__all__ = ["STDIN", "read_files"]

STDIN = "-"


def read_files(names: list[str]) -> list[Line]:
    """Return the log lines of files; the name ``-`` is standard input.

    Raises
    ------
    OSError
        If one cannot be read.
    """
    lines = []
    for name in names:
        text = sys.stdin.read() if name == STDIN else Path(name).read_text(errors="replace")
        lines += read_lines(text.splitlines())
    return lines
