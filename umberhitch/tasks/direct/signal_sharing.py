"""What routers tell each other of what endpoints say of themselves.

A change is told to all at once, and what stands is told again in turn, so that lost and late
messages do no harm. A rest is not told: it binds the router that was asked for it.
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
"""Endpoints that are told of again at a time, in turn: some 0.6 kB."""
MIN_UPDATE_INTERVAL_S = 1.0
"""A change of one endpoint's limit is told at once no more often: one that goes and returns each
moment is told again with the others, and its senders hear it themselves."""
MAX_MESSAGE_ENDPOINTS = 2_000
"""Endpoints in one message, some 50 bytes each."""

OnLimit = Callable[[str, LimitChange, str], None]
OnDraining = Callable[[str, str], None]


class SignalSharing:
    """Tells what is known here, and takes what peers tell.

    Parameters
    ----------
    clock : Clock
    limits : AdvertisedLimits
    closed : ClosedEndpoints
    on_limit : callable
        Called with a lifetime, the change of its limit that a peer told, and the peer.
    on_leaving : callable
        Called with a lifetime that leaves, as a peer told, and the peer.

    Attributes
    ----------
    on_news : callable
        Called when there is something that the peers are to be told at once.
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
        """By lifetime, when the last change of its limit was told at once."""
        self._next_index = 0

    def retain(self, known: set[str]) -> None:
        """Keep only what concerns endpoints that are still known."""
        self._sent_s = {name: at_s for name, at_s in self._sent_s.items() if name in known}

    def note_limit_changed(self, lifetime: str) -> None:
        """Take note that an answer has changed what is known of an endpoint's limit."""
        now_s = self._clock.seconds()
        if now_s >= self._sent_s.get(lifetime, -inf) + MIN_UPDATE_INTERVAL_S:
            self._sent_s[lifetime] = now_s
            self._queue_update(lifetime)

    def note_draining(self, lifetime: str) -> None:
        """Take note that an answer has said that an endpoint leaves."""
        self._queue_update(lifetime)

    def _queue_update(self, lifetime: str) -> None:
        self._pending.add(lifetime)
        self.on_update()

    def pop_updates(self) -> list[EndpointUpdate]:
        """Return what the peers are to be told at once, and were not."""
        news, self._pending = self._pending, set()
        return self._make_updates(sorted(news))

    def updates_to_resend(self) -> list[EndpointUpdate]:
        """Return what is told again: some of what stands or has ended, in turn."""
        known = self._known()
        if not known:
            return []
        self._next_index = (self._next_index + MAX_RESENT) % len(known)
        return self._make_updates(
            (known[self._next_index :] + known[: self._next_index])[:MAX_RESENT]
        )

    def all_updates(self) -> list[EndpointUpdate]:
        """Return what a router is told that is new here."""
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
        limits, leaving = [], []
        for lifetime in lifetimes:
            limit, word = self._limits.get(lifetime), self._closed.draining.get(lifetime)
            if limit is not None:
                limits.append(LimitNotice(lifetime, round(now_s - limit.received_s, 4), limit.rate))
            elif lifetime in ended:
                limits.append(LimitNotice(lifetime, round(now_s - ended[lifetime], 4), None))
            if word is not None:
                leaving.append(DrainNotice(lifetime, round(now_s - word.received_s, 4)))
        return [EndpointUpdate(limits, leaving)] if limits or leaving else []

    def receive(self, sender: str, message: EndpointUpdate) -> None:
        """Take what a peer tells."""
        now_s = self._clock.seconds()
        for told in message.limits:
            if told.rate is None:
                change = self._limits.apply_end_notice(told.lifetime, told.age_s, now_s)
            else:
                change = self._limits.apply_notice(
                    told.lifetime, told.rate, told.age_s, sender, now_s
                )
            if change is not LimitChange.NONE:
                self._on_limit(told.lifetime, change, sender)
        for left in message.draining:
            heard_s = now_s - max(0.0, left.age_s)
            if self._closed.apply_draining(left.lifetime, heard_s, sender, now_s):
                self._on_draining(left.lifetime, sender)
