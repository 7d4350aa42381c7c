"""A router that is stopped while callers' connections are open, on a virtual clock."""

import signal
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.cli._gateway_process import Shutdown
from umberhitch.fakes import FakeEndpoint
from umberhitch.gateway_node import GatewayNode
from umberhitch.testing._direct import DirectRouter, DirectWorld
from umberhitch.testing._transports import FakeTransport

__all__ = ["StoppedCaller", "StoppingRouter"]

GRACE_S = 8.0
"""Seconds from SIGTERM to SIGKILL."""
LIMIT_S = GRACE_S - 0.6
MAX_BODIES_BYTES = 10_000_000


@dataclass
class StoppedCaller:
    """One connection of a caller.

    Attributes
    ----------
    ended_s : float or None
        When the connection ended at its caller's side.
    """

    world: DirectWorld
    protocol: Any
    transport: FakeTransport
    call_id: str
    ended_s: float | None = None
    received: bytes = b""

    def send(self, data: bytes) -> None:
        """Send bytes, unless the connection has ended."""
        if not self.is_over:
            self.protocol.dataReceived(data)

    @property
    def is_over(self) -> bool:
        """Whether the router has ended the connection, or its process has."""
        has_ended = self.transport.disconnecting or self.transport.disconnected
        return has_ended or self.ended_s is not None

    @property
    def statuses(self) -> list[int]:
        """Statuses of the answers that came complete."""
        answers = (self.received + self.transport.value()).split(b"HTTP/1.1 ")[1:]
        return [int(each[:3]) for each in answers if _is_complete(each)]


def _is_complete(answer: bytes) -> bool:
    head, _, body = answer.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return body.endswith(b"0\r\n\r\n")


@dataclass
class StoppingRouter:
    """A router with its callers' connections, and the process that ends it.

    Attributes
    ----------
    reply_s : float
        Time that an endpoint works.
    """

    world: DirectWorld = field(default_factory=DirectWorld)
    reply_s: float = 0.1
    settings: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.endpoint: FakeEndpoint = self.world.add_endpoint("e1")
        self.endpoint.reply.delay_s = self.reply_s
        self.router: DirectRouter = self.world.ready_router()
        self.callers: list[StoppedCaller] = []
        self.ended_s: float | None = None
        """When the process has ended."""
        self.exit_code: int | None = None
        self._began_s: float | None = None
        sockets = SimpleNamespace(close=lambda: None)
        router = self.router
        self.factory = CallerFactory(router.clock, router.gateway, MAX_BODIES_BYTES)
        self.node = GatewayNode(
            router.gateway,
            router.trials,
            router.peers,
            router.holds,
            sockets,  # type: ignore[arg-type]
            sockets,  # type: ignore[arg-type]
            self.factory,
            "",
            {},
        )
        clock = self.world.clock
        reactor = SimpleNamespace(
            callLater=clock.callLater,
            callFromThread=lambda action: action(),
            seconds=clock.seconds,
            stop=self._end,
        )
        self._shutdown = Shutdown(reactor, self.node, LIMIT_S)

    def connect(self) -> StoppedCaller:
        """Open a connection."""
        protocol, transport = self.factory.buildProtocol(None), FakeTransport()
        assert protocol is not None
        protocol.makeConnection(transport)
        caller = StoppedCaller(self.world, protocol, transport, f"w{len(self.callers)}")
        self.callers.append(caller)
        return caller

    def head(self, caller: StoppedCaller, length: int | None, path: str = "/order/x") -> bytes:
        """Return the head of a request with a body of some length, or in chunks."""
        framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
        lines = [f"POST {path} HTTP/1.1", "Host: models.example", f"Id: {caller.call_id}"]
        return "\r\n".join([*lines, "Key: key-1", framing, "", ""]).encode()

    def at(self, after_s: float, action: Any, *args: Any) -> None:
        """Do something so many seconds after the signal, which must not have been given yet."""
        self.world.clock.callLater(after_s, action, *args)

    def upload(
        self, pieces_s: list[float], is_chunked: bool = False, path: str = "/order/x"
    ) -> StoppedCaller:
        """Plan an upload: the head and a part of the body at each time, from the signal on."""
        caller = self.connect()
        parts = [b"x" * 10] * (len(pieces_s) - 1)
        size = sum(map(len, parts))
        sent = [self.head(caller, None if is_chunked else size, path)]
        sent += [b"a\r\n" + part + b"\r\n" if is_chunked else part for part in parts]
        if is_chunked:
            sent[-1] += b"0\r\n\r\n"
        for at_s, data in zip(pieces_s, sent, strict=True):
            self.at(at_s, caller.send, data)
        return caller

    def stop(self, number: int = signal.SIGTERM) -> None:
        """Send the signal."""
        if self._began_s is None:
            self._began_s = self.world.clock.seconds()
        self._shutdown._on_signal(number, None)

    def play(self, seconds: float = GRACE_S + 1.0) -> "StoppingRouter":
        """Send SIGTERM and let time pass."""
        self.stop()
        self.world.run(seconds)
        return self

    def runs(self, caller: StoppedCaller) -> int:
        """Return how often the request of a connection ran."""
        wanted = caller.call_id
        return sum(call.call_id == wanted for call in self.endpoint.calls)

    def _end(self) -> None:
        """End the process: what its connections have not written is lost."""
        assert self._began_s is not None
        self.ended_s = self.world.clock.seconds() - self._began_s
        self.exit_code = self._shutdown.exit_code
        self.router.clock.is_paused = True
        for caller in self.callers:
            if caller.ended_s is None:
                caller.ended_s = self.ended_s
