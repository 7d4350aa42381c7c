"""Quotas of the routers for endpoints that are limited to a rate over all routers together.

Such a bound applies to a cold endpoint, which crashes under a higher rate, and to an overloaded
endpoint that advertises a rate. Only a few routers send to such an endpoint. They are chosen by a
rendezvous hash over the routers that the store lists. Their quotas are so small that the senders of
the current list and those of an outdated list stay within the bound together. Design notes 16 and
18 compare the alternatives.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, inf
from typing import Any

from xxhash import xxh3_64_intdigest

__all__ = ["ColdLimits", "FleetBound", "FleetShare"]

MIN_SENDERS = 4
"""Minimum number of routers that send to one such endpoint, if there are as many. The loss of one
costs the endpoint a quarter of its requests. As the senders are few, each may send several requests
in a span, so that little of its quota stays unused by chance."""
MAX_SEND_TIMES = 256
SEND_TIMES_KEPT_S = 10.0
"""At most `MAX_SEND_TIMES` send times are kept per endpoint, and more only if none of them is older
than `SEND_TIMES_KEPT_S` seconds."""
UNREGISTERED_SHARE = 0.6
"""Fraction of the total quota that a router uses while its registration in the store isn't
confirmed, since the other routers may use a list without it."""
MAX_UPDATE_GAP_S = 2.5
"""Maximum time in seconds between two checks of the registration. After a longer gap the router was
stalled, and its registration may have expired."""
ROUTER_LIST_KEPT_S = 60.0
"""Seconds for which a router without a confirmed registration uses its last list. Most outages of
the store are shorter."""


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Bound on the requests that reach a cold endpoint within any second.

    Attributes
    ----------
    overrun : float
        Factor by which the requests may exceed the rate that the endpoint sustains.
    slack : float
        Number of requests allowed in addition.
    """

    overrun: float = 1.5
    slack: float = 5.0

    def bound(self, rate: float) -> "FleetBound":
        """Return the bound of an endpoint that sustains the given requests per second."""
        return FleetBound(rate, 1.0, self.overrun, self.slack)


@dataclass(frozen=True, slots=True)
class FleetBound:
    """Bound on the requests to one endpoint from all routers together.

    Attributes
    ----------
    rate : float
        Requests per second that the endpoint sustains.
    span_s : float
        Length in seconds of the sliding span that the bound applies to.
    overrun : float
        Factor by which the requests in a span may exceed the rate.
    slack : float
        Number of requests allowed in a span in addition.
    concurrent_lists : float
        Number of different router lists that may be in use at once within the bound.
    rate_per_sender : float
        Requests per second that one router is expected to have for the endpoint. A higher rate is
        divided among more routers.
    is_paced : bool
        Whether a router spreads its requests over the span.
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
        """Return the maximum number of requests to the endpoint in a span."""
        return self.rate * self.span_s * self.overrun + self.slack


@dataclass(slots=True)
class _RouterList:
    """A list of routers, and this router's rank in it by endpoint.

    Attributes
    ----------
    names : tuple of str
    until_s : float
        Time until which a list that was replaced still counts; infinite for the current one.
    """

    names: tuple[str, ...] = ()
    until_s: float = inf
    ranks: dict[str, int] = field(default_factory=dict)

    def rank(self, lifetime: str, router: str) -> int:
        """Return a router's rank in the rendezvous hash of an endpoint, from 0."""
        rank = self.ranks.get(lifetime)
        if rank is None:
            own = _score(lifetime, router)
            rank = sum(_score(lifetime, name) > own for name in self.names)
            self.ranks[lifetime] = rank
        return rank


