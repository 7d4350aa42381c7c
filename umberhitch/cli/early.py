"""``umberhitchd`` for hosts on which a start must be short: listens for callers before all else.

Callers that come while no one listens are turned away at once, and most come again only once. So a
router of the direct path listens with the standard library alone; the daemon, whose libraries take
most of a start to import, goes on from there. All problems with the settings are the daemon's to
report: here a file that cannot be read just means that nothing listens early.
"""

import os
import sys
from json import load
from typing import Any

from umberhitch.cli._listening import SETTINGS_VARIABLE, keep_early_socket

__all__ = ["run"]


def _callers_address(path: str) -> str | None:
    """Return where a router of the direct path takes callers, or None if the file says nothing."""
    try:
        with open(path, "rb") as file:
            settings: Any = load(file)
        return str(settings["listen"]["callers"]) if settings["role"] == "gateway" else None
    except (OSError, ValueError, KeyError, TypeError):
        return None  # the daemon reads the file again, and reports every finding


def run() -> None:
    """Listen, then run the daemon; the settings' path is taken from the environment only."""
    address = _callers_address(os.environ.get(SETTINGS_VARIABLE, ""))
    if address is not None and len(sys.argv) == 1:
        try:
            keep_early_socket(address)
        except (OSError, ValueError):
            pass  # the daemon tries again, and reports it
    from umberhitch.cli.daemon import run as run_daemon

    run_daemon()


if __name__ == "__main__":
    run()
