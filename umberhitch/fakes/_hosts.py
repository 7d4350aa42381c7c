"""A host list in memory."""

from umberhitch.ports import Host

__all__ = ["FakeHostList"]


class FakeHostList:
    """A `HostListPort` that shows what it was last given.

    Attributes
    ----------
    rows : dict
        The hosts by name, as they are.
    shown : list or None
        What readers are shown instead while the list lags or is wrong.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Host] = {}
        self.shown: list[Host] | None = None
        self.is_down = False

    def put(self, host: Host) -> None:
        """Add or replace a host."""
        self.rows[host.name] = host

    def remove(self, name: str) -> None:
        """Remove a host."""
        self.rows.pop(name, None)

    def freeze(self) -> None:
        """Show the list as it is now until `thaw`."""
        self.shown = list(self.rows.values())

    def thaw(self) -> None:
        """Show the list as it is."""
        self.shown = None

    async def hosts(self) -> list[Host]:
        """Return what is shown."""
        if self.is_down:
            raise OSError("host list is down")
        return list(self.rows.values()) if self.shown is None else self.shown
