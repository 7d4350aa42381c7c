"""Sessions of services without a roll-out, which stay on their version when one begins."""

from collections import OrderedDict
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

__all__ = ["RecentBook", "RecentSession", "hash_fraction"]

MAX_SESSIONS = 20_000
"""Of each service."""
HASH_RANGE = 1 << 64


def hash_fraction(text: str) -> float:
    """Return a number from 0 to 1 for a text, which is the same at every router."""
    return xxh3_64_intdigest(text.encode()) / HASH_RANGE


@dataclass(frozen=True, slots=True)
class RecentSession:
    """When the last request of a session started or ended, and whether this router served it."""

    at_s: float
    is_own: bool


class RecentBook:
    """The recent sessions of all services."""

    def __init__(self) -> None:
        self._services: dict[str, OrderedDict[str, RecentSession]] = {}

    def note_request(self, service: str, session: str, now_s: float) -> None:
        """Record the start of a request."""
        self._set(service, session, RecentSession(now_s, is_own=True))

    def note_finished(self, service: str, session: str, now_s: float) -> None:
        """Record the end of a request of a known session."""
        if session in self._services.get(service, ()):
            self._set(service, session, RecentSession(now_s, is_own=True))

    def note_told(self, service: str, session: str, at_s: float) -> None:
        """Record a session that a peer has served."""
        known = self._services.get(service, OrderedDict()).get(session)
        if known is None or known.at_s < at_s:
            self._set(service, session, RecentSession(at_s, is_own=False))

    def _set(self, service: str, session: str, recent: RecentSession) -> None:
        sessions = self._services.setdefault(service, OrderedDict())
        sessions.pop(session, None)
        sessions[session] = recent
        while len(sessions) > MAX_SESSIONS:
            sessions.popitem(last=False)

    def pop(self, service: str) -> dict[str, RecentSession]:
        """Return the sessions of a service and forget them, since its roll-out begins."""
        return self._services.pop(service, OrderedDict())

    def within(
        self, share: float, since_s: float, with_told: bool
    ) -> dict[str, dict[str, RecentSession]]:
        """Return the sessions by service that a roll-out would move at once.

        Parameters
        ----------
        share : float
            Their draw is below this share.
        since_s : float
            Earlier ones have timed out.
        with_told : bool
            Whether to return those that peers serve, too.
        """
        return {
            service: {
                session: recent
                for session, recent in sessions.items()
                if recent.at_s >= since_s
                and (recent.is_own or with_told)
                and hash_fraction(session) < share
            }
            for service, sessions in self._services.items()
        }
