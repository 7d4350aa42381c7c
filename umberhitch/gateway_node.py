"""A whole router of the direct path: settings in, running process out."""

from dataclasses import dataclass
from logging import getLogger
from random import Random, SystemRandom
from socket import AF_INET, socket
from time import time
from typing import Any

from twisted.internet.defer import Deferred

from umberhitch.adapters.accept_gate import AcceptGate
from umberhitch.adapters.gateway_pages import GatewayPages
from umberhitch.adapters.h11_callers import CallerFactory
from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.held_bytes import HeldBytes
from umberhitch.adapters.stored_holds import HoldsStore
from umberhitch.adapters.zmq_link import ZmqLink
from umberhitch.addresses import split_address
from umberhitch.core.direct import CanaryLimits, ColdLimits, RetryBudgetLimits, StoreEpoch
from umberhitch.gateway_settings import GatewayFile
from umberhitch.platform import (
    Members,
    PlatformWire,
    Statuses,
    calls_for_admission_control,
    make_endpoint_feed,
    make_operator_feed,
    make_store_client,
)
from umberhitch.ports.direct import Member
from umberhitch.tasks.burn import BurnContext, BurnTask
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.tasks.direct.gateway import Gateway
from umberhitch.tasks.direct.gateway_limits import GatewaySettings
from umberhitch.tasks.direct.peers import DirectPeers
from umberhitch.tasks.direct.read_sharing import ReadSharing, StreamName
from umberhitch.tasks.direct.shared_view import share_stream
from umberhitch.tasks.direct.startup_wait import accept_when_loaded
from umberhitch.tasks.direct.stored_holds import StoredHolds

__all__ = ["GatewayNode", "make_gateway_node"]

log = getLogger(__name__)

PROOF_MARGIN = 0.97
"""Share of the revocation bound after which requests with keys are refused. Proof and request are
timed by the same steady clock, and a request was sent before its first byte is read."""
BEHIND_MARGIN = 0.93
"""Share of the bound on configurations after which a router that knows of a newer one refuses
requests. It hears of one some 0.01 s after the store has it, 0.2 s where its reader is slow."""
BODIES_SHARE = 0.25
"""Share of the process's memory that callers' bodies may take."""
HELD_SHARE = 0.5
"""Share of the process's memory for all held bytes, with the bodies; the rest is the program's."""
SETTLE_S = 0.05
"""After the listening socket was closed, connections that it had accepted are read for so long."""
MIB = 1024 * 1024


@dataclass(slots=True)
class GatewayNode:
    """A running router of the direct path with its sockets."""

    gateway: Gateway
    trials: CanaryController
    peers: DirectPeers
    holds: StoredHolds
    link: ZmqLink
    client: EndpointClient
    callers: CallerFactory
    callers_address: str
    _ports: dict[str, Any]

    def __post_init__(self) -> None:
        self.gateway.presence.drain.connections = self.callers

    def addresses(self) -> dict[str, str]:
        """Return where the router listens."""
        found = {"link": self.link.address, "callers": self.callers_address}
        for name, port in self._ports.items():
            at = port.getHost()
            found[name] = f"{at.host}:{at.port}"
        return found

    def take_callers(self, port: Any) -> None:
        """Take callers at a port from now on."""
        self._ports["callers"] = port

    def drain(self) -> Deferred[None]:
        """Answer what callers send until nothing is under way, then close what is idle."""
        drained: Deferred[None] = Deferred()

        def close() -> None:
            port = self._ports.pop("callers", None)
            if port is not None:
                port.stopListening()
            self.peers.leave()
            self.gateway.clock.callLater(SETTLE_S, settle)

        def settle() -> None:
            if self.callers.is_under_way():
                self.gateway.clock.callLater(SETTLE_S, settle)
                return
            self.callers.close_idle()
            drained.callback(None)

        self.gateway.drain(self.callers.close_idle, close, self.callers.refuse_incomplete)
        return drained

    def stop(self) -> None:
        """Close every socket but those of callers, which get a final answer."""
        log.info("stopping", extra={"connections": self.callers.stages()})
        self.callers.refuse_new()
        self.gateway.stop()
        self.callers.refuse_unanswered()
        self.trials.stop()
        self.peers.stop()
        self.holds.stop()
        self.link.close()
        self.client.close()
        for port in self._ports.values():
            port.stopListening()

    def is_delivering(self) -> bool:
        """Whether a caller has not taken the whole of its answer yet."""
        return self.callers.is_under_way()


