"""One lifetime of an endpoint, as a router sees it."""

from dataclasses import dataclass

from umberhitch.core.direct._types import EndpointEntry, EndpointState

__all__ = ["Endpoint"]

FIRST_BAN_S = 0.5
LONGEST_BAN_S = 3.0
"""An endpoint that cannot be reached is left alone so long, doubled at each failure in a row. Then
one call at a time tries it, until one is answered."""
TRY_S = 0.6
"""Time after which a call that tries an endpoint again has told how it is."""


@dataclass(slots=True)
class Endpoint:
    """One lifetime of an endpoint, with what this router has seen of it."""

    entry: EndpointEntry
    lapses_s: float | None = None
    banned_until_s: float = 0.0
    failures: int = 0
    has_ended: bool = False
    """Whether its process was seen to have ended; one that answers again has started again."""
    says_it_leaves: bool = False
    """Whether it has said so itself, whatever its entry says."""
    cold_until_s: float = 0.0
    """It is cold until then, by its own word, or"""
    guarded_until_s: float = 0.0
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
        return now_s < self.cold_until_s or now_s < self.guarded_until_s

    def guard(self, until_s: float, source: str) -> None:
        """Take it for cold until then."""
        if until_s > self.guarded_until_s:
            self.guarded_until_s = until_s
            self.cold_source = source

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new work any more, by its entry or its own word."""
        return self.says_it_leaves or self.entry.state is EndpointState.DRAINING

    def takes_work(self, now_s: float) -> bool:
        """Whether new work may be sent to it, as far as it is for itself."""
        return (
            not self.is_leaving
            and now_s >= self.banned_until_s
            and (self.lapses_s is None or now_s < self.lapses_s)
        )

    def tried(self, now_s: float) -> None:
        """Note that a call goes to it; after a failure the others wait for how that ends."""
        if self.failures:
            self.banned_until_s = max(self.banned_until_s, now_s + TRY_S)

    def failed(self, now_s: float, is_ended: bool = False) -> None:
        """Note that it could not be reached or broke off, perhaps since it has ended."""
        self.has_ended |= is_ended
        ban_s = min(LONGEST_BAN_S, FIRST_BAN_S * 2**self.failures)
        self.failures += 1
        self.banned_until_s = now_s + ban_s

    def answered(self) -> bool:
        """Note that it answered; return whether its process had ended before."""
        had_ended, self.has_ended = self.has_ended, False
        self.failures = 0
        self.banned_until_s = 0.0
        return had_ended
