"""Messages between routers, and between routers and agents.

Every message is encoded as an array whose first item is the tag. Fields are only added at the end
and with a default, so that adjacent versions of umberhitch are compatible.
"""

from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta, Struct

from umberhitch.core.direct import NO_POSITION, EndpointEntry, Position, make_position
from umberhitch.core.scheduling import CustomerUse

__all__ = [
    "URGENT_PRIORITY",
    "AttemptAccepted",
    "AttemptId",
    "BurnReply",
    "BurnRequest",
    "BurnSlice",
    "CanaryReport",
    "CanaryUpdate",
    "Cancel",
    "Chunk",
    "ConfigRecords",
    "ConfigRequest",
    "ConfigSnapshot",
    "CrashNotice",
    "CrashUpdate",
    "DrainNotice",
    "EndedCounts",
    "EndpointPace",
    "EndpointState",
    "EndpointUpdate",
    "EndpointUse",
    "EngineWork",
    "Evidence",
    "Failed",
    "Fetch",
    "Finished",
    "Heartbeat",
    "Hello",
    "LimitNotice",
    "LoadOrder",
    "LoadOrderReply",
    "Message",
    "PeerReport",
    "ProbeNotice",
    "ProbeReply",
    "ProbeRequest",
    "RecentSessions",
    "RecoveryReply",
    "RecoveryRequest",
    "Refused",
    "RouteCounts",
    "RouterDigest",
    "RunEndNotice",
    "ServiceUse",
    "ServiceWork",
    "Start",
    "Usage",
    "UsageConfirmation",
    "UsageHandover",
    "UsageRecord",
    "ViewReply",
    "ViewRequest",
    "Withdrawal",
]


class AttemptId(Struct, frozen=True, array_like=True):
    """Identifier of an attempt: the router and incarnation that issued it, and its number."""

    router: str
    incarnation: int
    seq: int

    def __str__(self) -> str:
        return f"{self.router}.{self.incarnation}.{self.seq}"


URGENT_PRIORITY = 2
"""Attempts with this or a lower priority number are urgent: they overtake all others in a queue."""


class EndpointState(StrEnum):
    """State of an endpoint as reported by its agent."""

    READY = "ready"
    DRAINING = "leaving"


class Usage(Struct, frozen=True, array_like=True):
    """Token counts of one attempt."""

    input_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0


class UsageRecord(Struct, frozen=True, array_like=True):
    """Usage of one request; the request id ensures that it is counted once."""

    request: str
    customer: str
    target: str
    usage: Usage
    cost_micros: int
    attempts: int = 1
    klass: str = ""


class EngineWork(Struct, frozen=True, array_like=True, tag="e"):
    """A call to a model engine."""

    messages: list[dict[str, Any]]
    """Messages as the caller sent them: ``role``, ``content`` and further keys."""
    max_tokens: int
    temperature: float = 1.0
    prefix: str = ""
    """Hash of the prompt's stable prefix, for prefix cache affinity; empty if unknown."""


class ServiceWork(Struct, frozen=True, array_like=True, tag="s"):
    """A call to a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """Introduction of a router to an agent, repeated as the router's heartbeat."""

    router: str
    incarnation: int
    zone: str
    revision: int
    token: int = -1
    """Newest fencing token that the router knows; -1 for none."""
    heartbeat_interval_s: float = 1.0
    """Interval in seconds at which the agent sends heartbeats while nothing changes."""


class Start(Struct, frozen=True, array_like=True, tag="start"):
    """Request to run an attempt; resent until `AttemptAccepted`, idempotent by the ledger."""

    attempt: AttemptId
    agent_incarnation: int
    request: str
    customer: str
    target: str
    work: EngineWork | ServiceWork
    priority: int
    deadline_s: float
    """Seconds left until the deadline at the time of sending."""
    revision: int
    """Revision of the configuration on which the routing decision was based."""
    session: str = ""
    """Session token, if one pins the version."""
    klass: str = ""


class Cancel(Struct, frozen=True, array_like=True, tag="cancel"):
    """Request to stop an attempt, or to refuse it permanently if it has not started."""

    attempt: AttemptId
    agent_incarnation: int


class Fetch(Struct, frozen=True, array_like=True, tag="fetch"):
    """Request to resend an answer from an offset on, with its end if the attempt has ended."""

    attempt: AttemptId
    offset: int
    customer: str
    """Customer of the request; the agent replies only if the attempt belongs to this customer."""


class UsageConfirmation(Struct, frozen=True, array_like=True, tag="billed"):
    """Confirmation that the usage records of these requests were read back from the log."""

    requests: list[str]


class ConfigRecords(Struct, frozen=True, array_like=True, tag="config"):
    """Records of the configuration stream after the revision ``previous``."""

    previous: int
    records: list[tuple[int, bytes]]


