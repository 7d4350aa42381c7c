"""Peers that the store does not list, and that are known by their reports only."""

from collections.abc import Iterable

__all__ = ["UnlistedPeers"]


class UnlistedPeers:
    """Routers without a place in the store's group, which know the listed ones and report to them.

    Each can be reached over the connection that it has made. A router that has just joined is
    listed within seconds, so it is not one of them.

    Parameters
    ----------
    wait_s : float
        Seconds for which a peer must have reported without being listed.
    """

    def __init__(self, wait_s: float) -> None:
        self._wait_s = wait_s
        self._reported_since_s: dict[str, float] = {}
        self._names: dict[str, None] = {}

    @property
    def names(self) -> list[str]:
        """Names of the unlisted peers."""
        return list(self._names)

    def note_report(self, name: str, now_s: float) -> bool:
        """Note the report of a peer that is not listed; return whether it is a new one here."""
        since_s = self._reported_since_s.setdefault(name, now_s)
        if name in self._names or now_s < since_s + self._wait_s:
            return False
        self._names[name] = None
        return True

    def forget(self, names: Iterable[str]) -> None:
        """Forget peers that are listed now or have fallen silent."""
        for name in names:
            self._reported_since_s.pop(name, None)
            self._names.pop(name, None)

    def next_names(self, count: int) -> list[str]:
        """Return the next peers in turn."""
        chosen = self.names[:count]
        for name in chosen:
            self._names[name] = self._names.pop(name)
        return chosen
