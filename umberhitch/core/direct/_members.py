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
    cached_in_service: list[Endpoint] | None = None
    affinity_endpoints: dict[int, tuple[int, Endpoint]] = field(default_factory=dict)
    """By bucket: the home's score, and the home."""

    def put(self, endpoint: Endpoint) -> None:
        """Take an endpoint, or a change of its entry; only homes that it wins or loses move."""
        self.by_incarnation[endpoint.entry.incarnation] = endpoint
        self.cached_in_service = None
        self._drop_affinity(endpoint)
        if self._is_in_service(endpoint):
            for bucket, (score, _) in self.affinity_endpoints.items():
                own = _score(bucket, endpoint)
                if own > score:
                    self.affinity_endpoints[bucket] = (own, endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Forget an endpoint."""
        if self.by_incarnation.pop(endpoint.entry.incarnation, None) is not None:
            self.cached_in_service = None
            self._drop_affinity(endpoint)

    def _drop_affinity(self, endpoint: Endpoint) -> None:
        lost = [bucket for bucket, (_, home) in self.affinity_endpoints.items() if home is endpoint]
        for bucket in lost:
            del self.affinity_endpoints[bucket]

    def affinity_endpoint(self, bucket: int) -> Endpoint | None:
        """Return the home of a bucket, worked out when it is first asked for."""
        found = self.affinity_endpoints.get(bucket)
        if found is None:
            scored = [(_score(bucket, each), index) for index, each in enumerate(self.in_service())]
            if not scored:
                return None
            score, index = max(scored)
            found = self.affinity_endpoints[bucket] = (score, self.in_service()[index])
        return found[1]

    def in_service(self) -> list[Endpoint]:
        """Return the endpoints that do not leave, of zones that are in service.

        Each router has an order of its own: the first of equals is not the same at all of them.
        """
        if self.cached_in_service is None:
            found = [each for each in self.by_incarnation.values() if self._is_in_service(each)]
            self.cached_in_service = sorted(found, key=self._order_key)
        return self.cached_in_service

    def _order_key(self, endpoint: Endpoint) -> int:
        return xxh3_64_intdigest(f"{self.router}|{endpoint.lifetime}".encode())

    def _is_in_service(self, endpoint: Endpoint) -> bool:
        return not endpoint.is_draining and endpoint.entry.zone not in self.zones_out

    def invalidate(self) -> None:
        """Work out anew what depends on the zones that are in service."""
        self.cached_in_service = None
        self.affinity_endpoints.clear()


def _score(bucket: int, endpoint: Endpoint) -> int:
    return xxh3_64_intdigest(f"{bucket}|{endpoint.entry.incarnation}".encode())
