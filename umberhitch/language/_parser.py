"""Text to statements, with errors that point at the column and say what could stand there."""

import re
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken, VisitError
from msgspec import DecodeError
from msgspec import json as json_codec

from umberhitch.config import Finding, VersionState
from umberhitch.errors import UmberhitchError
from umberhitch.language._statements import (
    Add,
    Bill,
    Burn,
    Condition,
    Count,
    Explain,
    History,
    InForce,
    Permission,
    Remove,
    RollOut,
    SetField,
    Show,
    StateChange,
    Statement,
    Status,
)

__all__ = [
    "LanguageError",
    "make_finding",
    "make_parser",
    "make_permission",
    "make_rollout",
    "make_state_change",
    "parse_statements",
    "unquote",
]

GRAMMARS = Path(__file__).parent

KINDS = {
    "customer": "customers",
    "class": "classes",
    "model": "models",
    "version": "versions",
    "service": "services",
    "key": "keys",
    "policy": "policies",
    "endpoint": "endpoints",
    "router": "routers",
    "request": "requests",
    "rollout": "rollouts",
}
STATE_OF = {
    "activate": VersionState.ACTIVE,
    "stage": VersionState.STAGED,
    "retire": VersionState.RETIRED,
    "quarantine": VersionState.QUARANTINED,
    "withdraw": VersionState.WITHDRAWN,
}
READABLE = {
    "shared__ROLLOUT_VERB": "roll out, roll back, hold, go on",
    "shared__PERMISSION_VERB": "permit, forbid",
    "REFERENCE": "a name",
    "NAME": "a field",
    "VERSION": "MODEL@VERSION",
    "STRING": "a text in quotes",
    "INTEGER": "a whole number",
    "NUMBER": "a number",
    "KIND": "a kind such as versions",
    "COMPARISON": "= != < <= > >= ~",
    "WORD": "a word",
    "DURATION": "a duration such as 2s",
    "DESCENDING": "desc",
    "shared__STATE_VERB": "activate, stage, retire, quarantine, withdraw",
    "_SEPARATOR": "; or the end of the line",
    "$END": "the end",
}


class LanguageError(UmberhitchError):
    """Statements could not be understood; ``findings`` says where and what could stand there."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


def make_parser(grammar: Path) -> Lark:
    """Return the parser of a grammar, which may import ``shared``."""
    return Lark.open(
        str(grammar), parser="lalr", import_paths=[str(GRAMMARS)], maybe_placeholders=True
    )


_parser = make_parser(GRAMMARS / "operator.lark")


def unquote(text: str) -> str:
    """Return the content of a quoted text."""
    return re.sub(r"\\(.)", r"\1", text[1:-1])


def _plural(kind: str) -> str:
    return KINDS.get(kind, str(kind))


def make_permission(items: list[Any]) -> Permission:
    """Return the statement of the shared rule ``permission_change``."""
    verb, customer, target = items
    return Permission(str(customer), str(target), verb == "permit")


def make_rollout(items: list[Any]) -> RollOut:
    """Return the statement of the shared rule ``rollout_change``."""
    verb, version, previous = items
    action = " ".join(verb.split())
    return RollOut("start" if action == "roll out" else action, str(version), _text(previous))


def make_state_change(items: list[Any]) -> StateChange:
    """Return the statement of the shared rule ``version_change``."""
    verb, version, share = items
    return StateChange(str(version), STATE_OF[verb], None if share is None else float(share))


class _Statements(Transformer):
    """Turns the tree of the operators' grammar into statements."""

    def start(self, items: list[Any]) -> list[Statement]:
        return items

    def show(self, items: list[Any]) -> Show:
        kind, of, where, sort, limit = items
        sort_by, is_descending = sort or (None, False)
        return Show(_plural(kind), _text(of), tuple(where or ()), sort_by, is_descending, limit)

    def count(self, items: list[Any]) -> Count:
        kind, of, where, by = items
        return Count(_plural(kind), str(by), _text(of), tuple(where or ()))

    def where(self, items: list[Any]) -> list[Condition]:
        return items

    def condition(self, items: list[Any]) -> Condition:
        field, comparison, value = items
        return Condition(str(field), str(comparison), value)

    def sort(self, items: list[Any]) -> tuple[str, bool]:
        return str(items[0]), items[1] is not None

    def limit(self, items: list[Any]) -> int:
        return int(items[0])

    def text(self, items: list[Any]) -> str:
        return unquote(items[0])

    def number(self, items: list[Any]) -> float:
        return float(items[0])

    def word(self, items: list[Any]) -> str | bool:
        word = str(items[0])
        return word == "true" if word in ("true", "false") else word

    def explain(self, items: list[Any]) -> Explain:
        return Explain(str(items[0]))

    def history(self, items: list[Any]) -> History:
        return History(_plural(items[0]), str(items[1]))

    def bill(self, items: list[Any]) -> Bill:
        return Bill(_text(items[0]))

    def burn(self, items: list[Any]) -> Burn:
        return Burn(_text(items[0]))

    def status(self, items: list[Any]) -> Status:
        return Status()

    def in_force(self, items: list[Any]) -> InForce:
        return InForce(int(items[0]))

    def version_change(self, items: list[Any]) -> StateChange:
        return make_state_change(items)

    def permission_change(self, items: list[Any]) -> Permission:
        return make_permission(items)

    def set_field(self, items: list[Any]) -> SetField:
        kind, name, field, value = items
        return SetField(_plural(kind), str(name), str(field), value)

    def add(self, items: list[Any]) -> Add:
        return Add(_plural(items[0]), unquote(items[1]))

    def remove(self, items: list[Any]) -> Remove:
        return Remove(_plural(items[0]), str(items[1]))

    def rollout_change(self, items: list[Any]) -> RollOut:
        return make_rollout(items)


