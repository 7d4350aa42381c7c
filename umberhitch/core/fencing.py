"""Fencing at an endpoint: orders with an older token than one that was seen are refused."""

from umberhitch.core.leases import NO_TOKEN

__all__ = ["Fence"]


class Fence:
    """The newest fencing token that an agent has heard of.

    A new agent knows none, so that it waits until it has heard what routers know before it obeys.

    Parameters
    ----------
    opens_s : float
        When the agent has heard enough, on its clock.
    """

    def __init__(self, opens_s: float) -> None:
        self._opens_s = opens_s
        self.token = NO_TOKEN

    def observe(self, token: int) -> None:
        """Learn of a token."""
        self.token = max(self.token, token)

    def admits(self, token: int, now_s: float) -> bool:
        """Whether an order with this token may be carried out now."""
        if now_s < self._opens_s or token < self.token:
            return False
        self.token = token
        return True
