"""Shares of customers in a service's places, over all routers.

A customer with fewer places than its max-min fair part, or of a higher priority, takes any free
place. One that has more leaves a few free (trunk reservation), so that the requests of the others
find room at any router, without agreement. What nobody wants is lent out. These are reservation and
share of the resource pools of Peloton (Cai and Bansal, 2018), from what routers tell each other.
"""

from collections.abc import Iterable
from math import exp

from umberhitch.core.scheduling._claim import Claim
from umberhitch.core.scheduling._customer_use import (
    OTHERS,
    CustomerUse,
    customer_digest,
    largest_uses,
    make_use,
)
from umberhitch.core.scheduling._max_min import Demand, SharePlan, UseKey, make_plan

__all__ = ["CustomerShares"]

USUAL_S = 2.0
"""Time over which the usual use of a customer is measured."""
PLAN_INTERVAL_S = 0.02
PLAN_S_PER_CUSTOMER = 0.0005
"""With many customers the parts are computed less often: at 1,000, twice a second."""
MIN_HELD_S = 0.02
MAX_HELD_S = 2.0
"""Bounds of the time for which a call holds its place; a refused one counts as wanted as long."""
PRESSURE_S = 2.0
"""A service is under pressure for so long after a request last waited or was refused."""
MAX_TOLD = 4
"""Customers that a router tells of one by one; the others are told as one sum for each priority. So
a report is some 60 bytes longer, whatever their number."""
FORGOTTEN_SIZE = 0.01
MIN_CAPACITY = 0.01
MAX_DIGESTS = 2000