def _text(token: Token | None) -> str | None:
    return None if token is None else str(token)


def parse_statements(text: str) -> list[Statement]:
    """Return the statements in a text, separated by semicolons or line ends.

    Raises
    ------
    LanguageError
        With a finding for each statement that cannot be understood.
    """
    statements: list[Statement] = []
    findings: list[Finding] = []
    for line, column, part in _split(text):
        try:
            statements += _Statements().transform(_parser.parse(part))
        except UnexpectedInput as exc:
            findings.append(make_finding(exc, line, column, part))
        except VisitError as exc:
            findings.append(Finding(f"line {line}, column {column}", str(exc.orig_exc)))
    findings += _check_json(statements)
    if findings:
        raise LanguageError(findings)
    return statements


def _split(text: str) -> list[tuple[int, int, str]]:
    """Return line, column and text of each statement, so that one mistake hides no other."""
    parts = []
    for number, line in enumerate(text.split("\n"), start=1):
        column = 1
        for part in re.findall(r'(?:"(?:\\.|[^"\\])*"|[^;"]|")+|;', line):
            code = part.split("#")[0] if '"' not in part else part
            if code.strip() and part != ";":
                indent = len(code) - len(code.lstrip())
                parts.append((number, column + indent, code.strip()))
            column += len(part)
    return parts


def _check_json(statements: list[Statement]) -> list[Finding]:
    findings = []
    for index, statement in enumerate(statements, start=1):
        if isinstance(statement, Add):
            try:
                json_codec.decode(statement.json)
            except DecodeError as exc:
                findings.append(Finding(f"statement {index}", f"not JSON: {exc}"))
    return findings


def make_finding(exc: UnexpectedInput, line: int, column: int, text: str) -> Finding:
    """Return a parser's error as a finding that says what could stand there."""
    at = column + max(0, (exc.column or 1) - 1)
    found, wanted = "this", set[str]()
    match exc:
        case UnexpectedToken() if exc.token.type == "$END":
            at = column + len(text)
            found, wanted = "the end", exc.accepts or exc.expected
        case UnexpectedToken():
            found, wanted = f'"{exc.token}"', exc.accepts or exc.expected
        case UnexpectedCharacters():
            found, wanted = f'"{text[at - column:].split(" ")[0]}"', exc.allowed
        case UnexpectedEOF():
            at, found, wanted = column + len(text), "the end", {str(name) for name in exc.expected}
    options = ", ".join(
        sorted({_readable(name) for name in wanted or () if not name.startswith("__")})
    )
    return Finding(f"line {line}, column {at}", f"{found} cannot stand here; expected {options}")


def _readable(name: str) -> str:
    return READABLE.get(name, name.lower().replace("_", "-"))
