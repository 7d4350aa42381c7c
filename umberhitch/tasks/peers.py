"""What a router knows of the others: from the host list, and from their digests."""

from dataclasses import dataclass
from random import Random

from umberhitch.ports import Clock, Host, LinkPort
from umberhitch.wire import RouterDigest

__all__ = ["Peers", "PeersLimits"]

MAX_MISSED_ROUNDS = 3
"""Rounds in which every peer should have been heard once, before one counts as silent."""


@dataclass(frozen=True, slots=True)
class PeersLimits:
    """How often peers are told, and how long they may be silent.

    Attributes
    ----------
    per_round : int
        Routers that get a digest each second; more would not make news travel much faster.
    silence_s : float
        At least; it grows with the number of peers, since each tells only a few.
    """

    gossip_fanout: int = 3
    min_digest_timeout_s: float = 10.0


@dataclass(slots=True)
class _Peer:
    digest: RouterDigest
    heard_s: float


class Peers:
    """Owns a router's view of the other routers.

    Parameters
    ----------
    router : str
        The own name.
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
        self._heard: dict[str, _Peer] = {}
        self.names: list[str] = []
        """The other routers on the host list."""

    def update_hosts(self, routers: dict[str, Host]) -> None:
        """Take the routers on the host list."""
        others = {name: host for name, host in routers.items() if name != self._router}
        for name, host in others.items():
            if name not in self.names:
                self._link.connect(name, host.address)
        for name in self.names:
            if name not in others:
                self._link.disconnect(name)
        self.names = sorted(others)

    def sample(self) -> list[str]:
        """Return a few random peers, for what is to travel by gossip."""
        return self._rng.sample(self.names, min(self._limits.gossip_fanout, len(self.names)))

    def handle_digest(self, sender: str, digest: RouterDigest) -> bool:
        """Take a digest; returns whether it is not from a replaced incarnation."""
        known = self._heard.get(sender)
        if known is not None and digest.incarnation < known.digest.incarnation:
            return False
        self._heard[sender] = _Peer(digest, self._clock.seconds())
        return True

    @property
    def digest_timeout_s(self) -> float:
        """How long a peer may be silent before it is taken for lost."""
        rounds = MAX_MISSED_ROUNDS * len(self.names) / self._limits.gossip_fanout
        return max(self._limits.min_digest_timeout_s, rounds)

    def live_digests(self) -> list[RouterDigest]:
        """Return the digests of the peers that were heard lately."""
        horizon_s = self._clock.seconds() - self.digest_timeout_s
        return [peer.digest for peer in self._heard.values() if peer.heard_s >= horizon_s]

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Whether a router incarnation was heard lately, or is the own one."""
        if name == self._router:
            return incarnation == self._incarnation
        return any(
            digest.router == name and digest.incarnation == incarnation
            for digest in self.live_digests()
        )

    def config_ages_s(self, revision: int) -> list[float]:
        """Return how old a configuration of this revision may be, by each peer's word."""
        now = self._clock.seconds()
        return [
            peer.digest.config_age_s + now - peer.heard_s
            for peer in self._heard.values()
            if peer.digest.config_age_s >= 0 and peer.digest.revision <= revision
        ]
