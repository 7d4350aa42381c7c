"""What the direct path decides on: routes, customers, endpoints, calls and their replies."""

from dataclasses import dataclass, field
from enum import StrEnum

from umberhitch.core.direct._signals import HeadSignals

__all__ = [
    "CallerRequest",
    "Customer",
    "Document",
    "EndpointEntry",
    "EndpointState",
    "IntakeLimits",
    "PromptPart",
    "ReplyHead",
    "RolloutOrder",
    "RolloutState",
    "Route",
    "RouteKind",
    "Service",
    "ZoneOut",
]

HeaderList = list[tuple[bytes, bytes]]


class RouteKind(StrEnum):
    """What a route's requests are, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go.

    Attributes
    ----------
    timeout_s : float
        Longest time that a request is kept waiting.
    objective_s : float
        Time within which a response (of a stream: its first event) is worth most.
    priority : int
        0 is the most urgent.
    services : tuple of (str, float)
        Services with the weight of each.
    max_attempts : int
        Endpoints that one request may be sent to.
    is_resumable : bool
        Whether a stream may go on at another endpoint after the last whole event.
    gap_s : float
        Longest pause between the events of a stream that is still on time.
    models : tuple of str
        Models to choose from, smallest first; empty where the caller names the model.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_s: float = 1.0
    models: tuple[str, ...] = ()

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable endpoints.

    Attributes
    ----------
    slots : int
        Requests that one endpoint runs at once; 0 if not known.
    cache_tokens : int
        Tokens that one engine's memory holds; 0 for plain services.
    prices : dict of str to float
        Of its models, for 1,000 tokens generated.
    cold_start_s : float
        So long after a start one of its endpoints is cold: it ends where many requests come. 0
        where its endpoints are never cold.
    cold_rate : float
        Requests a second that a cold endpoint bears.
    """

    name: str
    max_connections: int = 100
    slots: int = 0
    cache_tokens: int = 0
    prices: dict[str, float] = field(default_factory=dict)
    cold_start_s: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Customer:
    """Who pays for a request; the digests of the keys stand in the document."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """What a caller may send, and how long it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Document:
    """One numbered configuration, whole; a higher number replaces it."""

    number: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: dict[str, Customer]
    """By the digest of a key, see `key_digest`."""
    intake: IntakeLimits = IntakeLimits()


class EndpointState(StrEnum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One incarnation of an endpoint, as it stands in the registry.

    Attributes
    ----------
    incarnation : str
        Its key in the registry. A process may start again under the same one.
    born : int or None
        When its process started, in ms of the time of day; None where it does not say. Two values
        are compared for being equal only: the clock may have stepped back between two starts.
    cold_s : float or None
        How long it stays cold, counted from when it said so; None where it does not say.
    """

    incarnation: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: EndpointState
    born: int | None = None
    cold_s: float | None = None


class RolloutState(StrEnum):
    """How far a roll-out is."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's wish that a service's work moves to another version."""

    service: str
    target: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """An operator's word that an availability zone is out of service: nothing new goes there."""

    zone: str


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt; engines keep what they have read of it."""

    part_id: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """One caller's request, decoded.

    Attributes
    ----------
    call_id : str
        The caller's own id of this attempt of its.
    headers : list of (bytes, bytes)
        Those that are passed on as they are.
    key : str or None
        The customer's key.
    patience_s : float
        How long the caller waits.
    picks_model : bool
        Whether the choice of the model is the router's.
    last_event : bytes or None
        The caller has the events of a stream up to this id.
    """

    call_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: HeaderList
    key: str | None
    patience_s: float
    picks_model: bool = False
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: bytes | None = None
    session: str | None = None
    body: bytes = b""

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt."""
        return sum(part.tokens for part in self.prompt)


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """The head of an endpoint's reply, decoded.

    Attributes
    ----------
    call_id : str or None
        Which call it answers, if it says so.
    is_signed : bool
        Whether it bears the endpoint's signature; a whole success always does.
    not_run : bool
        Whether the endpoint says that it did not run the call and never will.
    is_elsewhere : bool
        Whether another incarnation has the address.
    confidence : int or None
        The model's own opinion of its answer, 0 to 100.
    signals : HeadSignals
        What the endpoint says of itself.
    """

    status: int
    headers: HeaderList = field(default_factory=list)
    call_id: str | None = None
    is_signed: bool = False
    not_run: bool = False
    is_wrong_incarnation: bool = False
    confidence: int | None = None
    signals: HeadSignals = HeadSignals()

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return 200 <= self.status < 300
