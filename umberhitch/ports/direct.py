"""Ports of the direct path: callers, endpoints, the platform's store and the words on the wire."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, Protocol, TypeVar

from umberhitch.core.direct import (
    CallerRequest,
    Document,
    ReplyHead,
    RolloutOrder,
    RolloutState,
    ZoneOut,
)

__all__ = [
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
OnResponseStart = Callable[[], None]


@dataclass(slots=True)
class RawRequest:
    """A caller's request as it came, body included.

    Attributes
    ----------
    received_s : float
        On the steady clock, when its first byte was read.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_s: float


def do_nothing() -> None:
    """Do nothing: a caller that leaves after its answer was complete stops nothing."""


class CallerReply(Protocol):
    """The way back to one caller; nothing may follow `end` or `abort`."""

    def head(self, status: int, headers: HeaderList) -> None:
        """Begin the reply."""
        ...

    def data(self, data: bytes) -> None:
        """Send more of the body."""
        ...

    def end(self) -> None:
        """End the reply as complete."""
        ...

    def abort(self) -> None:
        """Break the connection, so that the reply does not look complete."""
        ...

    def set_flow_control(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Name what is to be called when the caller reads too slowly, and when it has caught up."""
        ...


class CallFailure(StrEnum):
    """Why a call ended without a whole reply."""

    NOT_SENT = "not_sent"
    """No connection: the endpoint certainly has nothing of it."""
    REFUSED = "refused"
    """The same, since nothing listens at its address: its process has ended."""
    BROKEN = "broken"
    """It was sent, at least in part, and may have run."""


class ListenerStatus(StrEnum):
    """What a connection to an address told of the process there."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    """Nothing answered in time."""


class CallEvents(Protocol):
    """What happens to a call; `on_end` or `on_failure` is the last."""

    def on_head(self, head: ReplyHead) -> None:
        """The head of the reply is there."""
        ...

    def on_late_head(self, head: ReplyHead) -> None:
        """The head of a reply to an earlier call is there, which nobody waits for any more."""
        ...

    def on_data(self, data: bytes) -> None:
        """More of the body is there."""
        ...

    def on_end(self) -> None:
        """The reply is complete."""
        ...

    def on_failure(self, failure: CallFailure, detail: str) -> None:
        """There will be no whole reply."""
        ...


class RunningCall(Protocol):
    """A call that was sent to an endpoint."""

    def cancel(self) -> None:
        """Break the connection, so that the endpoint stops; no event follows."""
        ...

    def detach(self) -> None:
        """Read the reply to its end and drop it, to keep the connection; no event follows."""
        ...

    def pause(self) -> None:
        """Read nothing more for now."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...


@dataclass(slots=True)
class EndpointCall:
    """What is sent to an endpoint.

    Attributes
    ----------
    is_once : bool
        Whether it must not run twice: only a connection that is surely open is used for it.
    """

    call_id: str
    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    is_non_repeatable: bool


class EndpointPort(Protocol):
    """Calls endpoints over connections that it keeps."""

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> RunningCall:
        """Send a call to ``IP:PORT``; events come later, never from within."""
        ...

    def check(self, address: str, on_found: Callable[[ListenerStatus], None]) -> None:
        """Find out whether a process listens at ``IP:PORT``; the answer comes later."""
        ...

    def close_idle(self, address: str) -> None:
        """Close the kept connections to an address."""
        ...


@dataclass(frozen=True, slots=True)
class CallMetadata:
    """What the router itself says to the endpoint with a call.

    Attributes
    ----------
    deadline_s : float
        How long the endpoint may work on it.
    incarnation : str
        Another incarnation at the address refuses the call.
    """

    deadline_s: float
    incarnation: str
    customer: str | None
    model: str | None
    priority: int | None
    last_event_id: bytes | None


class WirePort(Protocol):
    """The headers that callers, routers and endpoints exchange."""

    def read_request(self, raw: RawRequest) -> CallerRequest:
        """Decode a request; raises `BadAskError`."""
        ...

    def call_headers(self, req: CallerRequest, metadata: CallMetadata) -> HeaderList:
        """Return all headers of a call."""
        ...

    def read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        """Decode the head of an endpoint's reply."""
        ...

    def refusal_headers(self, call_id: str | None, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer of the router's own."""
        ...


@dataclass(frozen=True, slots=True)
class FeedRecord(Generic[Value]):
    """A record of a keyed stream; ``value`` is None where the key was dropped."""

    key: str
    value: Value | None


@dataclass(frozen=True, slots=True)
class FeedBatch(Generic[Value]):
    """Records, and the offset after the last of them.

    Attributes
    ----------
    proved_s : float or None
        What was acknowledged before then is in it, or was before it; the time of the call if None.
    pause_s : float or None
        How long the next call is put off, if not as long as usual.
    was_away : bool
        Whether the store had been away when a peer read this.
    """

    records: tuple[FeedRecord[Value], ...]
    end: int
    as_of_s: float | None = None
    next_call_delay_s: float | None = None
    is_after_outage: bool = False


class FeedPort(Protocol[Value]):
    """A keyed stream of the platform's store, decoded.

    Both calls raise `LogUnavailableError` where the store does not answer, `LogBrokenOffError`
    where an answer was not completed, and `since` also `LogTrimmedError`. A record that does not
    validate is logged with its place and left out.
    """

    async def newest(self, timeout_s: float) -> FeedBatch[Value]:
        """Return the newest record of every key, and an offset from which nothing is missed."""
        ...

    async def since(
        self,
        offset: int,
        wait_s: float,
        timeout_s: float,
        on_response_start: OnResponseStart = do_nothing,
    ) -> FeedBatch[Value]:
        """Return the records from an offset on, as soon as there is one or the wait is over.

        Parameters
        ----------
        offset : int
        wait_s : float
            How long the store may hold the call.
        timeout_s : float
            A call has failed whose answer begins so much later.
        on_response_start : callable
            Called as soon as it is known that there are records; the rest of them may take long.
        """
        ...


OperatorValue = Document | RolloutOrder | ZoneOut


@dataclass(frozen=True, slots=True)
class StoredStatus:
    """What stands in the store on roll-outs."""

    states: dict[str, tuple[str, RolloutState]]
    """Target and state, by service."""
    end: int


class StatusPort(Protocol):
    """The states of roll-outs in the store, for operators and other routers."""

    async def read(self) -> StoredStatus:
        """Return all states."""
        ...

    async def write(self, service: str, target: str, state: RolloutState, end: int) -> bool:
        """Write a state unless anything was written since ``end``; return whether it was done.

        Raises
        ------
        LogAnswerLostError
            It may have been written.
        LogUnavailableError
            Nothing was written.
        """
        ...


@dataclass(frozen=True, slots=True)
class StoredHold:
    """A request that is held, as the store keeps it.

    Attributes
    ----------
    key : str
    place : str
        A service and version that endpoints ran which ended under it.
    lifetimes : tuple of str
        Of these endpoints.
    probes : int
    """

    key: str
    service_version: str
    lifetimes: tuple[str, ...]
    probes: int


class HoldsPort(Protocol):
    """The requests that are held, in the store; both raise `LogError` where it does not answer."""

    async def read(self) -> list[StoredHold]:
        """Return all of them."""
        ...

    async def write(self, key: str, hold: StoredHold | None) -> None:
        """Let one stand, or none under its key."""
        ...


@dataclass(frozen=True, slots=True)
class Member:
    """A router that is alive as far as the store knows."""

    name: str
    address: str
    """``IP:PORT`` of its link."""


class MembersPort(Protocol):
    """Membership of routers, kept by the store."""

    async def join(self, member: Member, ttl_s: float) -> int:
        """Join or stay; return a number that changes with the membership."""
        ...

    async def leave(self, member: Member) -> None:
        """Leave."""
        ...

    async def members(self) -> list[Member]:
        """Return all members."""
        ...
