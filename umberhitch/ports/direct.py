"""Ports of the direct path: callers, endpoints, the platform's store and the HTTP headers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, Protocol, TypeVar

from umberhitch.core.direct import (
    CallerRequest,
    Document,
    Position,
    ReplyHead,
    RolloutOrder,
    RolloutState,
    ZoneOut,
)

__all__ = [
    "STORE",
    "CallEvents",
    "CallFailure",
    "CallMetadata",
    "CallerReply",
    "EndpointCall",
    "EndpointPort",
    "FeedBatch",
    "FeedPort",
    "FeedRecord",
    "HeaderList",
    "HoldsPort",
    "ListenerStatus",
    "Member",
    "MembersPort",
    "OnResponseStart",
    "OperatorValue",
    "RawRequest",
    "RunningCall",
    "StatusPort",
    "StoredHold",
    "StoredStatus",
    "WirePort",
    "do_nothing",
]

HeaderList = list[tuple[bytes, bytes]]
Value = TypeVar("Value")
STORE = "store"
"""Source of records that were read from the store itself."""
OnResponseStart = Callable[[], None]


@dataclass(slots=True)
class RawRequest:
    """A caller's request as received, including its body.

    Attributes
    ----------
    received_s : float
        Time on the monotonic clock at which the first byte was read.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_s: float


def do_nothing() -> None:
    """Do nothing; for example, when a caller disconnects after its answer was complete."""


