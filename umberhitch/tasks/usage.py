"""Usage records at an agent, held until they are known to be in the log."""

from collections.abc import Iterable
from dataclasses import dataclass

from umberhitch.wire import UsageRecord

__all__ = ["UnconfirmedUsage"]

MAX_OVERDUE_RECORDS = 500


@dataclass(slots=True)
class _Held:
    record: UsageRecord
    since_s: float


class UnconfirmedUsage:
    """Owns the unconfirmed usage records of one agent."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        self._turn = 0

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, request: str) -> bool:
        return request in self._held

    def add(self, record: UsageRecord, now_s: float) -> None:
        """Keep a record until it is confirmed."""
        self._held[record.request] = _Held(record, now_s)

    def confirm(self, requests: Iterable[str]) -> None:
        """Let go of records that are in the log."""
        for request in requests:
            self._held.pop(request, None)

    def overdue(self, now_s: float, patience_s: float) -> list[UsageRecord]:
        """Return records that have waited longer than their router should have needed."""
        due = [held.record for held in self._held.values() if now_s - held.since_s >= patience_s]
        return due[:MAX_OVERDUE_RECORDS]

    def next_router(self, routers: Iterable[str]) -> str | None:
        """Return the router to offer overdue records to: another one at each turn."""
        names = sorted(routers)
        if not names:
            return None
        self._turn += 1
        return names[self._turn % len(names)]