class CustomerShares:
    """What customers use of one service, here and at peers.

    Attributes
    ----------
    withheld : int
        Decisions for claims that had to leave places free.
    """

    def __init__(self) -> None:
        self.withheld = 0
        self._own: dict[UseKey, Demand] = {}
        self._peers: dict[UseKey, CustomerUse] = {}
        self._usual: dict[UseKey, Demand] = {}
        self._plan = SharePlan(-1e9, 0.0)
        self._decayed_s = -1e9
        self._starts = 0.0
        self._running_s = 0.0
        """Sizes that were started lately, and sizes that ran times how long."""
        self._was_pressed = False
        self._pressed_s = -1e9
        self._names: dict[int, str] = {}
        self._digests: dict[str, int] = {}

    # Own use

    def note_started(self, claim: Claim, size: float) -> None:
        """Count a call that takes a place."""
        self._of(claim).running += size
        self._starts += size

    def note_ended(self, claim: Claim, size: float) -> None:
        """Count a call that leaves its place."""
        own = self._of(claim)
        own.running = max(0.0, own.running - size)

    def note_waiting(self, claim: Claim, size: float) -> None:
        """Count a request that begins to wait."""
        self._of(claim).waiting += size
        self._was_pressed = True

    def note_left(self, claim: Claim, size: float) -> None:
        """Count a request that no longer waits, whatever the reason."""
        own = self._of(claim)
        own.waiting = max(0.0, own.waiting - size)

    def note_refused(self, claim: Claim, size: float) -> None:
        """Count a request that is refused for lack of room: it still tells what is wanted."""
        self._of(claim).refused += size
        self._was_pressed = True

    def _of(self, claim: Claim) -> Demand:
        own = self._own.setdefault(self._key(claim), Demand())
        own.share = claim.share
        return own

    def _key(self, claim: Claim) -> UseKey:
        digest = self._digests.get(claim.customer)
        if digest is None:
            if len(self._digests) >= MAX_DIGESTS:
                self._digests.clear()
                self._names.clear()
            digest = self._digests[claim.customer] = customer_digest(claim.customer)
            self._names[digest] = claim.customer
        return claim.priority, digest

    # Use at peers

    def told(self, now_s: float) -> list[CustomerUse]:
        """Return what to tell the other routers.

        That is nothing unless a request waited or was refused lately.
        """
        self._forget_refused(now_s)
        if self._was_pressed or any(own.waiting for own in self._own.values()):
            self._pressed_s, self._was_pressed = now_s, False
        if now_s - self._pressed_s > PRESSURE_S:
            return []
        uses = [
            make_use(key[1], key[0], own.share, own.running, own.waiting, own.refused)
            for key, own in self._own.items()
            if own.total >= FORGOTTEN_SIZE
        ]
        return largest_uses(uses, MAX_TOLD)

    def set_peers(self, uses: Iterable[CustomerUse]) -> None:
        """Set what customers have at the other routers; several of one customer add up."""
        self._peers = {}
        for use in uses:
            key = (use.priority, use.customer)
            known = self._peers.get(key)
            if known is not None:
                larger, other = (
                    (use, known) if use.share_units > known.share_units else (known, use)
                )
                use = larger.plus(other)
            self._peers[key] = use

    # Decision

    def reserved(self, claim: Claim, capacity: float, now_s: float, routers: int = 1) -> float:
        """Return how many places must stay free before a claim may take one.

        Parameters
        ----------
        claim : Claim
        capacity : float
            Places that this router may use: its part of those that all routers use.
        now_s : float
        routers : int
            Routers that use the service.
        """
        key = self._key(claim)
        plan = self._plan_at(capacity, now_s, routers)
        if self._demand(key).running < plan.parts.get(key, 1.0):
            return 0.0
        if self._usual.get(key, Demand()).usual_running < plan.least.get(key, 0.0):
            return 0.0
        spare = plan.spare.get(claim.priority, 0.0) * capacity / max(plan.capacity, MIN_CAPACITY)
        self.withheld += spare > 0.0
        return spare

    def _plan_at(self, capacity: float, now_s: float, routers: int) -> SharePlan:
        """Return the parts of all places or, while peers tell nothing, of this router's own."""
        interval_s = max(PLAN_INTERVAL_S, PLAN_S_PER_CUSTOMER * len(self._usual))
        if now_s - self._plan.made_s >= interval_s:
            self._forget_refused(now_s)
            total = capacity * routers if self._peers else capacity
            self._plan = make_plan(self._demands(now_s - self._plan.made_s), total, now_s)
        return self._plan

    def _forget_refused(self, now_s: float) -> None:
        kept = exp((self._decayed_s - now_s) / self._held_s())
        self._decayed_s = now_s
        for own in self._own.values():
            own.refused *= kept

    def _held_s(self) -> float:
        """Return the mean time for which a call holds its place, by Little's law."""
        if not self._starts:
            return MAX_HELD_S
        return min(MAX_HELD_S, max(MIN_HELD_S, self._running_s / self._starts))

    def _note_passed(self, passed_s: float) -> None:
        """Measure how much ran for how long, to compare with how much was started."""
        kept = exp(-passed_s / USUAL_S)
        running = sum(own.running for own in self._own.values())
        self._running_s = kept * (self._running_s + running * min(passed_s, USUAL_S))
        self._starts *= kept

    def _demands(self, passed_s: float) -> dict[UseKey, Demand]:
        """Return what all customers use and want, and remember what they use usually."""
        kept = exp(-passed_s / USUAL_S)
        self._note_passed(passed_s)
        demands = {}
        for key in {*self._own, *self._peers, *self._usual}:
            demand = self._demand(key)
            before = self._usual.get(key, Demand())
            demand.usual = kept * before.usual + (1.0 - kept) * demand.total
            demand.usual_running = kept * before.usual_running + (1.0 - kept) * demand.running
            if demand.size >= FORGOTTEN_SIZE:
                demands[key] = demand
        self._usual = demands
        self._own = {key: own for key, own in self._own.items() if own.total >= FORGOTTEN_SIZE}
        return demands

    def _demand(self, key: UseKey) -> Demand:
        """Return what a customer has and wants at all routers."""
        own, peers = self._own.get(key, Demand()), self._peers.get(key)
        if peers is None:
            return Demand(own.share, own.running, own.waiting, own.refused)
        return Demand(
            own.share if key in self._own else peers.share,
            own.running + peers.running,
            own.waiting + peers.waiting,
            own.refused + peers.refused,
        )

    def rows(self, count: int = MAX_TOLD) -> list[dict[str, object]]:
        """Return the customers that use most, for the pages of operators."""
        demands = {key: self._demand(key) for key in {*self._own, *self._peers}}
        rows = [
            {
                "customer": self._name(key[1]),
                "priority": key[0],
                "running": round(demand.running, 1),
                "waiting": round(demand.waiting, 1),
                "part": round(self._plan.parts.get(key, 0.0), 1),
            }
            for key, demand in demands.items()
        ]
        rows.sort(key=lambda row: (-float(str(row["running"])), str(row["customer"])))
        return rows[:count]

    def _name(self, digest: int) -> str:
        return "others" if digest == OTHERS else self._names.get(digest, f"{digest:08x}")
