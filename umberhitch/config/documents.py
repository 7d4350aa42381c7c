"""A whole configuration as one JSON document, validated with every finding reported."""

from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError

from umberhitch.config._change import Change, Delete, Kind, Put
from umberhitch.config._fold import TYPES, check_references, object_name
from umberhitch.config._model import Config, Limits
from umberhitch.config.border import findings_of
from umberhitch.errors import ConfigError
from umberhitch.findings import Finding

__all__ = ["changes_to", "check_object", "parse_document"]

for _cls in (*TYPES.values(), Limits):
    setattr(_cls, "__pydantic_config__", ConfigDict(extra="forbid"))  # noqa: B010
_ADAPTERS: dict[Kind, TypeAdapter] = {kind: TypeAdapter(cls) for kind, cls in TYPES.items()}


def check_object(kind: Kind, raw: Any, place: str) -> list[Finding]:
    """Return the findings on one object's fields; references are not looked at."""
    try:
        _ADAPTERS[kind].validate_python(raw)
    except ValidationError as exc:
        return findings_of(exc, place)
    return []


def parse_document(document: Any) -> Config:
    """Return the configuration that a decoded JSON document describes.

    Raises
    ------
    ConfigError
        With every finding in the document: wrong fields first, else wrong references.
    """
    if not isinstance(document, dict):
        raise ConfigError([Finding("document", "must be an object")])
    known = {kind.value for kind in Kind}
    findings = [Finding(name, "unknown section") for name in document if name not in known]
    tables: dict[str, dict[str, Any]] = {}
    for kind in Kind:
        tables[kind.value] = _parse_section(kind, document.get(kind.value, []), findings)
    if findings:
        raise ConfigError(findings)
    config = Config(**tables)
    findings = check_references(config)
    if findings:
        raise ConfigError([_numbered(finding, config) for finding in findings])
    return config


def _parse_section(kind: Kind, rows: Any, findings: list[Finding]) -> dict[str, Any]:
    if not isinstance(rows, list):
        findings.append(Finding(kind.value, "must be a list"))
        return {}
    table: dict[str, Any] = {}
    for index, raw in enumerate(rows):
        place = f"{kind.value}[{index}]"
        try:
            value = _ADAPTERS[kind].validate_python(raw)
        except ValidationError as exc:
            findings.extend(findings_of(exc, place))
            continue
        name = object_name(kind, value)
        if name in table:
            findings.append(Finding(place, f'"{name}" is defined twice'))
        table[name] = value
    return table


def _numbered(finding: Finding, config: Config) -> Finding:
    """Replace the object's name in a place by its index in the document."""
    section, bracket, rest = finding.place.partition("[")
    if not bracket:
        return finding
    name, _, tail = rest.partition("]")
    index = list(getattr(config, section)).index(name)
    return Finding(f"{section}[{index}]{tail}", finding.problem)


def changes_to(document: Any, current: Config, change_id: str, author: str) -> Change:
    """Return the one change that turns ``current`` into the document's configuration.

    Raises
    ------
    ConfigError
        If the document is not valid.
    """
    wanted = parse_document(document)
    ops: list[Any] = []
    for kind in Kind:
        new = getattr(wanted, kind.value)
        old = getattr(current, kind.value)
        rows = dict(zip(new, document.get(kind.value, []), strict=True))
        ops += [Put(kind, rows[name]) for name in new if old.get(name) != new[name]]
        ops += [Delete(kind, name) for name in old if name not in new]
    return Change(change_id, author, ops)
