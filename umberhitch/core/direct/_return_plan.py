"""When callers who were refused for lack of room come back."""

from umberhitch.core.direct._room import RoomForecast
from umberhitch.core.scheduling import Claim

__all__ = ["ReturnPlan"]


class ReturnPlan:
    """Books times to come back, at the rate at which room becomes free."""

    def __init__(self) -> None:
        self._next_s = 0.0
        self.planned = 0

    def retry_at_s(
        self,
        claim: Claim,
        forecast: RoomForecast,
        now_s: float,
        earliest_s: float,
        latest_s: float,
    ) -> float:
        """Return the time at which a refused caller shall come back.

        Parameters
        ----------
        claim : Claim
        forecast : RoomForecast
        now_s : float
        earliest_s, latest_s : float
            Bounds of the time; the later one is where the caller no longer waits.
        """
        del claim
        self.planned += 1
        self._next_s = max(self._next_s, now_s) + 1.0 / max(1.0, forecast.rate_per_s)
        return max(earliest_s, min(self._next_s, latest_s))
