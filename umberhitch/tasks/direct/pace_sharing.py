"""Paces of endpoints as routers tell them to each other, in the reports that they send anyway.

A router hears of a pace only with the replies to its own calls. Where many routers share the calls,
these are too few for paces that change many times a second.
"""

from umberhitch.core.direct import Directory, Placement
from umberhitch.wire import EndpointPace

__all__ = ["PaceSharing"]

MAX_AGE_S = 2.0
"""Older reports are not passed on to peers."""
MAX_PACE = 100.0


class PaceSharing:
    """Tells the paces that this router has heard itself, and takes in those of peers.

    Parameters
    ----------
    placement : Placement
    directory : Directory
    """

    def __init__(self, placement: Placement, directory: Directory) -> None:
        self._placement = placement
        self._directory = directory
        self._told_until_s = float("-inf")

    def fresh_paces(self, now_s: float) -> list[EndpointPace]:
        """Return the paces heard since the last time, of services whose hosts are uneven."""
        since_s = max(self._told_until_s, now_s - MAX_AGE_S)
        self._told_until_s = now_s
        return [
            EndpointPace(lifetime, pace, round(now_s - heard_s, 3))
            for lifetime, (pace, heard_s) in self._placement.uneven_paces(since_s, now_s).items()
        ]

    def receive(self, paces: list[EndpointPace], now_s: float) -> None:
        """Take in what another router has heard of known endpoints."""
        for each in paces:
            endpoint = self._directory.of_lifetime(each.lifetime)
            if endpoint is None or not 0.0 < each.pace <= MAX_PACE:
                continue
            if 0.0 <= each.age_s <= MAX_AGE_S:
                self._placement.update_peer_pace(endpoint, each.pace, now_s - each.age_s)
