"""What callers and endpoints saw; times in seconds on the machine's steady clock."""

from dataclasses import dataclass

__all__ = [
    "ArrivalSeen",
    "ColdStart",
    "Departure",
    "Grant",
    "LimitNamed",
    "Record",
    "Revocation",
    "RunSeen",
    "ZoneOutage",
]


@dataclass(frozen=True, slots=True)
class Record:
    """One request as its caller saw it.

    Attributes
    ----------
    status : int
        0 where the connection broke before an answer.
    is_whole : bool
        Whether the answer came to its end.
    router : int
        Process id of the router that was asked.
    """

    call_id: str
    kind: str
    key: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes
    is_whole: bool
    router: int = 0


@dataclass(frozen=True, slots=True)
class RunSeen:
    """A call that ran, as its endpoint saw it."""

    call_id: str
    endpoint: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ArrivalSeen:
    """A call that reached an endpoint, run or refused, and what the endpoint said to it.

    Attributes
    ----------
    is_leaving : bool
        That it leaves.
    rest_s : float
        That it wants nothing for so long; 0 where it did not say so.
    is_told_limit : bool
        That it takes a limited rate.
    """

    call_id: str
    endpoint: str
    at_s: float
    is_leaving: bool = False
    rest_s: float = 0.0
    is_told_limit: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """A key that was given out; confirmed by the store at a time, None for one from the start."""

    key: str
    at_s: float | None = None


@dataclass(frozen=True, slots=True)
class Revocation:
    """A key that was taken away; confirmed by the store at a time."""

    key: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that said that it leaves; confirmed by the store at a time."""

    endpoint: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ZoneOutage:
    """A zone that was out of service from when the store confirmed it; its endpoints by then.

    Attributes
    ----------
    until_s : float
        When the operator began to take it back.
    """

    zone: str
    endpoints: tuple[str, ...]
    at_s: float
    until_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class ColdStart:
    """An endpoint that came cold, and said so from the first."""

    endpoint: str
    at_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class LimitNamed:
    """A rate that an endpoint named in each answer, from all routers together."""

    endpoint: str
    rate: float
    at_s: float
    until_s: float = float("inf")
