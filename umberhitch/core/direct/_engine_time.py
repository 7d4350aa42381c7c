"""Price of a second of an engine's time: the value of the answers that it delays.

Work that is sent to an engine delays all requests that arrive until its queue is empty again. The
value that arrives per second, and the value that it loses per second of delay, are observed; the
queue is known. The price of a second is therefore close to zero on idle engines and high on engines
with a queue, and needs no setting for the load of a deployment.
"""

from dataclasses import dataclass
from math import exp

from umberhitch.core.direct._answer_value import AnswerValue

__all__ = ["EngineDemand", "EnginePrice", "EngineTimeLimits"]


@dataclass(frozen=True, slots=True)
class EngineTimeLimits:
    """Parameters of the price.

    Attributes
    ----------
    window_s : float
        Time constant in seconds with which a request's weight in the observed demand decays.
    idle_price : float
        Price of a second without a queue, in units of value: an unnecessary prefill evicts entries
        from the prefix cache.
    late_risk : float
        Share of the demand that is taken to be late after any wait, since estimates err.
    """

    window_s: float = 3.0
    idle_price: float = 1.0
    late_risk: float = 0.3


@dataclass(frozen=True, slots=True)
class EnginePrice:
    """Current price of one engine's time.

    Attributes
    ----------
    idle_price : float
        Value per second without a queue.
    delay_price : float
        Value lost per second of delay, for each second in which requests arrive at the engine.
    on_time_s : float
        Requests that wait no longer are on time, except for a share of `late_risk`.
    late_risk : float
        Share of the demand that is taken to be late after any wait.
    """

    idle_price: float = 0.0
    delay_price: float = 0.0
    on_time_s: float = 0.0
    late_risk: float = 1.0

    def cost(self, work_s: float, backlog_s: float) -> float:
        """Return the cost of work on an engine with a backlog, in units of value.

        Requests that arrive while a queue of ``x`` seconds is processed wait between ``x`` and 0
        seconds, so that their loss grows with the square of ``x``.
        """
        end_s = backlog_s + work_s
        certain = end_s**2 - backlog_s**2
        late = max(0.0, end_s - self.on_time_s) ** 2 - max(0.0, backlog_s - self.on_time_s) ** 2
        delay = (self.late_risk * certain + (1.0 - self.late_risk) * late) / 2
        return work_s * self.idle_price + self.delay_price * delay


class EngineDemand:
    """Value that requests for the engines of each service lose per second of delay.

    Parameters
    ----------
    limits : EngineTimeLimits

    Attributes
    ----------
    router_count : int
        Live routers; each is assumed to receive the same demand as this one.
    """

    def __init__(self, limits: EngineTimeLimits | None = None) -> None:
        self.limits = limits or EngineTimeLimits()
        self.router_count = 1
        self._sums: dict[str, _DecayingSums] = {}

    def record_request(self, service: str, answer_value: AnswerValue, now_s: float) -> None:
        """Count a request."""
        sums = self._sums.setdefault(service, _DecayingSums(now_s))
        sums.decay(now_s, self.limits.window_s)
        sums.loss += answer_value.loss_per_s
        sums.weighted_on_time += answer_value.loss_per_s * answer_value.on_time_s

    def price(self, service: str, engines: int, now_s: float) -> EnginePrice:
        """Return the price of the time of one of a service's engines."""
        limits = self.limits
        sums = self._sums.get(service)
        if sums is not None:
            sums.decay(now_s, limits.window_s)
        if sums is None or not sums.loss:
            return EnginePrice(limits.idle_price)
        delay_price = sums.loss / limits.window_s * self.router_count / max(1, engines)
        return EnginePrice(
            limits.idle_price, delay_price, sums.weighted_on_time / sums.loss, limits.late_risk
        )


@dataclass(slots=True)
class _DecayingSums:
    """Sums over requests whose weights decay exponentially with time."""

    at_s: float
    loss: float = 0.0
    """Value lost per second of delay."""
    weighted_on_time: float = 0.0
    """The same, each multiplied by the wait in seconds up to which the request is on time."""

    def decay(self, now_s: float, window_s: float) -> None:
        """Apply the decay for the time since the last call."""
        weight = exp((self.at_s - now_s) / window_s)
        self.at_s = now_s
        self.loss *= weight
        self.weighted_on_time *= weight
