"""What a request brings where several compete for the same places."""

from dataclasses import dataclass

__all__ = ["Claim"]


@dataclass(frozen=True, slots=True)
class Claim:
    """What a request brings where several compete for the same endpoints.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    value : float
        Value of the answer, in the unit of the models' prices; 0 for plain services.
    customer : str
        Name of the customer; empty for public routes.
    share : float
        Weight of the customer.
    arrived_s : float
        Time at which the request was received.
    begin_by_s : float
        Time at which the latency objective is over: a plain answer must be complete, a stream must
        have begun.
    waited_s : float
        Seconds for which the caller had waited when this try came, if it was recognized as one who
        came back.
    """

    priority: int
    value: float
    customer: str
    share: float
    arrived_s: float
    begin_by_s: float
    waited_s: float = 0.0
