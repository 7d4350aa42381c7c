"""Tests of a router's view of its peers."""

from random import Random

from twisted.internet.task import Clock

from umberhitch.fakes import FakeNetwork
from umberhitch.ports import Host, HostRole
from umberhitch.tasks.peers import Peers, PeersLimits
from umberhitch.wire import RouterDigest


def make_peers(count: int) -> tuple[Clock, Peers]:
    clock = Clock()
    link = FakeNetwork(clock, Random(1)).link("r0")
    peers = Peers("r0", 1, clock, Random(2), link, PeersLimits())
    peers.update_hosts({f"r{i}": Host(f"r{i}", HostRole.ROUTER, "a", "-") for i in range(count)})
    return clock, peers


def make_digest(
    name: str, incarnation: int = 1, revision: int = 0, age_s: float = 0.5
) -> RouterDigest:
    return RouterDigest(name, incarnation, "a", revision, {}, age_s)


def test_a_peer_without_recent_digests_is_lost() -> None:
    clock, peers = make_peers(3)
    peers.handle_digest("r1", make_digest("r1"))
    assert peers.is_alive("r1", 1)
    assert not peers.is_alive("r1", 2)
    clock.advance(10.5)
    assert not peers.is_alive("r1", 1)
    assert peers.is_alive("r0", 1)


def test_the_timeout_grows_with_the_number_of_peers() -> None:
    """Each peer sends digests to three others per second, so those of one of many are rare."""
    clock, peers = make_peers(370)
    peers.handle_digest("r1", make_digest("r1"))
    clock.advance(200.0)
    assert peers.is_alive("r1", 1)


def test_a_digest_of_a_replaced_incarnation_is_ignored() -> None:
    _, peers = make_peers(3)
    assert peers.handle_digest("r1", make_digest("r1", incarnation=5))
    assert not peers.handle_digest("r1", make_digest("r1", incarnation=4))


def test_the_configuration_age_includes_the_time_since_the_digest() -> None:
    clock, peers = make_peers(3)
    peers.handle_digest("r1", make_digest("r1", revision=3, age_s=0.5))
    peers.handle_digest("r2", make_digest("r2", revision=9, age_s=0.1))
    clock.advance(2.0)
    assert peers.config_ages_s(revision=3) == [2.5]
    assert len(peers.config_ages_s(revision=9)) == 2
