"""The administration interface over HTTP: health, metrics, configuration, status and bills."""

from collections.abc import AsyncIterator, Callable
from dataclasses import asdict
from hashlib import sha256
from typing import Any
from uuid import UUID

from klein import Klein
from msgspec import DecodeError, json

from umberhitch import __version__
from umberhitch.adapters.burn_page import burn_row, render_burn
from umberhitch.adapters.http_server import send_json
from umberhitch.adapters.metrics import Metrics
from umberhitch.adapters.operator_shapes import (
    change_of,
    empty_zone,
    lowest_of,
    peer_row,
    public,
    touches,
    verdict_body,
    verdict_status,
)
from umberhitch.config import (
    Change,
    Finding,
    Fold,
    Kind,
)
from umberhitch.config import Put as PutOp
from umberhitch.config.documents import changes_to, check_object
from umberhitch.core.billing import BillFold
from umberhitch.errors import ConfigError, LogError, LogTrimmedError
from umberhitch.ports import LogPort
from umberhitch.tasks.config_feed import CONFIG_STREAM
from umberhitch.tasks.rollouts import RolloutError
from umberhitch.tasks.router import Router, withdrawn_versions
from umberhitch.tasks.usage_writer import BILLING_STREAM

__all__ = ["OperatorApi", "Role"]

READ_BATCH = 5000
MAX_LISTED = 500
ROLLOUT_ACTIONS = ("start", "hold", "go on", "roll back")


class Role:
    """What an operator may do; each includes the ones before."""

    READ = "read"
    CHANGE = "change"
    WITHDRAW = "withdraw"
    ORDER = (READ, CHANGE, WITHDRAW)


