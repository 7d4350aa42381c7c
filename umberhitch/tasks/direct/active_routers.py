"""Which routers use a service at present, so that each knows its part."""

from collections.abc import Callable, Iterable

from umberhitch.wire import PeerReport

__all__ = ["ActiveRouters"]

ACTIVE_S = 3.0
"""A router that had no call of a service for so long doesn't use it. With many routers, a report
comes about each second, and a router with few calls has none under way at the time of some."""


class ActiveRouters:
    """Routers that use each service, by the reports of peers.

    A listed router of which nothing is heard counts as using all services that it was last known to
    use, or all if nothing was ever heard: cut off from its peers, a router keeps to its own part.
    """

    def __init__(self) -> None:
        self._used_s: dict[str, dict[str, float]] = {}
        """By service and router, the time of the last report of a call."""
        self._own_s: dict[str, tuple[float, float]] = {}
        """By service, since when this router has used it, and when it used it last."""
        self._heard: set[str] = set()
        self._listed: set[str] = set()
        self._live: set[str] = set()

    def note_reports(
        self,
        reports: Iterable[PeerReport],
        listed: Iterable[str],
        service_of: Callable[[str], str | None],
        now_s: float,
    ) -> None:
        """Take the newest reports of the peers that are heard, and the names of those listed."""
        self._listed = set(listed)
        self._live = set()
        for report in reports:
            self._live.add(report.router)
            for service in {service_of(use.lifetime) for use in report.uses}:
                if service is not None:
                    self._used_s.setdefault(service, {})[report.router] = now_s
        self._heard = (self._heard | self._live) & (self._listed | self._live)
        for used_s in self._used_s.values():
            for router in used_s.keys() - self._heard:
                del used_s[router]

    def note_own(self, service: str, now_s: float) -> None:
        """Record a call of this router."""
        since_s, last_s = self._own_s.get(service, (now_s, now_s))
        self._own_s[service] = (since_s if now_s - last_s <= ACTIVE_S else now_s), now_s

    def count(self, service: str, now_s: float) -> int:
        """Return how many routers use a service, this one included.

        A router that has begun to use a service counts all others for a moment: they may have
        begun as well, and what they report is older.
        """
        since_s, last_s = self._own_s.get(service, (now_s, now_s))
        if now_s - since_s < ACTIVE_S or now_s - last_s > ACTIVE_S:
            return 1 + len(self._listed | self._live)
        used_s = self._used_s.get(service, {})
        silent = self._listed - self._live
        active = {router for router, at_s in used_s.items() if now_s - at_s <= ACTIVE_S}
        active |= silent & used_s.keys()
        return 1 + len(active | (silent - self._heard))
