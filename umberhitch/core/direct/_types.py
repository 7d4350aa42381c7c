"""Data types of the direct path: routes, customers, endpoints, requests and replies."""

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
    """Kind of a route's requests, which determines whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Services for the requests of one host and path prefix.

    Attributes
    ----------
    timeout_s : float
        Timeout of a request in seconds.
    objective_s : float
        Seconds within which a response (of a stream: its first event) has its full value.
    priority : int
        0 is the most urgent.
    services : tuple of (str, float)
        Services and their weights.
    max_attempts : int
        Maximum number of endpoints that one request may be sent to.
    is_resumable : bool
        Whether a stream may be resumed at another endpoint after the last complete event.
    gap_s : float
        Longest gap in seconds between the events of a stream that counts as on time.
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
        Requests that one endpoint runs concurrently; 0 if unknown.
    cache_tokens : int
        Tokens that fit into one engine's memory; 0 for plain services.
    prices : dict of str to float
        Price of each of its models for 1,000 generated tokens.
    cold_start_s : float
        Seconds after its start during which an endpoint is cold: its process exits when it receives
        many requests. 0 where the endpoints are never cold.
    cold_rate : float
        Requests per second that a cold endpoint sustains.
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
    """The customer who is billed for a request; the document has the digests of the API keys.

    Attributes
    ----------
    priority : int or None
        Priority of the customer's requests; that of their routes if None.
    share : float
        Weight of the customer where customers compete for the same endpoints.
    """

    name: str
    priority: int | None = None
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Limits on the size and the duration of a caller's request."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Document:
    """One numbered, complete configuration; one with a higher number replaces it."""

    number: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: dict[str, Customer]
    """Customers by the digest of an API key, see `key_digest`."""
    intake: IntakeLimits = IntakeLimits()


class EndpointState(StrEnum):
    """State that an endpoint reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Registry entry of one incarnation of an endpoint.

    Attributes
    ----------
    incarnation : str
        Key of the entry in the registry. A process may restart under the same key.
    born : int or None
        Wall-clock time at which the process started, in ms; None if not reported. Two values are
        only compared for equality: the clock may have been set back between two starts.
    cold_s : float or None
        Seconds that the endpoint stays cold, counted from the report; None if not reported.
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
    """State of a roll-out."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service's work to another version."""

    service: str
    target: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """An operator's order that an availability zone is out of service and gets no new work."""

    zone: str


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; engines keep it in their prefix cache."""

    part_id: str
    tokens: int


@dataclass(slots=True)
class CallerRequest:
    """One caller's request, decoded.

    Attributes
    ----------
    call_id : str
        Id that the caller gave this attempt.
    headers : list of (bytes, bytes)
        Headers that are forwarded unchanged.
    key : str or None
        The customer's API key.
    patience_s : float
        Seconds that the caller waits for an answer.
    picks_model : bool
        Whether the router chooses the model.
    last_event_id : bytes or None
        Id of the last event of a stream that the caller has received.
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
        """Return the length of the prompt in tokens."""
        return sum(part.tokens for part in self.prompt)


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """The head of an endpoint's reply, decoded.

    Attributes
    ----------
    call_id : str or None
        Id of the call that the reply belongs to, if given.
    is_signed : bool
        Whether the reply has the endpoint's signature; a complete success always has one.
    not_run : bool
        Whether the endpoint reports that it did not run the call and never will.
    is_wrong_incarnation : bool
        Whether another incarnation uses the address.
    confidence : int or None
        Confidence that the model declares in its answer, 0 to 100.
    signals : HeadSignals
        Signals that the endpoint reports about itself.
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
        """Whether the status is in the 2xx range."""
        return 200 <= self.status < 300
