"""The configuration as a deterministic fold of one log stream.

Every process applies the same records in the same order and reaches the same verdicts, so the
processes agree on the winner of a race without talking to each other. The offset of the last
applied record is the revision.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from msgspec import DecodeError, ValidationError, convert, to_builtins

from umberhitch.config._change import (
    Change,
    Delete,
    Kind,
    Put,
    SetState,
    Snapshot,
    decode_record,
    encode_record,
    touched_object,
)
from umberhitch.config._model import (
    Config,
    Customer,
    Model,
    Policy,
    RequestClass,
    Rollout,
    Service,
    SigningKey,
    Version,
)
from umberhitch.findings import Finding

__all__ = ["Accepted", "Fold", "Ignored", "Rejected", "Verdict", "check_references"]

TYPES: dict[Kind, type] = {
    Kind.CUSTOMER: Customer,
    Kind.CLASS: RequestClass,
    Kind.MODEL: Model,
    Kind.VERSION: Version,
    Kind.SERVICE: Service,
    Kind.KEY: SigningKey,
    Kind.POLICY: Policy,
    Kind.ROLLOUT: Rollout,
}

MAX_RECENT_CHANGES = 4096
"""Change ids remembered for the recognition of repeated appends."""


@dataclass(frozen=True)
class Accepted:
    """The change took effect at ``revision``."""

    change_id: str
    revision: int


@dataclass(frozen=True)
class Rejected:
    """The change had no effect; every process rejects it for the same findings."""

    change_id: str
    revision: int
    findings: tuple[Finding, ...]


@dataclass(frozen=True)
class Ignored:
    """The record repeats an earlier one, or is not a record of configuration at all."""

    revision: int
    reason: str


Verdict = Accepted | Rejected | Ignored


def object_name(kind: Kind, value: Any) -> str:
    """Return the name under which an object is stored in its kind."""
    return value.key if kind is Kind.VERSION else value.name


def revision_key(kind: Kind, name: str) -> str:
    """Return the key of an object in the table of revisions."""
    return f"{kind.value}/{name}"


@dataclass
class Fold:
    """The state of the configuration stream up to ``revision``.

    Attributes
    ----------
    revision : int
        Offset of the last record applied; -1 before the first.
    config : Config
        The configuration at that revision.
    revisions : dict
        The offset of the last accepted change of each object.
    verdicts : dict
        The verdict on each recent change, by change id.
    """

    revision: int = -1
    config: Config = field(default_factory=Config)
    revisions: dict[str, int] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)

    def apply(self, offset: int, data: bytes) -> Verdict:
        """Apply the record at ``offset`` and return the verdict on it."""
        if offset <= self.revision:
            return Ignored(offset, "older than the revision in force")
        try:
            record = decode_record(data)
        except (ValidationError, DecodeError) as exc:
            self.revision = offset
            return Ignored(offset, f"not a record of configuration: {exc}")
        match record:
            case Snapshot():
                return self._apply_snapshot(offset, record)
            case Change():
                return self._apply_change(offset, record)

    def _apply_change(self, offset: int, change: Change) -> Verdict:
        self.revision = offset
        if change.change_id in self.verdicts:
            return Ignored(offset, "repeats an earlier change")
        config, findings = self._attempt(change)
        verdict: Verdict
        if findings:
            verdict = Rejected(change.change_id, offset, tuple(findings))
        else:
            verdict = Accepted(change.change_id, offset)
            self.config = config
            self._stamp(change, offset)
        self._remember(change.change_id, verdict)
        return verdict

    def preview(self, change: Change) -> tuple[Config, list[Finding]]:
        """Return what the change would lead to now, with the findings against it."""
        return self._attempt(change)

    def _attempt(self, change: Change) -> tuple[Config, list[Finding]]:
        config = self.config
        findings: list[Finding] = []
        for index, op in enumerate(change.ops):
            config = self._apply_op(config, f"ops[{index}]", op, findings)
        if not findings:
            findings.extend(check_references(config))
        return config, findings

    def _apply_op(
        self, config: Config, place: str, op: Put | Delete | SetState, findings: list[Finding]
    ) -> Config:
        match op:
            case Put(kind=kind, value=raw):
                try:
                    value: Any = convert(raw, TYPES[kind])
                except ValidationError as exc:
                    findings.append(Finding(f"{place}.value", str(exc)))
                    return config
                name = object_name(kind, value)
                self._check_revision(place, kind, name, op.if_revision, findings)
                return _with_object(config, kind, name, value)
            case Delete(kind=kind, name=name):
                self._check_revision(place, kind, name, op.if_revision, findings)
                if name not in getattr(config, kind.value):
                    findings.append(Finding(f"{place}.name", f'no such object "{name}"'))
                return _without_object(config, kind, name)
            case SetState():
                return self._set_state(config, place, op, findings)

    def _set_state(
        self, config: Config, place: str, op: SetState, findings: list[Finding]
    ) -> Config:
        ver = config.versions.get(op.version)
        if ver is None:
            findings.append(Finding(f"{place}.version", f'unknown version "{op.version}"'))
            return config
        self._check_revision(place, Kind.VERSION, op.version, op.if_revision, findings)
        share = ver.share if op.share is None else op.share
        return _with_object(
            config, Kind.VERSION, op.version, replace(ver, state=op.state, share=share)
        )

    def _check_revision(
        self, place: str, kind: Kind, name: str, expected: int | None, findings: list[Finding]
    ) -> None:
        if expected is None:
            return
        current = self.revisions.get(revision_key(kind, name), 0)
        if current != expected:
            problem = f'"{name}" is at revision {current}, the change is based on {expected}'
            findings.append(Finding(f"{place}.if_revision", problem))

    def _stamp(self, change: Change, offset: int) -> None:
        for op in change.ops:
            self.revisions[revision_key(*touched_object(op))] = offset

    def _remember(self, change_id: str, verdict: Verdict) -> None:
        self.verdicts[change_id] = verdict
        while len(self.verdicts) > MAX_RECENT_CHANGES:
            self.verdicts.pop(next(iter(self.verdicts)))

    def snapshot(self) -> Snapshot:
        """Return the fold as a record from which another process can continue."""
        objects = {
            kind.value: [to_builtins(value) for value in getattr(self.config, kind.value).values()]
            for kind in Kind
        }
        recent = {
            change_id: (
                verdict.revision if isinstance(verdict, Accepted) else -1 - verdict.revision
            )
            for change_id, verdict in self.verdicts.items()
        }
        return Snapshot(self.revision, objects, dict(self.revisions), recent)

    def encoded_snapshot(self) -> bytes:
        """Return `snapshot` as a log record."""
        return encode_record(self.snapshot())

    def _apply_snapshot(self, offset: int, snapshot: Snapshot) -> Verdict:
        if snapshot.revision > self.revision:
            self.load(snapshot)
        self.revision = max(self.revision, offset)
        return Ignored(offset, "snapshot")

    def load(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot that is newer; an older one changes nothing."""
        if snapshot.revision <= self.revision:
            return
        self.config = _config_from(snapshot)
        self.revisions = dict(snapshot.revisions)
        self.verdicts = dict(_verdicts_from(snapshot))
        self.revision = snapshot.revision


