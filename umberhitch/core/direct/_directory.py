"""Which endpoints there are, and which of them take new work."""

from collections.abc import Iterable
from dataclasses import dataclass

from umberhitch.core.direct._types import EndpointEntry, EndpointState

__all__ = ["Directory", "Endpoint"]

RETURN_S = 2.2
"""How long an entry that lapsed while the registry was away is kept: such entries are back about
2 s after it (the platform's word)."""
FIRST_BAN_S = 0.5
LONGEST_BAN_S = 3.0
"""An endpoint that cannot be reached is left alone so long, doubled at each failure in a row. Then
one call at a time tries it, until one is answered."""
TRY_S = 0.6
"""Time after which a call that tries an endpoint again has told how it is."""


@dataclass(slots=True)
class Endpoint:
    """One incarnation of an endpoint, with what this router has seen of it."""

    entry: EndpointEntry
    lapses_s: float | None = None
    banned_until_s: float = 0.0
    failures: int = 0

    def takes_work(self, now_s: float) -> bool:
        """Whether new work may be sent to it."""
        return (
            self.entry.state is EndpointState.READY
            and now_s >= self.banned_until_s
            and (self.lapses_s is None or now_s < self.lapses_s)
        )


class Directory:
    """The registry's entries as they reached this router."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self.is_loaded = False

    def __len__(self) -> int:
        return len(self._endpoints)

    def put(self, entry: EndpointEntry) -> None:
        """Take an entry that is new, or newer than the one known."""
        known = self._endpoints.get(entry.incarnation)
        if known is None:
            known = Endpoint(entry)
            self._endpoints[entry.incarnation] = known
        elif known.entry.service != entry.service:
            self._by_service.get(known.entry.service, {}).pop(entry.incarnation, None)
        known.entry = entry
        known.lapses_s = None
        self._by_service.setdefault(entry.service, {})[entry.incarnation] = known

    def drop(self, incarnation: str) -> None:
        """Forget an endpoint whose entry is gone."""
        known = self._endpoints.pop(incarnation, None)
        if known is not None:
            self._by_service.get(known.entry.service, {}).pop(incarnation, None)

    def lapse(self, incarnation: str, now_s: float) -> None:
        """Keep an endpoint a little whose entry went while the registry was away."""
        known = self._endpoints.get(incarnation)
        if known is not None and known.lapses_s is None:
            known.lapses_s = now_s + RETURN_S

    def sweep(self, now_s: float) -> None:
        """Drop the endpoints whose entries have not come back."""
        for incarnation, known in list(self._endpoints.items()):
            if known.lapses_s is not None and now_s >= known.lapses_s:
                self.drop(incarnation)

    def get(self, incarnation: str) -> Endpoint | None:
        """Return an endpoint."""
        return self._endpoints.get(incarnation)

    def incarnations(self) -> Iterable[str]:
        """Return every incarnation known."""
        return list(self._endpoints)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, those that take no work included."""
        return list(self._by_service.get(service, {}).values())

    def ready(self, service: str, now_s: float) -> list[Endpoint]:
        """Return the endpoints of a service that take new work.

        Where all that are not leaving are banned, the bans are not kept: trying beats refusing.
        """
        known = self._by_service.get(service, {}).values()
        ready = [each for each in known if each.takes_work(now_s)]
        if ready:
            return ready
        return [each for each in known if each.takes_work(float("inf")) or self._is_only(each)]

    def _is_only(self, each: Endpoint) -> bool:
        return each.entry.state is EndpointState.READY and each.lapses_s is None

    def tried(self, endpoint: Endpoint, now_s: float) -> None:
        """Note that a call goes to an endpoint; after a failure the others wait for how it ends."""
        if endpoint.failures:
            endpoint.banned_until_s = max(endpoint.banned_until_s, now_s + TRY_S)

    def failed(self, endpoint: Endpoint, now_s: float) -> None:
        """Note that an endpoint could not be reached or broke off."""
        ban_s = min(LONGEST_BAN_S, FIRST_BAN_S * 2**endpoint.failures)
        endpoint.failures += 1
        endpoint.banned_until_s = now_s + ban_s

    def answered(self, endpoint: Endpoint) -> None:
        """Note that an endpoint answered."""
        endpoint.failures = 0
        endpoint.banned_until_s = 0.0
