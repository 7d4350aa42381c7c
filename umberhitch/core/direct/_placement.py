"""Which endpoint a call goes to: the one with the least work before it.

The work before a call is the reading of prompts that are not cached there, those of calls already
placed included, times the endpoint's own pace. What an endpoint reports of its load is old when it
comes and is the sum over all routers, so it corrects the own count and does not replace it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from umberhitch.core.direct._answer_value import AnswerValue
from umberhitch.core.direct._endpoint import Endpoint
from umberhitch.core.direct._engine_time import EnginePrice
from umberhitch.core.direct._prefill_speed import PrefillSpeed
from umberhitch.core.direct._prefills import LONG_PREFILL_S, NO_PREFILL, ActivePrefills
from umberhitch.core.direct._signals import ReportedLoad
from umberhitch.core.direct._types import CallerRequest, PromptPart, Service

__all__ = ["Candidate", "EngineCall", "PlacedCall", "Placement", "PlacementLimits"]


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """Weights of the estimate; times in seconds.

    Attributes
    ----------
    first_token_s : float
        Reading of one prompt token by the smallest model, until replies have shown the true pace.
    growth : float
        How much slower each next larger model is taken to be until then.
    running_s : float
        What one running call adds to the wait of another, on an engine.
    plain_s : float
        What one running call adds to the wait of another, on a plain service.
    full_s : float
        What one call that waits for a slot adds to the wait of another, on an engine.
    far_s : float
        What another availability zone costs a plain call: bytes between zones are paid for.
    far_byte : float
        The same for a call to an engine, in worth a byte of its body. A long prompt is read again
        near by sooner by a small model than it is sent to where it is cached; a large model's
        reading is worth the way. It halves the bytes between zones (measured: 0.046 to 0.026 of
        all worth) for 0.003 of worth served less.
    failing_s : float
        Added in full for an endpoint whose every call fails, or that refuses every call.
    refused_share : float
        Share of an answer's worth that a refusal of an engine costs: it spends a try.
    hurry : float
        What a second of an engine's queue costs where the answer is in time all the same, as a
        share of what it costs where it is not: estimates err, and a queue is a risk.
    load_age_s : float
        Time in which a reported load, or a refusal, loses two thirds of its weight.
    cached_share : float
        Share of an engine's memory taken to hold cached parts of prompts.
    home_share : float
        Chance that the home of a shared part holds it, where this router does not know. Routers see
        only what they placed themselves; the home is the same for all of them.
    """

    initial_token_s: float = 0.000005
    rank_slowdown: float = 3.0
    running_call_s: float = 0.0006
    plain_call_s: float = 0.02
    queued_call_s: float = 0.05
    cross_zone_s: float = 0.004
    cross_zone_byte_cost: float = 0.00003
    queue_risk: float = 0.05
    failure_penalty_s: float = 0.5
    refusal_penalty: float = 0.1
    load_decay_s: float = 1.0
    cache_share: float = 0.5
    affinity_share: float = 0.8


SLOWNESS_WEIGHT = 0.1
FAILURE_WEIGHT = 0.2
REFUSAL_WEIGHT = 0.5
"""Weight of the newest reading in the running means. A refusal tells more than a failure: one that
is full, or sheds, refuses the next call as well, and fast."""
MAX_SLOWNESS = 8.0
"""An endpoint is taken to be at most so many times slower than usual."""
MIN_EXPECTED_S = 0.02
"""Shorter waits say nothing of an endpoint's pace: the way there and back is in them."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Where a call may go.

    Attributes
    ----------
    wait_s : float
        Expected time until the reply begins.
    delay_cost : float
        Worth that others lose by the time that the call takes there; 0 for plain services.
    """

    endpoint: Endpoint
    wait_s: float
    delay_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call to an engine for which a place is looked for.

    Attributes
    ----------
    models : tuple of str
        All of the route, smallest first.
    stake : AnswerValue
        What the answer is worth.
    price : EnginePrice
        Of the time of one of the endpoints.
    home : Endpoint or None
        Where the shared parts of the prompt probably are.
    waited_s : float
        Time since the request came.
    """

    request: CallerRequest
    model: str
    models: tuple[str, ...]
    answer_value: AnswerValue
    price: EnginePrice = EnginePrice()
    affinity_endpoint: Endpoint | None = None
    waited_s: float = 0.0


