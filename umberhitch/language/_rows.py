"""Filters, order and counts over rows: the pure half of queries."""

import operator
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from umberhitch.language._statements import Condition, Count, Show

__all__ = ["count_rows", "select_rows"]

Row = dict[str, Any]

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def _field(row: Row, name: str) -> Any:
    value: Any = row
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def _matches(row: Row, condition: Condition) -> bool:
    found = _field(row, condition.field)
    wanted = condition.value
    if condition.comparison == "~":
        return str(wanted) in str(found)
    if isinstance(found, list):
        return (wanted in found) == (condition.comparison == "=")
    if isinstance(wanted, float) and isinstance(found, bool | str | None):
        return condition.comparison == "!="
    if isinstance(wanted, str) and not isinstance(found, str):
        return condition.comparison == "!="
    return _COMPARISONS[condition.comparison](found, wanted)


def _filtered(rows: Iterable[Row], of: str | None, where: tuple[Condition, ...]) -> list[Row]:
    return [
        row
        for row in rows
        if (of is None or _belongs(row, of))
        and all(_matches(row, condition) for condition in where)
    ]


def _belongs(row: Row, name: str) -> bool:
    """Whether a row is of a model, a customer, a target or a zone of that name."""
    fields = ("model", "customer", "zone", "name", "target")
    return any(row.get(field) == name for field in fields) or name in row.get("targets", ())


def _order(value: Any) -> tuple[int, Any]:
    """Return a key by which values of different types can be sorted."""
    match value:
        case None:
            return (0, 0)
        case bool() | int() | float():
            return (1, value)
        case _:
            return (2, str(value))


def select_rows(rows: Iterable[Row], show: Show) -> list[Row]:
    """Return the rows that a ``show`` statement asks for, in its order."""
    chosen = _filtered(rows, show.of, show.where)
    if show.sort_by is not None:
        field = show.sort_by
        chosen.sort(key=lambda row: _order(_field(row, field)), reverse=show.is_descending)
    return chosen[: show.limit]


def count_rows(rows: Iterable[Row], count: Count) -> list[Row]:
    """Return how many rows have each value of a field, most first."""
    chosen = _filtered(rows, count.of, count.where)
    counts = Counter(str(_field(row, count.by)) for row in chosen)
    return [{count.by: value, "count": number} for value, number in counts.most_common()]