class CallerReply(Protocol):
    """The reply to one caller; no call may follow `end` or `abort`."""

    def head(self, status: int, headers: HeaderList) -> None:
        """Send the head of the reply."""
        ...

    def data(self, data: bytes) -> None:
        """Send the next part of the body."""
        ...

    def end(self) -> None:
        """Complete the reply."""
        ...

    def abort(self) -> None:
        """Abort the connection, so that the caller does not take the reply for complete."""
        ...

    def set_flow_control(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Set the callbacks for a caller that reads too slowly, and for one that has caught up."""
        ...


class CallFailure(StrEnum):
    """Why a call ended without a complete reply."""

    NOT_SENT = "not_sent"
    """No connection was made; the endpoint certainly received nothing of the call."""
    REFUSED = "refused"
    """As `NOT_SENT`, with the connection refused: the endpoint's process has exited."""
    BROKEN = "broken"
    """The call was sent, at least in part, and may have run."""


class ListenerStatus(StrEnum):
    """Whether a process listens at an address, as a connection attempt found."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    """The connection attempt timed out or was inconclusive."""


class CallEvents(Protocol):
    """Events of a call; `on_end` or `on_failure` is the last."""

    def on_head(self, head: ReplyHead) -> None:
        """Receive the head of the reply."""
        ...

    def on_late_head(self, head: ReplyHead) -> None:
        """Receive the head of a reply to an earlier call whose reply is no longer awaited."""
        ...

    def on_data(self, data: bytes) -> None:
        """Receive the next part of the body."""
        ...

    def on_end(self) -> None:
        """Receive the end of the reply, which is now complete."""
        ...

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        """Receive the reason why the reply will not be completed."""
        ...


class RunningCall(Protocol):
    """A call in progress at an endpoint."""

    @property
    def is_sent(self) -> bool:
        """Whether there was a connection on which to send the call."""
        ...

    def cancel(self) -> None:
        """Abort the connection, so that the endpoint stops; no event follows."""
        ...

    def detach(self) -> None:
        """Read and discard the rest of the reply to keep the connection; no event follows."""
        ...

    def pause(self) -> None:
        """Stop reading the reply until `resume` is called."""
        ...

    def resume(self) -> None:
        """Continue to read the reply."""
        ...


@dataclass(slots=True)
class EndpointCall:
    """A request to an endpoint.

    Attributes
    ----------
    is_non_repeatable : bool
        Whether the call must not run twice. Such a call uses only a connection that is certainly
        open.
    """

    call_id: str
    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    is_non_repeatable: bool


class EndpointPort(Protocol):
    """Calls endpoints over persistent connections."""

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> RunningCall:
        """Send a call to ``IP:PORT``; no event is delivered before this method returns."""
        ...

    def check(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        """Check whether a process listens at ``IP:PORT``; the result goes to ``on_found`` later."""
        ...

    def close_idle(self, address: str) -> None:
        """Close the idle persistent connections to an address."""
        ...


@dataclass(frozen=True, slots=True)
class CallMetadata:
    """Metadata that the router adds to a call.

    Attributes
    ----------
    deadline_s : float
        Seconds that the endpoint may spend on the call.
    incarnation : str
        Incarnation of the endpoint that the call is meant for; any other at the address refuses it.
    """

    deadline_s: float
    incarnation: str
    customer: str | None
    model: str | None
    priority: int | None
    last_event_id: bytes | None


class WirePort(Protocol):
    """Encodes and decodes the headers that callers, routers and endpoints exchange."""

    def read_request(self, raw: RawRequest) -> CallerRequest:
        """Decode a request; raises `BadAskError`."""
        ...

    def call_headers(self, req: CallerRequest, metadata: CallMetadata) -> HeaderList:
        """Return all headers of a call to an endpoint."""
        ...

    def read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        """Decode the head of an endpoint's reply."""
        ...

    def refusal_headers(self, call_id: str | None, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer that the router gives itself."""
        ...


@dataclass(frozen=True, slots=True)
class FeedRecord(Generic[Value]):
    """A record of a keyed stream; ``value`` is None if the key was deleted."""

    key: str
    value: Value | None


@dataclass(frozen=True, slots=True)
class FeedBatch(Generic[Value]):
    """Records, and the position after the last of them.

    Attributes
    ----------
    end : Position
        Position to read on from.
    as_of_s : float or None
        Time on the monotonic clock up to which the reader is current: every write that the store
        acknowledged earlier is in this batch or precedes it. None stands for the time of the call.
    next_call_delay_s : float or None
        Seconds to wait before the next call; None for the usual delay.
    is_after_outage : bool
        Whether a peer read the records just after an outage of the store.
    source : str
        Name of the peer that provided the records, or ``STORE``.
    kept : tuple
        Keys whose value in the store's copy is not in force at that peer yet, with this value and
        the seconds until it is.
    """

    records: tuple[FeedRecord[Value], ...]
    end: Position
    as_of_s: float | None = None
    next_call_delay_s: float | None = None
    is_after_outage: bool = False
    source: str = STORE
    kept: tuple[tuple[str, Value | None, float], ...] = ()


class FeedPort(Protocol[Value]):
    """A keyed stream of the platform's store, decoded.

    Both calls raise `LogUnavailableError` if the store does not answer, `LogBrokenOffError` if an
    answer was not completed, and `LogRestoredError` if the store returned from another copy, so
    that its newest records have to be read; `since` also raises `LogTrimmedError`. A record that
    does not validate is logged with its position and left out.
    """

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, and a position to read on from without a gap."""
        ...

    async def since(
        self,
        position: Position,
        wait_s: float,
        timeout_s: float,
        on_response_start: OnResponseStart = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the records from a position on, once there is one or ``wait_s`` has passed.

        Parameters
        ----------
        position : Position
        wait_s : float
            Seconds for which the store may hold the call.
        timeout_s : float
            Seconds after ``wait_s`` by which the answer must have started; else the call fails.
        on_response_start : callable
            Called as soon as it is known that there are records, which may take long to arrive.
        """
        ...


OperatorValue = Document | RolloutOrder | ZoneOut


@dataclass(frozen=True, slots=True)
class StoredStatus:
    """The states of roll-outs in the store."""

    states: dict[str, tuple[str, RolloutState]]
    """Target and state of each service's roll-out."""
    end: Position


class StatusPort(Protocol):
    """The states of roll-outs in the store, for operators and other routers."""

    async def read(self) -> StoredStatus:
        """Return all states."""
        ...

    async def write(self, service: str, target: str, state: RolloutState, end: Position) -> bool:
        """Write a state unless anything was written since ``end``; return whether it was written.

        A position of an earlier epoch of the store never matches one of the present epoch, unless
        the store has the same records up to there.

        Raises
        ------
        LogAnswerLostError
            The state may have been written.
        LogUnavailableError
            Nothing was written.
        """
        ...


@dataclass(frozen=True, slots=True)
class StoredHold:
    """A held request, as the store keeps it.

    Attributes
    ----------
    key : str
    service_version : str
        Service and version of the endpoints that crashed while they ran the request.
    lifetimes : tuple of str
        Lifetimes of these endpoints.
    probes : int
        Number of probes of the request that were let through.
    """

    key: str
    service_version: str
    lifetimes: tuple[str, ...]
    probes: int


class HoldsPort(Protocol):
    """The held requests in the store; both calls raise `LogError` if it does not answer."""

    async def read(self) -> list[StoredHold]:
        """Return all held requests."""
        ...

    async def write(self, key: str, hold: StoredHold | None) -> None:
        """Write a held request under its key, or delete the key if ``hold`` is None."""
        ...


@dataclass(frozen=True, slots=True)
class Member:
    """A live router according to the store."""

    name: str
    address: str
    """``IP:PORT`` at which the router accepts its peers' messages."""


class MembersPort(Protocol):
    """Membership of routers, kept by the store."""

    async def join(self, member: Member, ttl_s: float) -> Position:
        """Join, or renew the membership; return the generation, which grows with each change."""
        ...

    async def leave(self, member: Member) -> None:
        """Remove a member."""
        ...

    async def members(self) -> list[Member]:
        """Return all members."""
        ...
