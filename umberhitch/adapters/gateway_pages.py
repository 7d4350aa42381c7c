"""Pages of a router of the direct path: readiness for the balancer, metrics, status."""

from collections import Counter
from collections.abc import Callable
from logging import getLogger

from msgspec import json
from twisted.internet.defer import ensureDeferred

from umberhitch.adapters.admission_pages import admission_metrics, admission_status
from umberhitch.adapters.escalation_pages import escalation_metrics, escalation_status
from umberhitch.adapters.held_bytes import HeldBytes
from umberhitch.adapters.held_pages import held_metrics, held_status
from umberhitch.adapters.pace_page import pace_lines, pace_status
from umberhitch.adapters.rollout_pages import rollout_metrics, rollout_status
from umberhitch.adapters.share_pages import share_metrics, share_status
from umberhitch.core.direct import IntakeLimits, SignalKind, part_of_key
from umberhitch.ports.caller_connections import CallerConnections, ConnectionStage, NoConnections
from umberhitch.ports.direct import CallerReply, HeaderList, RawRequest, do_nothing
from umberhitch.tasks.burn import BurnReport
from umberhitch.tasks.direct.gateway import Gateway
from umberhitch.tasks.direct.signal_table import ActiveSignal, active_signals

__all__ = ["GatewayPages"]

log = getLogger(__name__)

HTML = b"text/html; charset=utf-8"
TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"
RELEASE = b"/held/release/"
READINESS_ENDING = b"/readyz"
"""The balancer asks by its own prefix."""


