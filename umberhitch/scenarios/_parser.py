"""Scenario files to steps."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lark import Token, Tree, UnexpectedInput

from umberhitch.config import Finding
from umberhitch.language import LanguageError, make_finding, make_parser, unquote

__all__ = ["Scenario", "Step", "duration_s", "parse_scenario"]

GRAMMAR = Path(__file__).parent / "scenario.lark"
COMMENT = "#"

UNITS_S = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}

_parser = make_parser(GRAMMAR)


@dataclass(frozen=True, slots=True)
class Step:
    """One line of a scenario.

    Attributes
    ----------
    line : int
    name : str
        The rule of the grammar that the line follows.
    items : tuple
        Its arguments: texts, numbers, nested steps, or None where an optional one is missing.
    """

    line: int
    name: str
    items: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole file."""

    path: Path
    title: str
    promises: tuple[str, ...]
    faults: tuple[str, ...]
    steps: tuple[Step, ...]


def duration_s(text: str) -> float:
    """Return a duration such as ``1.5s`` in seconds."""
    number = text.rstrip("abcdefghijklmnopqrstuvwxyz")
    return float(number) * UNITS_S[text[len(number) :]]


def _value(item: Any, line: int) -> Any:
    match item:
        case Token(type="STRING"):
            return unquote(str(item))
        case Token(type="DURATION"):
            return duration_s(str(item))
        case Token(type="INTEGER"):
            return int(item)
        case Token(type="NUMBER"):
            return float(item)
        case Token():
            return str(item)
        case Tree(data="target", children=[only]):
            return str(only)
        case Tree():
            return _step(item, line)
        case _:
            return item


def _step(tree: Tree, line: int) -> Step:
    items = tuple(_value(child, line) for child in tree.children)
    return Step(line, str(tree.data), items)


def parse_scenario(path: Path) -> Scenario:
    """Return the scenario in a file.

    Raises
    ------
    LanguageError
        With a finding for each line that cannot be understood.
    """
    steps: list[Step] = []
    findings: list[Finding] = []
    for number, text in enumerate(path.read_text().split("\n"), start=1):
        code = text.strip()
        if not code or code.startswith(COMMENT):
            continue
        try:
            steps.append(_step(_parser.parse(code), number))
        except UnexpectedInput as exc:
            findings.append(make_finding(exc, number, 1, code))
    if findings:
        raise LanguageError(findings)
    head = {name: _collect(steps, name) for name in ("title", "promises", "faults")}
    body = tuple(step for step in steps if step.name not in head)
    title = head["title"][0] if head["title"] else path.stem
    return Scenario(path, title, head["promises"], head["faults"], body)


def _collect(steps: list[Step], name: str) -> tuple[str, ...]:
    return tuple(item for step in steps if step.name == name for item in step.items)
