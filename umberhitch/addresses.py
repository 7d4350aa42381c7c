"""Addresses by IP number, as the hosts have no name service."""

from ipaddress import ip_address

__all__ = ["split_address"]

MAX_PORT = 65535


def split_address(text: str) -> tuple[str, int]:
    """Return the IP number and port of ``IP:PORT``; raises ``ValueError`` if it is neither."""
    host, _, port = text.rpartition(":")
    ip_address(host.strip("[]"))
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f'"{port}" is not a port')
    return host, int(port)
