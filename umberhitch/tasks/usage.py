"""Usage records that an agent keeps until a router confirms that they are in the log."""

from collections.abc import Iterable
from dataclasses import dataclass

from umberhitch.wire import UsageRecord

__all__ = ["UnconfirmedUsage"]

MAX_OVERDUE_RECORDS = 500
"""Overdue records that are sent to a router at a time."""


@dataclass(slots=True)
class _UnconfirmedRecord:
    record: UsageRecord
    added_s: float


class UnconfirmedUsage:
    """Keeps the unconfirmed usage records of one agent."""

    def __init__(self) -> None:
        self._records: dict[str, _UnconfirmedRecord] = {}
        self._next_turn = 0

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, request: str) -> bool:
        return request in self._records

    def add(self, record: UsageRecord, now_s: float) -> None:
        """Keep a record until it is confirmed."""
        self._records[record.request] = _UnconfirmedRecord(record, now_s)

    def confirm(self, requests: Iterable[str]) -> None:
        """Drop the records of requests that are confirmed to be in the log."""
        for request in requests:
            self._records.pop(request, None)

    def overdue(self, now_s: float, timeout_s: float) -> list[UsageRecord]:
        """Return records that were not confirmed within ``timeout_s`` seconds."""
        due = [
            entry.record for entry in self._records.values() if now_s - entry.added_s >= timeout_s
        ]
        return due[:MAX_OVERDUE_RECORDS]

    def next_router(self, routers: Iterable[str]) -> str | None:
        """Return the router to send overdue records to, in round-robin order."""
        names = sorted(routers)
        if not names:
            return None
        self._next_turn += 1
        return names[self._next_turn % len(names)]
