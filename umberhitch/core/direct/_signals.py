"""Signals that endpoints send about themselves in the headers of their replies."""

from dataclasses import dataclass
from enum import StrEnum

from umberhitch.core.direct._rates import Rate

__all__ = ["HeadSignals", "ReportedLoad", "SignalKind"]


class SignalKind(StrEnum):
    """Signals of endpoints that routers must follow."""

    DRAINING = "leaving"
    BACKOFF = "rest"
    LIMIT = "limit"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an endpoint as reported by itself; None for a figure that is not known.

    Attributes
    ----------
    running, waiting, slots : int or None
    pace : float or None
        Factor by which work takes longer than usual on the endpoint's host at the moment, 1.0 as
        usual; None if not reported.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class HeadSignals:
    """Signals in the headers of one reply.

    Attributes
    ----------
    is_draining : bool
        Whether the endpoint is draining: it accepts requests for a short time and then exits.
    backoff_s : float or None
        Seconds for which the endpoint, which refused the request, wants none from this router.
    limit : Rate
        Requests per second that the endpoint accepts from all routers together, if it names them.
    load : ReportedLoad or None
        Load of the endpoint, if reported.
    malformed : tuple of str
        Names of the headers of these signals whose values are malformed.
    unknown : tuple of (bytes, bytes)
        Names and values of headers that the product doesn't know.
    """

    is_draining: bool = False
    backoff_s: float | None = None
    limit: Rate = Rate()
    load: ReportedLoad | None = None
    malformed: tuple[str, ...] = ()
    unknown: tuple[tuple[bytes, bytes], ...] = ()
