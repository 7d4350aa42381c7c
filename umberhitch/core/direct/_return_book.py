"""Callers who were told when to come back, by the keys of their requests."""

from collections import deque
from dataclasses import dataclass

__all__ = ["Appointment", "ReturnBook"]

EARLY_S = 0.001
"""A caller may be so much early: times are named in milliseconds."""
LATE_S = 2.0
"""An appointment is forgotten so long after its time."""
MAX_APPOINTMENTS = 10_000


@dataclass(frozen=True, slots=True)
class Appointment:
    """A time to come back that was named to a caller."""

    at_s: float
    first_s: float
    """Time of the caller's first try."""


class ReturnBook:
    """Recognizes callers who come back to this router at the time that it named.

    Callers with equal requests have one key; each that comes back takes the oldest appointment that
    is due. One who comes back before its time finds none, and counts as new.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, deque[Appointment]] = {}
        self._order: deque[tuple[str, Appointment]] = deque()

    def __len__(self) -> int:
        return sum(len(each) for each in self._by_key.values())

    def add(self, key: str, appointment: Appointment, now_s: float) -> None:
        """Note what was named to a caller."""
        self._forget(now_s)
        if key:
            self._by_key.setdefault(key, deque()).append(appointment)
            self._order.append((key, appointment))

    def take(self, key: str, now_s: float) -> Appointment | None:
        """Return the appointment that a request comes back for, None if it is new or early."""
        due = [each for each in self._by_key.get(key, ()) if self._is_due(each, now_s)]
        if not due:
            return None
        taken = min(due, key=lambda each: each.first_s)
        self._remove(key, taken)
        return taken

    def _is_due(self, appointment: Appointment, now_s: float) -> bool:
        return appointment.at_s - EARLY_S <= now_s <= appointment.at_s + LATE_S

    def _remove(self, key: str, appointment: Appointment) -> None:
        known = self._by_key.get(key)
        if known is not None and appointment in known:
            known.remove(appointment)
            if not known:
                del self._by_key[key]

    def _forget(self, now_s: float) -> None:
        """Forget appointments that are long past, and the oldest ones of too many."""
        while self._order:
            key, appointment = self._order[0]
            is_past = appointment.at_s + LATE_S < now_s
            if not is_past and len(self._order) < MAX_APPOINTMENTS:
                return
            self._order.popleft()
            self._remove(key, appointment)
