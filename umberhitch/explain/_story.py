"""Reads JSON lines, and tells what concerns one request in the order of time."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from msgspec import DecodeError, json

__all__ = ["Line", "read_lines", "tell"]

BELIEFS = frozenset(
    {
        "configuration in force",
        "draining",
        "endpoint ended",
        "endpoint signal",
        "history gone",
        "peers",
        "request held",
        "request held no more",
        "roll-out begins",
        "roll-out state",
        "settings read again",
        "started",
        "stopped",
        "store lost",
        "store regained",
    }
)
"""Lines that change what a process believes; the last of each before the request explain it."""
PLAIN = frozenset({"at", "level", "logger", "message", "node", "request"})


@dataclass(frozen=True)
class Line:
    """One log line.

    Attributes
    ----------
    at : str
        As it stands in the line; lines of one process are in order as they were written.
    """

    at: str
    node: str
    message: str
    request: str | None
    facts: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        facts = " ".join(f"{key}={value}" for key, value in self.facts.items() if value is not None)
        return f"{self.at}  {self.node}  {self.message}  {facts}".rstrip()


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Return the log lines among lines of text.

    What stands before the first brace (a time, a name: some collectors put them there) is passed
    over, and so is what is no JSON object.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = json.decode(text[start:].strip())
        except DecodeError:
            continue
        if isinstance(raw, dict) and "message" in raw:
            found.append(_line(raw))
    return found


def _line(raw: dict[str, Any]) -> Line:
    facts = {key: value for key, value in raw.items() if key not in PLAIN}
    request = raw.get("request")
    return Line(
        str(raw.get("at", "")),
        str(raw.get("node", "")),
        str(raw["message"]),
        None if request is None else str(request),
        facts,
    )


def _subject(line: Line) -> Any:
    """Return what a belief is of, where a process holds several of its kind."""
    if line.message == "endpoint signal":
        return line.facts.get("endpoint"), line.facts.get("signal")
    return line.facts.get("feed")


def tell(lines: list[Line], request: str) -> list[Line]:
    """Return a request's lines in order of time, and before them what its routers believed.

    Of each router that had the request, the last line of each kind of belief before the request's
    first line is told, and every one until its last.
    """
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    first, last = min(line.at for line in own), max(line.at for line in own)
    nodes = {line.node for line in own}
    before: dict[tuple[str, str, Any], Line] = {}
    during = []
    for line in lines:
        if line.node not in nodes or line.message not in BELIEFS:
            continue
        if line.at < first:
            before[(line.node, line.message, _subject(line))] = line
        elif line.at <= last:
            during.append(line)
    return sorted([*before.values(), *during, *own], key=lambda line: line.at)