class ConfigSnapshot(Struct, frozen=True, array_like=True, tag="snapshot"):
    """A complete configuration, for a process that lags too far behind to catch up by records."""

    data: bytes


class ConfigRequest(Struct, frozen=True, array_like=True, tag="need"):
    """Request for the configuration after a revision."""

    revision: int


class Withdrawal(Struct, frozen=True, array_like=True, tag="stop"):
    """Request to send no new work to a version, in advance of the record in the log.

    The withdrawal is in force until the configuration has a newer entry for the version, or rejects
    the change.
    """

    version: str
    change_id: str


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat of an agent: its identity, the targets that it serves, and its load."""

    endpoint: str
    incarnation: int
    zone: str
    targets: list[str]
    state: EndpointState
    revision: int
    running: int
    queued: int
    slots: int
    is_loading: bool = False
    urgent: int = 0
    """Number of urgent attempts, running and queued; see `URGENT_PRIORITY`."""


class AttemptAccepted(Struct, frozen=True, array_like=True, tag="taken"):
    """The attempt is in the agent's ledger and will be answered."""

    attempt: AttemptId


class Refused(Struct, frozen=True, array_like=True, tag="refused"):
    """The attempt did not run and never will."""

    attempt: AttemptId
    reason: str
    retry_after_s: float = 0.0


class Chunk(Struct, frozen=True, array_like=True, tag="chunk"):
    """A piece of an answer; its offset is in characters."""

    attempt: AttemptId
    offset: int
    text: str


class Finished(Struct, frozen=True, array_like=True, tag="done"):
    """The answer is complete; its length is in characters."""

    attempt: AttemptId
    length: int
    usage: Usage
    finish_reason: str = "stop"
    status: int = 200
    headers: dict[str, str] = {}
    target: str = ""


class Failed(Struct, frozen=True, array_like=True, tag="failed"):
    """The attempt started and failed; its effects are unknown."""

    attempt: AttemptId
    reason: str
    usage: Usage = Usage()


class UsageHandover(Struct, frozen=True, array_like=True, tag="handover"):
    """Usage records that their router has not confirmed in time."""

    records: list[UsageRecord]


class LoadOrder(Struct, frozen=True, array_like=True, tag="order"):
    """Order of a lease holder to load a version; resent until the endpoint serves the version."""

    token: int
    """Fencing token: the log offset at which the holder acquired the lease."""
    order_id: str
    """Identifier of the order, by which it is executed only once."""
    target: str


class LoadOrderReply(Struct, frozen=True, array_like=True, tag="ordered"):
    """Whether the agent executes an order."""

    order_id: str
    is_accepted: bool
    reason: str = ""


class Evidence(Struct, frozen=True, array_like=True, tag="evidence"):
    """Observations of one version and class that a router has made since its last report."""

    version: str
    klass: str
    ratings: list[int]
    """Ratings in units of 1/200."""
    done: int
    failed: int
    latencies_ms: list[int]


class BurnSlice(Struct, frozen=True, array_like=True):
    """Counts of one router for a customer and class in one minute, whose number is ``slot``."""

    slot: int
    customer: str
    klass: str
    good: int
    bad: int
    histogram: bytes
    """Encoded HDR histogram of latencies in milliseconds; empty if latencies are not kept."""


class BurnRequest(Struct, frozen=True, array_like=True, tag="burn?"):
    """Request for a router's counts, sent only when an operator asks for them."""

    request_id: int


class BurnReply(Struct, frozen=True, array_like=True, tag="burn"):
    """All counts that a router keeps."""

    request_id: int
    slices: list[BurnSlice]


class RouterDigest(Struct, frozen=True, array_like=True, tag="digest"):
    """Gossip between routers: the sender's revision, which also requests what the sender lacks."""

    router: str
    incarnation: int
    zone: str
    revision: int
    agents: dict[str, list[int]] = {}
    """Number of known agents and their lowest revision, by availability zone."""
    config_age_s: float = -1.0
    """Upper bound of the age of the router's configuration in seconds; negative if unknown."""


class RouteCounts(Struct, frozen=True, array_like=True):
    """Answers counted by one router for one version of a roll-out, on one route."""

    is_target: bool
    route: str
    answers: int
    failed: int
    slow: int
    endpoints: list[str]
    """Endpoints that gave failed, broken or slow answers."""
    broken: int = 0
    paced: int = 0
    """Number of answers whose inter-token latency is known."""
    bad: list[int] = []
    """Failed, broken and slow answers of each of these endpoints."""


