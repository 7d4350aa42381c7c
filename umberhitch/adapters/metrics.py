"""Metrics by OpenTelemetry, exposed in the Prometheus text format."""

from collections.abc import Callable, Iterable, Iterator

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from umberhitch.adapters.zmq_link import ZmqLink
from umberhitch.tasks.agent import Agent
from umberhitch.tasks.router import Router

__all__ = ["Metrics", "agent_metrics", "link_metrics", "router_metrics"]

Reading = tuple[float, dict[str, str]]


class Metrics:
    """Owns the instruments of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource.create({"service.name": "umberhitch"})
        self._provider = MeterProvider(metric_readers=[reader], resource=resource)
        self._meter = self._provider.get_meter("umberhitch")

    def gauge(self, name: str, description: str, read: Callable[[], Iterable[Reading]]) -> None:
        """Expose values that are read at each scrape."""
        self._meter.create_observable_gauge(name, [_callback(read)], description=description)

    def counter(self, name: str, description: str, read: Callable[[], Iterable[Reading]]) -> None:
        """Expose counts that only grow."""
        self._meter.create_observable_counter(name, [_callback(read)], description=description)

    def exposition(self) -> bytes:
        """Return every value in the Prometheus text format."""
        return generate_latest(self._registry)


def _callback(
    read: Callable[[], Iterable[Reading]],
) -> Callable[[CallbackOptions], Iterator[Observation]]:
    def observe(options: CallbackOptions) -> Iterator[Observation]:
        for value, labels in read():
            yield Observation(value, labels)

    return observe


def _one(read: Callable[[], float]) -> Callable[[], Iterable[Reading]]:
    return lambda: [(read(), {})]


def link_metrics(metrics: Metrics, link: ZmqLink) -> None:
    """Expose the counters of a link."""
    count = link.counters
    metrics.counter("umberhitch_link_frames_in", "frames", _one(lambda: count.frames_in))
    metrics.counter("umberhitch_link_frames_out", "frames", _one(lambda: count.frames_out))
    metrics.counter("umberhitch_link_bytes_in", "bytes", _one(lambda: count.bytes_in))
    metrics.counter("umberhitch_link_bytes_out", "bytes", _one(lambda: count.bytes_out))
    metrics.counter(
        "umberhitch_link_unroutable",
        "frames to peers not reachable",
        _one(lambda: count.unroutable),
    )
    metrics.counter(
        "umberhitch_link_malformed", "frames dropped unread", _one(lambda: count.malformed)
    )


def agent_metrics(metrics: Metrics, agent: Agent) -> None:
    """Expose what an agent counts."""
    count = agent.counters
    metrics.counter("umberhitch_attempts_started", "attempts", _one(lambda: count.started))
    metrics.counter("umberhitch_attempts_finished", "attempts", _one(lambda: count.finished))
    metrics.counter("umberhitch_attempts_failed", "attempts", _one(lambda: count.failed))
    metrics.counter(
        "umberhitch_usage_handovers",
        "times that overdue usage records were offered to a router",
        _one(lambda: count.handovers),
    )
    metrics.counter(
        "umberhitch_attempts_refused",
        "attempts by reason",
        lambda: [(value, {"reason": reason}) for reason, value in count.refused.items()],
    )
    metrics.gauge(
        "umberhitch_usage_unconfirmed",
        "usage records not yet known to be in the log",
        _one(lambda: agent.unconfirmed_usage),
    )
    metrics.gauge("umberhitch_revision", "configuration revision", _one(lambda: agent.revision))


def router_metrics(metrics: Metrics, router: Router) -> None:
    """Expose what a router counts."""
    requests = router.requests
    metrics.counter(
        "umberhitch_requests",
        "requests by outcome",
        lambda: [(value, {"outcome": name}) for name, value in requests.outcome_counts.items()],
    )
    metrics.gauge(
        "umberhitch_requests_open", "requests in progress", _one(lambda: requests.open_count)
    )
    metrics.gauge(
        "umberhitch_revision", "configuration revision", _one(lambda: router.feed.revision)
    )
    metrics.gauge(
        "umberhitch_usage_pending",
        "usage records not yet known to be in the log",
        _one(lambda: router.bills.pending),
    )
    metrics.gauge(
        "umberhitch_log_failures",
        "consecutive failed reads of the configuration stream",
        _one(lambda: router.feed.follower.failures),
    )
    metrics.gauge(
        "umberhitch_endpoints",
        "endpoints known",
        _one(lambda: len(router.fleet.endpoints)),
    )
