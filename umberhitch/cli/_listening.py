"""The socket at which callers come, opened with the standard library alone."""

from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

__all__ = ["SETTINGS_VARIABLE", "keep_early_socket", "listen_early", "take_early_socket"]

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


def keep_early_socket(address: str) -> None:
    """Listen at an address, for the daemon to take; raises ``OSError`` or ``ValueError``."""
    _early[address] = listen_early(address)


def take_early_socket(address: str) -> socket:
    """Return the socket that listens at an address already, else a new one."""
    return _early.pop(address, None) or listen_early(address)
