"""What a second of an engine's time costs: the worth of the answers that it delays.

Work that an engine takes on delays whatever comes to it until its queue is empty again. How much
worth comes by the second, and loses by the second of delay, is observed; the queue is known. So the
price of a second is near nothing where engines idle and high where they queue, and needs no
setting for a deployment's load.
"""

from dataclasses import dataclass
from math import exp

from umberhitch.core.direct._answer_value import AnswerValue

__all__ = ["EngineDemand", "EnginePrice", "EngineTimeLimits"]


@dataclass(frozen=True, slots=True)
class EngineTimeLimits:
    """How the price is formed.

    Attributes
    ----------
    window_s : float
        Time in which a request loses two thirds of its weight in the observed demand.
    idle : float
        Price of a second, in worth, where no queue is: what is read without need pushes out what
        was cached.
    risk : float
        Share of the demand that is taken to be late after any wait: estimates err.
    """

    window_s: float = 3.0
    idle_price: float = 1.0
    late_risk: float = 0.3


@dataclass(frozen=True, slots=True)
class EnginePrice:
    """Price of one engine's time now.

    Attributes
    ----------
    idle : float
        Worth a second.
    pressure : float
        Worth that a second of delay costs for each second in which requests come to the engine.
    soon_s : float
        What waits no longer is in time all the same, but for a share of `risk`.
    """

    idle_price: float = 0.0
    delay_price: float = 0.0
    on_time_s: float = 0.0
    late_risk: float = 1.0

    def cost(self, work_s: float, backlog_s: float) -> float:
        """Return what work costs on an engine with a backlog, in worth.

        Requests that come while a queue of ``x`` seconds is worked off wait between ``x`` and 0
        seconds, so that what they lose grows with the square of it.
        """
        end_s = backlog_s + work_s
        sure = end_s**2 - backlog_s**2
        late = max(0.0, end_s - self.on_time_s) ** 2 - max(0.0, backlog_s - self.on_time_s) ** 2
        delay = (self.late_risk * sure + (1.0 - self.late_risk) * late) / 2
        return work_s * self.idle_price + self.delay_price * delay


class EngineDemand:
    """What requests for the engines of each service lose by the second of delay.

    Parameters
    ----------
    limits : EngineTimeLimits

    Attributes
    ----------
    routers : int
        Live ones; each is taken to see as much as the others.
    """

    def __init__(self, limits: EngineTimeLimits | None = None) -> None:
        self.limits = limits or EngineTimeLimits()
        self.router_count = 1
        self._seen: dict[str, _Decayed] = {}

    def record_request(self, service: str, stake: AnswerValue, now_s: float) -> None:
        """Count a request."""
        seen = self._seen.setdefault(service, _Decayed(now_s))
        seen.decay(now_s, self.limits.window_s)
        seen.loss += stake.loss_per_s
        seen.soon += stake.loss_per_s * stake.on_time_s

    def price(self, service: str, engines: int, now_s: float) -> EnginePrice:
        """Return the price of the time of one of a service's engines."""
        limits = self.limits
        seen = self._seen.get(service)
        if seen is not None:
            seen.decay(now_s, limits.window_s)
        if seen is None or not seen.loss:
            return EnginePrice(limits.idle_price)
        pressure = seen.loss / limits.window_s * self.router_count / max(1, engines)
        return EnginePrice(limits.idle_price, pressure, seen.soon / seen.loss, limits.late_risk)


@dataclass(slots=True)
class _Decayed:
    """Sums in which a request's weight falls off with time."""

    at_s: float
    loss: float = 0.0
    """Worth a second of delay."""
    soon: float = 0.0
    """The same, each times how long it may wait."""

    def decay(self, now_s: float, window_s: float) -> None:
        """Let the time since the last call pass."""
        weight = exp((self.at_s - now_s) / window_s)
        self.at_s = now_s
        self.loss *= weight
        self.soon *= weight