class OperatorError(Exception):
    """A call that is refused."""

    def __init__(self, status: int, message: str, findings: list[Finding] | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.findings = findings or []


class OperatorApi:
    """Owns the operators' routes of one router.

    Parameters
    ----------
    router : Router
    log_port : LogPort
    metrics : Metrics
    new_id : callable
        Returns a fresh random UUID.
    operators : dict
        Role by the hex SHA-256 of an operator's key; empty admits everyone on loopback.
    """

    app = Klein()

    def __init__(
        self,
        router: Router,
        log_port: LogPort,
        metrics: Metrics,
        new_id: Callable[[], UUID],
        operators: dict[str, Any],
    ) -> None:
        self._router = router
        self._log_port = log_port
        self._metrics = metrics
        self._new_id = new_id
        self._operators = operators
        self._bills = BillFold()

    # Operators

    def _operator(self, request: Any, role: str) -> str:
        """Return the operator's name; raises unless it has the role."""
        if not self._operators:
            return "local"
        scheme, _, key = (request.getHeader("Authorization") or "").partition(" ")
        digest = sha256(key.strip().encode()).hexdigest()
        held = self._operators.get(digest) if scheme.lower() == "bearer" else None
        if held is None:
            raise OperatorError(401, "a valid operator's key is needed")
        if Role.ORDER.index(held) < Role.ORDER.index(role):
            raise OperatorError(403, f'this key has the role "{held}", "{role}" is needed')
        return f"operator-{digest[:8]}"

    @app.handle_errors(OperatorError)
    def _on_operator_error(self, request: Any, failure: Any) -> bytes:
        exc = failure.value
        findings = [asdict(finding) for finding in exc.findings]
        return send_json(request, exc.status, {"error": str(exc), "findings": findings})

    @app.handle_errors(ConfigError)
    def _on_findings(self, request: Any, failure: Any) -> bytes:
        findings = [asdict(finding) for finding in failure.value.findings]
        return send_json(request, 400, {"error": "not valid", "findings": findings})

    # Health

    @app.route("/healthz")
    def healthz(self, request: Any) -> bytes:
        """Answer while the process runs."""
        return send_json(request, 200, {"status": "ok", "version": __version__})

    @app.route("/readyz")
    def readyz(self, request: Any) -> bytes:
        """Answer 200 while the router takes requests."""
        is_ready = self._router.is_ready
        state = self._router.state.value
        return send_json(request, 200 if is_ready else 503, {"ready": is_ready, "state": state})

    @app.route("/metrics")
    def metrics(self, request: Any) -> bytes:
        """Return the metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.exposition()

    # Configuration

    @app.route("/admin/v1/config", methods=["GET"])
    def get_config(self, request: Any) -> bytes:
        """Return the configuration in force here, with the revision of each object."""
        self._operator(request, Role.READ)
        feed = self._router.feed
        snapshot = feed.fold.snapshot()
        objects = {kind: [public(row) for row in rows] for kind, rows in snapshot.objects.items()}
        return send_json(
            request,
            200,
            {"revision": feed.revision, "objects": objects, "revisions": snapshot.revisions},
        )

    @app.route("/admin/v1/config", methods=["PUT"])
    async def put_config(self, request: Any) -> bytes:
        """Replace the whole configuration by the document in the body."""
        author = self._operator(request, Role.WITHDRAW)
        document = _decoded(request)
        change = changes_to(document, self._router.feed.config, self._change_id(request), author)
        return await self._submit(request, change)

    @app.route("/admin/v1/changes", methods=["POST"])
    async def post_change(self, request: Any) -> bytes:
        """Apply a group of operations, whole or not at all."""
        author = self._operator(request, Role.CHANGE)
        raw = _decoded(request)
        change = self._parse_change(raw, author, self._change_id(request))
        if withdrawn_versions(change):
            self._operator(request, Role.WITHDRAW)
        return await self._submit(request, change)

    def _change_id(self, request: Any) -> str:
        return request.getHeader("Idempotency-Key") or f"chg-{self._new_id().hex}"

    def _parse_change(self, raw: Any, author: str, change_id: str) -> Change:
        if not isinstance(raw, dict) or not isinstance(raw.get("ops"), list):
            raise OperatorError(400, "not valid", [Finding("ops", "must be a list")])
        body = {"change_id": change_id, "author": author, "ops": raw["ops"]}
        try:
            change = json.decode(json.encode({"type": "change", **body}), type=Change)
        except DecodeError as exc:
            raise OperatorError(400, "not valid", [Finding("ops", str(exc))]) from exc
        findings: list[Finding] = []
        for index, op in enumerate(change.ops):
            if isinstance(op, PutOp):
                findings += check_object(Kind(op.kind), op.value, f"ops[{index}].value")
        if findings:
            raise ConfigError(findings)
        return change

    async def _submit(self, request: Any, change: Change) -> bytes:
        if request.args.get(b"dry_run"):
            _, findings = self._router.feed.fold.preview(change)
            rows = [asdict(finding) for finding in findings]
            return send_json(
                request, 200, {"dry_run": True, "ops": len(change.ops), "findings": rows}
            )
        try:
            verdict = await self._router.submit_change(change)
        except LogError as exc:
            raise OperatorError(503, f"the change was not queued: {exc}") from exc
        return send_json(request, verdict_status(verdict), verdict_body(verdict, change))

    # Status

    @app.route("/admin/v1/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Return what this router knows of itself, its agents and its peers."""
        self._operator(request, Role.READ)
        router = self._router
        follower = router.feed.follower
        return send_json(
            request,
            200,
            {
                "router": router.settings.name,
                "zone": router.settings.zone,
                "version": __version__,
                "state": router.state.value,
                "revision": router.feed.revision,
                "source": router.feed.source.value,
                "config_age_s": round(router.config_age_s(), 3),
                "is_stale": router.is_stale,
                "log": {"reachable": follower.failures == 0, "failures": follower.failures},
                "usage_pending": router.bills.pending,
                "requests_open": router.requests.open_count,
                "endpoints": [self._endpoint_row(name) for name in sorted(router.fleet.endpoints)],
                "peers": [peer_row(digest) for digest in router.peers.live_digests()],
            },
        )

    def _endpoint_row(self, name: str) -> dict[str, Any]:
        endpoint = self._router.fleet.endpoints[name]
        return {
            "name": name,
            "zone": endpoint.zone,
            "targets": list(endpoint.targets),
            "state": "silent" if self._router.fleet.is_silent(endpoint) else endpoint.state.value,
            "revision": endpoint.revision,
            "in_flight": endpoint.own_attempts,
            "load": round(endpoint.load(), 3),
        }

    @app.route("/admin/v1/in-force/<int:revision>", methods=["GET"])
    def in_force(self, request: Any, revision: int) -> bytes:
        """Return, by availability zone, whether a revision is in force."""
        self._operator(request, Role.READ)
        router = self._router
        zones: dict[str, dict[str, Any]] = {}
        for digest in [router.make_digest(), *router.peers.live_digests()]:
            row = zones.setdefault(digest.zone, empty_zone())
            row["routers"] += 1
            row["routers_behind"] += digest.revision < revision
            for zone, (count, lowest) in digest.agents.items():
                row = zones.setdefault(zone, empty_zone())
                row["agents"] = max(row["agents"], count)
                row["lowest_agent_revision"] = lowest_of(row["lowest_agent_revision"], lowest)
        for row in zones.values():
            lowest = row["lowest_agent_revision"]
            row["in_force"] = row["routers_behind"] == 0 and (lowest is None or lowest >= revision)
        return send_json(
            request,
            200,
            {
                "revision": revision,
                "in_force": all(row["in_force"] for row in zones.values()),
                "zones": zones,
            },
        )

    @app.route("/admin/v1/requests/<name>", methods=["GET"])
    def explain(self, request: Any, name: str) -> bytes:
        """Return why a request went where it went."""
        self._operator(request, Role.READ)
        trace = self._router.requests.traces.get(name)
        if trace is None:
            raise OperatorError(404, f'request "{name}" is not known at this router')
        return send_json(request, 200, asdict(trace))

    @app.route("/admin/v1/requests", methods=["GET"])
    def list_requests(self, request: Any) -> bytes:
        """Return the newest requests of this router."""
        self._operator(request, Role.READ)
        traces = list(self._router.requests.traces.values())[-MAX_LISTED:]
        rows = [{**asdict(trace), "attempts": len(trace.attempts)} for trace in reversed(traces)]
        return send_json(request, 200, {"requests": rows})

    @app.route("/admin/v1/history/<kind>/<name>", methods=["GET"])
    async def history(self, request: Any, kind: str, name: str) -> bytes:
        """Return who changed an object, as far back as the log retains it."""
        self._operator(request, Role.READ)
        fold = Fold()
        rows: list[dict[str, Any]] = []
        async for offset, data in self._records(CONFIG_STREAM):
            verdict = fold.apply(offset, data)
            change = change_of(data)
            if change is None or not touches(change, kind, name):
                continue
            rows.append(
                {
                    "revision": offset,
                    "author": change.author,
                    "verdict": type(verdict).__name__.lower(),
                    "ops": [json.decode(json.encode(op)) for op in change.ops],
                }
            )
        return send_json(request, 200, {"changes": rows})

    async def _records(self, stream: str, start: int = 0) -> AsyncIterator[tuple[int, bytes]]:
        """Iterate over what the log retains of a stream, from an offset."""
        while True:
            try:
                batch = await self._log_port.read(stream, start, READ_BATCH, 0.0)
            except LogTrimmedError as exc:
                start = exc.first_offset
                continue
            except LogError as exc:
                raise OperatorError(503, f"stream {stream} cannot be read: {exc}") from exc
            for record in batch.records:
                yield record
            start += len(batch.records)
            if start >= batch.end:
                return

    @app.route("/admin/v1/burn", methods=["GET"])
    async def burn(self, request: Any) -> bytes:
        """Return the service-level burn over all routers."""
        self._operator(request, Role.READ)
        report = await self._router.burn.report()
        rows = [burn_row(row) for row in report.rows]
        return send_json(
            request,
            200,
            {"burn": rows, "routers": report.routers, "missing": report.missing},
        )

    @app.route("/admin/v1/burn.html", methods=["GET"])
    async def burn_page(self, request: Any) -> bytes:
        """Return the same as a page."""
        self._operator(request, Role.READ)
        report = await self._router.burn.report()
        request.setHeader("Content-Type", "text/html; charset=utf-8")
        return render_burn(report).encode()

    # Roll-outs

    @app.route("/admin/v1/rollouts", methods=["GET"])
    def list_rollouts(self, request: Any) -> bytes:
        """Return every roll-out."""
        self._operator(request, Role.READ)
        rows = [asdict(plan) for plan in self._router.feed.config.rollouts.values()]
        driver = self._router.lease.holder
        return send_json(request, 200, {"rollouts": rows, "driver": driver})

    @app.route("/admin/v1/rollouts/<version>", methods=["POST"])
    async def command_rollout(self, request: Any, version: str) -> bytes:
        """Start, hold, continue or undo a roll-out."""
        self._operator(request, Role.CHANGE)
        body = _decoded(request)
        action = body.get("action") if isinstance(body, dict) else None
        if action not in ROLLOUT_ACTIONS:
            findings = [Finding("action", f"must be one of {', '.join(ROLLOUT_ACTIONS)}")]
            raise OperatorError(400, "not valid", findings)
        try:
            verdict = await self._router.rollouts.command(action, version, body.get("previous"))
        except RolloutError as exc:
            raise OperatorError(409, str(exc)) from exc
        except LogError as exc:
            raise OperatorError(503, f"the change was not queued: {exc}") from exc
        change = Change(f"rollout-{version}", "operator", [])
        return send_json(request, verdict_status(verdict), verdict_body(verdict, change))

    # Bills

    @app.route("/admin/v1/bills", methods=["GET"])
    async def bills(self, request: Any) -> bytes:
        """Return the bill of each customer, from the billing stream."""
        self._operator(request, Role.READ)
        async for offset, data in self._records(BILLING_STREAM, self._bills.next_offset):
            self._bills.apply(offset, data)
        rows = {name: asdict(bill) for name, bill in sorted(self._bills.bills.items())}
        return send_json(request, 200, {"bills": rows, "repeated_records": self._bills.duplicates})


def _decoded(request: Any) -> Any:
    try:
        return json.decode(request.content.read())
    except DecodeError as exc:
        raise OperatorError(400, "not valid", [Finding("body", f"not JSON: {exc}")]) from exc
