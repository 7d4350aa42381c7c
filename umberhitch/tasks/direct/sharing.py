"""One router reads the platform's store for several: the others ask it instead.

Each call to the store costs, and most would bring every router the same. One of each `READER_GROUP`
reads, those with the fastest links, and the others ask it what has changed. It holds an
ask until something has, as the store does. What it tells rests on its own reads, and it says how
old they are: so an answer proves to the one who asked that its view was the newest at a time that
it can tell by its own clock, whatever was frozen or late in between. An ask that is not answered in
time, or from a view that is too old, is put to the next reader and then to the store, so that a
reader that fails costs one short wait. How a stream is read and told: `tasks/direct/shared_view`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred

from umberhitch.ports.clock import Clock, Timer
from umberhitch.wire import Message, ViewReply, ViewRequest

__all__ = ["READER_GROUP", "Answerer", "Sharing", "StreamName"]

READER_GROUP = 32
"""Routers for which one reads. It answers some 4 asks a second for each, at some 0.1 ms."""
TELL_S = 0.5
"""A change is told where the reader's link carries it to all in this time; else they read it."""
UNKNOWN_LINK_MBPS = 10.0
"""Taken for the link's bandwidth where the settings do not name it."""


class StreamName(StrEnum):
    """The streams that are read for others."""

    OPERATOR = "operator"
    REGISTRY = "registry"


class Answerer(Protocol):
    """Answers what peers ask of one stream."""

    def on_ask(self, sender: str, ask: ViewRequest) -> None:
        """Answer, at once or later."""
        ...


@dataclass(slots=True)
class _Asked:
    done: "Deferred[ViewReply | None]"
    timer: Timer


@dataclass(slots=True)
class Sharing:
    """The link's side: sends asks and replies, and knows whom to ask.

    Attributes
    ----------
    name : str
        This router's.
    incarnation : int
        Replies to asks of an earlier one are not taken.
    send : callable
        Sends a message to a peer.
    peers : callable
        Returns the names of the peers that the store lists.
    link_mbps : callable
        Returns the bandwidth of a router's link, 0 where it is not known.
    """

    name: str
    incarnation: int
    clock: Clock
    rng: Random
    send: Callable[[str, Message], None]
    peers: Callable[[], list[str]] = list
    link_mbps: Callable[[str], float] = lambda name: 0.0
    answerers: dict[str, Answerer] = field(default_factory=dict)
    """By stream."""
    _asked: dict[int, _Asked] = field(default_factory=dict)
    _last_ask: int = 0

    def names(self) -> list[str]:
        """Return the names of the peers that the store lists."""
        return self.peers()

    def tell_bytes(self) -> float:
        """Return how large a change may be that is told, so that all peers have it in time."""
        link_bytes_per_s = (self.link_mbps(self.name) or UNKNOWN_LINK_MBPS) * 1e6 / 8
        return link_bytes_per_s * TELL_S / max(1, len(self.peers()))

    def reader(self, shunned: set[str], among_others: bool = False) -> str | None:
        """Return who reads for this router, or None if it reads itself.

        Those with the fastest links read: what they read the others wait for.

        Parameters
        ----------
        shunned : set of str
            Peers that are not asked.
        among_others : bool
            Whether this router does not read itself.
        """
        own = set() if among_others else {self.name}
        names = sorted({self.name, *self.peers()} - shunned | own)
        if not names:
            return None
        fastest = sorted(names, key=lambda name: (-self.link_mbps(name), name))
        readers = fastest[: -(-len(names) // READER_GROUP)]
        if self.name in readers:
            return None
        place = sum(name < self.name for name in names)
        return readers[place % len(readers)]

    def any_peer(self) -> str | None:
        """Return a peer by chance, or None."""
        names = self.peers()
        return self.rng.choice(sorted(names)) if names else None

    def ask(
        self,
        peer: str,
        stream: str,
        offset: int,
        hold_s: float,
        patience_s: float,
        is_patient: bool = False,
    ) -> "Deferred[ViewReply | None]":
        """Ask a peer what has changed; the result is None where no answer comes in time."""
        self._last_ask += 1
        number = self._last_ask
        done: Deferred[ViewReply | None] = Deferred()
        timer = self.clock.callLater(hold_s + patience_s, self._give_up, number)
        self._asked[number] = _Asked(done, timer)
        self.send(peer, ViewRequest(number, self.incarnation, stream, offset, hold_s, is_patient))
        return done

    def _give_up(self, number: int) -> None:
        self._asked.pop(number).done.callback(None)

    def receive(self, sender: str, message: ViewRequest | ViewReply) -> None:
        """Handle what a peer sent."""
        match message:
            case ViewRequest():
                answerer = self.answerers.get(message.stream)
                if answerer is not None:
                    answerer.on_ask(sender, message)
            case ViewReply() if message.incarnation == self.incarnation:
                asked = self._asked.pop(message.request_id, None)
                if asked is not None:
                    asked.timer.cancel()
                    asked.done.callback(message)
