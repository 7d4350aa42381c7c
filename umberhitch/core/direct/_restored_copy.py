"""What stays known when the store has returned from an older copy.

Such a copy lacks the last records, and has records that were replaced or deleted since. Operators
and endpoints write again what was lost, soon but not at once. What was acknowledged therefore stays
known until its key is written again, or for a limited time where the key may not be written again.
"""

from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from umberhitch.core.direct._types import Document, EndpointEntry, EndpointState

__all__ = [
    "KEPT_S",
    "KeepS",
    "KeptValue",
    "RestoredCopy",
    "is_superseded",
    "keep_endpoint_s",
    "keep_operator_value_s",
]

Value = TypeVar("Value")

KEPT_S = 3.0
"""Seconds for which a record stays known that the copy lacks or contradicts. The platform says that
entries of endpoints are written again within 2 s; zone changes must be in force within 5 s."""
UNTIL_WRITTEN = float("inf")

KeepS = Callable[[object, object], float]
"""Returns for how many seconds a known value is preferred to the one in the copy; None stands for a
value that was deleted or is missing."""


def is_superseded(value: object, known: object) -> bool:
    """Whether a value is a configuration that is older than the one that is known."""
    return (
        isinstance(value, Document) and isinstance(known, Document) and value.number < known.number
    )


def keep_operator_value_s(known: object, restored: object) -> float:
    """Return how long an operator's value is preferred to the one in the copy.

    Configurations have numbers, and never give way to an older one.
    """
    match known, restored:
        case Document(), Document():
            return UNTIL_WRITTEN if is_superseded(restored, known) else 0.0
        case Document(), None:
            return UNTIL_WRITTEN
    return KEPT_S


def keep_endpoint_s(known: object, restored: object) -> float:
    """Return how long an endpoint's entry is preferred to the one in the copy.

    One that was removed or is draining stays so. One that the copy lacks is not preferred: the
    directory keeps it for a while.
    """
    match known, restored:
        case None, EndpointEntry():
            return KEPT_S
        case EndpointEntry(state=EndpointState.DRAINING), EndpointEntry():
            is_same = known.born == restored.born
            return KEPT_S if is_same and restored.state != known.state else 0.0
    return 0.0


@dataclass(frozen=True, slots=True)
class KeptValue(Generic[Value]):
    """A value in the copy that is not in force yet, None for a key that the copy lacks."""

    restored: Value | None
    until_s: float


class RestoredCopy(Generic[Value]):
    """Merges a copy with what is known, and settles later what was not written again.

    Parameters
    ----------
    keep_s : callable
        Returns for how long a known value is preferred to the one in the copy.

    Attributes
    ----------
    kept : dict of str to KeptValue
        By key, what the copy has in place of a known value.
    """

    def __init__(self, keep_s: KeepS) -> None:
        self.kept: dict[str, KeptValue[Value]] = {}
        self._keep_s = keep_s

    def merge(
        self,
        restored: Mapping[str, Value],
        known: Mapping[str, Value],
        removed: Container[str],
        now_s: float,
    ) -> dict[str, Value]:
        """Return the values that are in force after the store returned from a copy.

        Parameters
        ----------
        restored : mapping
            The values in the copy, with what was written since its return.
        known : mapping
            The values that were in force.
        removed : container of str
            Keys that are known to have been deleted.
        now_s : float
        """
        merged = dict(restored)
        self.kept.clear()
        for key in known.keys() | restored.keys():
            if key not in known and key not in removed:
                continue
            value, other = known.get(key), restored.get(key)
            keep_s = 0.0 if value == other else self._keep_s(value, other)
            if keep_s > 0.0:
                self.kept[key] = KeptValue(other, now_s + keep_s)
                _put(merged, key, value)
        return merged

    def keep_in_force(
        self, read: Mapping[str, Value], known: Mapping[str, Value]
    ) -> dict[str, Value]:
        """Return the values that are in force after a further read of all values.

        A key that differs from the copy was written again.
        """
        merged = dict(read)
        for key, kept in list(self.kept.items()):
            if read.get(key) == kept.restored:
                _put(merged, key, known.get(key))
            else:
                del self.kept[key]
        newer = {key: value for key, value in known.items() if is_superseded(read.get(key), value)}
        return merged | newer

    def note_written(self, keys: Iterable[str]) -> set[str]:
        """Note that keys were written again, and return those that were kept."""
        written = self.kept.keys() & set(keys)
        for key in written:
            del self.kept[key]
        return written

    def next_expiry_s(self) -> float:
        """Return when the next value in the copy comes into force; infinite if none does."""
        return min((kept.until_s for kept in self.kept.values()), default=UNTIL_WRITTEN)

    def expire_all(self, now_s: float) -> None:
        """Let every value in the copy come into force now."""
        self.kept = {key: replace(kept, until_s=now_s) for key, kept in self.kept.items()}

    def pop_expired(self, now_s: float) -> dict[str, Value | None]:
        """Return the values in the copy that come into force now, as nothing else was written."""
        expired = {key: kept for key, kept in self.kept.items() if now_s >= kept.until_s}
        for key in expired:
            del self.kept[key]
        return {key: kept.restored for key, kept in expired.items()}


def _put(values: dict[str, Value], key: str, value: Value | None) -> None:
    if value is None:
        values.pop(key, None)
    else:
        values[key] = value
