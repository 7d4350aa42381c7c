"""Endpoint selection: a call goes to the endpoint with the least expected work before it.

The work before a call is the prefill of the prompt tokens that are not in the endpoint's prefix
cache, those of calls already placed included, times the endpoint's observed slowness. The load that
an endpoint reports is outdated on arrival and is the sum over all routers, so it corrects this
router's own count and does not replace it. Where the endpoints of a plain service report their
load, calls are placed by `HostLoad`. An endpoint's reported pace makes its work longer or shorter.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from umberhitch.core.direct._answer_value import AnswerValue
from umberhitch.core.direct._endpoint import Endpoint
from umberhitch.core.direct._engine_time import EnginePrice
from umberhitch.core.direct._host_load import (
    FORGET_S,
    ServiceLoad,
    crowding,
    expected_turns,
    with_known_figures,
)
from umberhitch.core.direct._observed import Observed, age_weight
from umberhitch.core.direct._placement_limits import PlacementLimits
from umberhitch.core.direct._prefill_speed import PrefillSpeed
from umberhitch.core.direct._prefills import LONG_PREFILL_S, NO_PREFILL
from umberhitch.core.direct._signals import ReportedLoad
from umberhitch.core.direct._types import CallerRequest, Service

__all__ = ["Candidate", "EngineCall", "PlacedCall", "Placement", "PlacementLimits"]


SLOWNESS_WEIGHT = 0.1
FAILURE_WEIGHT = 0.2
REFUSAL_WEIGHT = 0.5
"""Weights of the newest sample in the running means. A refusal weighs more than a failure: an
endpoint that is full, or sheds load, refuses the next call as well, and does so quickly."""
MAX_SLOWNESS = 8.0
"""Upper bound of the factor by which an endpoint is assumed to be slower than usual."""
MIN_EXPECTED_S = 0.02
"""Shorter waits show nothing about an endpoint's slowness, since they contain the round trip."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that a call may go to.

    Attributes
    ----------
    endpoint : Endpoint
    wait_s : float
        Expected seconds until the reply starts.
    delay_cost : float
        Value that other requests lose by the time that the call takes there; 0 for plain services.
    pace, pace_age_s : float or None
        Pace that is expected of the endpoint, and the age of its last report in seconds; None if it
        has reported none.
    """

    endpoint: Endpoint
    wait_s: float
    delay_cost: float = 0.0
    pace: float | None = None
    pace_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call to an engine that is yet to be placed.

    Attributes
    ----------
    request : CallerRequest
    model : str
    models : tuple of str
        All models of the route, smallest first.
    answer_value : AnswerValue
        Value of the answer.
    price : EnginePrice
        Price of the time of one of the endpoints.
    affinity_endpoint : Endpoint or None
        Endpoint that probably has the shared parts of the prompt in its cache.
    waited_s : float
        Seconds since the request arrived.
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
    """A call that has been placed and is not released yet."""

    lifetime: str
    model: str
    uncached_tokens: int
    prefill_s: float
    expected_s: float
    """Expected wait on an endpoint of usual speed, including the queue."""
    placed_at_s: float
    assumed_token_s: float = 0.0
    """Prefill time per token that was assumed of the model before any sample."""
    model_rank: int = 0
    """Rank of the model on its route; the smallest has rank 0."""
    is_prefilling: bool = True
    turns: float = 0.0
    """Expected multiple of a plain call's own time, by the queue; 0 for engines."""
    pace: float = 1.0
    """Reported pace of the endpoint, as expected when the call was placed."""