class CanaryReport(Struct, frozen=True, array_like=True):
    """State of a roll-out on the direct path as one router observes it."""

    service: str
    target: str
    elapsed_s: float
    state: str
    counts: list[RouteCounts]
    """Counts since the start of the roll-out, so that the next report makes up for a lost one."""
    kept_on_old: list[str] = []
    """Sessions kept on the old version although the canary share would move them to the new one."""
    was_fully_loaded: bool = False
    """Whether an endpoint of the new version has been under full load."""
    moved_to_new: list[str] = []
    """Sessions on the new version although the canary share would keep them on the old one."""
    stored_state: str = ""
    """State in the store as the sender last read or wrote it; empty if it has done neither."""
    stored_epoch: int = 0
    """Epoch of the store in which the sender did so."""
    kept_ages_s: list[float] = []
    """Seconds since the last request of each of the sessions that were kept."""
    moved_ages_s: list[float] = []
    """The same for those that were moved."""


class EndedCounts(Struct, frozen=True, array_like=True):
    """Counts of a process that has ended, for one roll-out."""

    service: str
    target: str
    process: str
    """Name and incarnation of the router."""
    counts: list[RouteCounts]


class RecentSessions(Struct, frozen=True, array_like=True):
    """Sessions of a service without a roll-out, which one that begins now would move."""

    service: str
    sessions: list[str]
    ages_s: list[float]
    """Seconds since the last request of each."""


class RecoveryRequest(Struct, frozen=True, array_like=True, tag="recover?"):
    """Request of a router that has started for what its earlier process knew."""


class RecoveryReply(Struct, frozen=True, array_like=True, tag="recover"):
    """What a router knows of sessions and counts, its own and what others have told it."""

    router: str
    incarnation: int
    is_complete: bool
    """Whether the sender has run, or been told, for as long as sessions last."""
    canaries: list[CanaryReport]
    """The sender's state of the roll-outs, with the sessions of all routers."""
    ended: list[EndedCounts]
    recent: list[RecentSessions]


class CanaryUpdate(Struct, frozen=True, array_like=True, tag="moved"):
    """Changes of a roll-out, sent to all routers immediately; `CanaryReport` repeats them."""

    service: str
    target: str
    moved_to_new: list[str]
    """Sessions newly moved to the new version, which other routers would send to the old one."""
    kept_on_old: list[str] = []
    """Sessions on the old version that others would move to the new one in the first half."""
    stored_state: str = ""
    """State in the store as the sender last read or wrote it; empty if it has done neither."""
    stored_epoch: int = 0
    """Epoch of the store in which the sender did so."""
    kept_ages_s: list[float] = []
    """Seconds since the last request of each of the sessions that were kept."""


class CrashNotice(Struct, frozen=True, array_like=True):
    """Crash of an endpoint while it ran a request; ages are in seconds at the time of sending."""

    key: str
    """Key of a possible cause: of the request, or of a part of its prompt."""
    lifetime: str
    service_version: str
    """Service and version that the endpoint ran."""
    started_age_s: float
    crash_age_s: float
    customer: str = ""
    """Customer of the request, where the key does not tell."""


class RunEndNotice(Struct, frozen=True, array_like=True):
    """End of a run with a cause, ``age_s`` seconds ago; its endpoint stayed alive."""

    key: str
    age_s: float


class ProbeNotice(Struct, frozen=True, array_like=True):
    """Start of a probe of a held cause, ``age_s`` seconds ago."""

    key: str
    service_version: str
    probes: int
    """Number of probes of the cause so far, this one included."""
    age_s: float
    lease_s: float
    """Seconds for which the probe may still run; 0 if it has ended."""


class CrashUpdate(Struct, frozen=True, array_like=True, tag="crash"):
    """Gossip between routers on crashes; any part may be duplicated, delayed or lost."""

    crashes: list[CrashNotice] = []
    run_ends: list[RunEndNotice] = []
    probes: list[ProbeNotice] = []


class LimitNotice(Struct, frozen=True, array_like=True):
    """Rate limit that an endpoint set, or its removal, ``age_s`` seconds ago."""

    lifetime: str
    age_s: float
    rate: Annotated[float, Meta(ge=0)] | None
    """Requests per second from all routers together; None if the limit was removed."""


class DrainNotice(Struct, frozen=True, array_like=True):
    """Announcement of an endpoint, ``age_s`` seconds ago, that it is draining."""

    lifetime: str
    age_s: float


class EndpointUpdate(Struct, frozen=True, array_like=True, tag="limit"):
    """Gossip between routers on signals of endpoints; may be duplicated, delayed or lost."""

    limits: list[LimitNotice] = []
    draining: list[DrainNotice] = []


class ProbeRequest(Struct, frozen=True, array_like=True, tag="probe?"):
    """Request of a router for permission to run a held request as a probe."""

    request_id: int
    key: str
    service_version: str
    lease_s: float
    """Maximum duration of the run in seconds."""


class ProbeReply(Struct, frozen=True, array_like=True, tag="probe"):
    """The reply to a `ProbeRequest`."""

    request_id: int
    is_granted: bool
    retry_after_s: float = 0.0


