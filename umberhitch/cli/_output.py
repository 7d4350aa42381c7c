"""Rows as a table, as JSON, or as JSON lines."""

from typing import Any

from msgspec import json
from tabulate import tabulate

__all__ = ["FORMATS", "format_rows"]

FORMATS = ("table", "json", "jsonl")
MAX_CELL_CHARS = 60


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case list():
            text = ", ".join(str(item) for item in value)
        case dict():
            text = ", ".join(f"{name}={item}" for name, item in value.items())
        case _:
            text = str(value)
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 1] + "…"


def format_rows(rows: list[dict[str, Any]], output: str) -> str:
    """Return rows in one of `FORMATS`."""
    match output:
        case "json":
            return json.format(json.encode(rows), indent=2).decode()
        case "jsonl":
            return "\n".join(json.encode(row).decode() for row in rows)
        case _:
            if not rows:
                return "(none)"
            cells = [{name: _cell(value) for name, value in row.items()} for row in rows]
            return tabulate(cells, headers="keys", disable_numparse=True)
