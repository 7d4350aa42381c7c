"""Admission of requests by the active configuration."""

from dataclasses import dataclass
from random import Random

from umberhitch.core.direct import CallerRequest, Customer, Route, cause_keys
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.canary_controller import CanaryController
from umberhitch.tasks.direct.drain import Drain
from umberhitch.tasks.direct.services import AdmittedRequest
from umberhitch.tasks.direct.store_view import StoreView

__all__ = ["MAX_LIGHT_TOKENS", "STALE_CONFIGURATION", "Admission", "Refusal"]


@dataclass(frozen=True, slots=True)
class Refusal:
    """A reply made by the router itself to a request that is not proxied."""

    status: int
    reason: str


MAX_LIGHT_TOKENS = 4000
"""A call that processes fewer prompt tokens may be sent to a busy endpoint, since it delays the
tokens of the other calls there only a little."""
STALE_CONFIGURATION = Refusal(503, "configuration is old")
"""Refusal while there is no proof that the loaded configuration is still the newest."""


class Admission:
    """Admits requests by the configuration that was read from the store.

    Parameters
    ----------
    view : StoreView
    canary_controller : CanaryController
    clock : Clock
    rng : Random
    proof_age_s : float
        Age in seconds from which the proof that the API keys are current counts as stale, measured
        when the request was received.
    max_lag_s : float
        Requests are refused if a newer configuration has been known for this many seconds and is
        still not active here, because they might be handled as only the old one allows. This is the
        last resort of a router whose link is too slow for the configuration.
    is_strict : bool
        Whether requests with API keys are refused while the proof is stale. If false, requests with
        the last known keys are still served (static stability), which saves 4 s of requests when
        the store is unreachable for 9 s. Only requests with an unknown key or route are then told
        to retry later.
    """

    def __init__(
        self,
        view: StoreView,
        canary_controller: CanaryController,
        clock: Clock,
        rng: Random,
        proof_age_s: float,
        max_lag_s: float,
        is_strict: bool,
    ) -> None:
        self._view = view
        self._canary_controller = canary_controller
        self._clock = clock
        self._rng = rng
        self._proof_age_s = proof_age_s
        self._max_lag_s = max_lag_s
        self._is_strict = is_strict

    def admit(
        self, req: CallerRequest, received_s: float, drain: Drain
    ) -> AdmittedRequest | Refusal:
        """Return the admitted request or its refusal.

        Parameters
        ----------
        req : CallerRequest
        received_s : float
            Time at which its first byte was read.
        drain : Drain
            Decides what would not end in time, if the router is draining.
        """
        table = self._view.table
        if table is None or not self._view.is_loaded:
            return Refusal(503, "starting")
        if self._view.behind_s() > self._max_lag_s:
            return STALE_CONFIGURATION
        is_stale = self._view.proof_age_s(received_s) > self._proof_age_s
        is_stale = is_stale or self._view.is_outdated()
        route = table.find(req.host, req.path)
        if route is None:
            return STALE_CONFIGURATION if is_stale else Refusal(404, "no such route")
        if not drain.accepts(route, req.patience_s):
            return Refusal(503, "leaving")
        customer: Customer | None = None
        if not route.is_public:
            if is_stale and self._is_strict:
                return STALE_CONFIGURATION
            customer = table.find_customer(req.key)
            if customer is None:
                return STALE_CONFIGURATION if is_stale else Refusal(401, "unknown key")
        service = self._pick_service(route)
        now_s = self._clock.seconds()
        ready = self._view.directory.ready(service, now_s, self._rng)
        is_light = req.prompt_tokens < MAX_LIGHT_TOKENS
        wants = self._canary_controller.wants_target(service, req.session, now_s, ready, is_light)
        keys = cause_keys(req, customer)
        return AdmittedRequest(req, route, service, customer, received_s, wants, keys)

    def _pick_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0][0]
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        return self._rng.choices(names, weights)[0]