class EndpointUse(Struct, frozen=True, array_like=True):
    """Requests of one router in progress on one endpoint."""

    lifetime: str
    """Lifetime of the endpoint, so that a late report does not apply to a later lifetime."""
    running: int
    reading_s: float
    """Outstanding prefill work, in seconds of the endpoint's time."""
    rank: int = -1
    """Rank of the largest model in a long prefill, 0 for a route's smallest model; -1 for none."""


class EndpointPace(Struct, frozen=True, array_like=True):
    """Pace that an endpoint reported to a router."""

    lifetime: str
    pace: float
    """Factor by which work takes longer than usual on the endpoint's host."""
    age_s: float
    """Seconds since it was reported."""


class ViewRequest(Struct, frozen=True, array_like=True, tag="view?"):
    """Request for changes in a stream of the platform's store; held until there is a change."""

    request_id: int
    incarnation: int
    """Incarnation of the requesting router."""
    stream: str
    offset: int
    hold_s: float
    is_held_during_outage: bool = False
    """Whether to hold the request also in an outage of the store.

    The sender can't read the store during the outage either.
    """
    epoch: int = 0
    """Epoch of the store that the offset is from."""
    known_epoch: int = 0
    """Epoch of the store as the sender knows it, which may be later."""

    @property
    def position(self) -> Position:
        """Position after which the changes are requested."""
        return make_position(self.epoch, self.offset) if self.offset >= 0 else NO_POSITION


class ViewReply(Struct, frozen=True, array_like=True, tag="view"):
    """A router's view of a stream, from its own reads of the store."""

    request_id: int
    incarnation: int
    is_offset_known: bool
    """Whether the router knows what follows the requested offset."""
    end: int = -1
    age_s: float = 0.0
    """Age of the view in seconds."""
    held_s: float = 0.0
    """Seconds for which the request was held before the view was read."""
    is_after_outage: bool = False
    """Whether the records were read just after an outage of the store."""
    records: list[tuple[str, EndpointEntry | None]] = []
    """Changed entries of endpoints; None for a deleted entry."""
    packed: list[tuple[str, bytes]] = []
    """Operators' records, see `pack_value`. If empty, the store must be read up to ``end``."""
    members: list[tuple[str, str]] = []
    """Names and addresses of routers."""
    epoch: int = 0
    """Epoch of the store that the end is from."""
    is_complete: bool = False
    """Whether the reply has all changes since the requested position, even if there are none."""
    kept: list[tuple[str, bytes, float]] = []
    """Operators' records that are in force though the store returned from a copy that contradicts
    them: key, value in the copy as packed by `pack_value`, and seconds until that is in force."""
    kept_entries: list[tuple[str, EndpointEntry | None, float]] = []
    """The same for entries of endpoints."""

    @property
    def position(self) -> Position:
        """Position up to which the router knows the stream."""
        return make_position(self.epoch, self.end) if self.end >= 0 else NO_POSITION


class ServiceUse(Struct, frozen=True, array_like=True):
    """What the customers of a service under pressure have at one router."""

    service: str
    uses: list[CustomerUse]


class PeerReport(Struct, frozen=True, array_like=True, tag="peer"):
    """State of a router of the direct path, sent to all others several times a second."""

    router: str
    incarnation: int
    seq: int
    uses: list[EndpointUse]
    canaries: list[CanaryReport]
    retry_after_s: float = 0.0
    """Seconds until the router accepts streams again; 0 while it accepts them."""
    zone: str = ""
    link_mbps: float = 0.0
    """Bandwidth of the router's link in megabits per second; 0 if unknown."""
    routers: int = 0
    """Number of routers that the sender knows of if it is listed itself, else 0."""
    store_epoch: int = 0
    """Epoch of the store as the sender knows it."""
    configuration: int = 0
    """Number of the configuration in force at the sender; 0 before there is one."""
    paces: list[EndpointPace] = []
    """Paces that the sender has heard since its last report."""
    customers: list[ServiceUse] = []
    """What customers have at the sender, of services under pressure."""


Message = (
    Hello
    | Start
    | Cancel
    | Fetch
    | UsageConfirmation
    | ConfigRecords
    | ConfigSnapshot
    | ConfigRequest
    | Withdrawal
    | Heartbeat
    | AttemptAccepted
    | Refused
    | Chunk
    | Finished
    | Failed
    | UsageHandover
    | RouterDigest
    | Evidence
    | BurnRequest
    | BurnReply
    | LoadOrder
    | LoadOrderReply
    | PeerReport
    | CanaryUpdate
    | CrashUpdate
    | EndpointUpdate
    | ProbeRequest
    | ProbeReply
    | RecoveryRequest
    | RecoveryReply
    | ViewRequest
    | ViewReply
)
