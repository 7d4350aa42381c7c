"""Statements of the operators' language, as typed values."""

from dataclasses import dataclass

from umberhitch.config import VersionState

__all__ = [
    "Add",
    "Bill",
    "Burn",
    "ChangeStatement",
    "Comparison",
    "Condition",
    "Count",
    "Explain",
    "History",
    "InForce",
    "Permission",
    "Query",
    "Remove",
    "RollOut",
    "SetField",
    "Show",
    "StateChange",
    "Statement",
    "Status",
    "Value",
]

Value = str | float | bool
Comparison = str


@dataclass(frozen=True, slots=True)
class Condition:
    """``field op value``."""

    field: str
    comparison: Comparison
    value: Value


@dataclass(frozen=True, slots=True)
class Show:
    """List rows of a kind."""

    kind: str
    of: str | None = None
    where: tuple[Condition, ...] = ()
    sort_by: str | None = None
    is_descending: bool = False
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class Count:
    """Count rows of a kind by the value of a field."""

    kind: str
    by: str
    of: str | None = None
    where: tuple[Condition, ...] = ()


@dataclass(frozen=True, slots=True)
class Explain:
    """Why a request went where it went."""

    request: str


@dataclass(frozen=True, slots=True)
class History:
    """Who changed an object, and when."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Bill:
    """What customers owe."""

    customer: str | None = None


@dataclass(frozen=True, slots=True)
class Burn:
    """How fast customers' error budgets burn."""

    customer: str | None = None


@dataclass(frozen=True, slots=True)
class Status:
    """What a router knows of itself."""


@dataclass(frozen=True, slots=True)
class InForce:
    """Where a revision is in force."""

    revision: int


@dataclass(frozen=True, slots=True)
class StateChange:
    """Move a version to another state."""

    version: str
    state: VersionState
    share: float | None = None


@dataclass(frozen=True, slots=True)
class Permission:
    """Let a customer use a model or service, or no longer."""

    customer: str
    target: str
    is_granted: bool


@dataclass(frozen=True, slots=True)
class SetField:
    """Change one field of an object; dots descend into it."""

    kind: str
    name: str
    field: str
    value: Value


@dataclass(frozen=True, slots=True)
class Add:
    """Create an object from JSON, or replace it."""

    kind: str
    json: str


@dataclass(frozen=True, slots=True)
class Remove:
    """Delete an object."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class RollOut:
    """Start, hold, continue or undo a roll-out."""

    action: str
    version: str
    previous: str | None = None


Query = Show | Count | Explain | History | Bill | Burn | Status | InForce
ChangeStatement = StateChange | Permission | SetField | Add | Remove | RollOut
Statement = Query | ChangeStatement
