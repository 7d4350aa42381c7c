"""Versions withdrawn by a direct message, ahead of the change in the log."""

from umberhitch.config import Fold, Kind, Rejected
from umberhitch.wire import Withdrawal

__all__ = ["DirectWithdrawals"]


class DirectWithdrawals:
    """Direct withdrawals that the configuration does not contain yet."""

    def __init__(self) -> None:
        self._withdrawals: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._withdrawals)

    def add(self, message: Withdrawal, fold: Fold) -> bool:
        """Add a withdrawal and return whether it was new."""
        if message.change_id in fold.verdicts or message.version in self._withdrawals:
            return False
        self._withdrawals[message.version] = (message.change_id, fold.revision)
        return True

    def is_withdrawn(self, version: str, fold: Fold) -> bool:
        """Whether a version is withdrawn directly and the configuration does not show it yet."""
        withdrawal = self._withdrawals.get(version)
        if withdrawal is None:
            return False
        change_id, since_revision = withdrawal
        changed = fold.revisions.get(f"{Kind.VERSION.value}/{version}", -1)
        is_settled = changed > since_revision or isinstance(fold.verdicts.get(change_id), Rejected)
        if is_settled:
            del self._withdrawals[version]
        return not is_settled
