"""A router's view of its peers, from the host list and from the digests that they gossip."""

from dataclasses import dataclass
from random import Random

from umberhitch.ports import Clock, Host, LinkPort
from umberhitch.wire import RouterDigest

__all__ = ["Peers", "PeersLimits"]

MAX_MISSED_ROUNDS = 3
"""Gossip rounds without a digest after which a peer is presumed lost. A round is the time in which
a router receives one digest from each peer on average."""


@dataclass(frozen=True, slots=True)
class PeersLimits:
    """Fan-out of the gossip, and timeout of peers.

    Attributes
    ----------
    gossip_fanout : int
        Random peers that receive a digest each second. More would not spread updates much faster.
    min_digest_timeout_s : float
        Lower limit of the timeout of a peer, in seconds. The timeout grows with the number of
        peers, since each peer sends its digest to only a few others.
    """

    gossip_fanout: int = 3
    min_digest_timeout_s: float = 10.0


@dataclass(slots=True)
class _ReceivedDigest:
    digest: RouterDigest
    received_s: float


class Peers:
    """Maintains a router's view of the other routers.

    Parameters
    ----------
    router : str
        Name of this router.
    incarnation : int
    clock : Clock
    rng : Random
    link : LinkPort
    limits : PeersLimits
    """

    def __init__(
        self,
        router: str,
        incarnation: int,
        clock: Clock,
        rng: Random,
        link: LinkPort,
        limits: PeersLimits,
    ) -> None:
        self._router = router
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._link = link
        self._limits = limits
        self._digests: dict[str, _ReceivedDigest] = {}
        self.names: list[str] = []
        """Names of the other routers on the host list."""

    def update_hosts(self, routers: dict[str, Host]) -> None:
        """Connect to routers that are new on the host list, and disconnect those that left it."""
        others = {name: host for name, host in routers.items() if name != self._router}
        for name, host in others.items():
            if name not in self.names:
                self._link.connect(name, host.address)
        for name in self.names:
            if name not in others:
                self._link.disconnect(name)
        self.names = sorted(others)

    def sample(self) -> list[str]:
        """Return the names of a few random peers, for gossip."""
        return self._rng.sample(self.names, min(self._limits.gossip_fanout, len(self.names)))

    def handle_digest(self, sender: str, digest: RouterDigest) -> bool:
        """Store a digest; return False if it is from an incarnation that was replaced."""
        known = self._digests.get(sender)
        if known is not None and digest.incarnation < known.digest.incarnation:
            return False
        self._digests[sender] = _ReceivedDigest(digest, self._clock.seconds())
        return True

    @property
    def digest_timeout_s(self) -> float:
        """Seconds without a digest after which a peer is presumed lost."""
        rounds = MAX_MISSED_ROUNDS * len(self.names) / self._limits.gossip_fanout
        return max(self._limits.min_digest_timeout_s, rounds)

    def live_digests(self) -> list[RouterDigest]:
        """Return the latest digest of each live peer."""
        oldest_s = self._clock.seconds() - self.digest_timeout_s
        return [peer.digest for peer in self._digests.values() if peer.received_s >= oldest_s]

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Whether a router incarnation is a live peer or this router itself."""
        if name == self._router:
            return incarnation == self._incarnation
        return any(
            digest.router == name and digest.incarnation == incarnation
            for digest in self.live_digests()
        )

    def config_ages_s(self, revision: int) -> list[float]:
        """Return how old a configuration of this revision is in seconds, according to each peer."""
        now = self._clock.seconds()
        return [
            peer.digest.config_age_s + now - peer.received_s
            for peer in self._digests.values()
            if peer.digest.config_age_s >= 0 and peer.digest.revision <= revision
        ]