class GatewayPages:
    """Answers the balancer and operators; a `RequestHandler`.

    Parameters
    ----------
    gateway : Gateway
    transport : callable
        Returns counts of the connections' side, by name.
    held : HeldBytes or None
        The account of all that is held.
    callers : CallerConnections or None
    """

    def __init__(
        self,
        gateway: Gateway,
        transport: Callable[[], dict[str, int]],
        held: HeldBytes | None = None,
        callers: CallerConnections | None = None,
    ) -> None:
        self._callers = callers or NoConnections()
        self._account = held or HeldBytes(gateway.clock)
        self._gateway = gateway
        self._transport = transport

    def handle(self, raw: RawRequest, reply: CallerReply) -> Callable[[], None]:
        """Answer; the burn report once the peers have answered, all else at once."""
        path = raw.target.partition(b"?")[0]
        if path in (b"/burn", b"/burn.json"):
            return self._answer_burn(reply, path.endswith(b".json"))
        if path.endswith(READINESS_ENDING):
            is_ready = self._gateway.is_ready
            _send(reply, 200 if is_ready else 503, TEXT, b"ready\n" if is_ready else b"not ready\n")
        elif path == b"/metrics":
            _send(reply, 200, TEXT, self._metrics())
        elif path == b"/status":
            _send(reply, 200, JSON, json.encode(self._status()))
        elif path == b"/held":
            _send(reply, 200, JSON, json.encode(self._held()))
        elif path.startswith(RELEASE) and raw.method == b"POST":
            key = path.removeprefix(RELEASE).decode("ascii", "replace")
            is_known = self._gateway.crash_guard.sharing.release(key)
            _send(reply, 200 if is_known else 404, JSON, json.encode({"released": is_known}))
        else:
            _send(reply, 404, TEXT, b"no such page\n")
        return do_nothing

    def _held(self) -> list[dict[str, object]]:
        """Return the causes that are held, whole requests and parts of prompts, and why."""
        gateway = self._gateway
        now_s = gateway.clock.seconds()
        record = gateway.crash_guard.record
        return [
            {
                "key": key,
                "part": part_of_key(key),
                "endpoints": [each.lifetime for each in record.crashes(key)],
                "places": sorted({each.service_version for each in record.crashes(key)}),
                "last_crash_age_s": round(
                    now_s - max(each.crashed_s for each in record.crashes(key)), 3
                ),
                "probes": hold.probes,
                "next_probe_s": round(max(0.0, hold.until_s - now_s), 3),
                "arbiter": gateway.crash_guard.sharing.arbiter(key),
            }
            for key, hold in record.held(now_s)
        ]

    def _answer_burn(self, reply: CallerReply, is_json: bool) -> Callable[[], None]:
        burn = self._gateway.burn
        if burn is None:
            _send(reply, 404, TEXT, b"no burn report here\n")
            return do_nothing
        wanted = [True]

        def send(report: BurnReport) -> None:
            if not wanted:
                return
            # Loaded when it is asked for: a router's start is short of time.
            from umberhitch.adapters.burn_page import burn_row, render_burn

            if is_json:
                rows = [burn_row(row) for row in report.rows]
                body = {"rows": rows, "routers": report.routers, "missing": report.missing}
                _send(reply, 200, JSON, json.encode(body))
            else:
                _send(reply, 200, HTML, render_burn(report).encode())

        gathered = ensureDeferred(burn.report())
        gathered.addCallback(send)
        gathered.addErrback(lambda failure: log.error("no report", extra={"e": str(failure)}))
        return wanted.clear

    def intake(self) -> IntakeLimits:
        """Return the limits that are in force."""
        return IntakeLimits(body_bytes=0)

    def keeps_connections(self) -> bool:
        """Whether connections are kept after an answer."""
        return True

    def refuse_unread(self, status: int, problem: str) -> tuple[HeaderList, bytes]:
        """Return headers and body of an answer to a request that was not taken."""
        body = problem.encode("ascii", "replace") + b"\n"
        return [(b"Content-Type", TEXT), (b"Content-Length", str(len(body)).encode())], body

    def _status(self) -> dict[str, object]:
        gateway = self._gateway
        number = None if gateway.table is None else gateway.table.document.number
        age_s = gateway.view.proof_age_s(gateway.clock.seconds())
        return {
            "router": gateway.settings.name,
            "ready": gateway.is_ready,
            "configuration": number,
            "configuration_age_s": None if age_s == float("inf") else round(age_s, 3),
            "store_epoch": gateway.view.epochs.current,
            "store_returns": gateway.view.epochs.returns,
            "endpoints": len(gateway.directory),
            "running": len(gateway.running_requests),
            "draining": gateway.presence.is_draining,
            "connections": self._callers.stages(),
            "routers": gateway.retry_budget.router_count or 1,
            "outcomes": gateway.counters.outcomes,
            **escalation_status(gateway),
            **held_status(self._account),
            "refused": gateway.local_replies.refused,
            "held": sum(1 for _ in gateway.crash_guard.record.held(gateway.clock.seconds())),
            "room": admission_status(gateway.admission_control),
            "shares": share_status(gateway),
            "zones_out": self._zones_out(),
            "endpoint_signals": [_signal_row(each) for each in self._signals()],
            "pace": pace_status(gateway),
            "rollouts": rollout_status(
                gateway.canary_controller.canaries(), gateway.clock.seconds()
            ),
            "unknown_headers": gateway.gate.unknown_headers.counts,
            "unclear_headers": gateway.gate.unknown_headers.unclear,
        }

    def _zones_out(self) -> dict[str, dict[str, float]]:
        """Return the zones out of service, since when, and the calls that still run there."""
        gateway = self._gateway
        now_s = gateway.clock.seconds()
        return {
            zone: {
                "age_s": round(now_s - since_s, 3),
                "running": sum(
                    gateway.placement.all_running_calls(each.lifetime)
                    for each in gateway.directory.of_zone(zone)
                ),
            }
            for zone, since_s in sorted(gateway.directory.zones_out.items())
        }

    def _signals(self) -> list[ActiveSignal]:
        gateway = self._gateway
        return active_signals(gateway.gate, gateway.directory, gateway.clock.seconds())

    def _metrics(self) -> bytes:
        """Return what is counted, in the Prometheus text format."""
        gateway, count = self._gateway, self._gateway.counters
        lines = [
            f"umberhitch_requests_total {count.requests}",
            f"umberhitch_calls_total {count.calls}",
            f"umberhitch_running {len(gateway.running_requests)}",
            f"umberhitch_endpoints {len(gateway.directory)}",
            f"umberhitch_routers {gateway.retry_budget.router_count or 1}",
            f"umberhitch_endpoint_crashes_total {gateway.crash_guard.watch.crashes}",
            f"umberhitch_requests_suspect {len(gateway.crash_guard.record)}",
            f"umberhitch_requests_held {self._status()['held']}",
            f"umberhitch_zones_out {len(gateway.directory.zones_out)}",
            f"umberhitch_cold_shares_used_up_total {gateway.gate.cold_used_up}",
            f"umberhitch_limit_shares_used_up_total {gateway.gate.limit_used_up}",
            f"umberhitch_store_epoch {gateway.view.epochs.current}",
            f"umberhitch_store_returns_total {gateway.view.epochs.returns}",
            f"umberhitch_unknown_header_names {len(gateway.gate.unknown_headers.counts)}",
        ]
        stages = self._callers.stages()
        lines += [
            f'umberhitch_caller_connections{{stage="{stage}"}} {stages[stage]}'
            for stage in ConnectionStage
        ]
        lines += escalation_metrics(gateway)
        lines += pace_lines(gateway)
        lines += held_metrics(self._account)
        kinds = Counter(each.kind for each in self._signals())
        lines += [
            f'umberhitch_endpoint_signals{{signal="{kind}"}} {kinds[kind]}' for kind in SignalKind
        ]
        lines += [f"umberhitch_{name} {value}" for name, value in self._transport().items()]
        lines += admission_metrics(gateway.admission_control)
        lines += share_metrics(gateway)
        lines += rollout_metrics(gateway.canary_controller.canaries())
        age_s = gateway.view.proof_age_s(gateway.clock.seconds())
        if age_s != float("inf"):
            lines.append(f"umberhitch_configuration_age_seconds {age_s:.3f}")
        for name, by_label in (
            ("outcomes", count.outcomes),
            ("ready_answers", count.ready_answers),
            ("refused", gateway.local_replies.refused),
        ):
            for label, value in sorted(by_label.items()):
                lines.append(f'umberhitch_{name}_total{{reason="{label}"}} {value}')
        return ("\n".join(lines) + "\n").encode()


def _signal_row(signal: ActiveSignal) -> dict[str, object]:
    age_s, left_s = signal.age_s, signal.remaining_s
    return {
        "endpoint": signal.lifetime,
        "signal": signal.kind,
        "source": signal.source,
        "age_s": None if age_s is None else round(age_s, 3),
        "left_s": None if left_s is None else round(left_s, 3),
        **signal.details,
    }


def _send(reply: CallerReply, status: int, kind: bytes, body: bytes) -> None:
    reply.head(status, [(b"Content-Type", kind), (b"Content-Length", str(len(body)).encode())])
    reply.data(body)
    reply.end()
