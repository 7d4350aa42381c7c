"""The link over ZeroMQ: one socket that listens, one that dials, both read by the reactor.

A ZeroMQ descriptor is edge-triggered: after every send and every read the socket's events are
looked at again, since new ones may have come without waking the descriptor.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from hmac import compare_digest
from logging import getLogger
from typing import Any

import zmq
import zmq.utils.z85
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from umberhitch.errors import FrameError
from umberhitch.ports.clock import Clock
from umberhitch.ports.link import Receiver
from umberhitch.wire import MAX_FRAME_BYTES, Message, decode_frame, encode_frame

__all__ = ["CurveKeys", "LinkCounters", "ZmqLink", "make_context"]

log = getLogger(__name__)

HIGH_WATER_MARK = 10_000
"""Frames queued for a peer that does not read; more are dropped and repaired by the tasks."""
CONNECT_MS = 1000
"""A connect that nothing answers is tried anew after this, far over a hop's some ms. Left to itself
the network tries for minutes, ever more rarely, a host that was without power meanwhile."""
HANDSHAKE_MS = 2000
"""The same for a connection on which nothing comes: the library by itself waits for 30 s."""
READ_BURST = 200
"""Frames read before other work gets its turn."""


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Keys of the link (CurveZMQ, ZeroMQ RFC 26), Z85-encoded; one pair for the deployment."""

    public: bytes
    secret: bytes = field(repr=False)


@dataclass(slots=True)
class LinkCounters:
    """Counts since the start."""

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    malformed: int = 0
    unroutable: int = 0


class _DeploymentKey:
    """Admits the peers that hold the deployment's own key pair."""

    def __init__(self, public: bytes) -> None:
        self._public = zmq.utils.z85.decode(public)

    def callback(self, domain: str, key: bytes) -> bool:
        """Whether a peer's public key is the deployment's."""
        return compare_digest(zmq.utils.z85.decode(key), self._public)


def make_context(keys: CurveKeys | None = None) -> zmq.Context:
    """Return a context for the links of one process.

    With keys, a peer must prove that it holds the deployment's secret key; the library's own
    authenticator (ZeroMQ RFC 27) asks for that.
    """
    context = zmq.Context()
    if keys is not None:
        from zmq.auth.thread import ThreadAuthenticator  # 7 MB that only this needs

        authenticator = ThreadAuthenticator(context)
        authenticator.start()
        authenticator.configure_curve_callback("*", _DeploymentKey(keys.public))
    return context


@implementer(IReadDescriptor)
class _Reader:
    """Lets the reactor watch a socket's descriptor."""

    def __init__(self, socket: zmq.Socket, on_ready: Callable[[], None]) -> None:
        self._socket = socket
        self._on_ready = on_ready

    def fileno(self) -> int:
        if self._socket.closed:
            return -1
        return int(self._socket.getsockopt(zmq.FD))

    def doRead(self) -> None:
        self._on_ready()

    def connectionLost(self, reason: Any) -> None:
        pass

    def logPrefix(self) -> str:
        return "zmq"


@dataclass(frozen=True, slots=True)
class _Dialed:
    """A route to a peer."""

    address: str
    route: bytes
    """Its id at the socket that dials."""


