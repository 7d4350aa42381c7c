"""Endpoints that accept no new calls by their own signals: by draining or by a back-off.

A draining endpoint accepts no more calls from any router until its lifetime ends. An endpoint that
refuses a call with a time accepts none from this router for that time. The signals are followed
even if no other endpoint is available: the request is then refused.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from xxhash import xxh3_64_intdigest

__all__ = ["ClosedEndpoints", "Draining", "EndpointBackoff"]

DRAINING_KEPT_S = 600.0
"""Seconds for which the signal is kept after the endpoint was removed, since its entry may lapse
and be written again."""
MAX_DRAINING = 4096
"""Maximum number of draining endpoints that are remembered, the newest ones: about 0.5 MB."""
RESUME_SPACING_S = 0.02
"""Average interval in seconds at which the routers resume one after the other."""
FIRST_CALL_TIMEOUT_S = 0.6
"""Maximum time in seconds that other calls wait for the reply to the first one after a back-off."""
HASH_RANGE = 2.0**64


@dataclass(slots=True)
class Draining:
    """The signal of an endpoint that it is draining.

    Attributes
    ----------
    received_s : float
        When this router or a peer first received the signal.
    source : str
        How the signal became known: by an answer of the endpoint, or the name of the peer.
    last_seen_s : float
        When the endpoint was last known to this router.
    """

    received_s: float
    source: str
    last_seen_s: float


@dataclass(slots=True)
class EndpointBackoff:
    """The back-off that an endpoint asked this router for.

    Attributes
    ----------
    received_s : float
        When the endpoint last asked for a back-off.
    until_s : float
        The latest end of the back-off that the endpoint named.
    resume_s : float
        When this router resumes sending, which is a different time for each router.
    first_call_s : float or None
        When the first call after the back-off was sent. Other calls wait for its reply.
    """

    received_s: float
    until_s: float
    resume_s: float
    first_call_s: float | None = None


@dataclass(slots=True)
class ClosedEndpoints:
    """Endpoints that accept no new calls by their own signals, by lifetime.

    Attributes
    ----------
    name : str
        Name of this router.
    draining : dict of str to Draining
        Endpoints that are draining.
    backoffs : dict of str to EndpointBackoff
        Endpoints that asked this router for a back-off.
    """

    name: str
    draining: dict[str, Draining] = field(default_factory=dict)
    backoffs: dict[str, EndpointBackoff] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Whether any signal is known."""
        return bool(self.draining or self.backoffs)

    def apply_draining(self, lifetime: str, received_s: float, source: str, now_s: float) -> bool:
        """Record that an endpoint is draining; return whether that is new."""
        if lifetime in self.draining:
            return False
        self.draining[lifetime] = Draining(received_s, source, now_s)
        if len(self.draining) > MAX_DRAINING:
            del self.draining[next(iter(self.draining))]
        return True

    def apply_backoff(self, lifetime: str, backoff_s: float, routers: int, now_s: float) -> bool:
        """Record that an endpoint asked for a back-off; return whether a new back-off begins.

        Parameters
        ----------
        lifetime : str
        backoff_s : float
        routers : int
            Number of routers. All of them may have got the same back-off at the same time.
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
        resume_s = until_s + self._resume_fraction(lifetime) * RESUME_SPACING_S * (routers - 1)
        self.backoffs[lifetime] = EndpointBackoff(now_s, until_s, resume_s)
        return is_new

    def _resume_fraction(self, lifetime: str) -> float:
        """Return this router's position, from 0 to 1, in the order of resuming an endpoint."""
        return xxh3_64_intdigest(f"{lifetime}|{self.name}".encode()) / HASH_RANGE

    def note_answer(self, lifetime: str, now_s: float) -> bool:
        """Apply a reply without a back-off; return whether that ends a back-off."""
        known = self.backoffs.get(lifetime)
        if known is None or now_s < known.resume_s:
            return False
        del self.backoffs[lifetime]
        return True

    def note_sent(self, lifetime: str, now_s: float) -> None:
        """Record that a call is sent."""
        known = self.backoffs.get(lifetime)
        if known is not None:
            known.first_call_s = now_s

    def accepts(self, lifetime: str, now_s: float) -> bool:
        """Whether one more call may be sent."""
        return self.wait_s(lifetime, now_s) == 0.0

    def wait_s(self, lifetime: str, now_s: float) -> float:
        """Return the seconds until one more call may be sent; infinite for a draining endpoint."""
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
        """Remove expired signals of endpoints that aren't among the known lifetimes."""
        if not self:
            return
        keep = set(known)
        for lifetime, signal in list(self.draining.items()):
            if lifetime in keep:
                signal.last_seen_s = now_s
            elif now_s > signal.last_seen_s + DRAINING_KEPT_S:
                del self.draining[lifetime]
        for lifetime, backoff in list(self.backoffs.items()):
            if lifetime not in keep and now_s >= backoff.until_s:
                del self.backoffs[lifetime]
