"""Rate limits, back-off and draining of endpoints, which every call to an endpoint has to pass.

For every call, be it a first attempt, a retry, a resumed stream, a call of a larger model, a canary
or a probe, this module decides which endpoints may get one more call, in the same reactor turn in
which the call is sent. It keeps two rate limits, which apply to all routers together: that of a
cold endpoint, and that of an endpoint which advertises a limit. `core/direct/_fleet_share`
describes how the routers share them.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from logging import getLogger
from math import inf

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct import (
    AdvertisedLimit,
    AdvertisedLimits,
    ClosedEndpoints,
    ColdLimits,
    Endpoint,
    FleetShare,
    LimitChange,
    LimitRules,
    ReplyHead,
    Service,
    SignalKind,
)
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.retry_after import HONORED_SHARE, MIN_RETRY_AFTER_S
from umberhitch.tasks.direct.signal_sharing import SignalSharing
from umberhitch.tasks.direct.unknown_headers import UnknownHeaders

__all__ = ["SendGate", "Urgency"]

log = getLogger(__name__)

OWN_REPLY = "its answer"
"""Source of a signal that this router received in a reply of the endpoint itself."""

RETRY_SPREAD_S = 1.0
"""Callers refused because all endpoints back off are told to retry within this time after the
first back-off ends."""
GOLDEN_RATIO_CONJUGATE = 0.618034
"""Its multiples modulo 1 are evenly spread, however many are taken."""

Urgency = tuple[int, float]
"""Priority, of which 0 is the most urgent, and negated answer value; the lowest is sent first."""


@dataclass(frozen=True, slots=True)
class _Refused:
    urgency: Urgency
    at_s: float


class SendGate:
    """Decides which endpoints may get one more call from this router.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
    cold : ColdLimits
    rules : LimitRules

    Attributes
    ----------
    shares : FleetShare
    limits : AdvertisedLimits
    closed : ClosedEndpoints
    sharing : SignalSharing
    unknown_headers : UnknownHeaders
    on_draining : callable
        Called with the lifetime of an endpoint that reports that it is draining.
    cold_used_up, limit_used_up : int
        How often an endpoint was passed over because this router's share of its limit was used up
        or zero.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        cold: ColdLimits | None = None,
        rules: LimitRules | None = None,
    ) -> None:
        self.shares = FleetShare(name)
        self.limits = AdvertisedLimits()
        self.unknown_headers = UnknownHeaders()
        self.rules = rules or LimitRules()
        self.closed = ClosedEndpoints(name)
        self.sharing = SignalSharing(
            clock, self.limits, self.closed, self._on_limit_change, self._on_draining_signal
        )
        self.on_draining: Callable[[str], None] = lambda lifetime: None
        self.cold_used_up = 0
        self.limit_used_up = 0
        self._cold = cold or ColdLimits()
        self._clock = clock
        self._is_settled: Callable[[], bool] = lambda: False
        self._jitter = (xxh3_64_intdigest(name.encode()) % 1000) / 1000
        self._refused: dict[str, _Refused] = {}
        """By service, the most urgent call that recently found no quota left."""
        self._retrying_callers: dict[str, int] = {}
        """By service, the number of callers that were told to retry when a back-off ends."""
        self._promised_retry_s: dict[str, float] = {}
        """By service, the latest retry time that a refusal has named."""

    def follow_membership(self, is_settled: Callable[[], bool], list_overlap_s: float) -> None:
        """Follow the membership of this router in the store's group.

        Parameters
        ----------
        is_settled : callable
            Whether the store lists this router, and the others have had time to read that.
        list_overlap_s : float
            Seconds after a change of the list for which others may go by the former list.
        """
        self._is_settled = is_settled
        self.shares.list_overlap_s = list_overlap_s

    def refresh_shares(self) -> None:
        """Refresh this router's share of the limits; to be called each second."""
        self.shares.update_registration(self._is_settled(), self._clock.seconds())

    def forget(self, lifetimes: Iterable[str]) -> None:
        """Drop the state of all endpoints except those whose lifetimes are given."""
        keep = set(lifetimes)
        self.sharing.retain(keep)
        self.shares.forget(keep)
        self.limits.forget(keep)
        self.closed.forget(keep, self._clock.seconds())

    # Sending

    def open_filter(self) -> Callable[[Endpoint], bool] | None:
        """Return a predicate for endpoints that neither drain nor back off; None if none does."""
        if not self.closed:
            return None
        now_s = self._clock.seconds()
        return lambda endpoint: self.closed.accepts(endpoint.lifetime, now_s)

    def has_bounds(self, service: Service | None) -> bool:
        """Whether any endpoint of a service may have a rate limit."""
        return len(self.limits) > 0 or (service is not None and service.cold_rate > 0.0)

    def with_quota(
        self,
        service: Service | None,
        endpoints: list[Endpoint],
        urgency: Urgency,
        presumes_cold: bool = False,
    ) -> list[Endpoint]:
        """Return the endpoints whose limits allow one more call from this router.

        Where ``presumes_cold``, nobody knows whether an endpoint is cold, and each is taken for it.
        """
        cold_rate = 0.0 if service is None else service.cold_rate
        now_s = self._clock.seconds()
        self.refresh_shares()
        reserved = 0 if service is None else self._reserved_calls(service.name, urgency, now_s)
        allowed = [
            endpoint
            for endpoint in endpoints
            if self._cold_ok(endpoint, cold_rate, presumes_cold, now_s)
            and self._limit_ok(endpoint, reserved, now_s)
        ]
        if endpoints and not allowed and service is not None:
            self._record_refused(service.name, urgency, now_s)
        return allowed

    def _cold_ok(self, endpoint: Endpoint, rate: float, presumes_cold: bool, now_s: float) -> bool:
        if not rate or not (presumes_cold or endpoint.is_cold(now_s)):
            return True
        if not self.shares.is_registered:
            return False
        wait_s = self.shares.wait_s(endpoint.lifetime, self._cold.bound(rate), now_s)
        self.cold_used_up += 0.0 < wait_s < inf
        return wait_s == 0.0

    def _limit_ok(self, endpoint: Endpoint, reserved: int, now_s: float) -> bool:
        limit = self.limits.get(endpoint.lifetime)
        if limit is None:
            return True
        is_free = self._limit_wait_s(endpoint.lifetime, limit, reserved, now_s) == 0.0
        is_free = is_free or self._may_probe_limit(limit, now_s)
        self.limit_used_up += not is_free
        return is_free

    def _limit_wait_s(
        self, lifetime: str, limit: AdvertisedLimit, reserved: int, now_s: float
    ) -> float:
        if not self.shares.has_router_list(now_s):
            return inf
        return self.shares.wait_s(lifetime, self.rules.bound(limit.rate), now_s, reserved)

    def _may_probe_limit(self, limit: AdvertisedLimit, now_s: float) -> bool:
        if not self.shares.is_listed:
            return False  # nobody knows how many routers there are beyond the listed ones
        return self.limits.may_recheck(limit, self.shares.router_count, self._jitter, now_s)

    def _reserved_calls(self, service: str, urgency: Urgency, now_s: float) -> int:
        """Return how many calls to reserve for a more urgent call that recently found no quota."""
        refused = self._refused.get(service)
        if refused is None or now_s > refused.at_s + self.rules.span_s:
            return 0
        return int(refused.urgency < urgency)

    def _record_refused(self, service: str, urgency: Urgency, now_s: float) -> None:
        refused = self._refused.get(service)
        is_over = refused is None or now_s > refused.at_s + self.rules.span_s
        if refused is None or is_over or urgency <= refused.urgency:
            self._refused[service] = _Refused(urgency, now_s)

    def record_sent(self, endpoint: Endpoint, service: Service | None) -> None:
        """Record that a call is sent."""
        self.closed.note_sent(endpoint.lifetime, self._clock.seconds())
        limit = self.limits.get(endpoint.lifetime)
        if limit is None and (service is None or not service.cold_rate):
            return
        now_s = self._clock.seconds()
        self.shares.note_sent(endpoint.lifetime, now_s)
        if limit is not None:
            limit.rechecked_s = now_s

    def retry_after_s(
        self,
        service: str,
        endpoints: list[Endpoint],
        urgency: Urgency,
        min_retry_s: float,
        left_s: float,
    ) -> float:
        """Return the seconds after which to retry a call that no endpoint of a service takes.

        Callers may retry at any router, so each router spaces the times that it names by the rate
        at which the limits admit its share of the callers. If all endpoints back off, the time is
        the end of the first back-off, and urgent calls come first. If any endpoint neither backs
        off nor names a limit, the time is ``min_retry_s``.
        """
        now_s = self._clock.seconds()
        rates, waits_s = [], []
        for endpoint in endpoints:
            wait_s = self.closed.wait_s(endpoint.lifetime, now_s)
            limit = self.limits.get(endpoint.lifetime)
            if wait_s == 0.0 and limit is None:
                return min_retry_s
            if wait_s == 0.0 and limit is not None:
                rates.append(self.rules.bound(limit.rate).rate)
                wait_s = self._limit_wait_s(endpoint.lifetime, limit, 0, now_s)
            waits_s.append(wait_s)
        first_s = min(waits_s)
        if rates:
            at_s = self._limits_retry_at_s(service, first_s, rates, now_s)
        else:
            self._record_refused(service, urgency, now_s)
            at_s = now_s + first_s + self._retry_spread_s(service, urgency)
        at_s = min(at_s, now_s + max(MIN_RETRY_AFTER_S, HONORED_SHARE * left_s))
        if rates:
            self._promised_retry_s[service] = at_s
        return max(MIN_RETRY_AFTER_S, at_s - now_s)

    def _limits_retry_at_s(
        self, service: str, first_s: float, rates: list[float], now_s: float
    ) -> float:
        """Return the next time at which the limits admit a caller of this router."""
        interval_s = self.shares.router_count / sum(rates)
        first_s = max(MIN_RETRY_AFTER_S, interval_s if first_s == inf else first_s)
        return max(now_s + first_s, self._promised_retry_s.get(service, now_s) + interval_s)

    def _retry_spread_s(self, service: str, urgency: Urgency) -> float:
        """Return the delay of a retry after the end of a back-off; urgent callers come first."""
        number = self._retrying_callers[service] = self._retrying_callers.get(service, 0) + 1
        share = (number * GOLDEN_RATIO_CONJUGATE) % 1.0
        is_urgent = urgency <= self._refused[service].urgency
        return RETRY_SPREAD_S * (share if is_urgent else 1.0 + share) / 2

    # Signals of endpoints

    def apply_head(self, lifetime: str, head: ReplyHead) -> None:
        """Apply the signals in the head of any reply of an endpoint."""
        if head.is_wrong_incarnation:
            return
        now_s = self._clock.seconds()
        self.unknown_headers.record(lifetime, head.signals)
        if head.signals.is_draining and self.closed.apply_draining(
            lifetime, now_s, OWN_REPLY, now_s
        ):
            self._on_draining_signal(lifetime, OWN_REPLY)
            self.sharing.note_draining(lifetime)
        self._apply_backoff(lifetime, head, now_s)
        self._apply_limit(lifetime, head, now_s)

    def _on_draining_signal(self, lifetime: str, source: str) -> None:
        self._log(lifetime, SignalKind.DRAINING, "begun", source)
        self.on_draining(lifetime)

    def _apply_backoff(self, lifetime: str, head: ReplyHead, now_s: float) -> None:
        backoff_s = head.signals.backoff_s
        if backoff_s is not None:
            if self.closed.apply_backoff(lifetime, backoff_s, self.shares.router_count, now_s):
                self._log(lifetime, SignalKind.BACKOFF, "begun", OWN_REPLY, rest_s=backoff_s)
        elif not head.not_run and self.closed.note_answer(lifetime, now_s):
            self._log(lifetime, SignalKind.BACKOFF, "ended", OWN_REPLY)

    def _apply_limit(self, lifetime: str, head: ReplyHead, now_s: float) -> None:
        limit = head.signals.limit
        rate = limit.per_second
        if limit.is_malformed or (rate is None and (head.not_run or not len(self.limits))):
            return  # a refusal may omit the limit; only an answer without one ends it
        change = self.limits.apply_answer(lifetime, rate, now_s)
        if change is not LimitChange.NONE:
            self._on_limit_change(lifetime, change, OWN_REPLY)
            self.sharing.note_limit_changed(lifetime)

    def _on_limit_change(self, lifetime: str, change: LimitChange, source: str) -> None:
        limit = self.limits.get(lifetime)
        if limit is None:
            self._log(lifetime, SignalKind.LIMIT, change.value, source)
            return
        bound = self.rules.bound(limit.rate)
        if change is LimitChange.STARTED:
            self.refresh_shares()
            self.shares.assume_used(lifetime, bound, self._clock.seconds())
        share = self.shares.quota(lifetime, bound)
        self._log(lifetime, SignalKind.LIMIT, change.value, source, rate=limit.rate, share=share)

    def _log(
        self, lifetime: str, signal: SignalKind, change: str, source: str, **facts: object
    ) -> None:
        """Log a change of a signal of an endpoint."""
        facts |= {"endpoint": lifetime, "signal": signal, "change": change, "source": source}
        log.info("endpoint signal", extra=facts)