class ZmqLink:
    """Owns the sockets of one process.

    Parameters
    ----------
    name : str
        This process's name; peers address it by it.
    reactor : Clock
        A Twisted reactor with file descriptors.
    context : zmq.Context
    address : str or None
        ``IP:PORT`` to listen on; port 0 takes a free one.
    keys : CurveKeys or None
        None leaves the link unprotected, which the settings admit only on loopback.
    flush_s : float
        How long patient messages wait for others to the same peer.
    """

    def __init__(
        self,
        name: str,
        reactor: Any,
        context: zmq.Context,
        address: str | None,
        keys: CurveKeys | None = None,
        flush_s: float = 0.0,
    ) -> None:
        self.counters = LinkCounters()
        self.name = name
        self.address = ""
        self._reactor = reactor
        self._clock: Clock = reactor
        self._flush_s = flush_s
        self._receiver: Receiver | None = None
        self._out: dict[str, list[Message]] = {}
        self._urgent: set[str] = set()
        self._is_flush_due = False
        self._is_patient_flush_due = False
        self._dialed: dict[str, _Dialed] = {}
        self._inbound: set[str] = set()
        """Peers that are reached over the connections that they have made."""
        self._dials = 0
        self._dialed_peers: dict[bytes, str] = {}
        """By the id of the route to them."""
        self._is_closed = False
        self._listener = self._make_socket(context, keys, is_server=True)
        self._dialer = self._make_socket(context, keys, is_server=False)
        if address is not None:
            self._listener.bind(f"tcp://{address}")
            self.address = self._listener.getsockopt_string(zmq.LAST_ENDPOINT).split("//")[1]
        self._readers = [
            _Reader(sock, lambda sock=sock: self._read(sock))  # type: ignore[misc]
            for sock in (self._listener, self._dialer)
        ]
        for reader in self._readers:
            reactor.addReader(reader)

    def _make_socket(
        self, context: zmq.Context, keys: CurveKeys | None, is_server: bool
    ) -> zmq.Socket:
        sock = context.socket(zmq.ROUTER)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        sock.setsockopt(zmq.ROUTER_HANDOVER, 1)
        sock.setsockopt(zmq.HEARTBEAT_IVL, 5000)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, 15000)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, 5000)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)
        sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        sock.setsockopt(zmq.IDENTITY, self.name.encode())
        if keys is not None:
            sock.curve_publickey = keys.public
            sock.curve_secretkey = keys.secret
            if is_server:
                sock.curve_server = True
            else:
                sock.curve_serverkey = keys.public
        return sock

    # LinkPort

    def listen(self, receiver: Receiver) -> None:
        """Deliver what arrives to ``receiver``."""
        self._receiver = receiver
        self._reactor.callLater(0, self._read_both)

    def connect(self, peer: str, address: str) -> None:
        """Make the peer reachable at ``IP:PORT``; a new address replaces the old one."""
        known = self._dialed.get(peer)
        if known is not None and known.address == address:
            return
        self.disconnect(peer)
        # Each route has an id of its own: the library ends the process where one is used again
        # before the route before it is taken down, which it does in its own time.
        self._dials += 1
        route = f"{peer}#{self._dials}".encode()
        self._dialer.setsockopt(zmq.CONNECT_ROUTING_ID, route)
        self._dialer.connect(f"tcp://{address}")
        self._dialed[peer] = _Dialed(address, route)
        self._dialed_peers[route] = peer

    def use_inbound(self, peer: str) -> None:
        """Send to the peer over the connection that it has made to this process.

        The own one to the process before is tried ever more rarely, and may go to an old address.
        """
        self._inbound.add(peer)

    def disconnect(self, peer: str) -> None:
        """Forget the peer."""
        self._inbound.discard(peer)
        known = self._dialed.pop(peer, None)
        if known is None:
            return
        del self._dialed_peers[known.route]
        try:
            self._dialer.disconnect(f"tcp://{known.address}")
        except zmq.ZMQError as exc:
            log.warning("disconnect failed", extra={"peer": peer, "error": str(exc)})

    def send(self, peer: str, message: Message, is_deferrable: bool = False) -> None:
        """Queue a message; messages to one peer share frames.

        A patient message waits up to ``flush_s`` for others; any other goes at the end of the turn
        and takes along what waits for the same peer.
        """
        self._out.setdefault(peer, []).append(message)
        if is_deferrable and self._flush_s > 0:
            if not self._is_patient_flush_due:
                self._is_patient_flush_due = True
                self._clock.callLater(self._flush_s, self._flush_patient)
            return
        self._urgent.add(peer)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._clock.callLater(0, self._flush_urgent)

    def close(self) -> None:
        """Send what is queued and close the sockets."""
        if self._is_closed:
            return
        self._flush(set(self._out))
        self._is_closed = True
        for reader in self._readers:
            self._reactor.removeReader(reader)
        for sock in (self._listener, self._dialer):
            sock.close(linger=200)

    # Sockets

    def _flush_urgent(self) -> None:
        self._is_flush_due = False
        urgent, self._urgent = self._urgent, set()
        self._flush(urgent)

    def _flush_patient(self) -> None:
        self._is_patient_flush_due = False
        self._flush(set(self._out))

    def _flush(self, peers: set[str]) -> None:
        if self._is_closed:
            return
        for peer in peers:
            messages = self._out.pop(peer, None)
            if messages:
                self._send_frame(peer, encode_frame(self.name, messages))
        self._read_both()

    def _send_frame(self, peer: str, frame: bytes) -> None:
        dialed = self._dialed.get(peer)
        is_sent = (dialed is None or peer in self._inbound) and self._try_send(
            self._listener, peer.encode(), frame
        )
        if not is_sent and dialed is not None:
            is_sent = self._try_send(self._dialer, dialed.route, frame)
        if not is_sent:
            self.counters.unroutable += 1
            return
        self.counters.frames_out += 1
        self.counters.bytes_out += len(frame)

    def _try_send(self, sock: zmq.Socket, route: bytes, frame: bytes) -> bool:
        """Send on one route; return whether there is such a route."""
        try:
            sock.send_multipart([route, frame], zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def _read_both(self) -> None:
        self._read(self._listener)
        self._read(self._dialer)

    def _read(self, sock: zmq.Socket) -> None:
        if self._is_closed or self._receiver is None:
            return
        for _ in range(READ_BURST):
            try:
                parts = sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._deliver(parts, sock is self._dialer)
            if self._is_closed:
                return
        self._clock.callLater(0, self._read, sock)

    def _deliver(self, parts: list[bytes], is_dialed: bool) -> None:
        self.counters.frames_in += 1
        if len(parts) != 2:
            self.counters.malformed += 1
            return
        self.counters.bytes_in += len(parts[1])
        try:
            frame = decode_frame(parts[1])
        except FrameError as exc:
            self.counters.malformed += 1
            log.warning("frame dropped", extra={"error": str(exc)})
            return
        peer = self._dialed_peers.get(parts[0], "").encode() if is_dialed else parts[0]
        if frame.sender.encode() != peer:
            self.counters.malformed += 1
            log.warning("frame from the wrong peer dropped", extra={"peer": frame.sender})
            return
        assert self._receiver is not None
        self._receiver(frame.sender, frame.messages)