def _verdicts_from(snapshot: Snapshot) -> Iterator[tuple[str, Verdict]]:
    for change_id, mark in snapshot.recent.items():
        if mark >= 0:
            yield change_id, Accepted(change_id, mark)
        else:
            finding = Finding("change", "rejected before the snapshot")
            yield change_id, Rejected(change_id, -1 - mark, (finding,))


def _config_from(snapshot: Snapshot) -> Config:
    tables: dict[str, dict[str, Any]] = {}
    for kind in Kind:
        values: list[Any] = [
            convert(raw, TYPES[kind]) for raw in snapshot.objects.get(kind.value, [])
        ]
        tables[kind.value] = {object_name(kind, value): value for value in values}
    return Config(**tables)


def _with_object(config: Config, kind: Kind, name: str, value: Any) -> Config:
    table = dict(getattr(config, kind.value))
    table[name] = value
    return replace(config, **{kind.value: table})


def _without_object(config: Config, kind: Kind, name: str) -> Config:
    table = dict(getattr(config, kind.value))
    table.pop(name, None)
    return replace(config, **{kind.value: table})


def check_references(config: Config) -> list[Finding]:
    """Return a finding for each reference to an object that does not exist."""
    findings: list[Finding] = []
    for customer in config.customers.values():
        place = f"customers[{customer.name}]"
        for index, name in enumerate(customer.models):
            if name not in config.models and name not in config.versions:
                findings.append(Finding(f"{place}.models[{index}]", f'unknown model "{name}"'))
        for index, name in enumerate(customer.services):
            if name not in config.services:
                findings.append(Finding(f"{place}.services[{index}]", f'unknown service "{name}"'))
    for ver in config.versions.values():
        if ver.model not in config.models:
            findings.append(Finding(f"versions[{ver.key}].model", f'unknown model "{ver.model}"'))
        findings.extend(
            Finding(f"versions[{ver.key}].quality.{name}", f'unknown class "{name}"')
            for name in ver.quality
            if name != "*" and name not in config.classes
        )
    for plan in config.rollouts.values():
        findings.extend(
            Finding(f"rollouts[{plan.name}].{field}", f'unknown version "{name}"')
            for field, name in (("version", plan.version), ("previous", plan.previous))
            if name not in config.versions
        )
    findings.extend(_reservation_findings(config))
    return findings


def _reservation_findings(config: Config) -> list[Finding]:
    total = sum(customer.limits.reservation for customer in config.customers.values())
    if total <= 1.0 + 1e-9:
        return []
    return [Finding("customers", f"reservations add up to {total:.3f}, more than the capacity")]
