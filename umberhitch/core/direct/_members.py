"""The endpoints of one service, with what is worked out from them when it is asked for."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct._endpoint import Endpoint

__all__ = ["Members"]


@dataclass(slots=True)
class Members:
    """The endpoints of one service, with what is worked out from them when it is asked for."""

    router: str
    zones_out: dict[str, float]
    """Of the directory."""
    by_incarnation: dict[str, Endpoint] = field(default_factory=dict)
    listed: list[Endpoint] | None = None
    homes: dict[int, tuple[int, Endpoint]] = field(default_factory=dict)
    """By bucket: the home's score, and the home."""

    def put(self, endpoint: Endpoint) -> None:
        """Take an endpoint, or a change of its entry; only homes that it wins or loses move."""
        self.by_incarnation[endpoint.entry.incarnation] = endpoint
        self.listed = None
        self._give_up_homes(endpoint)
        if self._is_listed(endpoint):
            for bucket, (score, _) in self.homes.items():
                own = _score(bucket, endpoint)
                if own > score:
                    self.homes[bucket] = (own, endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Forget an endpoint."""
        if self.by_incarnation.pop(endpoint.entry.incarnation, None) is not None:
            self.listed = None
            self._give_up_homes(endpoint)

    def _give_up_homes(self, endpoint: Endpoint) -> None:
        lost = [bucket for bucket, (_, home) in self.homes.items() if home is endpoint]
        for bucket in lost:
            del self.homes[bucket]

    def home(self, bucket: int) -> Endpoint | None:
        """Return the home of a bucket, worked out when it is first asked for."""
        found = self.homes.get(bucket)
        if found is None:
            scored = [(_score(bucket, each), index) for index, each in enumerate(self.all())]
            if not scored:
                return None
            score, index = max(scored)
            found = self.homes[bucket] = (score, self.all()[index])
        return found[1]

    def all(self) -> list[Endpoint]:
        """Return the endpoints that do not leave, of zones that are in service.

        Each router has an order of its own: the first of equals is not the same at all of them.
        """
        if self.listed is None:
            found = [each for each in self.by_incarnation.values() if self._is_listed(each)]
            self.listed = sorted(found, key=self._place)
        return self.listed

    def _place(self, endpoint: Endpoint) -> int:
        return xxh3_64_intdigest(f"{self.router}|{endpoint.lifetime}".encode())

    def _is_listed(self, endpoint: Endpoint) -> bool:
        return not endpoint.is_leaving and endpoint.entry.zone not in self.zones_out

    def zones_changed(self) -> None:
        """Work out anew what depends on the zones that are in service."""
        self.listed = None
        self.homes.clear()


def _score(bucket: int, endpoint: Endpoint) -> int:
    return xxh3_64_intdigest(f"{bucket}|{endpoint.entry.incarnation}".encode())
