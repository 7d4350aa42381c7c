"""The rates that endpoints in need name in their answers, as this router knows them.

An endpoint takes such a rate from all routers together, as long as it says so: an answer that names
none ends it. What a router hears it tells its peers, with its age, and the newest word wins.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from umberhitch.core.direct._fleet_share import UNREGISTERED_SHARE, FleetBound

__all__ = ["AdvertisedLimit", "AdvertisedLimits", "LimitChange", "LimitRules"]

MIN_RATE = 0.1
"""Requests a second that are sent at least, all routers together: only an answer tells that an
endpoint which takes nothing takes work again."""
CONCURRENT_LISTS = 1.0 + UNREGISTERED_SHARE
"""Lists in force at once: that of the routers that have their seats, and an older one of others."""
RATE_PER_SENDER = 0.5
"""Requests a second of a router that go to one endpoint: two in a span, so that few of its share
are lost to chance, also where many routers have little work each."""
NOTIFY_FALL_RATIO = 0.8
"""A rate that has fallen below so much of what the peers were told is told at once."""
MAX_NOTICE_DELAY_S = 0.5
"""What a peer tells may have been so long on its way, beyond the age that it gives: a word that a
limit is over counts only where it is newer by that."""
ENDED_KEPT_S = 10.0
"""An end is remembered for so long, so that an older word does not bring the limit back."""
RECHECK_AFTER_S = 60.0
"""A router that may not send there, and hears nothing of a limit for so long, looks for itself with
one request: the senders hear of it with each answer, and tell on within seconds."""
RECHECK_S_PER_ROUTER = 2.0
"""The same for each router: if all are cut off from each other, these requests add up to one in so
long."""


class LimitChange(Enum):
    """What an answer changes in what is known of an endpoint's limit."""

    NONE = "none"
    STARTED = "begun"
    LOWERED = "fallen"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class LimitRules:
    """What bounds the requests that reach an endpoint which names a rate.

    Attributes
    ----------
    span_s : float
        In each span of so long
    overrun : float
        no more than so many times what the rate allows,
    slack : float
        and so many requests more.
    """

    span_s: float = 4.0
    overrun: float = 1.5
    slack: float = 5.0

    def bound(self, rate: float) -> FleetBound:
        """Return the bound of an endpoint that names a rate."""
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
    """The limit that an endpoint names.

    Attributes
    ----------
    rate : float
        Requests a second, from all routers together.
    heard_s : float
        When an answer named it last, here or at a peer.
    since_s : float
        Since when it is known here.
    source : str
        How it is known: by its own answer, or from which peer.
    told_rate : float
        What the peers were told last.
    looked_s : float
        When this router sent a request there last to see whether the limit still stands.
    """

    rate: float
    received_s: float
    since_s: float
    source: str
    notified_rate: float
    rechecked_s: float = field(default=float("-inf"))


@dataclass(slots=True)
class AdvertisedLimits:
    """The limits that stand, by lifetime of the endpoint."""

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
        """Take what an answer says, and return what that changes."""
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
        """Take a limit that a peer tells, heard so long ago; it may be an old word."""
        heard_s = now_s - max(0.0, age_s)
        if heard_s <= self._ended_s.get(lifetime, float("-inf")):
            return LimitChange.NONE
        known = self._limits.get(lifetime)
        if known is None:
            self._limits[lifetime] = AdvertisedLimit(rate, heard_s, now_s, peer, rate)
            return LimitChange.STARTED
        if heard_s > known.received_s:
            known.rate, known.received_s, known.source = rate, heard_s, peer
            known.notified_rate = rate
        return LimitChange.NONE

    def apply_end_notice(self, lifetime: str, age_s: float, now_s: float) -> LimitChange:
        """Take a peer's word that a limit was over so long ago."""
        over_s = now_s - max(0.0, age_s) - MAX_NOTICE_DELAY_S
        known = self._limits.get(lifetime)
        if known is None or known.received_s >= over_s:
            return LimitChange.NONE
        self._end(lifetime, over_s)
        return LimitChange.ENDED

    def _end(self, lifetime: str, at_s: float) -> None:
        del self._limits[lifetime]
        self._ended_s[lifetime] = at_s

    def recently_ended(self, now_s: float) -> dict[str, float]:
        """Return the lifetimes whose limit has lately come to its end, and when."""
        self._ended_s = {
            lifetime: at_s
            for lifetime, at_s in self._ended_s.items()
            if at_s > now_s - ENDED_KEPT_S
        }
        return self._ended_s

    def may_recheck(
        self, limit: AdvertisedLimit, routers: int, jitter: float, now_s: float
    ) -> bool:
        """Whether a router that is no sender may see for itself whether a limit still stands.

        Parameters
        ----------
        limit : AdvertisedLimit
        routers : int
        jitter : float
            From 0 to 1, by the router: they do not look at the same time.
        now_s : float
        """
        silent_s = max(RECHECK_AFTER_S, RECHECK_S_PER_ROUTER * routers) * (1.0 + jitter)
        return now_s > max(limit.received_s, limit.rechecked_s) + silent_s

    def forget(self, known: Iterable[str]) -> None:
        """Keep only what concerns lifetimes of endpoints that are still known."""
        if not self._limits and not self._ended_s:
            return
        keep = set(known)
        for kept in (self._limits, self._ended_s):
            for lifetime in [each for each in kept if each not in keep]:
                del kept[lifetime]
