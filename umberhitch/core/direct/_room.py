"""What admission control passes on: the room that a service has."""

from dataclasses import dataclass

__all__ = ["RoomForecast"]


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
