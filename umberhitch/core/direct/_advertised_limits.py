"""The rate limits that overloaded endpoints advertise in their answers, as known to this router.

Such a limit applies to the requests of all routers together, and until an answer of the endpoint
names no limit. Routers report the limits to their peers with the age of the answer, and the newest
answer wins.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from umberhitch.core.direct._fleet_share import UNREGISTERED_SHARE, FleetBound

__all__ = ["AdvertisedLimit", "AdvertisedLimits", "LimitChange", "LimitRules"]

MIN_RATE = 0.1
"""Minimum number of requests per second from all routers together. Only an answer shows that an
endpoint which accepted nothing accepts requests again."""
CONCURRENT_LISTS = 1.0 + UNREGISTERED_SHARE
"""Router lists in use at once: that of the registered routers, which counts in full, and an older
one of the unregistered routers, whose quotas are reduced."""
RATE_PER_SENDER = 0.5
"""Requests per second from one router to one endpoint. These are two in a span, so that little of
a router's quota stays unused by chance, also where many routers have few requests each."""
NOTIFY_FALL_RATIO = 0.8
"""A rate that has fallen below this fraction of the last notified rate is notified at once."""
MAX_NOTICE_DELAY_S = 0.5
"""Maximum transit time in seconds of a peer's notice, which its stated age doesn't include. A
notice that a limit ended is applied only if it is newer than the limit by more than this time."""
ENDED_KEPT_S = 10.0
"""Seconds for which the end of a limit is remembered, so that older notices don't restore it."""
RECHECK_AFTER_S = 60.0
"""Seconds without a report of a limit after which a router that isn't a sender checks it with one
request. The senders receive the limit with each answer, and notify the others within seconds."""
RECHECK_S_PER_ROUTER = 2.0
"""Minimum of that time, in seconds per router: if all routers are cut off from each other, their
checks together are one request in this many seconds."""


class LimitChange(Enum):
    """Change of an endpoint's limit by an answer or a notice."""

    NONE = "none"
    STARTED = "begun"
    LOWERED = "fallen"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class LimitRules:
    """Bound on the requests that reach an endpoint which advertises a rate.

    Attributes
    ----------
    span_s : float
        Length in seconds of the sliding span that the bound applies to.
    overrun : float
        Factor by which the requests in a span may exceed the rate.
    slack : float
        Number of requests allowed in a span in addition.
    """

    span_s: float = 4.0
    overrun: float = 1.5
    slack: float = 5.0

    def bound(self, rate: float) -> FleetBound:
        """Return the bound of an endpoint that advertises a rate."""
        rate = max(MIN_RATE, rate)
        return FleetBound(
            rate,
            self.span_s,
            self.overrun,
            self.slack,
            CONCURRENT_LISTS,
            RATE_PER_SENDER,
            is_paced=True,
        )


@dataclass(slots=True)
class AdvertisedLimit:
    """The limit that an endpoint advertises.

    Attributes
    ----------
    rate : float
        Requests per second from all routers together.
    received_s : float
        When this router or a peer last received an answer that names the limit.
    since_s : float
        Since when this router knows the limit.
    source : str
        How the limit became known: by an answer of the endpoint, or the name of the peer.
    notified_rate : float
        Rate that the peers were last notified of.
    rechecked_s : float
        When this router last sent a request to check whether the limit still applies.
    """

    rate: float
    received_s: float
    since_s: float
    source: str
    notified_rate: float
    rechecked_s: float = field(default=float("-inf"))


@dataclass(slots=True)
class AdvertisedLimits:
    """The limits that apply now, by lifetime of the endpoint."""

    _limits: dict[str, AdvertisedLimit] = field(default_factory=dict)
    _ended_s: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._limits)

    def __iter__(self) -> Iterator[tuple[str, AdvertisedLimit]]:
        return iter(self._limits.items())

    def get(self, lifetime: str) -> AdvertisedLimit | None:
        """Return the limit of an endpoint, or None."""
        return self._limits.get(lifetime)

    def apply_answer(self, lifetime: str, rate: float | None, now_s: float) -> LimitChange:
        """Apply the rate that an answer names, if any, and return the change."""
        known = self._limits.get(lifetime)
        if rate is None:
            if known is None:
                return LimitChange.NONE
            self._end(lifetime, now_s)
            return LimitChange.ENDED
        self._ended_s.pop(lifetime, None)
        if known is None:
            self._limits[lifetime] = AdvertisedLimit(rate, now_s, now_s, "its answer", rate)
            return LimitChange.STARTED
        known.rate, known.received_s, known.source = rate, now_s, "its answer"
        if rate < NOTIFY_FALL_RATIO * known.notified_rate:
            known.notified_rate = rate
            return LimitChange.LOWERED
        return LimitChange.NONE

    def apply_notice(
        self, lifetime: str, rate: float, age_s: float, peer: str, now_s: float
    ) -> LimitChange:
        """Apply a limit that a peer received ``age_s`` seconds ago, unless newer state is known."""
        received_s = now_s - max(0.0, age_s)
        if received_s <= self._ended_s.get(lifetime, float("-inf")):
            return LimitChange.NONE
        known = self._limits.get(lifetime)
        if known is None:
            self._limits[lifetime] = AdvertisedLimit(rate, received_s, now_s, peer, rate)
            return LimitChange.STARTED
        if received_s > known.received_s:
            known.rate, known.received_s, known.source = rate, received_s, peer
            known.notified_rate = rate
        return LimitChange.NONE

    def apply_end_notice(self, lifetime: str, age_s: float, now_s: float) -> LimitChange:
        """Apply a peer's notice that a limit ended ``age_s`` seconds ago."""
        ended_s = now_s - max(0.0, age_s) - MAX_NOTICE_DELAY_S
        known = self._limits.get(lifetime)
        if known is None or known.received_s >= ended_s:
            return LimitChange.NONE
        self._end(lifetime, ended_s)
        return LimitChange.ENDED

    def _end(self, lifetime: str, at_s: float) -> None:
        del self._limits[lifetime]
        self._ended_s[lifetime] = at_s

    def recently_ended(self, now_s: float) -> dict[str, float]:
        """Return when limits ended, by lifetime, for those that ended recently."""
        self._ended_s = {
            lifetime: at_s
            for lifetime, at_s in self._ended_s.items()
            if at_s > now_s - ENDED_KEPT_S
        }
        return self._ended_s

    def may_recheck(
        self, limit: AdvertisedLimit, routers: int, jitter: float, now_s: float
    ) -> bool:
        """Whether a router that isn't a sender may check whether a limit still applies.

        Parameters
        ----------
        limit : AdvertisedLimit
        routers : int
        jitter : float
            From 0 to 1, different for each router, so that they don't check at the same time.
        now_s : float
        """
        recheck_after_s = max(RECHECK_AFTER_S, RECHECK_S_PER_ROUTER * routers) * (1.0 + jitter)
        return now_s > max(limit.received_s, limit.rechecked_s) + recheck_after_s

    def forget(self, known: Iterable[str]) -> None:
        """Remove the state of lifetimes that aren't among the known ones."""
        if not self._limits and not self._ended_s:
            return
        keep = set(known)
        for kept in (self._limits, self._ended_s):
            for lifetime in [lifetime for lifetime in kept if lifetime not in keep]:
                del kept[lifetime]
