"""What the configuration in force says of a request: its permit, or why it is refused."""

from dataclasses import dataclass
from random import Random

from umberhitch.core.direct import CallerRequest, Customer, Route, RouteKind, request_key
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.services import AdmittedRequest
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.trials import Trials

__all__ = ["MAX_LIGHT_TOKENS", "STALE_CONFIGURATION", "Admission", "Refusal"]


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of the router's own to a request that is not passed on."""

    status: int
    reason: str


MAX_LIGHT_TOKENS = 4000
"""A call that reads less may be sent where many others are: it delays their tokens little."""
STALE_CONFIGURATION = Refusal(503, "configuration is old")
"""Nothing proves that the configuration at hand is still the newest."""


class Admission:
    """Admits requests by what the store told.

    Parameters
    ----------
    view : StoreView
    trials : Trials
    clock : Clock
    rng : Random
    proof_age_s : float
        The proof that the keys are the newest is stale where it was older when a request came.
    behind_s : float
        Where a newer configuration has been known for so long and is not in force here, requests
        are refused: they might be handled as only the old one allows. It is the last resort of a
        router whose link is too slow for the configuration.
    is_strict : bool
        Whether requests with keys are refused where the proof is stale. Where not, the last keys
        known are served on (static stability), which is 4 s of all requests when the store is away
        for 9 s; only those whose key or route is not known are told to come back.
    """

    def __init__(
        self,
        view: StoreView,
        trials: Trials,
        clock: Clock,
        rng: Random,
        proof_age_s: float,
        behind_s: float,
        is_strict: bool,
    ) -> None:
        self._view = view
        self._trials = trials
        self._clock = clock
        self._rng = rng
        self._proof_age_s = proof_age_s
        self._behind_s = behind_s
        self._is_strict = is_strict

    def admit(
        self, ask: CallerRequest, received_s: float, takes_streams: bool
    ) -> AdmittedRequest | Refusal:
        """Return the permit, or the refusal.

        Parameters
        ----------
        ask : CallerRequest
        received_s : float
            When its first byte was read.
        takes_streams : bool
            False where a stream would not end in time, since the router is leaving.
        """
        table = self._view.table
        if table is None or not self._view.is_loaded:
            return Refusal(503, "starting")
        if self._view.behind_s() > self._behind_s:
            return STALE_CONFIGURATION
        is_stale = self._view.proof_age_s(received_s) > self._proof_age_s
        route = table.find(ask.host, ask.path)
        if route is None:
            return STALE_CONFIGURATION if is_stale else Refusal(404, "no such route")
        if route.kind is RouteKind.STREAM and not takes_streams:
            return Refusal(503, "leaving")
        customer: Customer | None = None
        if not route.is_public:
            if is_stale and self._is_strict:
                return STALE_CONFIGURATION
            customer = table.find_customer(ask.key)
            if customer is None:
                return STALE_CONFIGURATION if is_stale else Refusal(401, "unknown key")
        service = self._pick_service(route)
        now_s = self._clock.seconds()
        ready = self._view.directory.ready(service, now_s, self._rng)
        is_light = ask.prompt_tokens < MAX_LIGHT_TOKENS
        wants = self._trials.wants_target(service, ask.session, now_s, ready, is_light)
        key = request_key(ask, customer)
        return AdmittedRequest(ask, route, service, customer, received_s, wants, key)

    def _pick_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0][0]
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        return self._rng.choices(names, weights)[0]
