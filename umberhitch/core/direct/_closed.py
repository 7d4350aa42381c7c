"""Endpoints that want nothing new by their own word: those that leave, and those that rest.

One that leaves wants nothing more from anybody until its lifetime ends. One that refuses with a
time wants nothing from this router for so long. Neither word is dropped where nothing else is left:
what no other endpoint takes is refused.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from xxhash import xxh3_64_intdigest

__all__ = ["ClosedEndpoints", "Draining", "EndpointBackoff"]

DRAINING_KEPT_S = 600.0
"""Kept for so long after the registry has lost an endpoint: its entry may lapse and come back."""
MAX_DRAINING = 4096
"""Endpoints that leave are remembered up to so many, the newest: some 0.5 MB."""
RESUME_SPACING_S = 0.02
"""After a rest the routers return one after the other, one in so long on the average."""
FIRST_CALL_TIMEOUT_S = 0.6
"""After a rest a router's first call goes alone, until its reply begins or so much later."""
HASH_RANGE = 2.0**64


@dataclass(slots=True)
class Draining:
    """That an endpoint leaves.

    Attributes
    ----------
    heard_s : float
        When it was first said, here or at a peer.
    source : str
        How it is known: by its own answer, or from which peer.
    known_s : float
        When its endpoint was last known.
    """

    received_s: float
    source: str
    last_seen_s: float


@dataclass(slots=True)
class EndpointBackoff:
    """That an endpoint wants nothing from this router for a while.

    Attributes
    ----------
    heard_s : float
        When it was said last.
    until_s : float
        The latest end that was named.
    opens_s : float
        When this router sends again: the routers return one after the other.
    tried_s : float or None
        When the first call after it was sent, which others wait for.
    """

    received_s: float
    until_s: float
    resume_s: float
    first_call_s: float | None = None


@dataclass(slots=True)
class ClosedEndpoints:
    """What endpoints have said to this router, by their lifetimes.

    Attributes
    ----------
    name : str
        Of this router.
    leaving : dict of str to Draining
    resting : dict of str to EndpointBackoff
    """

    name: str
    draining: dict[str, Draining] = field(default_factory=dict)
    backoffs: dict[str, EndpointBackoff] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Whether any endpoint may be closed."""
        return bool(self.draining or self.backoffs)

    def apply_draining(self, lifetime: str, received_s: float, source: str, now_s: float) -> bool:
        """Take the word that an endpoint leaves; return whether it is new."""
        if lifetime in self.draining:
            return False
        self.draining[lifetime] = Draining(received_s, source, now_s)
        if len(self.draining) > MAX_DRAINING:
            del self.draining[next(iter(self.draining))]
        return True

    def apply_backoff(self, lifetime: str, backoff_s: float, routers: int, now_s: float) -> bool:
        """Take the word that an endpoint wants nothing for so long; return whether it is new.

        Parameters
        ----------
        lifetime : str
        backoff_s : float
        routers : int
            How many there are, of which all may have been told so at the same time.
        now_s : float
        """
        known = self.backoffs.get(lifetime)
        if backoff_s <= 0.0:
            return False
        is_new = known is None or known.until_s <= now_s
        until_s = now_s + backoff_s
        if known is not None and known.until_s >= until_s:
            known.received_s = now_s
            return False
        opens_s = until_s + self._resume_fraction(lifetime) * RESUME_SPACING_S * (routers - 1)
        self.backoffs[lifetime] = EndpointBackoff(now_s, until_s, opens_s)
        return is_new

    def _resume_fraction(self, lifetime: str) -> float:
        """Return this router's place among those that return to an endpoint, from 0 to 1."""
        return xxh3_64_intdigest(f"{lifetime}|{self.name}".encode()) / HASH_RANGE

    def note_answer(self, lifetime: str, now_s: float) -> bool:
        """Take a reply that asks for no rest; return whether that ends the return from one."""
        known = self.backoffs.get(lifetime)
        if known is None or now_s < known.resume_s:
            return False
        del self.backoffs[lifetime]
        return True

    def note_sent(self, lifetime: str, now_s: float) -> None:
        """Note that a call is sent."""
        known = self.backoffs.get(lifetime)
        if known is not None:
            known.first_call_s = now_s

    def accepts(self, lifetime: str, now_s: float) -> bool:
        """Whether one more call may be sent."""
        return self.wait_s(lifetime, now_s) == 0.0

    def wait_s(self, lifetime: str, now_s: float) -> float:
        """Return the time until one more call may be sent; infinite where it leaves."""
        if lifetime in self.draining:
            return inf
        known = self.backoffs.get(lifetime)
        if known is None:
            return 0.0
        free_s = (
            known.resume_s
            if known.first_call_s is None
            else known.first_call_s + FIRST_CALL_TIMEOUT_S
        )
        return max(0.0, free_s - now_s)

    def forget(self, known: Iterable[str], now_s: float) -> None:
        """Keep what concerns endpoints that are known, and for a while what others said."""
        if not self:
            return
        keep = set(known)
        for lifetime, word in list(self.draining.items()):
            if lifetime in keep:
                word.last_seen_s = now_s
            elif now_s > word.last_seen_s + DRAINING_KEPT_S:
                del self.draining[lifetime]
        for lifetime, rest in list(self.backoffs.items()):
            if lifetime not in keep and now_s >= rest.until_s:
                del self.backoffs[lifetime]
