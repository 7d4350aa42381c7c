"""Versions that sessions are on during a roll-out."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

__all__ = ["SessionAge", "SessionPin", "SessionPins"]

MAX_SESSIONS = 20_000


@dataclass(frozen=True, slots=True)
class SessionPin:
    """Version of a session.

    Attributes
    ----------
    is_target : bool
        Whether it is on the new version.
    at_s : float
        Last start or end of one of its requests.
    draw : float
        Number from 0 to 1 that is the same for all requests of a session at every router.
    is_own : bool
        Whether this router served that request; others report it if not.
    """

    is_target: bool
    at_s: float
    draw: float
    is_own: bool = False

    @property
    def origin(self) -> str:
        """How the version is known."""
        version = "new" if self.is_target else "old"
        return f"own on {version}" if self.is_own else f"told on {version}"


@dataclass(frozen=True, slots=True)
class SessionAge:
    """A session, and the seconds since its last request started or ended."""

    session: str
    age_s: float


class SessionPins:
    """The sessions that this router knows, from its own requests or from peers.

    Parameters
    ----------
    session_s : float
        Longest pause in seconds between requests of one session.
    """

    def __init__(self, session_s: float) -> None:
        self._session_s = session_s
        self._pins: OrderedDict[str, SessionPin] = OrderedDict()

    def current(self, session: str, now_s: float) -> SessionPin | None:
        """Return the version of a session, None if it is not known or has timed out."""
        pin = self._pins.get(session)
        return None if pin is None or pin.at_s < now_s - self._session_s else pin

    def pin(self, session: str, pin: SessionPin) -> None:
        """Set the version of a session; the oldest is forgotten if there are too many."""
        self._pins.pop(session, None)
        self._pins[session] = pin
        while len(self._pins) > MAX_SESSIONS:
            self._pins.popitem(last=False)

    def note_finished(self, session: str, now_s: float) -> None:
        """Record the end of a session's request, from which its timeout runs."""
        pin = self._pins.get(session)
        if pin is not None:
            self._pins[session] = replace(pin, at_s=now_s)

    def note_told(self, session: str, told: SessionPin) -> None:
        """Record what a peer or an earlier time tells of a session.

        A session never moves back, so the new version goes before the old one.
        """
        known = self._pins.get(session)
        if known is not None and told.at_s > known.at_s + self._session_s:
            known = None  # it has timed out in between
        is_newer = known is None or told.at_s > known.at_s
        if known is not None and known.is_target != told.is_target:
            is_newer = told.is_target
        if is_newer:
            self.pin(session, told)

    def current_pins(self, now_s: float) -> Iterable[SessionPin]:
        """Return the pins of the sessions that have not timed out."""
        oldest_s = now_s - self._session_s
        return (pin for pin in self._pins.values() if pin.at_s >= oldest_s)

    def ages(self, now_s: float, is_wanted: Callable[[SessionPin], bool]) -> list[SessionAge]:
        """Return the wanted sessions that have not timed out, the newest last."""
        oldest_s = now_s - self._session_s
        return [
            SessionAge(session, now_s - pin.at_s)
            for session, pin in self._pins.items()
            if pin.at_s >= oldest_s and is_wanted(pin)
        ]
