"""Health and metrics of an agent, with as little memory as they can be had for."""

from typing import Any

from msgspec import json
from twisted.web.resource import Resource
from twisted.web.server import Site

from umberhitch import __version__
from umberhitch.adapters.metrics import Metrics, agent_metrics, link_metrics
from umberhitch.adapters.zmq_link import ZmqLink
from umberhitch.tasks.agent import Agent
from umberhitch.wire import EndpointState

__all__ = ["listen_agent_health"]


class _Health(Resource):
    isLeaf = True

    def __init__(self, agent: Agent, metrics: Metrics) -> None:
        super().__init__()
        self._agent = agent
        self._metrics = metrics

    def render_GET(self, request: Any) -> bytes:
        match request.path:
            case b"/healthz":
                return self._json(request, 200, {"status": "ok", "version": __version__})
            case b"/readyz":
                is_ready = self._agent.state is EndpointState.READY and self._agent.revision >= 0
                state = self._agent.state.value
                body = {"ready": is_ready, "state": state, "revision": self._agent.revision}
                return self._json(request, 200 if is_ready else 503, body)
            case b"/metrics":
                request.setHeader("Content-Type", "text/plain; version=0.0.4")
                return self._metrics.exposition()
            case _:
                return self._json(request, 404, {"error": "not found"})

    def _json(self, request: Any, status: int, body: Any) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        return json.encode(body)


def listen_agent_health(reactor: Any, address: str, agent: Agent, link: ZmqLink) -> tuple[Any, str]:
    """Serve an agent's health; returns the port and its address."""
    metrics = Metrics()
    agent_metrics(metrics, agent)
    link_metrics(metrics, link)
    host, _, port = address.rpartition(":")
    site = Site(_Health(agent, metrics), timeout=30)
    site.noisy = False
    site.displayTracebacks = False
    listening = reactor.listenTCP(int(port), site, interface=host.strip("[]"))
    return listening, f"{host}:{listening.getHost().port}"
