"""Structured logs: one JSON object a line."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.python.log import PythonLoggingObserver

__all__ = ["configure_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED = {"asctime": "at", "levelname": "level", "name": "logger"}


def configure_logs(level: str, node: str, stream: TextIO | None = None) -> None:
    """Write the logs of this process as JSON lines.

    Parameters
    ----------
    level : str
    node : str
        Name of the process, put into every line.
    stream : TextIO
        Standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, rename_fields=RENAMED, static_fields={"node": node}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("twisted").setLevel(logging.WARNING)
    PythonLoggingObserver("twisted").start()
