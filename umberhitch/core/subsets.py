"""Subsetting: assignment of routers to agents that avoids a full mesh.

Agents are hashed into buckets, and routers are assigned to each bucket by rendezvous hashing
(Thaler and Ravishankar, 1998): several from the agents' own availability zone, and a few from other
zones for spill-over and for the loss of a zone. Every router computes the assignment on its own
from the host list. When a router joins or leaves, only its own buckets are reassigned.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from umberhitch.ports import Host

__all__ = ["AgentSubset", "SubsetLimits"]

BUCKET_COUNT = 1024


@dataclass(frozen=True, slots=True)
class SubsetLimits:
    """Number of routers that serve an agent.

    Attributes
    ----------
    same_zone : int
        Number of routers from the agent's own availability zone.
    other_zones : int
        Number of routers from other zones.
    config_publishers : int
        Number of these routers that push each change of the configuration to the agent.
    """

    same_zone: int = 6
    other_zones: int = 2
    config_publishers: int = 2


class AgentSubset:
    """The subset of agents that one router serves.

    Parameters
    ----------
    router : str
        Name of this router.
    limits : SubsetLimits
    """

    def __init__(self, router: str, limits: SubsetLimits | None = None) -> None:
        self._router = router
        self._limits = limits or SubsetLimits()
        self._zones: dict[str, str] = {}
        self._buckets: dict[str, frozenset[int]] = {}

    def set_routers(self, zones: dict[str, str]) -> None:
        """Set the zones of all live routers, including this one, by name."""
        if zones != self._zones:
            self._zones = dict(zones)
            self._buckets = {}

    def serves(self, agent: Host) -> bool:
        """Whether this router serves an agent."""
        limits = self._limits
        if len(self._zones) <= limits.same_zone + limits.other_zones:
            return True
        own = self._buckets.get(agent.zone)
        if own is None:
            own = self._buckets[agent.zone] = self._own_buckets(agent.zone)
        return bucket_of(agent.name) in own

    def publishes_to(self, agent: Host) -> bool:
        """Whether this router pushes each change of the configuration to an agent."""
        if len(self._zones) <= self._limits.config_publishers:
            return True
        same_zone = [name for name, zone in self._zones.items() if zone == agent.zone]
        candidates = (
            same_zone if len(same_zone) >= self._limits.config_publishers else list(self._zones)
        )
        if self._router not in candidates:
            return False
        return self._ranks(
            agent.zone, bucket_of(agent.name), candidates, self._limits.config_publishers
        )

    def _own_buckets(self, zone: str) -> frozenset[int]:
        """Return the buckets of agents in a zone that this router serves."""
        same_zone = [name for name, router_zone in self._zones.items() if router_zone == zone]
        other_zones = [name for name, router_zone in self._zones.items() if router_zone != zone]
        limits = self._limits
        if len(same_zone) < limits.same_zone:
            candidates, count = list(self._zones), limits.same_zone + limits.other_zones
        elif self._zones.get(self._router) == zone:
            candidates, count = same_zone, limits.same_zone
        else:
            candidates, count = other_zones, limits.other_zones
        return frozenset(
            bucket for bucket in range(BUCKET_COUNT) if self._ranks(zone, bucket, candidates, count)
        )

    def _ranks(self, zone: str, bucket: int, routers: Iterable[str], count: int) -> bool:
        """Whether this router's weight for a bucket is among the highest."""
        own = rendezvous_weight(zone, bucket, self._router)
        higher = 0
        for name in routers:
            if name != self._router and rendezvous_weight(zone, bucket, name) > own:
                higher += 1
                if higher >= count:
                    return False
        return True


def bucket_of(agent: str) -> int:
    """Return the bucket of an agent."""
    return xxh3_64_intdigest(agent.encode()) % BUCKET_COUNT


def rendezvous_weight(zone: str, bucket: int, router: str) -> int:
    """Return the rendezvous weight of a router for a bucket of a zone."""
    return xxh3_64_intdigest(f"{zone}\0{bucket}\0{router}".encode())
