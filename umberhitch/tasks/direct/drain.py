"""Drain of a router that stops: what it still begins, what it waits for, and when it gives up.

A router that stops goes on like any other until the balancer has noticed. From then on it takes no
stream, since that would not end in time, and it ends once nothing is under way at its callers'
connections: no request that comes in, is answered, or whose answer the caller has not taken yet.
What cannot be done before the time is up is refused as "not run", early enough for callers to read
the refusal and to ask another router.
"""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from umberhitch.core.direct import Route, RouteKind
from umberhitch.ports.caller_connections import UNDER_WAY, CallerConnections, NoConnections
from umberhitch.ports.clock import Clock

__all__ = ["Drain", "DrainActions", "DrainTimes"]

log = getLogger(__name__)

POLL_S = 0.05
"""Interval of the checks whether anything is under way: a caller that takes the rest of its answer
causes no event."""
LOG_INTERVAL_S = 1.0
"""Interval at which the log says what the drain waits for."""
REFUSAL_S = 1.2
"""Requests that are not read whole are refused so long before the end: their callers may be sending
for some time before they read the refusal."""
MIN_OBJECTIVES = 2.0
"""A request is begun only if so many times its route's latency objective are left."""


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Times of a drain in seconds from its start.

    Attributes
    ----------
    notice_s : float
        How long new connections are accepted as usual, since the balancer notices the drain only
        after this time.
    end_s : float
        When what is still under way is cut.
    """

    notice_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class DrainActions:
    """What a drain asks of its router.

    Attributes
    ----------
    on_noticed : callable
        Close idle connections: the balancer sends no more callers.
    on_last_call : callable
        Refuse what is not read whole, from now on.
    on_idle : callable
        End, as nothing is under way.
    """

    on_noticed: Callable[[], None]
    on_last_call: Callable[[], None]
    on_idle: Callable[[], None]


class Drain:
    """The drain of one router.

    Parameters
    ----------
    clock : Clock
    times : DrainTimes
    running : callable
        Returns the number of requests that are running.

    Attributes
    ----------
    connections : CallerConnections
    is_started : bool
    is_noticed : bool
        Whether the balancer has had time to notice the drain.
    """

    def __init__(self, clock: Clock, times: DrainTimes, running: Callable[[], int]) -> None:
        self.connections: CallerConnections = NoConnections()
        self.is_started = False
        self.is_noticed = False
        self._clock = clock
        self._times = times
        self._running = running
        self._started_s = 0.0
        self._logged_s = 0.0
        self._actions: DrainActions | None = None
        """None before the start, and once the drain has ended."""

    def start(self, actions: DrainActions) -> None:
        """Begin to drain."""
        self.is_started = True
        self._started_s = self._logged_s = self._clock.seconds()
        self._actions = actions
        times = self._times
        self._clock.callLater(times.notice_s, self._on_noticed)
        self._clock.callLater(max(times.notice_s, times.end_s - REFUSAL_S), self._on_last_call)

    def left_s(self) -> float:
        """Return the seconds until what is under way is cut; infinite before the start."""
        if not self.is_started:
            return float("inf")
        return max(0.0, self._started_s + self._times.end_s - self._clock.seconds())

    def accepts(self, route: Route, patience_s: float) -> bool:
        """Whether a request may still be begun.

        Parameters
        ----------
        route : Route
        patience_s : float
            Seconds for which its caller waits.
        """
        if not self.is_noticed:
            return True
        if route.kind is RouteKind.STREAM:
            return False
        needed_s = min(MIN_OBJECTIVES * route.objective_s, route.timeout_s, patience_s)
        return self.left_s() >= needed_s

    def check(self) -> None:
        """End the drain if nothing is under way."""
        if self._actions is None or not self.is_noticed or self._is_busy():
            return
        actions, self._actions = self._actions, None
        log.info("drain ends", extra=self._facts())
        actions.on_idle()

    def _is_busy(self) -> bool:
        stages = self.connections.stages()
        return bool(self._running() or any(stages[stage] for stage in UNDER_WAY))

    def _on_noticed(self) -> None:
        self.is_noticed = True
        if self._actions is not None:
            self._actions.on_noticed()
        self._poll()

    def _on_last_call(self) -> None:
        if self._actions is not None:
            log.info("requests not read whole are refused", extra=self._facts())
            self._actions.on_last_call()

    def _poll(self) -> None:
        self.check()
        if self._actions is None:
            return
        now_s = self._clock.seconds()
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            log.info("drain waits", extra=self._facts())
        self._clock.callLater(POLL_S, self._poll)

    def _facts(self) -> dict[str, object]:
        """Return what is under way, and since when the drain lasts."""
        seconds = round(self._clock.seconds() - self._started_s, 2)
        stages = self.connections.stages()
        return {"seconds": seconds, "running": self._running(), "connections": stages}
