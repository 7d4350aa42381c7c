"""Chooses model and endpoint for each call of a request."""

from collections.abc import Callable
from random import Random

from umberhitch.core.direct import (
    Cascade,
    ColdShare,
    Endpoint,
    EngineDemand,
    EngineWork,
    Offer,
    Placement,
    RetryBudget,
    Service,
    Stake,
    WorthLimits,
    make_stake,
)
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.admission import LIGHT_TOKENS
from umberhitch.tasks.direct.come_back import HONOURED_SHARE, LEAST_RETRY_S
from umberhitch.tasks.direct.services import Permit
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.trials import Trials

__all__ = ["Choosing"]

SOON_OBJECTIVES = 0.2
"""Time to come back while the endpoints bear no more, in objectives: an answer is in time then."""


class Choosing:
    """Brings together what the store told, what is under way, and the decisions of the core.

    Parameters
    ----------
    view : StoreView
    trials : Trials
    placement : Placement
    budget : RetryBudget
    cascade : Cascade
    demand : EngineDemand
    cold : ColdShare
    worth : WorthLimits
    clock : Clock
    rng : Random
    """

    def __init__(
        self,
        view: StoreView,
        trials: Trials,
        placement: Placement,
        budget: RetryBudget,
        cascade: Cascade,
        demand: EngineDemand,
        cold: ColdShare,
        worth: WorthLimits,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._view = view
        self._trials = trials
        self._placement = placement
        self._budget = budget
        self._cascade = cascade
        self._demand = demand
        self._cold = cold
        self._is_settled: Callable[[], bool] = lambda: False
        self._worth = worth
        self._clock = clock
        self._rng = rng

    def first_model(self, permit: Permit) -> str | None:
        """Return the model to begin with; the request counts as demand from now on."""
        if permit.ask.prompt:
            self._demand.note(permit.service, self._stake(permit), self._clock.seconds())
        return self._cascade.first(permit.route, permit.ask)

    def larger_model(
        self, permit: Permit, model: str, confidence: int | None, waited_s: float
    ) -> str | None:
        """Return the model to ask instead, or None to keep the answer."""
        if not permit.ask.picks_model:
            return None
        if self._budget.left(permit.service, self._clock.seconds()) < 1.0:
            return None
        chosen = self.endpoint(permit, permit.route.models[-1], set())
        if chosen is None:
            return None
        service = self.service(permit)
        prices = service.prices if service is not None else {}
        stake = self._stake(permit)
        return self._cascade.next_model(
            permit.route, permit.ask, stake, model, confidence, prices, waited_s, chosen
        )

    def _stake(self, permit: Permit) -> Stake:
        return make_stake(permit.route, permit.ask, self._worth)

    def service(self, permit: Permit) -> Service | None:
        """Return what the configuration says of a request's service."""
        assert self._view.table is not None
        return self._view.table.document.services.get(permit.service)

    def follow(self, is_settled: Callable[[], bool]) -> None:
        """Take whether this router's place among the others is sure."""
        self._is_settled = is_settled

    def _bearing(self, permit: Permit, found: list[Endpoint], now_s: float) -> list[Endpoint]:
        """Return the endpoints that are not cold, or that bear one more request of this router."""
        service = self.service(permit)
        if service is None or not service.cold_rate:
            return found
        rate, is_settled = service.cold_rate, self._is_settled()
        return [
            each
            for each in found
            if not each.is_cold(now_s) or (is_settled and self._cold.allows(each, rate, now_s))
        ]

    def come_back_s(self, permit: Permit) -> float:
        """Return when a request for which there was no endpoint should come again.

        Where the service has none at all, as late as callers honour: nothing tells when one comes.
        Else some are cold or failing, which passes, and other routers may have their share left.
        """
        now_s = self._clock.seconds()
        if not self._view.directory.ready(permit.service, now_s):
            left_s = permit.received_s + permit.ask.patience_s - now_s
            return max(LEAST_RETRY_S, HONOURED_SHARE * left_s)
        return max(LEAST_RETRY_S, SOON_OBJECTIVES * permit.route.objective_s)

    def endpoint(self, permit: Permit, model: str | None, tried: set[str]) -> Offer | None:
        """Return where a call goes, or None where no endpoint takes work."""
        now_s = self._clock.seconds()
        directory = self._view.directory
        ready = directory.ready(permit.service, now_s, self._rng)
        home = None
        if len(permit.ask.prompt) > 1:
            home = directory.home(permit.service, permit.ask.prompt[-2].part_id)
            if home is not None and home.takes_work(now_s) and home not in ready:
                ready.append(home)
        fresh = [each for each in ready if each.lifetime not in tried]
        fresh = self._bearing(permit, fresh, now_s)
        is_light = permit.ask.prompt_tokens < LIGHT_TOKENS
        fresh = self._trials.allowed(permit.service, permit.wants_target, fresh, is_light)
        if not fresh:
            return None
        if not permit.ask.prompt:
            return self._placement.choose_plain(fresh, now_s)
        work = EngineWork(
            permit.ask,
            model or "",
            permit.route.models,
            self._stake(permit),
            self._demand.price(permit.service, len(fresh), now_s),
            home,
            now_s - permit.received_s,
        )
        return self._placement.choose_engine(fresh, work, now_s)
