"""How many requests the routers send to a cold endpoint, all together.

A cold endpoint ends where more come than it bears, whoever sent them. So only a few routers send to
it at all, by rendezvous hash over the routers that the store lists, and each of them so many that
two disjoint sets of them, chosen by different lists, stay within the bound together. Design note
15 weighs the ways.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct._directory import Endpoint

__all__ = ["ColdLimits", "ColdShare"]

WINDOW_S = 1.0
"""The bound holds for each span of so long."""
SENDERS = 4
"""Routers that send to one cold endpoint, at most. A loss of one of them takes a quarter of what it
gets, and each of them may send several a second, so that few of its share are lost to chance."""
MOST_KEPT = 256
"""Requests to one endpoint whose times are kept, and so the largest share."""
VIEWS = 2
"""Lists of routers that may be in force at once: that before a change and that after it."""


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """What bounds the requests that reach a cold endpoint within any second.

    Attributes
    ----------
    overrun : float
        So many times the rate that it bears,
    slack : float
        and so many requests more.
    """

    overrun: float = 1.5
    slack: float = 5.0


@dataclass(slots=True)
class ColdShare:
    """One router's share of what cold endpoints may get.

    Attributes
    ----------
    name : str
        Of this router.
    limits : ColdLimits
    used_up : int
        How often this router found its share of an endpoint used up.
    """

    name: str
    limits: ColdLimits = field(default_factory=ColdLimits)
    used_up: int = 0
    _routers: tuple[str, ...] | None = None
    _is_sender: dict[str, bool] = field(default_factory=dict)
    _sent: dict[str, deque[float]] = field(default_factory=dict)

    def take_routers(self, names: Iterable[str]) -> None:
        """Take the routers that the store lists, this one among them."""
        routers = tuple(sorted(names))
        if routers != self._routers:
            self._routers = routers
            self._is_sender.clear()

    def total(self, rate: float) -> float:
        """Return how many requests a second all senders of one list may send."""
        return min(rate, (rate * self.limits.overrun + self.limits.slack) / VIEWS)

    def senders(self, rate: float) -> int:
        """Return how many routers may send to one endpoint."""
        return max(1, min(SENDERS, len(self._routers or ()), int(self.total(rate))))

    def allows(self, endpoint: Endpoint, rate: float, now_s: float) -> bool:
        """Whether this router may send a request to a cold endpoint that bears a rate.

        Only where its place in the list is sure: see `Membership.is_settled`.
        """
        wait_s = self.wait_s(endpoint, rate, now_s)
        self.used_up += 0.0 < wait_s < float("inf")
        return wait_s == 0.0

    def wait_s(self, endpoint: Endpoint, rate: float, now_s: float) -> float:
        """Return the time until this router may; infinite where it is none of the senders."""
        if rate <= 0.0 or not self._may_send(endpoint.lifetime, self.senders(rate)):
            return float("inf")
        share = self.total(rate) / self.senders(rate)
        # A share of less than one request a window is one in a longer window.
        most, window_s = 1, WINDOW_S / share
        if share >= 1.0:
            most, window_s = min(MOST_KEPT, int(share)), WINDOW_S
        sent = self._sent.get(endpoint.lifetime)
        if sent is None or len(sent) < most:
            return 0.0
        return max(0.0, sent[-most] + window_s - now_s)

    def _may_send(self, lifetime: str, senders: int) -> bool:
        if self._routers is None:
            return False
        known = self._is_sender.get(lifetime)
        if known is None:
            own = _score(lifetime, self.name)
            before = sum(_score(lifetime, each) > own for each in self._routers)
            known = self._is_sender[lifetime] = before < senders
        return known

    def note_sent(self, endpoint: Endpoint, now_s: float) -> None:
        """Count a request that was sent to an endpoint of a service whose endpoints may be cold."""
        sent = self._sent.setdefault(endpoint.lifetime, deque(maxlen=MOST_KEPT))
        sent.append(now_s)

    def forget(self, known: Iterable[str]) -> None:
        """Keep only what concerns lifetimes of endpoints that are still known."""
        keep = set(known)
        for counted in (self._sent, self._is_sender):
            for lifetime in [each for each in counted if each not in keep]:
                del counted[lifetime]


def _score(lifetime: str, router: str) -> int:
    return xxh3_64_intdigest(f"{lifetime}|{router}".encode())