class Placement:
    """Chooses endpoints and keeps track of the calls placed on them.

    Parameters
    ----------
    zone : str
        The router's own availability zone.
    limits : PlacementLimits
    """

    def __init__(self, zone: str, limits: PlacementLimits | None = None) -> None:
        self._zone = zone
        self.limits = limits or PlacementLimits()
        self._observed: dict[str, Observed] = {}
        self._prefill_speed = PrefillSpeed()
        self._services: dict[str, ServiceLoad] = {}

    def retain(self, known: Iterable[str]) -> None:
        """Discard the state of all lifetimes of endpoints except the known ones."""
        keep = set(known)
        for lifetime in [lifetime for lifetime in self._observed if lifetime not in keep]:
            del self._observed[lifetime]

    def token_s(self, model: str, models: tuple[str, ...]) -> float:
        """Return a model's prefill time in seconds per token."""
        known = self._prefill_speed.token_s(model)
        return self._assumed_token_s(model, models) if known is None else known

    def _assumed_token_s(self, model: str, models: tuple[str, ...]) -> float:
        """Return the prefill time per token that is assumed of a model without samples."""
        rank = models.index(model) if model in models else 0
        return self.limits.initial_token_s * self.limits.rank_slowdown**rank

    def choose_plain(self, endpoints: list[Endpoint], now_s: float) -> Candidate:
        """Return the endpoint at which a call to a plain service is expected to start first.

        Raises
        ------
        ValueError
            If there is no endpoint.
        """
        service = self._services.get(endpoints[0].entry.service) if endpoints else None
        if service is not None and service.reports_load:
            chosen = min(endpoints, key=lambda each: self._crowding_s(each, service, now_s))
            return self._reported_candidate(chosen, service, now_s)
        return min(
            (Candidate(endpoint, self._plain_wait_s(endpoint, now_s)) for endpoint in endpoints),
            key=lambda candidate: candidate.wait_s + self._penalty_s(candidate.endpoint, now_s),
        )

    def choose_engine(self, endpoints: list[Endpoint], call: EngineCall, now_s: float) -> Candidate:
        """Return the endpoint at which a call to an engine costs the least value.

        Raises
        ------
        ValueError
            If there is no endpoint.
        """
        candidates = (self._engine_candidate(endpoint, call, now_s) for endpoint in endpoints)
        return min(candidates, key=lambda candidate: self._cost(candidate, call, now_s))

    def _cost(self, candidate: Candidate, call: EngineCall, now_s: float) -> float:
        """Return the cost of a call at a candidate, in units of value.

        It consists of the call's own lateness, the delay of other requests and the bytes between
        zones.
        """
        limits, answer_value = self.limits, call.answer_value
        lost = answer_value.value * (
            1.0 - answer_value.value_fraction(call.waited_s + candidate.wait_s)
        )
        lost += (
            answer_value.value * limits.refusal_penalty * self._refusing(candidate.endpoint, now_s)
        )
        is_same_zone = candidate.endpoint.entry.zone == self._zone
        zone_cost = 0.0 if is_same_zone else limits.cross_zone_byte_cost * len(call.request.body)
        risk_s = candidate.wait_s + self._failing_s(candidate.endpoint)
        return (
            lost
            + candidate.delay_cost
            + zone_cost
            + limits.queue_risk * answer_value.loss_per_s * risk_s
        )

    def _crowding_s(self, endpoint: Endpoint, service: ServiceLoad, now_s: float) -> float:
        """Return the cost, in seconds, of a call to an endpoint of a service that reports loads."""
        penalty_s = self._penalty_s(endpoint, now_s)
        observed = self._observed.get(endpoint.lifetime)
        if observed is None:
            return penalty_s + service.work_s * crowding(0.0, 1)
        slots = max(1, endpoint.entry.slots)
        calls = observed.reported_calls(now_s)
        return penalty_s + observed.host.call_s(now_s) * crowding(calls, slots)

    def _reported_candidate(
        self, endpoint: Endpoint, service: ServiceLoad, now_s: float
    ) -> Candidate:
        observed = self._observed.get(endpoint.lifetime)
        if observed is None:
            return Candidate(endpoint, service.work_s)
        turns = expected_turns(observed.reported_calls(now_s), max(1, endpoint.entry.slots))
        wait_s = turns * observed.host.call_s(now_s)
        return Candidate(endpoint, wait_s, 0.0, *observed.host.pace_and_age(now_s))

    def _plain_wait_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return the expected wait at a plain service in seconds."""
        observed = self._observed.get(endpoint.lifetime)
        if observed is None:
            return 0.0
        running, _ = observed.calls(now_s, self.limits.load_decay_s)
        slots = max(1, endpoint.entry.slots)
        call_s = self.limits.plain_call_s
        return observed.slowness * (call_s * running / slots + call_s * max(0.0, running - slots))

    def _engine_candidate(self, endpoint: Endpoint, call: EngineCall, now_s: float) -> Candidate:
        lifetime, req = endpoint.lifetime, call.request
        uncached = float(req.prompt_tokens - self.cached_tokens(lifetime, call.model, req))
        if endpoint is call.affinity_endpoint:
            uncached -= self.limits.affinity_share * (uncached - req.prompt[-1].tokens)
        prefill_s = uncached * self.token_s(call.model, call.models)
        observed = self._observed.get(lifetime)
        if observed is None:
            return Candidate(endpoint, prefill_s, call.price.cost(prefill_s, 0.0))
        pace = observed.host.reported_pace(now_s)
        running, waiting = observed.calls(now_s, self.limits.load_decay_s)
        over = max(0.0, running - endpoint.entry.slots) if endpoint.entry.slots else 0.0
        backlog_s = observed.slowness * self._expected_s(observed, 0.0, running)
        backlog_s += self.limits.queued_call_s * (over + waiting)
        backlog_s *= pace
        prefill_s *= observed.slowness * pace
        cost = call.price.cost(prefill_s, backlog_s)
        return Candidate(endpoint, backlog_s + prefill_s, cost, *observed.host.pace_and_age(now_s))

    def _expected_s(self, observed: Observed, own_s: float, running: float) -> float:
        """Return the expected wait on an endpoint of usual speed in seconds."""
        return (
            own_s
            + observed.prefill_s
            + observed.peers_prefill_s
            + running * self.limits.running_call_s
        )

    def _penalty_s(self, endpoint: Endpoint, now_s: float) -> float:
        zone_s = 0.0 if endpoint.entry.zone == self._zone else self.limits.cross_zone_s
        refusing_s = self._refusing(endpoint, now_s) * self.limits.failure_penalty_s
        return zone_s + refusing_s + self._failing_s(endpoint)

    def _refusing(self, endpoint: Endpoint, now_s: float) -> float:
        """Return the estimated probability that an endpoint refuses the next call."""
        observed = self._observed.get(endpoint.lifetime)
        if observed is None or not observed.refusing:
            return 0.0
        return observed.refusing * age_weight(now_s - observed.refused_s, self.limits.load_decay_s)

    def _failing_s(self, endpoint: Endpoint) -> float:
        observed = self._observed.get(endpoint.lifetime)
        return 0.0 if observed is None else observed.failing * self.limits.failure_penalty_s

    def cached_tokens(self, lifetime: str, model: str, req: CallerRequest) -> int:
        """Return the prompt tokens that the endpoint probably has in its cache for a model."""
        observed = self._observed.get(lifetime)
        if observed is None:
            return 0
        tokens = 0
        for part in req.prompt[:-1]:
            if (model, part.part_id) not in observed.cached:
                break
            tokens += part.tokens
        return tokens

    def place(
        self,
        endpoint: Endpoint,
        req: CallerRequest,
        model: str,
        models: tuple[str, ...],
        service: Service | None,
        now_s: float,
    ) -> PlacedCall:
        """Count a call on an endpoint until it is released."""
        lifetime = endpoint.lifetime
        observed = self._observed.setdefault(lifetime, Observed())
        observed.host.service = self._services.setdefault(endpoint.entry.service, ServiceLoad())
        slots = max(1, endpoint.entry.slots)
        turns = 0.0 if req.prompt else expected_turns(observed.reported_calls(now_s), slots)
        uncached = req.prompt_tokens - self.cached_tokens(lifetime, model, req)
        prefill_s = uncached * self.token_s(model, models) if req.prompt else 0.0
        expected_s = self._expected_s(
            observed, prefill_s, observed.running + observed.peers_running
        )
        observed.running += 1
        observed.prefill_s += prefill_s
        cache = (service.cache_tokens if service else 0) * self.limits.cache_share
        observed.cache(model, req.prompt[:-1], cache)
        assumed_token_s = self._assumed_token_s(model, models)
        rank = models.index(model) if model in models else 0
        observed.prefills.start(rank, prefill_s)
        return PlacedCall(
            lifetime,
            model,
            uncached,
            prefill_s,
            expected_s,
            now_s,
            assumed_token_s,
            rank,
            turns=turns,
            pace=observed.host.reported_pace(now_s),
        )

    def note_reply_started(self, placed: PlacedCall, now_s: float) -> None:
        """Record the start of a call's reply: its prefill is done and its speed is known."""
        observed = self._finish_prefill(placed)
        if observed is None:
            return
        observed.refusing *= 1.0 - REFUSAL_WEIGHT
        if placed.prefill_s > LONG_PREFILL_S:
            observed.prefills.mark_active(placed.model_rank, now_s)
        pace = observed.host.pace_in_force(placed.pace)
        if placed.turns:
            observed.host.add_sample(now_s - placed.placed_at_s, placed.turns, pace, now_s)
        taken_s = (now_s - placed.placed_at_s) / pace
        # Subtracts the queue from the sample, since otherwise a burst would make a model look slow.
        queue_s = placed.expected_s - placed.prefill_s
        self._prefill_speed.add_sample(
            placed.model, placed.uncached_tokens, taken_s, queue_s, placed.assumed_token_s
        )
        ratio = min(MAX_SLOWNESS, taken_s / max(placed.expected_s, MIN_EXPECTED_S))
        observed.slowness = min(
            MAX_SLOWNESS,
            max(0.5, observed.slowness + SLOWNESS_WEIGHT * (ratio - observed.slowness)),
        )

    def note_refused(self, placed: PlacedCall, now_s: float) -> None:
        """Record that an endpoint refused a call, since it is full or sheds load."""
        observed = self._observed.get(placed.lifetime)
        if observed is not None:
            observed.refusing += REFUSAL_WEIGHT * (1.0 - observed.refusing)
            observed.refused_s = now_s

    def _finish_prefill(self, placed: PlacedCall) -> Observed | None:
        observed = self._observed.get(placed.lifetime)
        if placed.is_prefilling:
            placed.is_prefilling = False
            if observed is not None:
                observed.prefill_s = max(0.0, observed.prefill_s - placed.prefill_s)
                observed.prefills.finish(placed.model_rank, placed.prefill_s)
        return observed

    def release(self, placed: PlacedCall, is_failure: bool | None) -> None:
        """Remove a finished call from the counts.

        Parameters
        ----------
        placed : PlacedCall
        is_failure : bool or None
            Whether the call failed; None where the endpoint is not responsible for the result.
        """
        observed = self._finish_prefill(placed)
        if observed is None:
            return
        observed.running = max(0, observed.running - 1)
        if is_failure is not None:
            observed.failing += FAILURE_WEIGHT * (float(is_failure) - observed.failing)

    def update_reported_load(self, lifetime: str, load: ReportedLoad, now_s: float) -> None:
        """Record the load that an endpoint reported."""
        observed = self._observed.setdefault(lifetime, Observed())
        # The call whose reply brought the report is over, or was refused.
        observed.host.report(load, max(0, observed.running - 1), now_s)
        observed.load = with_known_figures(load, observed.load)
        observed.load_at_s = now_s

    def update_peer_load(
        self, lifetime: str, running: int, prefill_s: float, rank: int, now_s: float
    ) -> None:
        """Record the sum of the load that all other routers have placed on an endpoint."""
        observed = self._observed.setdefault(lifetime, Observed())
        observed.prefills.mark_active(rank, now_s)
        observed.peers_running = running
        observed.peers_prefill_s = prefill_s

    def own_load(self) -> dict[str, tuple[int, float, int]]:
        """Return this router's load by endpoint.

        It consists of the running calls, the outstanding prefill in seconds and the largest rank
        that is prefilling.
        """
        return {
            lifetime: (observed.running, observed.prefill_s, observed.prefills.largest_active())
            for lifetime, observed in self._observed.items()
            if observed.running
        }

    def update_peer_pace(self, endpoint: Endpoint, pace: float, reported_s: float) -> None:
        """Record the pace that an endpoint reported to another router at a time."""
        observed = self._observed.setdefault(endpoint.lifetime, Observed())
        observed.host.service = self._services.setdefault(endpoint.entry.service, ServiceLoad())
        observed.host.update_pace(pace, reported_s)

    def uneven_paces(self, since_s: float, now_s: float) -> dict[str, tuple[float, float]]:
        """Return the paces heard after a time from endpoints, by lifetime, and when.

        Only those of services are returned of which an endpoint was lately slower or faster than
        usual.
        """
        return {
            lifetime: observed.host.own_word
            for lifetime, observed in self._observed.items()
            if observed.host.own_word is not None
            and observed.host.own_word[1] > since_s
            and observed.host.service.uneven_s > now_s - FORGET_S
        }

    def reported_paces(self, now_s: float) -> dict[str, float]:
        """Return the expected pace of each endpoint that has reported one."""
        return {
            lifetime: observed.host.reported_pace(now_s)
            for lifetime, observed in self._observed.items()
            if observed.host.pace is not None
        }

    def largest_prefill_rank(self, lifetime: str, since_s: float) -> int:
        """Return the largest rank that has run a long prefill on an endpoint since a time.

        The smallest model of a route has rank 0; `NO_PREFILL` stands for no long prefill.
        """
        observed = self._observed.get(lifetime)
        return NO_PREFILL if observed is None else observed.prefills.largest_since(since_s)

    def running_calls(self, lifetime: str) -> int:
        """Return the number of this router's running calls on an endpoint."""
        observed = self._observed.get(lifetime)
        return 0 if observed is None else observed.running

    def peers_prefill_s(self, lifetime: str) -> float:
        """Return the outstanding prefill in seconds that peers have reported."""
        observed = self._observed.get(lifetime)
        return 0.0 if observed is None else observed.peers_prefill_s

    def all_running_calls(self, lifetime: str) -> int:
        """Return the number of running calls on an endpoint, including those reported by peers."""
        observed = self._observed.get(lifetime)
        return 0 if observed is None else observed.running + observed.peers_running
