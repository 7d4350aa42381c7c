"""Fencing at an endpoint: orders with a token older than the newest one seen are refused."""

from umberhitch.core.leases import NO_TOKEN

__all__ = ["Fence"]


class Fence:
    """The newest fencing token that an agent has seen.

    A new agent has seen none. It admits no orders until it has had time to receive the newest
    token from the routers.

    Parameters
    ----------
    opens_s : float
        Time in seconds, on the agent's clock, from which orders are admitted.
    """

    def __init__(self, opens_s: float) -> None:
        self._opens_s = opens_s
        self.token = NO_TOKEN

    def observe(self, token: int) -> None:
        """Record a token."""
        self.token = max(self.token, token)

    def admits(self, token: int, now_s: float) -> bool:
        """Whether an order with this token may be executed now; records the token if so."""
        if now_s < self._opens_s or token < self.token:
            return False
        self.token = token
        return True
