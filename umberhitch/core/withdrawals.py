"""Versions that were stopped directly, ahead of the record in the log."""

from umberhitch.config import Fold, Kind, Rejected
from umberhitch.wire import Withdrawal

__all__ = ["DirectWithdrawals"]


class DirectWithdrawals:
    """Remembers direct withdrawals until the configuration has caught up with them."""

    def __init__(self) -> None:
        self._stops: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._stops)

    def add(self, message: Withdrawal, fold: Fold) -> bool:
        """Note a withdrawal; returns whether it was news."""
        if message.change_id in fold.verdicts or message.version in self._stops:
            return False
        self._stops[message.version] = (message.change_id, fold.revision)
        return True

    def is_withdrawn(self, version: str, fold: Fold) -> bool:
        """Whether a version is stopped although the configuration does not say so yet."""
        stop = self._stops.get(version)
        if stop is None:
            return False
        change_id, since_revision = stop
        changed = fold.revisions.get(f"{Kind.VERSION.value}/{version}", -1)
        is_settled = changed > since_revision or isinstance(fold.verdicts.get(change_id), Rejected)
        if is_settled:
            del self._stops[version]
        return not is_settled
