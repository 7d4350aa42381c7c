"""Sessions that go on while routers restart in a roll-out, on a virtual clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from umberhitch.core.direct import RolloutState
from umberhitch.fakes import Reply
from umberhitch.ports.direct import EndpointCall
from umberhitch.testing._direct import DirectAsk, DirectRouter, DirectWorld, make_direct_document

__all__ = ["SessionPlay", "VersionChange"]

TARGET = "v2"
ENDPOINTS = 4
"""Endpoints of each version."""
SESSION_S = 5.0
"""Requests of a session that are not further apart belong together."""
ORDER_S = 8.0
"""Seconds of traffic before the order."""
RETRY_S = 0.2
POLL_S = 0.02
RESTART_S = 0.4
"""From the end of a process until the next one of its name runs."""
NOTICE_S = 2.0
"""The balancer takes a router out so long after it has said that it is not ready."""


@dataclass(frozen=True, slots=True)
class VersionChange:
    """A request on another version than the one before in its session.

    Attributes
    ----------
    after_s : float
        Seconds from the order to the request.
    is_to_target : bool
    """

    session: int
    router: str
    after_s: float
    is_to_target: bool


@dataclass
class _Session:
    number: int
    version: str | None = None
    ended_s: float = 0.0


@dataclass
class SessionPlay:
    """One roll-out of a good version, with sessions that are followed over restarts of routers.

    Attributes
    ----------
    seed : int
    routers : int
    sessions : int
    duration_s : float
        Of the roll-out, in seconds.
    think_s : tuple of float
        Shortest and longest pause after an answer.
    reply_s : float
    hops : float
        Share of the requests that go to another router than that of their session.
    changes : list of VersionChange
        Requests that break the promise: to the new version in the first half, or back at any time.
    """

    seed: int
    routers: int = 2
    sessions: int = 160
    duration_s: float = 24.0
    think_s: tuple[float, float] = (4.3, 4.9)
    reply_s: float = 0.1
    hops: float = 0.0
    changes: list[VersionChange] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.world = DirectWorld(rng=Random(self.seed))
        self.moved = 0
        """Requests on the new version."""
        self._rng = Random(self.seed)
        self._versions: dict[str, str] = {}
        self._planned: list[tuple[float, Callable[[], object]]] = []
        self._order_s: float | None = None
        self._not_ready_s: dict[str, float] = {}
        self._is_over = False
        self.world.operator.put("config", make_direct_document())
        self._add_endpoints("e", "v1")
        self._names = [f"r{number}" for number in range(self.routers)]
        for name in self._names:
            self.world.add_router(name)

    def _add_endpoints(self, prefix: str, version: str) -> None:
        for number in range(ENDPOINTS):
            endpoint = self.world.add_endpoint(f"{prefix}{number}", version)
            endpoint.answer = lambda call: self._answer(call, version)

    def _answer(self, call: EndpointCall, version: str) -> Reply:
        self._versions[call.call_id] = version
        return Reply(delay_s=self.reply_s)

    # Plans

    def at(self, after_s: float, action: Callable[[], object]) -> None:
        """Do something so many seconds after the order, or before it."""
        self._planned.append((after_s, action))

    def restart(self, name: str, after_s: float, is_killed: bool = False) -> None:
        """Plan a restart: SIGTERM or a kill so many seconds after the order."""
        self.at(after_s, lambda: self._stop(name, is_killed))

    def _stop(self, name: str, is_killed: bool) -> None:
        if name not in self.world.routers:
            return
        if is_killed:
            self.world.kill_router(name)
        else:
            self.world.stop_router(name)
        self._await_end(name)

    def _await_end(self, name: str) -> None:
        if name in self.world.routers:
            self.world.clock.callLater(POLL_S, self._await_end, name)
        else:
            self.world.clock.callLater(RESTART_S, self.world.add_router, name)

    def play(self, after_s: float = 0.0) -> "SessionPlay":
        """Play until so many seconds after the deadline of the roll-out."""
        clock = self.world.clock
        self.world.run(1.0)
        for number in range(self.sessions):
            begin_s = self._rng.uniform(0.0, ORDER_S - 1.0)
            clock.callLater(begin_s, self._ask, _Session(number))
        for at_s, action in self._planned:
            clock.callLater(ORDER_S + at_s, action)
        self.world.run(ORDER_S)
        self._order_s = clock.seconds()
        self.world.roll_out(TARGET, self.duration_s)
        self.world.run(0.3)
        self._add_endpoints("n", TARGET)
        self.world.run(self.duration_s - 0.3 + after_s)
        self._is_over = True
        return self

    # Sessions

    def _router(self, session: _Session) -> tuple[str, DirectRouter] | None:
        """Return the router that the balancer chooses for a new connection."""
        home = session.number
        if self._rng.random() < self.hops:
            home += self._rng.randrange(len(self._names))
        for step in range(len(self._names)):
            name = self._names[(home + step) % len(self._names)]
            if self._is_in_rotation(name):
                return name, self.world.routers[name]
        return None

    def _is_in_rotation(self, name: str) -> bool:
        router, now_s = self.world.routers.get(name), self.world.clock.seconds()
        if router is None:
            return False
        if router.gateway.is_ready:
            self._not_ready_s.pop(name, None)
            return True
        return now_s - self._not_ready_s.setdefault(name, now_s) < NOTICE_S

    def _ask(self, session: _Session) -> None:
        if self._is_over:
            return
        chosen = self._router(session)
        if chosen is None:
            self.world.clock.callLater(RETRY_S, self._ask, session)
            return
        name, router = chosen
        sent_s = self.world.clock.seconds()
        ask = self.world.ask(router, "/look/x", Session_Name=f"s{session.number}")
        self._await_answer(session, name, sent_s, ask)

    def _await_answer(self, session: _Session, name: str, sent_s: float, ask: DirectAsk) -> None:
        if not ask.reply.is_over and name in self.world.routers:
            later = self.world.clock.callLater
            later(POLL_S, self._await_answer, session, name, sent_s, ask)
            return
        version = self._versions.get(ask.call_id)
        if version is None or ask.status != 200:
            self.world.clock.callLater(RETRY_S, self._ask, session)
            return
        self._note(session, name, sent_s, version)
        self.world.clock.callLater(self._rng.uniform(*self.think_s), self._ask, session)

    def _note(self, session: _Session, name: str, sent_s: float, version: str) -> None:
        gap_s = sent_s - session.ended_s
        before, session.version = session.version, version
        session.ended_s = self.world.clock.seconds()
        self.moved += version == TARGET
        if before in (None, version) or gap_s >= SESSION_S or self._order_s is None:
            return
        after_s, is_to_target = sent_s - self._order_s, version == TARGET
        if not is_to_target or after_s < self.duration_s / 2:
            self.changes.append(VersionChange(session.number, name, after_s, is_to_target))

    def state(self) -> RolloutState | None:
        """Return the state of the roll-out in the store."""
        return self.world.statuses[-1][2] if self.world.statuses else None