@dataclass(slots=True)
class PlacedCall:
    """A call that was placed, until it is released."""

    lifetime: str
    model: str
    uncached_tokens: int
    prefill_s: float
    expected_s: float
    """Expected wait on an endpoint of usual pace, queue included."""
    placed_at_s: float
    assumed_token_s: float = 0.0
    """Reading of one token by the model, before any reading was seen."""
    model_rank: int = 0
    """Of the model on its route, smallest 0."""
    is_prefilling: bool = True


@dataclass(slots=True)
class _Seen:
    """What this router has seen of one endpoint."""

    running: int = 0
    reading_s: float = 0.0
    slow: float = 1.0
    failing: float = 0.0
    refusing: float = 0.0
    refused_s: float = 0.0
    load: ReportedLoad | None = None
    load_at_s: float = 0.0
    others_running: int = 0
    others_reading_s: float = 0.0
    readings: ActivePrefills = field(default_factory=ActivePrefills)
    cached: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0


class Placement:
    """Chooses endpoints and remembers what was placed on them.

    Parameters
    ----------
    zone : str
        The router's own availability zone.
    limits : PlacementLimits
    """

    def __init__(self, zone: str, limits: PlacementLimits | None = None) -> None:
        self._zone = zone
        self.limits = limits or PlacementLimits()
        self._seen: dict[str, _Seen] = {}
        self._pace = PrefillSpeed()

    def retain(self, known: Iterable[str]) -> None:
        """Keep only what concerns lifetimes of endpoints that are still known."""
        keep = set(known)
        for lifetime in [each for each in self._seen if each not in keep]:
            del self._seen[lifetime]

    def token_s(self, model: str, models: tuple[str, ...]) -> float:
        """Return the time in which a model reads one token."""
        known = self._pace.token_s(model)
        return self._assumed_s(model, models) if known is None else known

    def _assumed_s(self, model: str, models: tuple[str, ...]) -> float:
        """Return the pace that a model is taken to have before it is seen."""
        rank = models.index(model) if model in models else 0
        return self.limits.initial_token_s * self.limits.rank_slowdown**rank

    def choose_plain(self, endpoints: list[Endpoint], now_s: float) -> Candidate:
        """Return where a call to a plain service begins first.

        Raises
        ------
        ValueError
            If there is no endpoint.
        """
        return min(
            (Candidate(each, self._plain_wait_s(each, now_s)) for each in endpoints),
            key=lambda offer: offer.wait_s + self._aversion_s(offer.endpoint, now_s),
        )

    def choose_engine(self, endpoints: list[Endpoint], work: EngineCall, now_s: float) -> Candidate:
        """Return where a call to an engine costs least worth.

        Raises
        ------
        ValueError
            If there is no endpoint.
        """
        offers = (self._engine_offer(each, work, now_s) for each in endpoints)
        return min(offers, key=lambda offer: self._cost(offer, work, now_s))

    def _cost(self, offer: Candidate, work: EngineCall, now_s: float) -> float:
        """Return what a call costs somewhere, in worth: its own lateness, others' delay, bytes."""
        limits, stake = self.limits, work.answer_value
        lost = stake.value * (1.0 - stake.value_fraction(work.waited_s + offer.wait_s))
        lost += stake.value * limits.refusal_penalty * self._refusing(offer.endpoint, now_s)
        is_near = offer.endpoint.entry.zone == self._zone
        far = 0.0 if is_near else limits.cross_zone_byte_cost * len(work.request.body)
        hurry_s = offer.wait_s + self._failing_s(offer.endpoint)
        return lost + offer.delay_cost + far + limits.queue_risk * stake.loss_per_s * hurry_s

    def _plain_wait_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return the wait at a plain service."""
        seen = self._seen.get(endpoint.lifetime)
        if seen is None:
            return 0.0
        running, _ = self._load(seen, now_s)
        slots = max(1, endpoint.entry.slots)
        each_s = self.limits.plain_call_s
        return seen.slow * (each_s * running / slots + each_s * max(0.0, running - slots))

    def _load(self, seen: _Seen, now_s: float) -> tuple[float, float]:
        """Return calls that run on an endpoint, and of these those that wait for a slot."""
        running = float(seen.running + seen.others_running)
        if seen.load is None:
            return running, 0.0
        weight = self._age_weight(now_s - seen.load_at_s)
        running += weight * max(0, seen.load.running + seen.load.waiting - running)
        return running, weight * max(0, seen.load.waiting)

    def _engine_offer(self, endpoint: Endpoint, work: EngineCall, now_s: float) -> Candidate:
        lifetime, ask = endpoint.lifetime, work.request
        unread = float(ask.prompt_tokens - self.cached_tokens(lifetime, work.model, ask))
        if endpoint is work.affinity_endpoint:
            unread -= self.limits.affinity_share * (unread - ask.prompt[-1].tokens)
        work_s = unread * self.token_s(work.model, work.models)
        seen = self._seen.get(lifetime)
        if seen is None:
            return Candidate(endpoint, work_s, work.price.cost(work_s, 0.0))
        running, waiting = self._load(seen, now_s)
        over = max(0.0, running - endpoint.entry.slots) if endpoint.entry.slots else 0.0
        backlog_s = seen.slow * self._base_s(seen, 0.0, running)
        backlog_s += self.limits.queued_call_s * (over + waiting)
        work_s *= seen.slow
        return Candidate(endpoint, backlog_s + work_s, work.price.cost(work_s, backlog_s))

    def _base_s(self, seen: _Seen, own_s: float, running: float) -> float:
        """Return the wait on an endpoint of usual pace."""
        return own_s + seen.reading_s + seen.others_reading_s + running * self.limits.running_call_s

    def _aversion_s(self, endpoint: Endpoint, now_s: float) -> float:
        far_s = 0.0 if endpoint.entry.zone == self._zone else self.limits.cross_zone_s
        refusing_s = self._refusing(endpoint, now_s) * self.limits.failure_penalty_s
        return far_s + refusing_s + self._failing_s(endpoint)

    def _refusing(self, endpoint: Endpoint, now_s: float) -> float:
        """Return how surely an endpoint refuses the next call, from 0 to 1."""
        seen = self._seen.get(endpoint.lifetime)
        if seen is None or not seen.refusing:
            return 0.0
        return seen.refusing * self._age_weight(now_s - seen.refused_s)

    def _failing_s(self, endpoint: Endpoint) -> float:
        seen = self._seen.get(endpoint.lifetime)
        return 0.0 if seen is None else seen.failing * self.limits.failure_penalty_s

    def _age_weight(self, age_s: float) -> float:
        return 1.0 / (1.0 + 2.0 * max(0.0, age_s) / self.limits.load_decay_s)

    def cached_tokens(self, lifetime: str, model: str, ask: CallerRequest) -> int:
        """Return how many tokens of the prompt the endpoint probably holds for a model."""
        seen = self._seen.get(lifetime)
        if seen is None:
            return 0
        tokens = 0
        for part in ask.prompt[:-1]:
            if (model, part.part_id) not in seen.cached:
                break
            tokens += part.tokens
        return tokens

    def place(
        self,
        endpoint: Endpoint,
        ask: CallerRequest,
        model: str,
        models: tuple[str, ...],
        service: Service | None,
        now_s: float,
    ) -> PlacedCall:
        """Count a call on an endpoint until it is released."""
        lifetime = endpoint.lifetime
        seen = self._seen.setdefault(lifetime, _Seen())
        unread = ask.prompt_tokens - self.cached_tokens(lifetime, model, ask)
        work_s = unread * self.token_s(model, models) if ask.prompt else 0.0
        base_s = self._base_s(seen, work_s, seen.running + seen.others_running)
        seen.running += 1
        seen.reading_s += work_s
        cache = (service.cache_tokens if service else 0) * self.limits.cache_share
        self._cache(seen, model, ask.prompt[:-1], cache)
        assumed_s = self._assumed_s(model, models)
        rank = models.index(model) if model in models else 0
        seen.readings.start(rank, work_s)
        return PlacedCall(lifetime, model, unread, work_s, base_s, now_s, assumed_s, rank)

    def _cache(
        self, seen: _Seen, model: str, parts: tuple[PromptPart, ...], limit_tokens: float
    ) -> None:
        for part in parts:
            key = (model, part.part_id)
            if key in seen.cached:
                seen.cached.move_to_end(key)
                continue
            seen.cached[key] = part.tokens
            seen.cached_tokens += part.tokens
        while seen.cached and seen.cached_tokens > limit_tokens:
            seen.cached_tokens -= seen.cached.popitem(last=False)[1]

    def note_reply_started(self, placed: PlacedCall, now_s: float) -> None:
        """Note that a call's reply has begun: its prompt is read, and its pace is known."""
        seen = self._finish_reading(placed)
        if seen is None:
            return
        seen.refusing *= 1.0 - REFUSAL_WEIGHT
        if placed.prefill_s > LONG_PREFILL_S:
            seen.readings.mark_active(placed.model_rank, now_s)
        taken_s = now_s - placed.placed_at_s
        # The queue is taken off before a pace is learned, else a crowd looks like a slow model.
        queue_s = placed.expected_s - placed.prefill_s
        self._pace.add_sample(
            placed.model, placed.uncached_tokens, taken_s, queue_s, placed.assumed_token_s
        )
        ratio = min(MAX_SLOWNESS, taken_s / max(placed.expected_s, MIN_EXPECTED_S))
        seen.slow = min(MAX_SLOWNESS, max(0.5, seen.slow + SLOWNESS_WEIGHT * (ratio - seen.slow)))

    def note_refused(self, placed: PlacedCall, now_s: float) -> None:
        """Note that an endpoint refuses a call: it is full, or sheds."""
        seen = self._seen.get(placed.lifetime)
        if seen is not None:
            seen.refusing += REFUSAL_WEIGHT * (1.0 - seen.refusing)
            seen.refused_s = now_s

    def _finish_reading(self, placed: PlacedCall) -> _Seen | None:
        seen = self._seen.get(placed.lifetime)
        if placed.is_prefilling:
            placed.is_prefilling = False
            if seen is not None:
                seen.reading_s = max(0.0, seen.reading_s - placed.prefill_s)
                seen.readings.finish(placed.model_rank, placed.prefill_s)
        return seen

    def release(self, placed: PlacedCall, is_failure: bool | None) -> None:
        """Count a call no more; ``is_failure`` is None where the endpoint is not to blame."""
        seen = self._finish_reading(placed)
        if seen is None:
            return
        seen.running = max(0, seen.running - 1)
        if is_failure is not None:
            seen.failing += FAILURE_WEIGHT * (float(is_failure) - seen.failing)

    def update_reported_load(self, lifetime: str, load: ReportedLoad, now_s: float) -> None:
        """Take the load that an endpoint reported."""
        seen = self._seen.setdefault(lifetime, _Seen())
        seen.load = load
        seen.load_at_s = now_s

    def update_peer_load(
        self, lifetime: str, running: int, reading_s: float, rank: int, now_s: float
    ) -> None:
        """Take what the other routers have placed on an endpoint, all together."""
        seen = self._seen.setdefault(lifetime, _Seen())
        seen.readings.mark_active(rank, now_s)
        seen.others_running = running
        seen.others_reading_s = reading_s

    def own_load(self) -> dict[str, tuple[int, float, int]]:
        """Return running calls, unread work in seconds and the rank that reads, by endpoint."""
        return {
            lifetime: (seen.running, seen.reading_s, seen.readings.largest_active())
            for lifetime, seen in self._seen.items()
            if seen.running
        }

    def largest_prefill_rank(self, lifetime: str, since_s: float) -> int:
        """Return the largest model that has read a long prompt on an endpoint since a time.

        It is given by its rank on its route, smallest 0; `NO_PREFILL` where none has.
        """
        seen = self._seen.get(lifetime)
        return NO_PREFILL if seen is None else seen.readings.largest_since(since_s)

    def running_calls(self, lifetime: str) -> int:
        """Return this router's running calls on an endpoint."""
        seen = self._seen.get(lifetime)
        return 0 if seen is None else seen.running

    def all_running_calls(self, lifetime: str) -> int:
        """Return the running calls on an endpoint, those that peers told of included."""
        seen = self._seen.get(lifetime)
        return 0 if seen is None else seen.running + seen.others_running
