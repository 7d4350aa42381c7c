"""Which routers serve which agents, so that nothing is a full mesh.

Agents fall into buckets by hash, and each bucket picks its routers by rendezvous hash (Thaler and
Ravishankar, 1998): some of its own availability zone, and a few of others for spill-over and for
the loss of a zone. Every router works this out alone from the host list. When a router comes or
goes, only its own buckets move.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from umberhitch.ports import Host

__all__ = ["AgentSubset", "SubsetLimits"]

BUCKET_COUNT = 1024


@dataclass(frozen=True, slots=True)
class SubsetLimits:
    """How many routers serve an agent.

    Attributes
    ----------
    near : int
        Of the agent's own availability zone.
    far : int
        Of other zones.
    feeders : int
        Of these, how many send it each change of configuration unasked.
    """

    same_zone: int = 6
    other_zones: int = 2
    config_publishers: int = 2


class AgentSubset:
    """Works out one router's agents.

    Parameters
    ----------
    router : str
        The own name.
    limits : SubsetLimits
    """

    def __init__(self, router: str, limits: SubsetLimits | None = None) -> None:
        self._router = router
        self._limits = limits or SubsetLimits()
        self._zones: dict[str, str] = {}
        self._own: dict[str, frozenset[int]] = {}

    def set_routers(self, zones: dict[str, str]) -> None:
        """Learn of the live routers, with the zone of each, the own one included."""
        if zones != self._zones:
            self._zones = dict(zones)
            self._own = {}

    def serves(self, agent: Host) -> bool:
        """Whether this router serves an agent."""
        limits = self._limits
        if len(self._zones) <= limits.same_zone + limits.other_zones:
            return True
        own = self._own.get(agent.zone)
        if own is None:
            own = self._own[agent.zone] = self._own_buckets(agent.zone)
        return bucket_of(agent.name) in own

    def publishes_to(self, agent: Host) -> bool:
        """Whether this router sends an agent each change of configuration unasked."""
        if len(self._zones) <= self._limits.config_publishers:
            return True
        near = [name for name, zone in self._zones.items() if zone == agent.zone]
        candidates = near if len(near) >= self._limits.config_publishers else list(self._zones)
        if self._router not in candidates:
            return False
        return self._ranks(
            agent.zone, bucket_of(agent.name), candidates, self._limits.config_publishers
        )

    def _own_buckets(self, zone: str) -> frozenset[int]:
        """Return the buckets of a zone's agents that this router serves."""
        near = [name for name, where in self._zones.items() if where == zone]
        far = [name for name, where in self._zones.items() if where != zone]
        limits = self._limits
        if len(near) < limits.same_zone:
            candidates, places = list(self._zones), limits.same_zone + limits.other_zones
        elif self._zones.get(self._router) == zone:
            candidates, places = near, limits.same_zone
        else:
            candidates, places = far, limits.other_zones
        return frozenset(
            bucket
            for bucket in range(BUCKET_COUNT)
            if self._ranks(zone, bucket, candidates, places)
        )

    def _ranks(self, zone: str, bucket: int, routers: Iterable[str], places: int) -> bool:
        """Whether the own weight for a bucket is among the highest."""
        own = rendezvous_weight(zone, bucket, self._router)
        higher = 0
        for name in routers:
            if name != self._router and rendezvous_weight(zone, bucket, name) > own:
                higher += 1
                if higher >= places:
                    return False
        return True


def bucket_of(agent: str) -> int:
    """Return the bucket of an agent."""
    return xxh3_64_intdigest(agent.encode()) % BUCKET_COUNT


def rendezvous_weight(zone: str, bucket: int, router: str) -> int:
    """Return the rendezvous weight of a router for a bucket of a zone."""
    return xxh3_64_intdigest(f"{zone}\0{bucket}\0{router}".encode())
