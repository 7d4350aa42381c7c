"""Changes of the configuration, as they stand in the log."""

from enum import StrEnum
from typing import Any

from msgspec import Struct, json

from umberhitch.config._model import VersionState, version_key

__all__ = [
    "Change",
    "Delete",
    "Kind",
    "Put",
    "SetState",
    "Snapshot",
    "decode_record",
    "encode_record",
    "row_name",
    "touched_object",
]


class Kind(StrEnum):
    """The kinds of object that a configuration holds."""

    CUSTOMER = "customers"
    CLASS = "classes"
    MODEL = "models"
    VERSION = "versions"
    SERVICE = "services"
    KEY = "keys"
    POLICY = "policies"
    ROLLOUT = "rollouts"


def row_name(kind: Kind, row: dict[str, Any]) -> str:
    """Return the name of an object from its fields as they stand in the log."""
    match kind:
        case Kind.VERSION:
            return version_key(str(row.get("model")), str(row.get("name")))
        case Kind.ROLLOUT:
            return str(row.get("version"))
        case _:
            return str(row.get("name"))


class Put(Struct, frozen=True, tag="put", omit_defaults=True):
    """Create or replace one object."""

    kind: Kind
    value: dict[str, Any]
    if_revision: int | None = None
    """Revision of the object that the author saw; 0 stands for an object that does not exist."""

    @property
    def name(self) -> str:
        """Name of the object."""
        return row_name(self.kind, self.value)


class Delete(Struct, frozen=True, tag="delete", omit_defaults=True):
    """Remove one object."""

    kind: Kind
    name: str
    if_revision: int | None = None


class SetState(Struct, frozen=True, tag="state", omit_defaults=True):
    """Move a version to another state, and to another share if one is given."""

    version: str
    state: VersionState
    share: float | None = None
    if_revision: int | None = None


def touched_object(op: Put | Delete | SetState) -> tuple[Kind, str]:
    """Return kind and name of the object that an operation is about."""
    match op:
        case Put() | Delete():
            return op.kind, op.name
        case SetState(version=version):
            return Kind.VERSION, version


class Change(Struct, frozen=True, tag="change", omit_defaults=True):
    """A group of operations that is applied whole or not at all.

    ``change_id`` makes the append idempotent: the fold ignores a second record with the same id.
    """

    change_id: str
    author: str
    ops: list[Put | Delete | SetState]
    reason: str = ""


class Snapshot(Struct, frozen=True, tag="snapshot"):
    """The whole fold up to and including ``revision``, written back into the log."""

    revision: int
    objects: dict[str, list[dict[str, Any]]]
    revisions: dict[str, int]
    recent: dict[str, int]
    """Change ids that were seen lately, with the offset of each."""


Record = Change | Snapshot

_encoder = json.Encoder()
_decoder = json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the record as JSON."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Return the record that ``encode_record`` wrote.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        If the data is not a record.
    """
    return _decoder.decode(data)
