"""Changes: statements to the operations of one change, all or none."""

from copy import deepcopy
from typing import Any

from msgspec import json

from umberhitch.config import Delete, Finding, Kind, Put, SetState, row_name
from umberhitch.language._parser import LanguageError
from umberhitch.language._statements import (
    Add,
    ChangeStatement,
    Permission,
    Remove,
    RollOut,
    SetField,
    StateChange,
)

__all__ = ["compile_changes"]

Op = Put | Delete | SetState
Tables = dict[str, list[dict[str, Any]]]


class _Compiler:
    """Compiles statements one after the other, each seeing what the ones before changed."""

    def __init__(self, tables: Tables, revisions: dict[str, int], if_revision: int | None) -> None:
        self.findings: list[Finding] = []
        self.ops: list[Op] = []
        self._rows = {
            (kind, row_name(Kind(kind), row)): deepcopy(row)
            for kind, rows in tables.items()
            for row in rows
        }
        self._revisions = revisions
        self._if_revision = if_revision

    def compile(self, place: str, statement: ChangeStatement) -> None:
        """Add the operations of a statement, or a finding."""
        match statement:
            case StateChange(version=version, state=state, share=share):
                self.ops.append(SetState(version, state, share, self._if_revision))
            case Permission():
                self._permission(place, statement)
            case SetField():
                self._set_field(place, statement)
            case Add(kind=kind, json=text):
                self._put(kind, json.decode(text))
            case Remove(kind=kind, name=name):
                self.ops.append(Delete(Kind(kind), name, self._if_revision))
            case RollOut():
                self.findings.append(Finding(place, "roll-outs are driven one at a time"))

    def _put(self, kind: str, row: dict[str, Any]) -> None:
        self._rows[(kind, row_name(Kind(kind), row))] = row
        self.ops.append(Put(Kind(kind), row, self._if_revision))

    def _put_changed(self, kind: str, row: dict[str, Any]) -> None:
        """Put an object that was read first: void if anyone has changed it in the meantime."""
        seen = self._if_revision
        if seen is None:
            seen = self._revisions.get(f"{kind}/{row_name(Kind(kind), row)}", 0)
        self.ops.append(Put(Kind(kind), deepcopy(row), seen))

    def _row(self, place: str, kind: str, name: str) -> dict[str, Any] | None:
        row = self._rows.get((kind, name))
        if row is None:
            self.findings.append(Finding(place, f'no "{name}" among the {kind}'))
        return row

    def _permission(self, place: str, statement: Permission) -> None:
        row = self._row(place, Kind.CUSTOMER, statement.customer)
        if row is None:
            return
        is_service = (Kind.SERVICE.value, statement.target) in self._rows
        field = "services" if is_service else "models"
        names = [name for name in row.get(field, []) if name != statement.target]
        if statement.is_granted:
            names.append(statement.target)
        row[field] = names
        self._put_changed(Kind.CUSTOMER, row)

    def _set_field(self, place: str, statement: SetField) -> None:
        row = self._row(place, statement.kind, statement.name)
        if row is None:
            return
        *path, last = statement.field.split(".")
        target: Any = row
        for part in path:
            target = target.setdefault(part, {})
            if not isinstance(target, dict):
                self.findings.append(Finding(place, f'"{part}" has no fields'))
                return
        value = statement.value
        if isinstance(value, float) and value.is_integer():
            value = int(value)
        target[last] = value
        self._put_changed(statement.kind, row)


def compile_changes(
    statements: list[ChangeStatement],
    tables: Tables,
    revisions: dict[str, int],
    if_revision: int | None = None,
) -> list[Op]:
    """Return the operations of statements that are to be applied whole or not at all.

    Parameters
    ----------
    statements : list
    tables : dict
        The objects in force, by kind.
    revisions : dict
        The revision of each, by ``kind/name``.
    if_revision : int or None
        Revision that each object must still have.

    Raises
    ------
    LanguageError
        With a finding for each statement that does not fit the configuration.
    """
    compiler = _Compiler(tables, revisions, if_revision)
    for index, statement in enumerate(statements, start=1):
        compiler.compile(f"statement {index}", statement)
    if compiler.findings:
        raise LanguageError(compiler.findings)
    return compiler.ops
