"""Port to the platform's host list."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = ["Host", "HostListPort", "HostRole", "HostState"]


class HostRole(StrEnum):
    """The kind of process that runs on a host."""

    ROUTER = "router"
    AGENT = "agent"


class HostState(StrEnum):
    """State of a host as the platform lists it, with a lag."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """One row of the host list."""

    name: str
    role: HostRole
    zone: str
    address: str
    """``IP:PORT`` at which the process accepts its peers' messages."""
    state: HostState = HostState.LIVE


class HostListPort(Protocol):
    """The platform's list of live and leaving hosts, which lags behind."""

    async def hosts(self) -> list[Host]:
        """Return the current list of the platform.

        Raises
        ------
        OSError
            If the list cannot be read.
        """
        ...
