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
    ColdLimits,
    Endpoint,
    FleetShare,
    LimitChange,
    LimitRules,
    NamedLimit,
    NamedLimits,
    ReplyHead,
    Service,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import do_nothing
from umberhitch.tasks.direct.come_back import HONOURED_SHARE, LEAST_RETRY_S
from umberhitch.tasks.direct.unknown_headers import UnknownHeaders
from umberhitch.wire import LimitNews, LimitTold

__all__ = ["SendGate", "Urgency"]

log = getLogger(__name__)

MAX_AGAIN = 12
"""Limits that are told again at a time, in turn: some 0.6 kB."""
NEWS_EACH_S = 1.0
"""A change of one endpoint's limit is told at once no more often: one that goes and returns each
moment is told again with the others, and its senders hear it themselves."""
MAX_TOLD = 2_000
"""Limits in one message, some 50 bytes each."""

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
    limits : NamedLimits
    unknown : UnknownHeaders
    on_news : callable
        Called when there is something that the peers are to be told at once.
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
        self.limits = NamedLimits()
        self.unknown = UnknownHeaders()
        self.rules = rules or LimitRules()
        self.on_news: Callable[[], None] = do_nothing
        self.cold_used_up = 0
        self.limit_used_up = 0
        self._cold = cold or ColdLimits()
        self._clock = clock
        self._is_settled: Callable[[], bool] = lambda: False
        self._jitter = (xxh3_64_intdigest(name.encode()) % 1000) / 1000
        self._refused: dict[str, _Refused] = {}
        """By service, the most urgent call that found no share left of late."""
        self._promised_s: dict[str, float] = {}
        """By service, the latest time to come back that a refusal has named."""
        self._news: set[str] = set()
        self._told_s: dict[str, float] = {}
        """By lifetime, when its last change was told at once."""
        self._turn = 0

    def follow(self, is_settled: Callable[[], bool]) -> None:
        """Take whether this router's place among the others is sure."""
        self._is_settled = is_settled

    def look(self) -> None:
        """Look at the seat; to be called each second."""
        self.shares.look(self._is_settled(), self._clock.seconds())

    def forget(self, lifetimes: Iterable[str]) -> None:
        """Keep only what concerns endpoints that are still known."""
        keep = set(lifetimes)
        self._told_s = {name: at_s for name, at_s in self._told_s.items() if name in keep}
        self.shares.forget(keep)
        self.limits.forget(keep)

    # What may be sent

    def has_bounds(self, service: Service | None) -> bool:
        """Whether any endpoint of a service may have a bound."""
        return len(self.limits) > 0 or (service is not None and service.cold_rate > 0.0)

    def bearing(
        self, service: Service | None, endpoints: list[Endpoint], urgency: Urgency
    ) -> list[Endpoint]:
        """Return the endpoints that bear one more call of this router."""
        cold_rate = 0.0 if service is None else service.cold_rate
        now_s = self._clock.seconds()
        self.look()
        kept = 0 if service is None else self._kept(service.name, urgency, now_s)
        found = [
            each
            for each in endpoints
            if self._bears_cold(each, cold_rate, now_s) and self._bears_limit(each, kept, now_s)
        ]
        if endpoints and not found and service is not None:
            self._note_refused(service.name, urgency, now_s)
        return found

    def _bears_cold(self, endpoint: Endpoint, rate: float, now_s: float) -> bool:
        if not rate or not endpoint.is_cold(now_s):
            return True
        if not self.shares.is_settled:
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

    def _limit_wait_s(self, lifetime: str, limit: NamedLimit, kept: int, now_s: float) -> float:
        if not self.shares.knows_list(now_s):
            return inf
        return self.shares.wait_s(lifetime, self.rules.bound(limit.rate), now_s, kept)

    def _may_look(self, limit: NamedLimit, now_s: float) -> bool:
        return self.limits.may_look(limit, self.shares.routers, self._jitter, now_s)

    def _kept(self, service: str, urgency: Urgency, now_s: float) -> int:
        """Return how much of a share is left: for a more urgent call that found none of late."""
        refused = self._refused.get(service)
        if refused is None or now_s > refused.at_s + self.rules.span_s:
            return 0
        return int(refused.urgency < urgency)

    def _note_refused(self, service: str, urgency: Urgency, now_s: float) -> None:
        refused = self._refused.get(service)
        is_over = refused is None or now_s > refused.at_s + self.rules.span_s
        if refused is None or is_over or urgency <= refused.urgency:
            self._refused[service] = _Refused(urgency, now_s)

    def sent(self, endpoint: Endpoint, service: Service | None) -> None:
        """Count a call that is sent."""
        limit = self.limits.get(endpoint.lifetime)
        if limit is None and (service is None or not service.cold_rate):
            return
        now_s = self._clock.seconds()
        self.shares.note_sent(endpoint.lifetime, now_s)
        if limit is not None:
            limit.looked_s = now_s

    def come_back_s(
        self, service: str, endpoints: list[Endpoint], soonest_s: float, left_s: float
    ) -> float:
        """Return when a call that no endpoint of a service bears should come again.

        Callers come back to any router, so each router names times as far apart as the limits let
        its part of the callers through. Where any endpoint names no limit it is ``soonest_s``.
        """
        limited = [self.limits.get(each.lifetime) for each in endpoints]
        rates = [self.rules.bound(limit.rate).rate for limit in limited if limit is not None]
        if len(rates) < len(endpoints):
            return soonest_s
        now_s = self._clock.seconds()
        gap_s = self.shares.routers / sum(rates)
        soonest_s = max(LEAST_RETRY_S, self._soonest_s(endpoints, now_s, gap_s))
        at_s = max(now_s + soonest_s, self._promised_s.get(service, now_s) + gap_s)
        at_s = min(at_s, now_s + max(LEAST_RETRY_S, HONOURED_SHARE * left_s))
        self._promised_s[service] = at_s
        return at_s - now_s

    def _soonest_s(self, endpoints: list[Endpoint], now_s: float, gap_s: float) -> float:
        """Return the time until this router may send to one of them, if it is a sender at all."""
        waits = [
            self._limit_wait_s(each.lifetime, limit, 0, now_s)
            for each in endpoints
            if (limit := self.limits.get(each.lifetime)) is not None
        ]
        soonest_s = min(waits, default=inf)
        return gap_s if soonest_s == inf else soonest_s

    # What is known

    def heard(self, endpoint: Endpoint, head: ReplyHead) -> None:
        """Take what the head of any reply of an endpoint says."""
        self._log_signals(endpoint.lifetime, head)
        self.unknown.note(endpoint.lifetime, head.signals)
        limit = head.signals.limit
        rate = limit.a_second
        if head.is_elsewhere or limit.is_unclear:
            return
        if rate is None and (head.not_run or not len(self.limits)):
            return  # a refusal that names none may be in short; an answer tells that it is over
        lifetime, now_s = endpoint.lifetime, self._clock.seconds()
        change = self.limits.heard(lifetime, rate, now_s)
        if change is LimitChange.NONE:
            return
        if change is LimitChange.BEGUN:
            self._assume_used(lifetime, now_s)
        self._log(lifetime, change, "its answer")
        if now_s >= self._told_s.get(lifetime, -inf) + NEWS_EACH_S:
            self._told_s[lifetime] = now_s
            self._news.add(lifetime)
            self.on_news()

    def _log_signals(self, lifetime: str, head: ReplyHead) -> None:
        signals = head.signals
        if signals.is_draining or signals.backoff_s is not None or signals.unclear:
            facts: dict[str, object] = {"endpoint": lifetime, "status": head.status}
            facts["is_draining"], facts["backoff_s"] = signals.is_draining, signals.backoff_s
            facts["unclear"] = signals.unclear
            log.info("endpoint signal", extra=facts)

    def _assume_used(self, lifetime: str, now_s: float) -> None:
        limit = self.limits.get(lifetime)
        assert limit is not None
        self.look()
        self.shares.assume_used(lifetime, self.rules.bound(limit.rate), now_s)

    def _log(self, lifetime: str, change: LimitChange, source: str) -> None:
        limit = self.limits.get(lifetime)
        facts: dict[str, object] = {
            "endpoint": lifetime,
            "change": change.value,
            "source": source,
        }
        if limit is not None:
            facts["rate"] = limit.rate
            facts["share"] = self.shares.most(lifetime, self.rules.bound(limit.rate))
        log.info("named limit", extra=facts)

    # Peers

    def take_news(self) -> list[LimitNews]:
        """Return what the peers are to be told at once, and were not."""
        news, self._news = self._news, set()
        return self._tell(sorted(news))

    def news_again(self) -> list[LimitNews]:
        """Return what is told again: some of the limits that stand or have ended, in turn."""
        if not len(self.limits) and not self.limits.ended(self._clock.seconds()):
            return []
        known = self._known()
        self._turn = (self._turn + MAX_AGAIN) % max(1, len(known))
        return self._tell((known[self._turn :] + known[: self._turn])[:MAX_AGAIN])

    def all_news(self) -> list[LimitNews]:
        """Return what a router is told that is new here."""
        return self._tell(self._known()[:MAX_TOLD])

    def _known(self) -> list[str]:
        ended = self.limits.ended(self._clock.seconds())
        return [*(lifetime for lifetime, _ in self.limits), *ended]

    def _tell(self, lifetimes: list[str]) -> list[LimitNews]:
        now_s = self._clock.seconds()
        ended = self.limits.ended(now_s)
        told = []
        for lifetime in lifetimes:
            limit = self.limits.get(lifetime)
            if limit is not None:
                told.append(LimitTold(lifetime, round(now_s - limit.heard_s, 4), limit.rate))
            elif lifetime in ended:
                told.append(LimitTold(lifetime, round(now_s - ended[lifetime], 4), None))
        return [LimitNews(told)] if told else []

    def receive(self, sender: str, message: LimitNews) -> None:
        """Take what a peer tells."""
        now_s = self._clock.seconds()
        for told in message.limits:
            if told.rate is None:
                change = self.limits.told_over(told.lifetime, told.age_s, now_s)
            else:
                change = self.limits.told(told.lifetime, told.rate, told.age_s, sender, now_s)
                if change is LimitChange.BEGUN:
                    self._assume_used(told.lifetime, now_s)
            if change is not LimitChange.NONE:
                self._log(told.lifetime, change, sender)
