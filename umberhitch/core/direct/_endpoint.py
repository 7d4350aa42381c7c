"""One lifetime of an endpoint, as a router sees it."""

from dataclasses import dataclass

from umberhitch.core.direct._types import EndpointEntry, EndpointState

__all__ = ["Endpoint"]

BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 3.0
"""An endpoint that cannot be reached is left alone so long, doubled at each failure in a row. Then
one call at a time tries it, until one is answered."""
RECOVERY_CALL_S = 0.6
"""Time after which a call that tries an endpoint again has told how it is."""


@dataclass(slots=True)
class Endpoint:
    """One lifetime of an endpoint, with what this router has seen of it."""

    entry: EndpointEntry
    expires_s: float | None = None
    ejected_until_s: float = 0.0
    failures: int = 0
    has_exited: bool = False
    """Whether its process was seen to have ended; one that answers again has started again."""
    reports_draining: bool = False
    """Whether it has said so itself, whatever its entry says."""
    cold_until_s: float = 0.0
    """It is cold until then, by its own word, or"""
    presumed_cold_until_s: float = 0.0
    """taken for cold, since it may have started again and not have said so yet."""
    cold_source: str = ""
    """How that is known."""
    lifetime: str = ""
    """Names it among all lifetimes, at every router."""

    def __post_init__(self) -> None:
        born = self.entry.born
        name = self.entry.incarnation
        self.lifetime = name if born is None else f"{name}@{born}"

    def is_cold(self, now_s: float) -> bool:
        """Whether it bears only so many requests a second."""
        return now_s < self.cold_until_s or now_s < self.presumed_cold_until_s

    def presume_cold(self, until_s: float, source: str) -> None:
        """Take it for cold until then."""
        if until_s > self.presumed_cold_until_s:
            self.presumed_cold_until_s = until_s
            self.cold_source = source

    @property
    def is_draining(self) -> bool:
        """Whether it takes no new work any more, by its entry or its own word."""
        return self.reports_draining or self.entry.state is EndpointState.DRAINING

    def accepts_work(self, now_s: float) -> bool:
        """Whether new work may be sent to it, as far as it is for itself."""
        return (
            not self.is_draining
            and now_s >= self.ejected_until_s
            and (self.expires_s is None or now_s < self.expires_s)
        )

    def note_call_sent(self, now_s: float) -> None:
        """Note that a call goes to it; after a failure the others wait for how that ends."""
        if self.failures:
            self.ejected_until_s = max(self.ejected_until_s, now_s + RECOVERY_CALL_S)

    def note_failure(self, now_s: float, has_exited: bool = False) -> None:
        """Note that it could not be reached or broke off, perhaps since it has ended."""
        self.has_exited |= has_exited
        ban_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.failures)
        self.failures += 1
        self.ejected_until_s = now_s + ban_s

    def note_answer(self) -> bool:
        """Note that it answered; return whether its process had ended before."""
        had_ended, self.has_exited = self.has_exited, False
        self.failures = 0
        self.ejected_until_s = 0.0
        return had_ended
