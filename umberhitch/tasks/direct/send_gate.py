"""The one place that every call to an endpoint passes: what it may get from all routers together.

A first choice, a retry, a resumed stream, a larger model, a canary, a probe: each asks here which
endpoints bear one more call, in the same turn in which it is sent. Two bounds are kept: that of a
cold endpoint, and that of one which names a rate. How they are shared: `core/direct/_fleet_share`.
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
"""Source of what an endpoint said here."""

RETRY_SPREAD_S = 1.0
"""Callers that were refused since all endpoints rest come back within so long of the first end."""
GOLDEN_RATIO_CONJUGATE = 0.618034
"""Multiples of it, modulo 1, are spread evenly whatever their number."""

Urgency = tuple[int, float]
"""Priority, 0 the most urgent, and worth as a negative number: the lowest goes first."""


@dataclass(frozen=True, slots=True)
class _Refused:
    urgency: Urgency
    at_s: float


class SendGate:
    """Knows which endpoints bear one more call of this router.

    Parameters
    ----------
    name : str
        Of this router.
    clock : Clock
    cold : ColdLimits
    rules : LimitRules

    Attributes
    ----------
    shares : FleetShare
    limits : AdvertisedLimits
    closed : ClosedEndpoints
    sharing : SignalSharing
    unknown : UnknownHeaders
    on_leaving : callable
        Called with a lifetime that leaves by its own word.
    cold_used_up, limit_used_up : int
        How often an endpoint was passed over since this router's share was used up, or is none.
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
            clock, self.limits, self.closed, self._limit_changed, self._has_left
        )
        self.on_draining: Callable[[str], None] = lambda lifetime: None
        self.cold_used_up = 0
        self.limit_used_up = 0
        self._cold = cold or ColdLimits()
        self._clock = clock
        self._is_settled: Callable[[], bool] = lambda: False
        self._jitter = (xxh3_64_intdigest(name.encode()) % 1000) / 1000
        self._refused: dict[str, _Refused] = {}
        """By service, the most urgent call that found no share left of late."""
        self._returning: dict[str, int] = {}
        """By service, callers that were told to come when a rest ends."""
        self._promised_s: dict[str, float] = {}
        """By service, the latest time to come back that a refusal has named."""

    def follow_membership(self, is_settled: Callable[[], bool]) -> None:
        """Take whether this router's place among the others is sure."""
        self._is_settled = is_settled

    def refresh_shares(self) -> None:
        """Look at the seat; to be called each second."""
        self.shares.update_registration(self._is_settled(), self._clock.seconds())

    def forget(self, lifetimes: Iterable[str]) -> None:
        """Keep only what concerns endpoints that are still known."""
        keep = set(lifetimes)
        self.sharing.retain(keep)
        self.shares.forget(keep)
        self.limits.forget(keep)
        self.closed.forget(keep, self._clock.seconds())

    # What may be sent

    def open_filter(self) -> Callable[[Endpoint], bool] | None:
        """Return what tells whether an endpoint is open by its own word; None where all are."""
        if not self.closed:
            return None
        now_s = self._clock.seconds()
        return lambda endpoint: self.closed.accepts(endpoint.lifetime, now_s)

    def has_bounds(self, service: Service | None) -> bool:
        """Whether any endpoint of a service may have a bound."""
        return len(self.limits) > 0 or (service is not None and service.cold_rate > 0.0)

    def with_quota(
        self, service: Service | None, endpoints: list[Endpoint], urgency: Urgency
    ) -> list[Endpoint]:
        """Return the endpoints that bear one more call of this router."""
        cold_rate = 0.0 if service is None else service.cold_rate
        now_s = self._clock.seconds()
        self.refresh_shares()
        kept = 0 if service is None else self._reserved_calls(service.name, urgency, now_s)
        found = [
            each
            for each in endpoints
            if self._bears_cold(each, cold_rate, now_s) and self._bears_limit(each, kept, now_s)
        ]
        if endpoints and not found and service is not None:
            self._record_refused(service.name, urgency, now_s)
        return found

    def _bears_cold(self, endpoint: Endpoint, rate: float, now_s: float) -> bool:
        if not rate or not endpoint.is_cold(now_s):
            return True
        if not self.shares.is_registered:
            return False
        wait_s = self.shares.wait_s(endpoint.lifetime, self._cold.bound(rate), now_s)
        self.cold_used_up += 0.0 < wait_s < inf
        return wait_s == 0.0

    def _bears_limit(self, endpoint: Endpoint, kept: int, now_s: float) -> bool:
        limit = self.limits.get(endpoint.lifetime)
        if limit is None:
            return True
        is_free = self._limit_wait_s(endpoint.lifetime, limit, kept, now_s) == 0.0
        is_free = is_free or self._may_look(limit, now_s)
        self.limit_used_up += not is_free
        return is_free

    def _limit_wait_s(
        self, lifetime: str, limit: AdvertisedLimit, kept: int, now_s: float
    ) -> float:
        if not self.shares.has_router_list(now_s):
            return inf
        return self.shares.wait_s(lifetime, self.rules.bound(limit.rate), now_s, kept)

    def _may_look(self, limit: AdvertisedLimit, now_s: float) -> bool:
        return self.limits.may_recheck(limit, self.shares.router_count, self._jitter, now_s)

    def _reserved_calls(self, service: str, urgency: Urgency, now_s: float) -> int:
        """Return how much of a share is left: for a more urgent call that found none of late."""
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
        """Count a call that is sent."""
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
        soonest_s: float,
        left_s: float,
    ) -> float:
        """Return when a call that no endpoint of a service takes should come again.

        Callers come back to any router, so each router names times as far apart as the limits let
        its part of the callers through. Where all rest it is when the first rest ends, and urgent
        calls come first. Where any endpoint neither rests nor names a limit it is ``soonest_s``.
        """
        now_s = self._clock.seconds()
        rates, waits_s = [], []
        for each in endpoints:
            rest_s = self.closed.wait_s(each.lifetime, now_s)
            limit = self.limits.get(each.lifetime)
            if rest_s == 0.0 and limit is None:
                return soonest_s
            if rest_s == 0.0 and limit is not None:
                rates.append(self.rules.bound(limit.rate).rate)
                rest_s = self._limit_wait_s(each.lifetime, limit, 0, now_s)
            waits_s.append(rest_s)
        first_s = min(waits_s)
        if rates:
            at_s = self._limits_come_back_s(service, first_s, rates, now_s)
        else:
            self._record_refused(service, urgency, now_s)
            at_s = now_s + first_s + self._retry_spread_s(service, urgency)
        at_s = min(at_s, now_s + max(MIN_RETRY_AFTER_S, HONORED_SHARE * left_s))
        if rates:
            self._promised_s[service] = at_s
        return max(MIN_RETRY_AFTER_S, at_s - now_s)

    def _limits_come_back_s(
        self, service: str, first_s: float, rates: list[float], now_s: float
    ) -> float:
        """Return the next time at which the limits let a caller of this router through."""
        gap_s = self.shares.router_count / sum(rates)
        first_s = max(MIN_RETRY_AFTER_S, gap_s if first_s == inf else first_s)
        return max(now_s + first_s, self._promised_s.get(service, now_s) + gap_s)

    def _retry_spread_s(self, service: str, urgency: Urgency) -> float:
        """Return how much later than the end of a rest a caller is to come: urgent ones first."""
        number = self._returning[service] = self._returning.get(service, 0) + 1
        share = (number * GOLDEN_RATIO_CONJUGATE) % 1.0
        is_urgent = urgency <= self._refused[service].urgency
        return RETRY_SPREAD_S * (share if is_urgent else 1.0 + share) / 2

    # What is known

    def apply_head(self, lifetime: str, head: ReplyHead) -> None:
        """Take what the head of any reply of an endpoint says."""
        if head.is_wrong_incarnation:
            return
        now_s = self._clock.seconds()
        self.unknown_headers.record(lifetime, head.signals)
        if head.signals.is_draining and self.closed.apply_draining(
            lifetime, now_s, OWN_REPLY, now_s
        ):
            self._has_left(lifetime, OWN_REPLY)
            self.sharing.note_draining(lifetime)
        self._hear_rest(lifetime, head, now_s)
        self._hear_limit(lifetime, head, now_s)

    def _has_left(self, lifetime: str, source: str) -> None:
        self._log(lifetime, SignalKind.DRAINING, "begun", source)
        self.on_draining(lifetime)

    def _hear_rest(self, lifetime: str, head: ReplyHead, now_s: float) -> None:
        rest_s = head.signals.backoff_s
        if rest_s is not None:
            if self.closed.apply_backoff(lifetime, rest_s, self.shares.router_count, now_s):
                self._log(lifetime, SignalKind.BACKOFF, "begun", OWN_REPLY, rest_s=rest_s)
        elif not head.not_run and self.closed.note_answer(lifetime, now_s):
            self._log(lifetime, SignalKind.BACKOFF, "ended", OWN_REPLY)

    def _hear_limit(self, lifetime: str, head: ReplyHead, now_s: float) -> None:
        limit = head.signals.limit
        rate = limit.per_second
        if limit.is_malformed or (rate is None and (head.not_run or not len(self.limits))):
            return  # a refusal that names none may be in short; an answer tells that it is over
        change = self.limits.apply_answer(lifetime, rate, now_s)
        if change is not LimitChange.NONE:
            self._limit_changed(lifetime, change, OWN_REPLY)
            self.sharing.note_limit_changed(lifetime)

    def _limit_changed(self, lifetime: str, change: LimitChange, source: str) -> None:
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
        """Write the one line of a change of what an endpoint says."""
        facts |= {"endpoint": lifetime, "signal": signal, "change": change, "source": source}
        log.info("endpoint signal", extra=facts)
