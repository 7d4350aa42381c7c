"""Port to the platform's host list."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = ["Host", "HostListPort", "HostRole", "HostState"]


class HostRole(StrEnum):
    """What runs on a host."""

    ROUTER = "router"
    AGENT = "agent"


class HostState(StrEnum):
    """What the platform believes of a host; it learns late."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """One row of the host list."""

    name: str
    role: HostRole
    zone: str
    address: str
    """``IP:PORT`` of the process's link."""
    state: HostState = HostState.LIVE


class HostListPort(Protocol):
    """The lagging list of live and leaving hosts."""

    async def hosts(self) -> list[Host]:
        """Return the list as the platform has it now.

        Raises
        ------
        OSError
            If the list cannot be had.
        """
        ...
