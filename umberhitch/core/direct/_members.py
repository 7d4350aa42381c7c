"""The endpoints of one service, with cached candidates and affinities."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct._endpoint import Endpoint

__all__ = ["Members"]


@dataclass(slots=True)
class Members:
    """The endpoints of one service, with cached candidates and affinities.

    Attributes
    ----------
    router : str
        Name of this router.
    zones_out : dict of str to float
        Availability zones out of service, shared with the directory.
    by_incarnation : dict of str to Endpoint
        All endpoints of the service.
    cached_in_service : list of Endpoint or None
        Result of `in_service`, or None if it must be computed.
    affinity_endpoints : dict of int to (int, Endpoint)
        Score and affinity endpoint of each bucket that was looked up.
    """

    router: str
    zones_out: dict[str, float]
    by_incarnation: dict[str, Endpoint] = field(default_factory=dict)
    cached_in_service: list[Endpoint] | None = None
    affinity_endpoints: dict[int, tuple[int, Endpoint]] = field(default_factory=dict)

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint or apply a change of its entry.

        Only the affinities that the endpoint gains or loses change.
        """
        self.by_incarnation[endpoint.entry.incarnation] = endpoint
        self.cached_in_service = None
        self._drop_affinity(endpoint)
        if self._is_in_service(endpoint):
            for bucket, (score, _) in self.affinity_endpoints.items():
                own = _score(bucket, endpoint)
                if own > score:
                    self.affinity_endpoints[bucket] = (own, endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint."""
        if self.by_incarnation.pop(endpoint.entry.incarnation, None) is not None:
            self.cached_in_service = None
            self._drop_affinity(endpoint)

    def _drop_affinity(self, endpoint: Endpoint) -> None:
        lost = [bucket for bucket, (_, kept) in self.affinity_endpoints.items() if kept is endpoint]
        for bucket in lost:
            del self.affinity_endpoints[bucket]

    def affinity_endpoint(self, bucket: int) -> Endpoint | None:
        """Return the affinity endpoint of a bucket, computed on the first lookup."""
        found = self.affinity_endpoints.get(bucket)
        if found is None:
            scored = [
                (_score(bucket, endpoint), index)
                for index, endpoint in enumerate(self.in_service())
            ]
            if not scored:
                return None
            score, index = max(scored)
            found = self.affinity_endpoints[bucket] = (score, self.in_service()[index])
        return found[1]

    def in_service(self) -> list[Endpoint]:
        """Return the endpoints that aren't draining, in zones that are in service.

        Each router has its own order, so that the routers don't all choose the same one of several
        equally good endpoints.
        """
        if self.cached_in_service is None:
            found = [
                endpoint
                for endpoint in self.by_incarnation.values()
                if self._is_in_service(endpoint)
            ]
            self.cached_in_service = sorted(found, key=self._order_key)
        return self.cached_in_service

    def _order_key(self, endpoint: Endpoint) -> int:
        return xxh3_64_intdigest(f"{self.router}|{endpoint.lifetime}".encode())

    def _is_in_service(self, endpoint: Endpoint) -> bool:
        return not endpoint.is_draining and endpoint.entry.zone not in self.zones_out

    def invalidate(self) -> None:
        """Discard the cached results after a change of the zones in service."""
        self.cached_in_service = None
        self.affinity_endpoints.clear()


def _score(bucket: int, endpoint: Endpoint) -> int:
    return xxh3_64_intdigest(f"{bucket}|{endpoint.entry.incarnation}".encode())