@dataclass(slots=True)
class FleetShare:
    """One router's quotas for the endpoints that have a bound.

    While a new list spreads, some routers go by the former one. So a router uses a quota that has
    grown with the new list only when all routers must have it.

    Attributes
    ----------
    name : str
        Name of this router.
    list_overlap_s : float
        Seconds for which other routers may go by a list that was replaced here.
    """

    name: str
    list_overlap_s: float = 0.0
    is_registered: bool = False
    """Whether this router is registered in the store, and the others have seen its registration."""
    _latest_routers: tuple[str, ...] = ()
    _current: _RouterList = field(default_factory=_RouterList)
    """The list that quotas are computed from: the newest one while this router was registered."""
    _followed: tuple[str, ...] = ()
    _former: list[_RouterList] = field(default_factory=list)
    """Lists that others may still go by."""
    _registered_s: float = -inf
    _updated_s: float = -inf
    _send_times: dict[str, deque[float]] = field(default_factory=dict)

    # Choice of the senders

    def set_routers(self, names: Iterable[str]) -> None:
        """Set the routers that the store lists, this one among them only if it is listed."""
        self._latest_routers = tuple(sorted(names))

    @property
    def is_listed(self) -> bool:
        """Whether the newest list names this router."""
        return self.name in self._latest_routers

    def update_registration(self, is_registered: bool, now_s: float) -> None:
        """Update whether this router's registration is confirmed; call this about every second."""
        if now_s > self._updated_s + MAX_UPDATE_GAP_S:
            self._registered_s = -inf
        self._updated_s = now_s
        self._follow_list(now_s)
        self.is_registered = is_registered and self.is_listed
        if not self.is_listed:
            # The others divide the bound among themselves, and know nothing of this router.
            self._registered_s = -inf
            self._current = _RouterList()
        elif self.is_registered:
            self._registered_s = now_s
            if self._current.names != self._latest_routers:
                self._current = _RouterList(self._latest_routers)

    def _follow_list(self, now_s: float) -> None:
        """Keep a list that was replaced for as long as other routers may go by it."""
        self._former = [former for former in self._former if former.until_s > now_s]
        if self._followed == self._latest_routers:
            return
        if self._followed:
            self._former.append(_RouterList(self._followed, now_s + self.list_overlap_s))
        self._followed = self._latest_routers

    def has_router_list(self, now_s: float) -> bool:
        """Whether this router has a valid list, perhaps from before it lost its registration."""
        is_awake = now_s <= self._updated_s + MAX_UPDATE_GAP_S
        return is_awake and now_s <= self._registered_s + ROUTER_LIST_KEPT_S

    @property
    def router_count(self) -> int:
        """Number of routers on the list."""
        return max(1, len(self._current.names) or len(self._latest_routers))

    def total_quota(self, bound: FleetBound) -> int:
        """Return the number of requests that all senders of one list may send in `window_s`."""
        return max(
            1,
            min(ceil(bound.rate * bound.span_s), int(bound.max_requests / bound.concurrent_lists)),
        )

    def window_s(self, bound: FleetBound) -> float:
        """Return the seconds that the total quota applies to: at a low rate more than a span."""
        return max(bound.span_s, self.total_quota(bound) / bound.rate)

    def sender_count(self, bound: FleetBound) -> int:
        """Return the number of routers that may send to one endpoint."""
        return self._sender_count(self._current, bound)

    def _sender_count(self, routers: _RouterList, bound: FleetBound) -> int:
        total = self.total_quota(bound)
        wanted = max(MIN_SENDERS, ceil(total / self.window_s(bound) / bound.rate_per_sender))
        return max(1, min(wanted, len(routers.names), total))

    def quota(self, lifetime: str, bound: FleetBound) -> int:
        """Return how many requests this router may send in `window_s`; 0 if it isn't a sender."""
        if bound.rate <= 0.0:
            return 0
        return min(self._quota(each, lifetime, bound) for each in (self._current, *self._former))

    def _quota(self, routers: _RouterList, lifetime: str, bound: FleetBound) -> int:
        """Return this router's quota by one list."""
        if not routers.names:
            return 0
        sender_count, rank = self._sender_count(routers, bound), routers.rank(lifetime, self.name)
        if rank >= sender_count:
            return 0
        total = self.total_quota(bound)
        if not self.is_registered:
            total = max(1, int(UNREGISTERED_SHARE * total))
        share, remainder = divmod(total, sender_count)
        return share + (rank < remainder)

    # Use of the quota

    def wait_s(self, lifetime: str, bound: FleetBound, now_s: float, reserved: int = 0) -> float:
        """Return the seconds until this router may send; infinite where it isn't a sender.

        Parameters
        ----------
        lifetime : str
        bound : FleetBound
        now_s : float
        reserved : int
            Number of requests of the quota that are reserved for other work.
        """
        quota = self.quota(lifetime, bound) - reserved
        if quota <= 0:
            return inf
        sent = self._send_times.get(lifetime)
        if not sent:
            return 0.0
        window_s = self.window_s(bound)
        free_s = sent[-quota] + window_s if len(sent) >= quota else -inf
        if bound.is_paced:
            # Half of an even gap spreads a burst, and lets a sender catch up after a delay.
            free_s = max(free_s, sent[-1] + window_s / quota / 2)
        return max(0.0, free_s - now_s)

    def note_sent(self, lifetime: str, now_s: float) -> None:
        """Count a request that was sent to an endpoint that has or may get a bound."""
        sent = self._send_times.setdefault(lifetime, deque())
        sent.append(now_s)
        while len(sent) > MAX_SEND_TIMES and sent[0] < now_s - SEND_TIMES_KEPT_S:
            sent.popleft()

    def assume_used(self, lifetime: str, bound: FleetBound, now_s: float) -> None:
        """Count the quota as used evenly until now, if no request was counted.

        Requests that were sent before the bound was known weren't counted, and may still be in
        flight.
        """
        quota = self.quota(lifetime, bound)
        if not quota or self._send_times.get(lifetime):
            return
        gap_s = self.window_s(bound) / quota
        for number in range(quota):
            self.note_sent(lifetime, now_s - gap_s * (quota - 1 - number))

    def used(self, lifetime: str, bound: FleetBound, now_s: float) -> int:
        """Return the number of requests sent within the last `window_s`."""
        since_s = now_s - self.window_s(bound)
        return sum(at_s > since_s for at_s in self._send_times.get(lifetime, ()))

    def forget(self, known: Iterable[str]) -> None:
        """Remove the state of lifetimes that aren't among the known ones."""
        keep = set(known)
        _keep_only(self._send_times, keep)
        for routers in (self._current, *self._former):
            _keep_only(routers.ranks, keep)


def _keep_only(by_lifetime: dict[str, Any], keep: set[str]) -> None:
    for lifetime in [lifetime for lifetime in by_lifetime if lifetime not in keep]:
        del by_lifetime[lifetime]


def _score(lifetime: str, router: str) -> int:
    return xxh3_64_intdigest(f"{lifetime}|{router}".encode())
