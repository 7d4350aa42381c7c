"""Carries out statements against the administration API."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from uuid import uuid4

from msgspec import to_builtins

from umberhitch.cli._client import ApiError, Client, UnreachableError
from umberhitch.config import Kind, row_name
from umberhitch.language import (
    Add,
    Bill,
    Burn,
    Count,
    Explain,
    History,
    InForce,
    LanguageError,
    Permission,
    Remove,
    RollOut,
    SetField,
    Show,
    StateChange,
    Statement,
    Status,
    compile_changes,
    count_rows,
    parse_statements,
    select_rows,
)

__all__ = ["ExitCode", "Options", "Session"]

Row = dict[str, Any]
CHANGE_TYPES = (StateChange, Permission, SetField, Add, Remove)
CHANGE_TRIES = 3
POLL_S = 0.2


class ExitCode:
    """Exit codes of the tool."""

    OK = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


@dataclass(frozen=True, kw_only=True)
class Options:
    """How changes are made."""

    is_dry_run: bool = False
    if_revision: int | None = None
    waits_in_force: bool = False
    timeout_s: float = 30.0


@dataclass
class Session:
    """One use of the tool.

    Attributes
    ----------
    client : Client
    options : Options
    show_rows : callable
        Gets the rows of each answer.
    tell : callable
        Gets lines for a person: errors and progress.
    """

    client: Client
    options: Options
    show_rows: Callable[[list[Row]], None]
    tell: Callable[[str], None]
    sleep: Callable[[float], None] = field(default=time.sleep)

    def run(self, text: str) -> int:
        """Carry out the statements in a text and return the exit code.

        Its changes are made together, whole or not at all; queries are answered in their order,
        those before a change before it.
        """
        try:
            statements = parse_statements(text)
            return self._run_all(statements)
        except LanguageError as exc:
            for finding in exc.findings:
                self.tell(str(finding))
            return ExitCode.BAD_USAGE
        except ApiError as exc:
            self._tell_api_error(exc)
            return ExitCode.REFUSED
        except UnreachableError as exc:
            self.tell(f"no router answered: {exc}")
            return ExitCode.UNREACHABLE

    def _tell_api_error(self, exc: ApiError) -> None:
        self.tell(f"refused ({exc.status}): {exc}")
        for finding in exc.findings:
            self.tell(f"  {finding.get('place')}: {finding.get('problem')}")

    def _run_all(self, statements: list[Statement]) -> int:
        changes: list[Any] = []
        for statement in statements:
            if isinstance(statement, CHANGE_TYPES):
                changes.append(statement)
            elif isinstance(statement, RollOut):
                self.show_rows([self._roll_out(statement)])
            else:
                self.show_rows(self._answer(statement))
        return self._change(changes) if changes else ExitCode.OK

    # Queries

    def _answer(self, statement: Statement) -> list[Row]:
        match statement:
            case Show():
                return select_rows(self._rows(statement.kind), statement)
            case Count():
                return count_rows(self._rows(statement.kind), statement)
            case Explain(request=request):
                return self._explain(request)
            case History(kind=kind, name=name):
                return self._get(f"/admin/v1/history/{kind}/{name}")["changes"]
            case Bill(customer=customer):
                return self._bill(customer)
            case Burn(customer=customer):
                rows = self._get("/admin/v1/burn")["burn"]
                return [row for row in rows if customer in (None, row["customer"])]
            case Status():
                return self._status()
            case InForce(revision=revision):
                return _zone_rows(self._get(f"/admin/v1/in-force/{revision}"))
            case _:
                raise LanguageError([])

    def _get(self, path: str) -> Any:
        return self.client.call("GET", path).body

    def _rows(self, kind: str) -> list[Row]:
        match kind:
            case "endpoints":
                return self._get("/admin/v1/status")["endpoints"]
            case "routers":
                status = self._get("/admin/v1/status")
                own = {name: status[name] for name in ("router", "zone", "revision")}
                return [own, *status["peers"]]
            case "requests":
                return self._get("/admin/v1/requests")["requests"]
            case "rollouts":
                return self._get("/admin/v1/rollouts")["rollouts"]
            case _:
                config = self._get("/admin/v1/config")
                rows = config["objects"].get(kind, [])
                return [self._with_revision(kind, row, config["revisions"]) for row in rows]

    def _with_revision(self, kind: str, row: Row, revisions: dict[str, int]) -> Row:
        name = row_name(Kind(kind), row)
        return {**row, "revision": revisions.get(f"{kind}/{name}", 0)}

    def _explain(self, request: str) -> list[Row]:
        trace = self._get(f"/admin/v1/requests/{request}")
        attempts = trace.pop("attempts")
        return [trace, *attempts]

    def _bill(self, customer: str | None) -> list[Row]:
        bills = self._get("/admin/v1/bills")["bills"]
        return [
            {"customer": name, **bill} for name, bill in bills.items() if customer in (None, name)
        ]

    def _status(self) -> list[Row]:
        status = self._get("/admin/v1/status")
        status["endpoints"] = len(status["endpoints"])
        status["peers"] = len(status["peers"])
        return [status]

    # Changes

    def _roll_out(self, statement: RollOut) -> Row:
        body = {"action": statement.action, "previous": statement.previous}
        return self.client.call("POST", f"/admin/v1/rollouts/{statement.version}", body).body

    def _change(self, statements: list[Any]) -> int:
        config = self._get("/admin/v1/config")
        ops = compile_changes(
            statements, config["objects"], config["revisions"], self.options.if_revision
        )
        body = {"ops": [to_builtins(op) for op in ops]}
        if self.options.is_dry_run:
            reply = self.client.call("POST", "/admin/v1/changes?dry_run=1", body).body
            self.show_rows([{"would do": to_builtins(op)} for op in ops])
            for finding in reply["findings"]:
                self.tell(f"  {finding['place']}: {finding['problem']}")
            return ExitCode.REFUSED if reply["findings"] else ExitCode.OK
        reply = self._submit(body)
        if not reply.get("accepted"):
            self.tell(f"rejected: {reply.get('error')}")
            for finding in reply.get("findings", []):
                self.tell(f"  {finding['place']}: {finding['problem']}")
            return ExitCode.REFUSED
        self.show_rows([reply])
        if self.options.waits_in_force:
            return self._wait_in_force(reply["revision"])
        return ExitCode.OK

    def _submit(self, body: Any) -> Row:
        """Send a change until a router answers; one id for all tries makes it take effect once."""
        headers = {"Idempotency-Key": f"cli-{uuid4().hex}"}
        for number in range(CHANGE_TRIES):
            try:
                return self.client.call("POST", "/admin/v1/changes", body, headers).body
            except UnreachableError:
                if number == CHANGE_TRIES - 1:
                    raise
                self.sleep(POLL_S)
        raise AssertionError("unreachable")

    def _wait_in_force(self, revision: int) -> int:
        end_s = time.monotonic() + self.options.timeout_s
        while True:
            reply = self._get(f"/admin/v1/in-force/{revision}")
            if reply["in_force"]:
                self.tell(f"revision {revision} is in force everywhere")
                return ExitCode.OK
            if time.monotonic() >= end_s:
                self.tell(f"revision {revision} is not in force everywhere yet")
                self.show_rows(_zone_rows(reply))
                return ExitCode.NOT_IN_FORCE
            self.sleep(POLL_S)


def _zone_rows(reply: Any) -> list[Row]:
    return [{"zone": zone, **row} for zone, row in sorted(reply["zones"].items())]
