"""The agent's copy of the configuration, and permission checks against it."""

from collections.abc import Callable
from logging import getLogger

from msgspec import DecodeError, ValidationError

from umberhitch.config import CatchUp, Config, Fold, Snapshot, decode_record
from umberhitch.core.outcome import Reason
from umberhitch.core.permission import refusal_for
from umberhitch.core.session import Session, read_session_token
from umberhitch.core.withdrawals import DirectWithdrawals
from umberhitch.errors import SessionError
from umberhitch.wire import ConfigRecords, ConfigSnapshot, Start, Withdrawal

__all__ = ["AgentConfig"]

log = getLogger(__name__)


class AgentConfig:
    """Builds the configuration from the records that routers send.

    Parameters
    ----------
    wall_s : callable
        Returns seconds since the epoch; used only for the expiry of session tokens.
    """

    def __init__(self, wall_s: Callable[[], float]) -> None:
        self._wall_s = wall_s
        self._catch_up = CatchUp(Fold())
        self._withdrawals = DirectWithdrawals()

    @property
    def revision(self) -> int:
        """Offset of the last record applied."""
        return self._catch_up.fold.revision

    @property
    def config(self) -> Config:
        """Configuration at the current revision."""
        return self._catch_up.fold.config

    def is_contiguous(self, message: ConfigRecords) -> bool:
        """Whether the records continue from the current revision without a gap."""
        return message.previous <= self.revision

    def apply_records(self, message: ConfigRecords) -> bool:
        """Apply records and return whether the revision increased."""
        before = self.revision
        self._catch_up.take(message.records)
        return self.revision > before

    def apply_snapshot(self, message: ConfigSnapshot) -> bool:
        """Load a snapshot if it is newer, and return whether the revision increased."""
        try:
            record = decode_record(message.data)
        except (ValidationError, DecodeError) as exc:
            log.warning("malformed snapshot", extra={"error": str(exc)})
            return False
        if not isinstance(record, Snapshot) or record.revision <= self.revision:
            return False
        self._catch_up.load(record)
        return True

    def withdraw_version(self, message: Withdrawal) -> None:
        """Refuse new work for a version before its withdrawal is read from the log."""
        self._withdrawals.add(message, self._catch_up.fold)

    def refusal(self, start: Start) -> Reason | None:
        """Return the reason to refuse an attempt, or None if it may run."""
        if self._withdrawals.is_withdrawn(start.target, self._catch_up.fold):
            return Reason.WITHDRAWN
        session: Session | None = None
        if start.session:
            try:
                session = read_session_token(start.session, self.config, self._wall_s())
            except SessionError:
                return Reason.SESSION_ENDED
        return refusal_for(self.config, start.customer, start.target, session)
