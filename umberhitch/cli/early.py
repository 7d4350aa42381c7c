"""``umberhitchd`` for hosts on which a start must be short: listens for callers before all else.

Callers that come while no one listens are turned away at once, and most come again only once. So a
router of the direct path listens with the standard library alone; the daemon, whose libraries take
most of a start to import, goes on from there. All problems with the settings are the daemon's to
report: here a file that cannot be read just means that nothing listens early.
"""

import os
import sys
from json import load
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from typing import Any

__all__ = ["SETTINGS_VARIABLE", "listen_early", "run", "take_early_socket"]

SETTINGS_VARIABLE = "UMBERHITCH_NODE_FILE"
BACKLOG = 1024
"""Connections that wait to be taken; a full queue costs callers seconds."""

_early: dict[str, socket] = {}
"""By address, until the daemon takes it."""


def listen_early(address: str) -> socket:
    """Return a socket that listens at ``IP:PORT``; raises ``OSError`` or ``ValueError``."""
    host, _, port = address.rpartition(":")
    listening = socket(AF_INET, SOCK_STREAM)
    try:
        listening.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except (OSError, ValueError):
        listening.close()
        raise
    return listening


def take_early_socket(address: str) -> socket:
    """Return the socket that listens at an address already, else a new one."""
    return _early.pop(address, None) or listen_early(address)


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
            _early[address] = listen_early(address)
        except (OSError, ValueError):
            pass  # the daemon tries again, and reports it
    from umberhitch.cli.daemon import run as run_daemon

    run_daemon()


if __name__ == "__main__":
    # The daemon imports this module by its name, so its state must not be that of __main__.
    from umberhitch.cli.early import run as run_early

    run_early()