def make_gateway_node(
    settings: GatewayFile, reactor: Any, context: Any, incarnation: int, callers_socket: socket
) -> GatewayNode:
    """Start a router of the direct path.

    Parameters
    ----------
    settings : GatewayFile
    reactor : IReactorTCP
    context : zmq.Context
    incarnation : int
        Grows from one start of the process to the next.
    callers_socket : socket
        Listens for callers already; it is closed once they are taken.
    """
    rng = Random(SystemRandom().getrandbits(64))
    wire = PlatformWire()
    memory_bytes = settings.memory_mb * MIB
    held = HeldBytes(reactor, int(memory_bytes * HELD_SHARE))
    client = EndpointClient(reactor, wire.read_reply, held=held)
    epochs = StoreEpoch()
    store = make_store_client(client, reactor, settings.store, epochs)
    bounds = settings.bounds
    has_admission_control = settings.admission_control
    if has_admission_control is None:
        has_admission_control = calls_for_admission_control(settings.terms)
    trial_limits = CanaryLimits(
        exposure_share=bounds.exposure_share,
        exposure_slack=bounds.exposure_slack,
        session_s=bounds.session_s,
    )
    trials = CanaryController(reactor, rng, Statuses(store), trial_limits)
    link = ZmqLink(settings.name, reactor, context, settings.listen.link)
    sharing = ReadSharing(settings.name, incarnation, reactor, rng, link.send, epochs=epochs)
    operator_view = share_stream(sharing, StreamName.OPERATOR, make_operator_feed(store))
    registry_view = share_stream(sharing, StreamName.REGISTRY, make_endpoint_feed(store))
    gateway = Gateway(
        GatewaySettings(
            name=settings.name,
            zone=settings.zone,
            link_mbps=settings.link_mbps,
            proof_age_s=PROOF_MARGIN * bounds.revocation_s,
            max_lag_s=BEHIND_MARGIN * bounds.configuration_s,
            is_strict=bounds.strict_revocation is not False,
            drain_s=settings.drain_s,
            drain_notice_s=settings.drain_notice_s,
            good_share=settings.good_share,
            has_admission_control=has_admission_control,
            budget=RetryBudgetLimits(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s),
            cold=ColdLimits(bounds.cold_overrun, bounds.cold_slack),
        ),
        reactor,
        rng,
        wire,
        client,
        operator_view,
        registry_view,
        trials,
        epochs,
    )
    operator_view.attach_feed(gateway.view.operator_feed)
    registry_view.attach_feed(gateway.view.registry_feed)
    me = Member(settings.name, link.address)
    burn_host = BurnContext(settings.name, sharing.peer_names, link.send, gateway.objectives)
    gateway.burn = BurnTask(burn_host, reactor, time, has_latencies=False)
    peers = DirectPeers(me, incarnation, gateway, reactor, rng, link, Members(store), sharing)
    holds = StoredHolds(reactor, HoldsStore(store), gateway.crash_guard.sharing, peers.rank, epochs)
    held.buffered = gateway.buffered
    gateway.buffered.has_room = held.has_room_to_buffer
    gate = AcceptGate(reactor)
    callers = CallerFactory(reactor, gateway, int(memory_bytes * BODIES_SHARE), held, gate)

    def transport() -> dict[str, int]:
        return {
            "callers_connected": len(callers.connections),
            "callers_refused_unread_total": sum(callers.refused.values()),
            "callers_closed_unread_total": gate.closed,
            "callers_body_bytes": callers.held_bytes,
            "connections_opened_total": client.opened,
            "store_calls_total": store.calls,
            "link_frames_in_total": link.counters.frames_in,
            "link_frames_out_total": link.counters.frames_out,
        }

    pages_handler = GatewayPages(gateway, transport, held, callers)
    pages = CallerFactory(reactor, pages_handler, MIB, held, is_bounded=False)
    ports = {
        "readiness": _listen(reactor, settings.listen.readiness, pages),
        "pages": _listen(reactor, settings.listen.pages, pages),
    }
    gateway.start()
    trials.start()
    peers.start()
    holds.start()
    host, number = callers_socket.getsockname()
    node = GatewayNode(
        gateway, trials, peers, holds, link, client, callers, f"{host}:{number}", ports
    )
    accept_when_loaded(
        reactor,
        gateway.is_informed,
        lambda: node.take_callers(_adopt(reactor, callers_socket, callers)),
    )
    return node


def _listen(reactor: Any, address: str, factory: CallerFactory) -> Any:
    host, port = split_address(address)
    return reactor.listenTCP(port, factory, interface=host.strip("[]"))


def _adopt(reactor: Any, listening: socket, factory: CallerFactory) -> Any:
    with listening:
        listening.setblocking(False)
        return reactor.adoptStreamPort(listening.fileno(), AF_INET, factory)
