"""No module needs another that needs it, not even for its types."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

import umberhitch

ROOT = Path(umberhitch.__file__).parent


def _name(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _needs(path: Path, modules: set[str]) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and not node.level:
            as_modules = {f"{node.module}.{item.name}" for item in node.names} & modules
            found |= as_modules or {node.module} & modules
    return found


def graph() -> dict[str, set[str]]:
    """Return what each module imports, within functions and for types included."""
    paths = {_name(path): path for path in ROOT.rglob("*.py") if "tests" not in path.parts}
    return {name: _needs(path, set(paths)) for name, path in paths.items()}


def test_there_are_no_circles() -> None:
    """Six tasks of the old path knew each other through the router (issue 12)."""
    list(TopologicalSorter(graph()).static_order())


def test_a_circle_would_be_found() -> None:
    found = graph()
    found["umberhitch.ports.clock"] = {"umberhitch.tasks.router"}
    with pytest.raises(CycleError):
        list(TopologicalSorter(found).static_order())
