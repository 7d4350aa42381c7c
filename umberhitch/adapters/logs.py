"""Structured logs: one JSON object a line."""

import logging
import os
import stat
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.python.log import PythonLoggingObserver

__all__ = ["PatientStream", "configure_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED = {"asctime": "at", "levelname": "level", "name": "logger"}


class PatientStream:
    """Writes to a descriptor, and drops lines instead of waiting for a reader.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking if it is a pipe or a socket: only those have a reader to wait for.

    Attributes
    ----------
    dropped : int
        Lines that the reader was too slow for, since the last that was written.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._rest = b""
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or drop it whole."""
        data = text.encode()
        if self._rest and not self._push(b""):
            self.dropped += 1
            return
        if self.dropped:
            note = f'{{"message": "lines dropped", "count": {self.dropped}}}\n'.encode()
            data, self.dropped = note + data, 0
        self._push(data)

    def _push(self, data: bytes) -> bool:
        """Write what is left and what is new; return whether nothing is left."""
        data = self._rest + data
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            count = 0
        except OSError:  # the reader is gone, and there is nowhere to say so
            count = len(data)
        self._rest = data[count:]
        return not self._rest

    def flush(self) -> None:
        """Do nothing: nothing is held that could be written."""


def configure_logs(level: str, node: str, stream: TextIO | None = None) -> None:
    """Write the logs of this process as JSON lines.

    Parameters
    ----------
    level : str
    node : str
        Name of the process, put into every line.
    stream : TextIO
        Standard error by default; what its reader is too slow for is dropped and counted.
    """
    handler = logging.StreamHandler(stream or PatientStream(sys.stderr.fileno()))
    handler.setFormatter(JsonFormatter(FIELDS, rename_fields=RENAMED, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("twisted").setLevel(logging.WARNING)
    PythonLoggingObserver("twisted").start()
