"""``umberhitchd`` for hosts on which a start must be short: listens for callers before all else.

Callers that come while no one listens are turned away at once, and most come again only once. So a
router of the direct path listens with the standard library alone, and goes on with nothing that it
does not need: no command line is read. All else, and all problems with the settings, are the
daemon's: here a file that cannot be read just means that nothing listens early.
"""

import os
import sys
from json import load
from typing import Any

from umberhitch.cli._hangup import keep_hangup
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
    """Listen, then run the router; the settings' path is taken from the environment only."""
    keep_hangup()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    address = _callers_address(path) if len(sys.argv) == 1 else None
    if address is not None:
        try:
            keep_early_socket(address)
        except (OSError, ValueError):
            pass  # the daemon tries again, and reports it
        else:
            _serve(path)
    from umberhitch.cli.daemon import run as run_daemon

    run_daemon()


def _serve(path: str) -> None:
    """Run the router; returns only where the settings are the daemon's to report."""
    from pathlib import Path

    from umberhitch.cli._gateway_process import serve_gateway
    from umberhitch.errors import SettingsError
    from umberhitch.gateway_settings import load_gateway_file

    try:
        settings = load_gateway_file(Path(path))
    except SettingsError:
        return
    if settings is not None:
        sys.exit(serve_gateway(settings, path))


if __name__ == "__main__":
    run()
