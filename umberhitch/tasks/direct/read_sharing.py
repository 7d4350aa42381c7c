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

__all__ = ["READER_GROUP", "ReadSharing", "StreamName", "ViewRequestHandler"]

READER_GROUP = 32
"""Routers for which one reads. It answers some 4 asks a second for each, at some 0.1 ms."""
MAX_SEND_S = 0.5
"""A change is told where the reader's link carries it to all in this time; else they read it."""
DEFAULT_LINK_MBPS = 10.0
"""Taken for the link's bandwidth where the settings do not name it."""


class StreamName(StrEnum):
    """The streams that are read for others."""

    OPERATOR = "operator"
    REGISTRY = "registry"


class ViewRequestHandler(Protocol):
    """Answers what peers ask of one stream."""

    def handle_request(self, sender: str, request: ViewRequest) -> None:
        """Answer, at once or later."""
        ...


@dataclass(slots=True)
class _PendingRequest:
    done: "Deferred[ViewReply | None]"
    timer: Timer


@dataclass(slots=True)
class ReadSharing:
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
    handlers: dict[str, ViewRequestHandler] = field(default_factory=dict)
    """By stream."""
    _pending: dict[int, _PendingRequest] = field(default_factory=dict)
    _last_request_id: int = 0

    def peer_names(self) -> list[str]:
        """Return the names of the peers that the store lists."""
        return self.peers()

    def max_change_bytes(self) -> float:
        """Return how large a change may be that is told, so that all peers have it in time."""
        link_bytes_per_s = (self.link_mbps(self.name) or DEFAULT_LINK_MBPS) * 1e6 / 8
        return link_bytes_per_s * MAX_SEND_S / max(1, len(self.peers()))

    def choose_reader(self, excluded: set[str], excludes_self: bool = False) -> str | None:
        """Return who reads for this router, or None if it reads itself.

        Those with the fastest links read: what they read the others wait for.

        Parameters
        ----------
        excluded : set of str
            Peers that are not asked.
        excludes_self : bool
            Whether this router does not read itself.
        """
        own = set() if excludes_self else {self.name}
        names = sorted({self.name, *self.peers()} - excluded | own)
        if not names:
            return None
        fastest = sorted(names, key=lambda name: (-self.link_mbps(name), name))
        readers = fastest[: -(-len(names) // READER_GROUP)]
        if self.name in readers:
            return None
        place = sum(name < self.name for name in names)
        return readers[place % len(readers)]

    def random_peer(self) -> str | None:
        """Return a peer by chance, or None."""
        names = self.peers()
        return self.rng.choice(sorted(names)) if names else None

    def request_changes(
        self,
        peer: str,
        stream: str,
        offset: int,
        hold_s: float,
        timeout_s: float,
        is_patient: bool = False,
    ) -> "Deferred[ViewReply | None]":
        """Ask a peer what has changed; the result is None where no answer comes in time."""
        self._last_request_id += 1
        number = self._last_request_id
        done: Deferred[ViewReply | None] = Deferred()
        timer = self.clock.callLater(hold_s + timeout_s, self._time_out, number)
        self._pending[number] = _PendingRequest(done, timer)
        self.send(peer, ViewRequest(number, self.incarnation, stream, offset, hold_s, is_patient))
        return done

    def _time_out(self, number: int) -> None:
        self._pending.pop(number).done.callback(None)

    def receive(self, sender: str, message: ViewRequest | ViewReply) -> None:
        """Handle what a peer sent."""
        match message:
            case ViewRequest():
                answerer = self.handlers.get(message.stream)
                if answerer is not None:
                    answerer.handle_request(sender, message)
            case ViewReply() if message.incarnation == self.incarnation:
                asked = self._pending.pop(message.request_id, None)
                if asked is not None:
                    asked.timer.cancel()
                    asked.done.callback(message)
