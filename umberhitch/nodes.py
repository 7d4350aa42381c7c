"""Whole processes: settings in, a running router or agent out."""

from dataclasses import dataclass
from random import Random, SystemRandom
from time import time, time_ns
from typing import Any
from uuid import uuid4

import zmq
from twisted.internet.defer import Deferred, inlineCallbacks

from umberhitch.adapters.http_backend import HttpBackend
from umberhitch.adapters.http_client import HttpClient
from umberhitch.adapters.zmq_link import CurveKeys, ZmqLink
from umberhitch.settings import AgentFile, LinkKeys, RouterFile
from umberhitch.tasks.agent import Agent, AgentSettings

__all__ = ["AgentNode", "RouterNode", "curve_keys", "make_agent_node", "make_router_node"]

NANOSECONDS_PER_MS = 1_000_000
ENGINE_TIMEOUT_S = 3600.0


def new_incarnation() -> int:
    """Return a number that grows from one start of a process to the next."""
    return time_ns() // NANOSECONDS_PER_MS


def curve_keys(keys: LinkKeys | None) -> CurveKeys | None:
    """Return the link's keys from the settings."""
    return None if keys is None else CurveKeys(keys.public.encode(), keys.secret.encode())


@dataclass(slots=True)
class AgentNode:
    """A running agent with its sockets."""

    agent: Agent
    link: ZmqLink
    http: HttpClient
    health_address: str
    _ports: list[Any]

    def addresses(self) -> dict[str, str]:
        """Return where the agent listens."""
        return {"link": self.link.address, "health": self.health_address}

    def drain(self) -> Deferred[None]:
        """Finish what runs; see `Agent.drain`."""
        return self.agent.drain()

    def stop(self) -> None:
        """Close every socket."""
        self.agent.stop()
        self.link.close()
        for port in self._ports:
            port.stopListening()

    def is_delivering(self) -> bool:
        """Whether a caller waits for its answer: an agent has none of its own."""
        return False


@dataclass(slots=True)
class RouterNode:
    """A running router with its sockets."""

    router: Any
    link: ZmqLink
    http: HttpClient
    callers_address: str
    operators_address: str
    _callers_port: Any
    _operators_port: Any
    _callers_site: Any

    def addresses(self) -> dict[str, str]:
        """Return where the router listens."""
        return {
            "link": self.link.address,
            "callers": self.callers_address,
            "operators": self.operators_address,
        }

    @inlineCallbacks
    def drain(self) -> Any:
        """Stop accepting connections, finish what runs, and answer what is coming in.

        See `Router.drain`, from which on new requests are refused.
        """
        self._callers_port.stopListening()
        yield self.router.drain()
        yield self._callers_site.when_idle()

    def stop(self) -> None:
        """Close every socket, and refuse what was not read whole."""
        self._callers_site.refuse_incomplete()
        self.router.stop()
        self.link.close()
        self._callers_port.stopListening()
        self._operators_port.stopListening()

    def is_delivering(self) -> bool:
        """Whether a request is still under way at a caller's connection."""
        return not self._callers_site.is_idle


def make_agent_node(settings: AgentFile, reactor: Any, context: zmq.Context) -> AgentNode:
    """Start an agent."""
    from umberhitch.adapters.agent_health import listen_agent_health

    link = ZmqLink(
        settings.name,
        reactor,
        context,
        settings.listen.link,
        curve_keys(settings.link_keys),
        settings.token_flush_s,
    )
    http = HttpClient(reactor, timeout_s=ENGINE_TIMEOUT_S, connections=settings.backend.slots)
    agent = Agent(
        AgentSettings(
            endpoint=settings.name,
            incarnation=new_incarnation(),
            zone=settings.zone,
            targets=tuple(settings.backend.targets),
            slots=settings.backend.slots,
            queue=settings.backend.queue,
            heartbeat_interval_s=settings.beat_s,
        ),
        reactor,
        time,
        link,
        HttpBackend(http, settings.backend.url),
    )
    agent.start()
    port, address = listen_agent_health(reactor, settings.listen.health, agent, link)
    return AgentNode(agent, link, http, address, [port])


def make_router_node(settings: RouterFile, reactor: Any, context: zmq.Context) -> RouterNode:
    """Start a router."""
    from umberhitch.adapters.caller_api import CallerApi
    from umberhitch.adapters.http_hosts import HttpHostList
    from umberhitch.adapters.http_log import HttpLog
    from umberhitch.adapters.http_ratings import HttpRatings
    from umberhitch.adapters.http_server import listen_http, site_of
    from umberhitch.adapters.metrics import Metrics, link_metrics, router_metrics
    from umberhitch.adapters.operator_api import OperatorApi
    from umberhitch.adapters.tls import ReloadingContextFactory
    from umberhitch.tasks.router import Router, RouterSettings

    link = ZmqLink(
        settings.name,
        reactor,
        context,
        settings.listen.link,
        curve_keys(settings.link_keys),
        settings.token_flush_s,
    )
    http = HttpClient(reactor)
    log_port = HttpLog(http, settings.platform.log)
    router = Router(
        RouterSettings(
            name=settings.name,
            incarnation=new_incarnation(),
            zone=settings.zone,
            hello_interval_s=settings.hello_s,
            host_list_interval_s=settings.hosts_s,
            rating_sample=settings.rating_sample,
        ),
        reactor,
        time,
        Random(SystemRandom().getrandbits(64)),
        link,
        log_port,
        HttpHostList(http, settings.platform.hosts),
        HttpRatings(http, settings.platform.ratings) if settings.platform.ratings else None,
    )
    metrics = Metrics()
    router_metrics(metrics, router)
    link_metrics(metrics, link)
    callers = CallerApi(router, time, uuid4)
    operators = OperatorApi(router, log_port, metrics, uuid4, dict(settings.operators))
    tls = None
    if settings.tls is not None:
        tls = ReloadingContextFactory(settings.tls.certificate, settings.tls.key)
    callers_port, callers_address = listen_http(
        reactor, callers.app, settings.listen.callers, settings.max_body_bytes, tls
    )
    operators_port, operators_address = listen_http(
        reactor, operators.app, settings.listen.operators, settings.max_body_bytes, tls
    )
    router.start()
    return RouterNode(
        router,
        link,
        http,
        callers_address,
        operators_address,
        callers_port,
        operators_port,
        site_of(callers_port),
    )
