"""What admission control passes on: claims of requests, and the room that a service has."""

from dataclasses import dataclass

__all__ = ["Claim", "RoomForecast"]


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
        Time by which an endpoint must begin, so that the answer is on time.
    """

    priority: int
    value: float
    customer: str
    share: float
    arrived_s: float
    begin_by_s: float


@dataclass(frozen=True, slots=True)
class RoomForecast:
    """Room of one service, as far as it is this router's to use.

    Attributes
    ----------
    free : float
        Calls that would begin in time if they were sent now.
    rate_per_s : float
        Calls per second for which room becomes free.
    waiting : int
        Requests that wait for room at this router.
    """

    free: float
    rate_per_s: float
    waiting: int
