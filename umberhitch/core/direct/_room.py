"""What admission control passes on: the room that a service has."""

from dataclasses import dataclass

__all__ = ["RoomForecast"]


@dataclass(frozen=True, slots=True)
class RoomForecast:
    """Room of one service, as far as it is this router's to use.

    Attributes
    ----------
    free : float
        Calls that would be on time if they were sent now.
    rate_per_s : float
        This router's part of the calls that the endpoints end per second.
    waiting : int
        Requests that wait for room at this router.
    """

    free: float
    rate_per_s: float
    waiting: int
