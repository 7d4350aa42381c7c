"""What endpoints say of themselves in the heads of their replies."""

from dataclasses import dataclass
from enum import StrEnum

from umberhitch.core.direct._rates import Rate

__all__ = ["HeadSignals", "ReportedLoad", "SignalKind"]


class SignalKind(StrEnum):
    """What an endpoint may say of itself that binds routers."""

    DRAINING = "leaving"
    BACKOFF = "rest"
    LIMIT = "limit"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load as the endpoint itself reported it."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class HeadSignals:
    """What the head of one reply says of its endpoint.

    Attributes
    ----------
    is_draining : bool
        It leaves: it takes what it is sent for a little longer, and then ends.
    backoff_s : float or None
        It refuses, and wants nothing more from this router for so long.
    limit : Rate
        The requests that it takes from all routers together, if it names that.
    load : ReportedLoad or None
    unclear : tuple of str
        Names of headers that say something of these and cannot be understood.
    unknown : tuple of (bytes, bytes)
        Names and values of headers that the product does not know.
    """

    is_draining: bool = False
    backoff_s: float | None = None
    limit: Rate = Rate()
    load: ReportedLoad | None = None
    malformed: tuple[str, ...] = ()
    unknown: tuple[tuple[bytes, bytes], ...] = ()
