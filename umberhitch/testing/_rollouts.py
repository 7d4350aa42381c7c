"""Roll-outs of a plain service on a virtual clock, and what a bad version gets in them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from typing import Any

from umberhitch.core.direct import RolloutState
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import EndpointCall
from umberhitch.testing._direct import DirectWorld, make_direct_document

__all__ = ["RolloutPlay", "RolloutTraffic", "VersionFault"]

TARGET = "v2"
BAD_ANSWERS = 50
MAX_REQUESTS_AFTER_S = 5.0
"""After so many bad answers and so many seconds a bad version must get no request."""
FIRST_ROUTE, OTHER_ROUTE = "/look/", "/order/"
WATCH_S = 0.05
OTHER_SHARE = 0.7
"""Share of the requests that are on the other route."""


@dataclass(frozen=True, slots=True)
class VersionFault:
    """How the new version turns bad.

    Attributes
    ----------
    onset_s : float
        Seconds after the order.
    share : float
        Share of its answers that are bad from then on.
    path : str
        Paths begin so on which they are.
    is_slow : bool
        Whether bad answers are eight times slower, in place of failures.
    """

    onset_s: float
    share: float = 0.5
    path: str = "/"
    is_slow: bool = False


@dataclass(frozen=True, slots=True)
class RolloutTraffic:
    """The requests of a service, and how it answers them.

    Attributes
    ----------
    per_s : float
        Requests a second.
    reply_s : float
        Duration of a reply in seconds.
    usual_failures : float
        Share of the answers on the first route that are failures with either version.
    has_sessions : bool
        Whether requests belong to sessions.
    at_once : int
        Calls that an endpoint serves at once; with more each takes longer. 0 for any number.
    """

    per_s: float = 20.0
    reply_s: float = 0.02
    usual_failures: float = 0.0
    has_sessions: bool = False
    at_once: int = 0


@dataclass
class RolloutPlay:
    """One roll-out: routers, four endpoints of each version, and random arrivals.

    Attributes
    ----------
    seed : int
    fault : VersionFault or None
        None for a good version.
    traffic : RolloutTraffic
    duration_s : float
        Seconds from the order to its deadline.
    routers : int
    endpoints : int
        Endpoints of each version.
    """

    seed: int
    fault: VersionFault | None = None
    traffic: RolloutTraffic = RolloutTraffic()
    duration_s: float = 24.0
    routers: int = 3
    endpoints: int = 4
    settings: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.world = DirectWorld(rng=Random(self.seed))
        self._rng = Random(self.seed)
        self._ordered_s: float | None = None
        self.bad_answers_s: list[float] = []
        """Times of the bad answers of the new version."""
        for number in range(self.endpoints):
            self._add_endpoint(f"e{number}", "v1")
        self.world.operator.put("config", make_direct_document())
        self._decided_s: float | None = None
        self._planned: list[tuple[float, Callable[[], object]]] = []
        self._factor = 1.0
        self._lost: dict[str, FakeEndpoint] = {}
        for number in range(self.routers):
            self.world.add_router(f"r{number}", **self.settings)
        self.world.run(2.0)
        self._arrive()
        self.world.run(2.0)

    def order(self) -> None:
        """Order the roll-out, and start the endpoints of the new version."""
        self._ordered_s = self.world.clock.seconds()
        for after_s, action in self._planned:
            self.world.clock.callLater(after_s, action)
        self.world.roll_out(TARGET, self.duration_s)
        self.world.run(0.2)
        for number in range(self.endpoints):
            self._add_endpoint(f"n{number}", TARGET)
        self._watch()

    def _add_endpoint(self, name: str, version: str) -> None:
        endpoint = self.world.add_endpoint(name, version)
        answer = self._answer_of_new if version == TARGET else self._answer_of_old
        endpoint.answer = lambda call: answer(call, endpoint)

    def at(self, after_s: float, action: Callable[[], object]) -> None:
        """Do something so many seconds after the order, which must not have been given yet."""
        self._planned.append((after_s, action))

    def burst(self, factor: float, for_s: float) -> None:
        """Let so many times as many requests arrive for a while."""
        self._factor = factor
        self.world.clock.callLater(for_s, setattr, self, "_factor", 1.0)

    def fail_over(self, calls: int) -> None:
        """Let the endpoints of the new version fail further calls while so many run."""
        for number in range(self.endpoints):
            self.world.endpoints.by_address[f"@n{number}"].fails_over = calls

    def lose_endpoint(self, name: str, for_s: float) -> None:
        """Let an endpoint break off its calls and be away for a while."""
        endpoint = self.world.endpoints.by_address.pop(f"@{name}")
        endpoint.crash()
        self._lost[f"@{name}"] = endpoint
        self.world.clock.callLater(for_s, self._bring_back, f"@{name}")

    def _bring_back(self, address: str) -> None:
        endpoint = self.world.endpoints.by_address[address] = self._lost[address]
        endpoint.is_down, endpoint.active = False, 0

    def play(self, after_s: float = 10.0) -> "RolloutPlay":
        """Order the roll-out, and let time pass until so long after the deadline."""
        self.order()
        self.world.run(self.deadline_s + after_s - self.world.clock.seconds())
        return self

    # Traffic

    def _arrive(self) -> None:
        path = FIRST_ROUTE if self._rng.random() >= OTHER_SHARE else OTHER_ROUTE
        has_sessions = self.traffic.has_sessions
        session: dict[str, Any] = {}
        if has_sessions:
            session["Session_Name"] = f"s{self._rng.randrange(60)}"
        self.world.ask(self._rng.choice([*self.world.routers.values()]), path + "x", **session)
        pause_s = self._rng.expovariate(self.traffic.per_s * self._factor)
        self.world.clock.callLater(pause_s, self._arrive)

    def _reply_s(self, endpoint: FakeEndpoint) -> float:
        at_once = self.traffic.at_once
        crowd = (endpoint.active + 1) / at_once if at_once else 1.0
        return self.traffic.reply_s * max(1.0, crowd)

    def _answer_of_old(self, call: EndpointCall, endpoint: FakeEndpoint) -> Reply:
        is_failure = call.target.startswith(FIRST_ROUTE.encode()) and (
            self._rng.random() < self.traffic.usual_failures
        )
        return Reply(status=500 if is_failure else 200, delay_s=self._reply_s(endpoint))

    def _answer_of_new(self, call: EndpointCall, endpoint: FakeEndpoint) -> Reply:
        fault, reply = self.fault, self._answer_of_old(call, endpoint)
        if fault is None or self._since_order_s() < fault.onset_s:
            return reply
        is_concerned = call.target.startswith(fault.path.encode())
        if not is_concerned or self._rng.random() >= fault.share:
            return reply
        self.bad_answers_s.append(self.world.clock.seconds())
        if fault.is_slow:
            return Reply(delay_s=8.0 * reply.delay_s)
        return Reply(status=500, delay_s=reply.delay_s)

    def _watch(self) -> None:
        """Note when the store has the decision."""
        if self.world.statuses and self.state is not RolloutState.IN_PROGRESS:
            self._decided_s = self._since_order_s()
            return
        self.world.clock.callLater(WATCH_S, self._watch)

    # Results

    def decided_s(self) -> float | None:
        """Return the seconds from the order to the decision, or None if there is none."""
        return self._decided_s

    @property
    def state(self) -> RolloutState:
        """State of the roll-out in the store."""
        return self.world.statuses[-1][2]

    @property
    def deadline_s(self) -> float:
        """Time of the deadline."""
        assert self._ordered_s is not None
        return self._ordered_s + self.duration_s

    def _since_order_s(self) -> float:
        assert self._ordered_s is not None
        return self.world.clock.seconds() - self._ordered_s

    def calls_s(self, is_target: bool) -> list[float]:
        """Return the times of a version's calls since the order."""
        prefix = "@n" if is_target else "@e"
        return sorted(
            at_s
            for address, endpoint in self.world.endpoints.by_address.items()
            for at_s in endpoint.called_s
            if address.startswith(prefix) and at_s >= (self._ordered_s or 0.0)
        )

    def exposure(self) -> tuple[int, int]:
        """Return the calls of the new version and of both up to the deadline."""
        new, old = (
            sum(at_s <= self.deadline_s for at_s in self.calls_s(is_target))
            for is_target in (True, False)
        )
        return new, new + old

    def calls_after_bound(self) -> int:
        """Return the calls that a bad version got too late after its bad answers."""
        if len(self.bad_answers_s) < BAD_ANSWERS:
            return 0
        last_s = self.bad_answers_s[BAD_ANSWERS - 1] + MAX_REQUESTS_AFTER_S
        return sum(at_s > last_s for at_s in self.calls_s(True))

    def longest_pause_s(self, from_s: float, to_s: float) -> float:
        """Return the longest time without a call on the new version.

        Parameters
        ----------
        from_s, to_s : float
            Seconds after the order.
        """
        assert self._ordered_s is not None
        begin_s, end_s = self._ordered_s + from_s, self._ordered_s + to_s
        marks = [begin_s, *(at for at in self.calls_s(True) if begin_s < at < end_s), end_s]
        return max(after - before for before, after in pairwise(marks))
