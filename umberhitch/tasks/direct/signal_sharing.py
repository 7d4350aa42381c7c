"""Exchanges the limits and drain signals of endpoints between routers.

A change is sent to all peers at once, and the current state is resent in turn, so that lost and
late messages do no harm. A back-off is not sent: it applies only to the router that received it.
"""

from collections.abc import Callable, Iterable
from logging import getLogger
from math import inf

from umberhitch.core.direct import AdvertisedLimits, ClosedEndpoints, LimitChange
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import do_nothing
from umberhitch.wire import DrainNotice, EndpointUpdate, LimitNotice

__all__ = ["SignalSharing"]

log = getLogger(__name__)

MAX_RESENT = 12
"""Number of endpoints that are resent at a time, in turn: about 0.6 kB."""
MIN_UPDATE_INTERVAL_S = 1.0
"""Minimum interval of the immediate updates on one endpoint's limit. A limit that alternates is
resent with the others, and the routers that send to the endpoint receive it from there."""
MAX_MESSAGE_ENDPOINTS = 2_000
"""Maximum number of endpoints in one message, about 50 bytes each."""

OnLimit = Callable[[str, LimitChange, str], None]
OnDraining = Callable[[str, str], None]


class SignalSharing:
    """Sends the state of limits and drains to peers, and applies what peers send.

    Parameters
    ----------
    clock : Clock
    limits : AdvertisedLimits
    closed : ClosedEndpoints
    on_limit : callable
        Called with a lifetime, the change of its limit that a peer sent, and the peer.
    on_draining : callable
        Called with a lifetime that a peer reported as draining, and the peer.

    Attributes
    ----------
    on_update : callable
        Called when there is an update to send to the peers at once.
    """

    def __init__(
        self,
        clock: Clock,
        limits: AdvertisedLimits,
        closed: ClosedEndpoints,
        on_limit: OnLimit,
        on_draining: OnDraining,
    ) -> None:
        self.on_update: Callable[[], None] = do_nothing
        self._clock = clock
        self._limits = limits
        self._closed = closed
        self._on_limit = on_limit
        self._on_draining = on_draining
        self._pending: set[str] = set()
        self._sent_s: dict[str, float] = {}
        """Time of the last immediate update on a limit, by lifetime."""
        self._next_index = 0

    def retain(self, known: set[str]) -> None:
        """Discard the state of endpoints that are no longer known."""
        self._sent_s = {name: at_s for name, at_s in self._sent_s.items() if name in known}

    def note_limit_changed(self, lifetime: str) -> None:
        """Schedule an update after an answer has changed an endpoint's limit."""
        now_s = self._clock.seconds()
        if now_s >= self._sent_s.get(lifetime, -inf) + MIN_UPDATE_INTERVAL_S:
            self._sent_s[lifetime] = now_s
            self._queue_update(lifetime)

    def note_draining(self, lifetime: str) -> None:
        """Schedule an update after an answer has said that an endpoint drains."""
        self._queue_update(lifetime)

    def _queue_update(self, lifetime: str) -> None:
        self._pending.add(lifetime)
        self.on_update()

    def pop_updates(self) -> list[EndpointUpdate]:
        """Return the updates to send to the peers at once, and clear them."""
        pending, self._pending = self._pending, set()
        return self._make_updates(sorted(pending))

    def updates_to_resend(self) -> list[EndpointUpdate]:
        """Return the next updates to resend, on current and ended limits and drains."""
        known = self._known()
        if not known:
            return []
        self._next_index = (self._next_index + MAX_RESENT) % len(known)
        return self._make_updates(
            (known[self._next_index :] + known[: self._next_index])[:MAX_RESENT]
        )

    def all_updates(self) -> list[EndpointUpdate]:
        """Return all updates, for a router that is new here."""
        return self._make_updates(self._known()[-MAX_MESSAGE_ENDPOINTS:])

    def _known(self) -> list[str]:
        if not len(self._limits) and not self._closed.draining:
            return list(self._limits.recently_ended(self._clock.seconds()))
        ended = self._limits.recently_ended(self._clock.seconds())
        limited = (lifetime for lifetime, _ in self._limits)
        return list(dict.fromkeys([*self._closed.draining, *limited, *ended]))

    def _make_updates(self, lifetimes: Iterable[str]) -> list[EndpointUpdate]:
        now_s = self._clock.seconds()
        ended = self._limits.recently_ended(now_s)
        limits, draining = [], []
        for lifetime in lifetimes:
            limit, drain = self._limits.get(lifetime), self._closed.draining.get(lifetime)
            if limit is not None:
                limits.append(LimitNotice(lifetime, round(now_s - limit.received_s, 4), limit.rate))
            elif lifetime in ended:
                limits.append(LimitNotice(lifetime, round(now_s - ended[lifetime], 4), None))
            if drain is not None:
                draining.append(DrainNotice(lifetime, round(now_s - drain.received_s, 4)))
        return [EndpointUpdate(limits, draining)] if limits or draining else []

    def receive(self, sender: str, message: EndpointUpdate) -> None:
        """Apply an update of a peer."""
        now_s = self._clock.seconds()
        for notice in message.limits:
            if notice.rate is None:
                change = self._limits.apply_end_notice(notice.lifetime, notice.age_s, now_s)
            else:
                change = self._limits.apply_notice(
                    notice.lifetime, notice.rate, notice.age_s, sender, now_s
                )
            if change is not LimitChange.NONE:
                self._on_limit(notice.lifetime, change, sender)
        for drain_notice in message.draining:
            received_s = now_s - max(0.0, drain_notice.age_s)
            if self._closed.apply_draining(drain_notice.lifetime, received_s, sender, now_s):
                self._on_draining(drain_notice.lifetime, sender)
