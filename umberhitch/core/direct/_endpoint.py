"""One lifetime of an endpoint, as a router sees it."""

from dataclasses import dataclass

from umberhitch.core.direct._types import EndpointEntry, EndpointState

__all__ = ["Endpoint"]

BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 3.0
"""An endpoint that cannot be reached is ejected for `BASE_EJECTION_S`, doubled at each failure in a
row up to this limit. Then one call at a time is sent to it, until one is answered."""
RECOVERY_CALL_S = 0.6
"""Seconds after which a call to an endpoint that failed before has shown whether it recovered."""


@dataclass(slots=True)
class Endpoint:
    """One lifetime of an endpoint, with what this router has observed of it."""

    entry: EndpointEntry
    expires_s: float | None = None
    ejected_until_s: float = 0.0
    failures: int = 0
    has_exited: bool = False
    """Whether the endpoint's process was seen to have exited; an answer after that means that the
    process has restarted."""
    reports_draining: bool = False
    """Whether the endpoint itself has reported that it is draining, whatever its entry says."""
    cold_until_s: float = 0.0
    """Time until which the endpoint is cold, as reported by itself."""
    presumed_cold_until_s: float = 0.0
    """Time until which the endpoint is presumed cold, since it may have restarted without having
    reported this yet."""
    cold_source: str = ""
    """Source from which the router knows that the endpoint is cold."""
    lifetime: str = ""
    """Identifier of this lifetime, unique over all lifetimes and the same at every router."""

    def __post_init__(self) -> None:
        born = self.entry.born
        name = self.entry.incarnation
        self.lifetime = name if born is None else f"{name}@{born}"

    def is_cold(self, now_s: float) -> bool:
        """Whether the endpoint sustains only a low rate of requests, as after its start."""
        return now_s < self.cold_until_s or now_s < self.presumed_cold_until_s

    def presume_cold(self, until_s: float, source: str) -> None:
        """Presume that the endpoint is cold until a time."""
        if until_s > self.presumed_cold_until_s:
            self.presumed_cold_until_s = until_s
            self.cold_source = source

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint accepts no new work, by its entry or its own report."""
        return self.reports_draining or self.entry.state is EndpointState.DRAINING

    def accepts_work(self, now_s: float) -> bool:
        """Whether the endpoint's own state allows new work to be sent to it."""
        return (
            not self.is_draining
            and now_s >= self.ejected_until_s
            and (self.expires_s is None or now_s < self.expires_s)
        )

    def note_call_sent(self, now_s: float) -> None:
        """Record a call; after a failure, further calls wait for the result of this one."""
        if self.failures:
            self.ejected_until_s = max(self.ejected_until_s, now_s + RECOVERY_CALL_S)

    def note_failure(self, now_s: float, has_exited: bool = False) -> None:
        """Record that the endpoint was unreachable or broke off a call.

        Parameters
        ----------
        now_s : float
        has_exited : bool
            Whether the endpoint's process is known to have exited.
        """
        self.has_exited |= has_exited
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.failures)
        self.failures += 1
        self.ejected_until_s = now_s + ejection_s

    def note_answer(self) -> bool:
        """Record an answer; return whether the endpoint's process had exited before."""
        had_exited, self.has_exited = self.has_exited, False
        self.failures = 0
        self.ejected_until_s = 0.0
        return had_exited
