"""Shapes of the administration interface: what is shown of changes, verdicts, zones and peers."""

from dataclasses import asdict
from typing import Any

from msgspec import DecodeError

from umberhitch.config import (
    Accepted,
    Change,
    Ignored,
    Rejected,
    Verdict,
    decode_record,
    touched_object,
)

__all__ = [
    "change_of",
    "empty_zone",
    "lowest_of",
    "peer_row",
    "public",
    "touches",
    "verdict_body",
    "verdict_status",
]


def change_of(data: bytes) -> Change | None:
    """Return the change in a log record, or None if it holds none."""
    try:
        record = decode_record(data)
    except DecodeError:
        return None
    return record if isinstance(record, Change) else None


def touches(change: Change, kind: str, name: str) -> bool:
    """Whether a change is about an object."""
    return any(touched_object(op) == (kind, name) for op in change.ops)


def public(row: dict[str, Any]) -> dict[str, Any]:
    """Leave out what must not be shown."""
    return {name: value for name, value in row.items() if name != "secret"}


def verdict_status(verdict: Verdict) -> int:
    """Return the HTTP status of a verdict."""
    return 200 if isinstance(verdict, Accepted) else 409


def verdict_body(verdict: Verdict, change: Change) -> dict[str, Any]:
    """Return a verdict as JSON."""
    match verdict:
        case Accepted(revision=revision):
            return {"accepted": True, "change": change.change_id, "revision": revision}
        case Rejected(revision=revision, findings=findings):
            rows = [asdict(finding) for finding in findings]
            return {
                "accepted": False,
                "change": change.change_id,
                "revision": revision,
                "error": "rejected",
                "findings": rows,
            }
        case Ignored(reason=reason):
            return {"accepted": False, "change": change.change_id, "error": reason, "findings": []}


def peer_row(digest: Any) -> dict[str, Any]:
    """Return what is shown of a peer."""
    return {"router": digest.router, "zone": digest.zone, "revision": digest.revision}


def empty_zone() -> dict[str, Any]:
    """Return the row of an availability zone of which nothing is known yet."""
    return {"routers": 0, "routers_behind": 0, "agents": 0, "lowest_agent_revision": None}


def lowest_of(one: int | None, other: int) -> int:
    """Return the lower of two revisions, the first of which may be missing."""
    return other if one is None else min(one, other)
