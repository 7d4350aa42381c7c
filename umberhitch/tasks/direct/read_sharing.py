"""One router reads the platform's store for several others, which send their requests to it.

Each call to the store has a cost, and most would bring every router the same records. One router of
each `READER_GROUP`, chosen by the bandwidth of its link, reads, and the others request the changes
from it. Like the store, it holds a request until there is a change. Its reply states the age of its
view. From that age and its own clock, the requesting router derives a time up to which its own view
is proved to be the newest, even if a process was frozen or a message was late in between. A request
that is not answered in time, or from a view that is too old, goes to the next reader and then to
the store, so that a failed reader costs one short wait. `tasks/direct/shared_view` reads and serves
the streams.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred

from umberhitch.core.direct import Position, StoreEpoch, epoch_of, offset_of
from umberhitch.ports.clock import Clock, Timer
from umberhitch.wire import Message, ViewReply, ViewRequest

__all__ = ["READER_GROUP", "ReadSharing", "StreamName", "ViewRequestHandler"]

READER_GROUP = 32
"""Number of routers per reader. It answers about 4 requests a second for each, at about 0.1 ms."""
MAX_SEND_S = 0.5
"""Upper limit of the time to send a change to all peers over the reader's link; for larger changes,
the peers read the store."""
DEFAULT_LINK_MBPS = 10.0
"""Bandwidth assumed for a link whose bandwidth is not in the settings."""


class StreamName(StrEnum):
    """The streams that are read for other routers."""

    OPERATOR = "operator"
    REGISTRY = "registry"


class ViewRequestHandler(Protocol):
    """Answers the requests of peers for one stream."""

    def handle_request(self, sender: str, request: ViewRequest) -> None:
        """Answer a request, at once or later."""
        ...


@dataclass(slots=True)
class _PendingRequest:
    done: "Deferred[ViewReply | None]"
    timer: Timer


@dataclass(slots=True)
class ReadSharing:
    """Sends requests and replies over the link, and chooses the reader.

    Attributes
    ----------
    name : str
        Name of this router.
    incarnation : int
        Incarnation of this router; replies to requests of an earlier one are ignored.
    send : callable
        Sends a message to a peer.
    peers : callable
        Returns the names of the peers that the store lists.
    is_left_out : callable
        Whether the store does not list this router, so that no peer sends its requests here.
    link_mbps : callable
        Returns the bandwidth of a router's link, 0 if it is not known.
    epochs : StoreEpoch
        The epoch of the store, which peers tell each other.
    """

    name: str
    incarnation: int
    clock: Clock
    rng: Random
    send: Callable[[str, Message], None]
    peers: Callable[[], list[str]] = list
    is_left_out: Callable[[], bool] = lambda: False
    link_mbps: Callable[[str], float] = lambda name: 0.0
    epochs: StoreEpoch = field(default_factory=StoreEpoch)
    handlers: dict[str, ViewRequestHandler] = field(default_factory=dict)
    """Handlers of requests by stream."""
    _pending: dict[int, _PendingRequest] = field(default_factory=dict)
    _last_request_id: int = 0

    def peer_names(self) -> list[str]:
        """Return the names of the peers that the store lists."""
        return self.peers()

    def max_change_bytes(self) -> float:
        """Return the maximum size of a change that can be sent to all peers in time."""
        link_bytes_per_s = (self.link_mbps(self.name) or DEFAULT_LINK_MBPS) * 1e6 / 8
        return link_bytes_per_s * MAX_SEND_S / max(1, len(self.peers()))

    def choose_reader(self, excluded: set[str], excludes_self: bool = False) -> str | None:
        """Return the reader for this router, or None if it reads the store itself.

        The routers with the fastest links read, since the others wait for their reads.

        Parameters
        ----------
        excluded : set of str
            Peers that are not sent requests.
        excludes_self : bool
            Whether this router is not a candidate.
        """
        own = set() if excludes_self or self.is_left_out() else {self.name}
        names = sorted({*self.peers()} - excluded - {self.name} | own)
        if not names:
            return None
        fastest = sorted(names, key=lambda name: (-self.link_mbps(name), name))
        readers = fastest[: -(-len(names) // READER_GROUP)]
        if self.name in readers:
            return None
        rank = sum(name < self.name for name in names)
        return readers[rank % len(readers)]

    def random_peer(self) -> str | None:
        """Return a random peer, or None if there is none."""
        names = self.peers()
        return self.rng.choice(sorted(names)) if names else None

    def request_changes(
        self,
        peer: str,
        stream: str,
        position: Position,
        hold_s: float,
        timeout_s: float,
        is_patient: bool = False,
    ) -> "Deferred[ViewReply | None]":
        """Request the changes since a position from a peer; None if no reply arrives in time."""
        self._last_request_id += 1
        request_id = self._last_request_id
        done: Deferred[ViewReply | None] = Deferred()
        timer = self.clock.callLater(hold_s + timeout_s, self._time_out, request_id)
        self._pending[request_id] = _PendingRequest(done, timer)
        request = ViewRequest(
            request_id,
            self.incarnation,
            stream,
            offset_of(position),
            hold_s,
            is_patient,
            max(0, epoch_of(position)),
            self.epochs.current,
        )
        self.send(peer, request)
        return done

    def _time_out(self, request_id: int) -> None:
        self._pending.pop(request_id).done.callback(None)

    def receive(self, sender: str, message: ViewRequest | ViewReply) -> None:
        """Handle a message of a peer."""
        match message:
            case ViewRequest():
                handler = self.handlers.get(message.stream)
                self.epochs.note_peer(message.known_epoch, self.clock.seconds())
                if handler is not None:
                    handler.handle_request(sender, message)
            case ViewReply() if message.incarnation == self.incarnation:
                pending = self._pending.pop(message.request_id, None)
                if pending is not None:
                    self.epochs.note_peer(message.epoch, self.clock.seconds())
                    pending.timer.cancel()
                    pending.done.callback(message)
