"""A whole deployment in one process, on loopback: stand-ins, routers and agents."""

from dataclasses import dataclass, field
from typing import Any

import zmq

from umberhitch.adapters.http_server import listen_http
from umberhitch.adapters.zmq_link import make_context
from umberhitch.config import Change, Config, encode_record
from umberhitch.config.documents import changes_to
from umberhitch.fakes import EnginePace, FakeEngine, FakeHostList, MemoryLog
from umberhitch.nodes import AgentNode, RouterNode, make_agent_node, make_router_node
from umberhitch.ports import Host, HostRole
from umberhitch.settings import AgentFile, RouterFile
from umberhitch.standins import (
    EngineStandin,
    HostListStandin,
    LogStandin,
    RatingStandin,
    ServiceStandin,
)
from umberhitch.tasks.config_feed import CONFIG_STREAM

__all__ = ["EmbeddedDeployment", "EndpointSpec", "start_deployment"]

LOOPBACK = "127.0.0.1:0"
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class EndpointSpec:
    """One endpoint to start.

    Attributes
    ----------
    name : str
    zone : str
    target : str
        ``model@version``, or a service with `is_service`.
    """

    name: str
    zone: str
    target: str
    is_service: bool = False
    pace: EnginePace = EnginePace()


@dataclass
class EmbeddedDeployment:
    """A running deployment."""

    reactor: Any
    context: zmq.Context
    log: LogStandin
    host_list: FakeHostList
    ratings: RatingStandin
    platform: dict[str, str]
    routers: dict[str, RouterNode] = field(default_factory=dict)
    agents: dict[str, AgentNode] = field(default_factory=dict)
    engines: dict[str, FakeEngine] = field(default_factory=dict)
    services: dict[str, ServiceStandin] = field(default_factory=dict)
    ports: list[Any] = field(default_factory=list)

    def add_router(self, name: str, zone: str, **extra: Any) -> RouterNode:
        """Start a router and list it."""
        settings = RouterFile.model_validate(
            {
                "role": "router",
                "name": name,
                "zone": zone,
                "listen": {"callers": LOOPBACK, "operators": LOOPBACK, "link": LOOPBACK},
                "platform": self.platform,
                "hosts_s": 0.5,
                "hello_s": 0.5,
                **extra,
            }
        )
        node = make_router_node(settings, self.reactor, self.context)
        self.routers[name] = node
        self.host_list.put(Host(name, HostRole.ROUTER, zone, node.link.address))
        return node

    def add_endpoint(self, spec: EndpointSpec, **extra: Any) -> AgentNode:
        """Start an endpoint and its agent, and list it."""
        if spec.is_service:
            service = self.services.setdefault(spec.target, ServiceStandin(self.reactor))
            address = self._serve(service.app)
        else:
            engine = self.engines[spec.name] = FakeEngine(self.reactor, spec.pace)
            address = self._serve(EngineStandin(self.reactor, engine).app)
        return self.add_agent(spec, address, **extra)

    def add_agent(self, spec: EndpointSpec, backend_address: str, **extra: Any) -> AgentNode:
        """Start an agent before a back end that runs already, and list it."""
        settings = AgentFile.model_validate(
            {
                "role": "agent",
                "name": spec.name,
                "zone": spec.zone,
                "listen": {"link": LOOPBACK, "health": LOOPBACK},
                "backend": {
                    "url": f"http://{backend_address}",
                    "targets": [spec.target],
                    "slots": spec.pace.slots,
                },
                "beat_s": 0.5,
                **extra,
            }
        )
        node = make_agent_node(settings, self.reactor, self.context)
        self.agents[spec.name] = node
        self.host_list.put(Host(spec.name, HostRole.AGENT, spec.zone, node.link.address))
        return node

    def _serve(self, app: Any) -> str:
        port, address = listen_http(self.reactor, app, LOOPBACK, MAX_BODY_BYTES)
        self.ports.append(port)
        return address

    def publish(self, document: Any) -> Change:
        """Append a whole configuration to the log, as the first operator would."""
        change = changes_to(document, Config(), "chg-first", "embedded")
        self.log.memory.append(CONFIG_STREAM, [encode_record(change)])
        return change

    def stop(self) -> None:
        """Stop everything."""
        for router in self.routers.values():
            router.stop()
        for agent in self.agents.values():
            agent.stop()
        for port in self.ports:
            port.stopListening()


def start_deployment(reactor: Any) -> EmbeddedDeployment:
    """Start the platform's stand-ins; routers and endpoints are added to the result."""
    log = LogStandin(reactor, MemoryLog())
    ratings = RatingStandin(reactor)
    host_list = FakeHostList()
    ports = []
    addresses = {}
    standins: dict[str, Any] = {
        "log": log,
        "hosts": HostListStandin(reactor, host_list),
        "ratings": ratings,
    }
    for name, standin in standins.items():
        port, address = listen_http(reactor, standin.app, LOOPBACK, MAX_BODY_BYTES)
        ports.append(port)
        addresses[name] = f"http://{address}"
    return EmbeddedDeployment(
        reactor, make_context(), log, host_list, ratings, addresses, ports=ports
    )
