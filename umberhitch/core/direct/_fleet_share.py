"""How many requests the routers send, all together, to an endpoint that bears only so many.

Such a bound holds whoever sends: for a cold endpoint, which ends where more come, and for one in
need, which names a rate. So only a few routers send there at all, by rendezvous hash over the
routers that the store lists, and each of them so many that those of two lists, of which one is old,
stay within the bound together. Design notes 16 and 18 weigh the ways.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, inf

from xxhash import xxh3_64_intdigest

__all__ = ["ColdLimits", "FleetBound", "FleetShare"]

MIN_SENDERS = 4
"""Routers that send to one such endpoint, at least where there are so many. A loss of one of them
takes a quarter of what it gets, and each may send several in a span, so that few of its share are
lost to chance."""
MAX_SEND_TIMES = 256
SEND_TIMES_KEPT_S = 10.0
"""Of the requests to one endpoint so many times are kept, and more only if they are no older."""
UNREGISTERED_SHARE = 0.6
"""Share of its share that a router without a seat uses: the others may go by a list without it."""
MAX_UPDATE_GAP_S = 2.5
"""A router that has not looked at its seat for longer stood still: what it holds may be over."""
ROUTER_LIST_KEPT_S = 60.0
"""A router without a seat goes by its last list for so long: outages of the store are mostly
shorter."""


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

    def bound(self, rate: float) -> "FleetBound":
        """Return the bound of an endpoint that bears a rate."""
        return FleetBound(rate, 1.0, self.overrun, self.slack)


@dataclass(frozen=True, slots=True)
class FleetBound:
    """What one endpoint may get from all routers together.

    Attributes
    ----------
    rate : float
        Requests a second that it bears.
    span_s : float
        In each span of so long
    overrun : float
        it gets no more than so many times that,
    slack : float
        and so many requests more.
    views : float
        The bound allows for so many lists of routers to be in force at once.
    sender_rate : float
        Requests a second that one router is relied on to have for the endpoint: for more there are
        more routers.
    is_paced : bool
        Whether a router spreads what it sends over the span.
    """

    rate: float
    span_s: float
    overrun: float
    slack: float
    concurrent_lists: float = 2.0
    rate_per_sender: float = 5.0
    is_paced: bool = False

    @property
    def max_requests(self) -> float:
        """Return how many requests it may get in a span."""
        return self.rate * self.span_s * self.overrun + self.slack


@dataclass(slots=True)
class FleetShare:
    """One router's share of what all routers may send to endpoints with a bound.

    Attributes
    ----------
    name : str
        Of this router.
    """

    name: str
    is_registered: bool = False
    """Whether this router has its seat, and the others have heard of it."""
    _latest_routers: tuple[str, ...] = ()
    _routers: tuple[str, ...] = ()
    """The list that shares go by: the newest that this router had its place on."""
    _registered_s: float = -inf
    _updated_s: float = -inf
    _ranks: dict[str, int] = field(default_factory=dict)
    _send_times: dict[str, deque[float]] = field(default_factory=dict)

    # Who sends

    def set_routers(self, names: Iterable[str]) -> None:
        """Take the routers that the store lists, this one among them."""
        self._latest_routers = tuple(sorted(names))

    def update_registration(self, is_registered: bool, now_s: float) -> None:
        """Take whether this router's place on the list is sure; to be called each second or so."""
        if now_s > self._updated_s + MAX_UPDATE_GAP_S:
            self._registered_s = -inf
        self._updated_s = now_s
        self.is_registered = is_registered
        if not is_registered:
            return
        self._registered_s = now_s
        if self._routers != self._latest_routers:
            self._routers = self._latest_routers
            self._ranks.clear()

    def has_router_list(self, now_s: float) -> bool:
        """Whether this router has a list to go by, perhaps that of before it lost its seat."""
        is_awake = now_s <= self._updated_s + MAX_UPDATE_GAP_S
        return is_awake and now_s <= self._registered_s + ROUTER_LIST_KEPT_S

    @property
    def router_count(self) -> int:
        """Number of routers on the list."""
        return max(1, len(self._routers))

    def total_quota(self, bound: FleetBound) -> int:
        """Return how many requests all senders of one list may send within `window_s`."""
        return max(
            1,
            min(ceil(bound.rate * bound.span_s), int(bound.max_requests / bound.concurrent_lists)),
        )

    def window_s(self, bound: FleetBound) -> float:
        """Return the time in which that many are sent: longer than a span at a low rate."""
        return max(bound.span_s, self.total_quota(bound) / bound.rate)

    def sender_count(self, bound: FleetBound) -> int:
        """Return how many routers may send to one endpoint."""
        total = self.total_quota(bound)
        wanted = max(MIN_SENDERS, ceil(total / self.window_s(bound) / bound.rate_per_sender))
        return max(1, min(wanted, len(self._routers), total))

    def quota(self, lifetime: str, bound: FleetBound) -> int:
        """Return how many requests this router may send within `window_s`; 0 if it is no sender."""
        if bound.rate <= 0.0 or not self._routers:
            return 0
        senders, rank = self.sender_count(bound), self._rank(lifetime)
        if rank >= senders:
            return 0
        total = self.total_quota(bound)
        if not self.is_registered:
            total = max(1, int(UNREGISTERED_SHARE * total))
        share, rest = divmod(total, senders)
        return share + (rank < rest)

    def _rank(self, lifetime: str) -> int:
        """Return this router's place among those that may send to an endpoint, 0 first."""
        known = self._ranks.get(lifetime)
        if known is None:
            own = _score(lifetime, self.name)
            known = sum(_score(lifetime, each) > own for each in self._routers)
            self._ranks[lifetime] = known
        return known

    # What is sent

    def wait_s(self, lifetime: str, bound: FleetBound, now_s: float, reserved: int = 0) -> float:
        """Return the time until this router may send; infinite where it is none of the senders.

        Parameters
        ----------
        lifetime : str
        bound : FleetBound
        now_s : float
        reserved : int
            So much of the share is left for others.
        """
        most = self.quota(lifetime, bound) - reserved
        if most <= 0:
            return inf
        sent = self._send_times.get(lifetime)
        if not sent:
            return 0.0
        window_s = self.window_s(bound)
        free_s = sent[-most] + window_s if len(sent) >= most else -inf
        if bound.is_paced:
            # Half of an even gap: a burst is spread, and one that comes late is made up for.
            free_s = max(free_s, sent[-1] + window_s / most / 2)
        return max(0.0, free_s - now_s)

    def note_sent(self, lifetime: str, now_s: float) -> None:
        """Count a request that was sent to an endpoint that has a bound, or may have one."""
        sent = self._send_times.setdefault(lifetime, deque())
        sent.append(now_s)
        while len(sent) > MAX_SEND_TIMES and sent[0] < now_s - SEND_TIMES_KEPT_S:
            sent.popleft()

    def assume_used(self, lifetime: str, bound: FleetBound, now_s: float) -> None:
        """Take the share for used evenly until now, where nothing was counted.

        What was sent before the bound was known is not known, and is still under way.
        """
        most = self.quota(lifetime, bound)
        if not most or self._send_times.get(lifetime):
            return
        gap_s = self.window_s(bound) / most
        for number in range(most):
            self.note_sent(lifetime, now_s - gap_s * (most - 1 - number))

    def used(self, lifetime: str, bound: FleetBound, now_s: float) -> int:
        """Return how much of the share was used within the last `window_s`."""
        since_s = now_s - self.window_s(bound)
        return sum(at_s > since_s for at_s in self._send_times.get(lifetime, ()))

    def forget(self, known: Iterable[str]) -> None:
        """Keep only what concerns lifetimes of endpoints that are still known."""
        keep = set(known)
        for counted in (self._send_times, self._ranks):
            for lifetime in [each for each in counted if each not in keep]:
                del counted[lifetime]


def _score(lifetime: str, router: str) -> int:
    return xxh3_64_intdigest(f"{lifetime}|{router}".encode())
