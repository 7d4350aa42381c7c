"""Messages between routers and agents.

Every message is a compact array; its first item is the tag. Fields are only ever added at the end
and with a default, so that two adjacent versions of umberhitch understand each other.
"""

from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta, Struct

from umberhitch.core.direct import EndpointEntry

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
    "Refused",
    "RouteCounts",
    "RouterDigest",
    "RunEndNotice",
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
    """Identity of one attempt: which incarnation of which router issued it, and its number."""

    router: str
    incarnation: int
    seq: int

    def __str__(self) -> str:
        return f"{self.router}.{self.incarnation}.{self.seq}"


URGENT_PRIORITY = 2
"""Attempts of this priority or a lower number are urgent: they overtake the others' queue."""


class EndpointState(StrEnum):
    """What an agent says of its endpoint."""

    READY = "ready"
    DRAINING = "leaving"


class Usage(Struct, frozen=True, array_like=True):
    """What one attempt used."""

    input_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0


class UsageRecord(Struct, frozen=True, array_like=True):
    """What one request used; the request id makes it count once."""

    request: str
    customer: str
    target: str
    usage: Usage
    cost_micros: int
    attempts: int = 1
    klass: str = ""


class EngineWork(Struct, frozen=True, array_like=True, tag="e"):
    """A call of a model engine."""

    messages: list[dict[str, Any]]
    """As the caller sent them: ``role``, ``content`` and what else belongs to a message."""
    max_tokens: int
    temperature: float = 1.0
    prefix: str = ""
    """Hash of the prompt's stable prefix, for cache affinity; empty if unknown."""


class ServiceWork(Struct, frozen=True, array_like=True, tag="s"):
    """A call of a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """A router introduces itself to an agent, and repeats it as its heartbeat."""

    router: str
    incarnation: int
    zone: str
    revision: int
    token: int = -1
    """Newest fencing token that the router has read of."""
    heartbeat_interval_s: float = 1.0
    """How often the router wants to hear of the agent, unless something has changed."""


class Start(Struct, frozen=True, array_like=True, tag="start"):
    """Run an attempt. Sent again until `AttemptAccepted`; the agent's ledger makes it idempotent."""

    attempt: AttemptId
    agent_incarnation: int
    request: str
    customer: str
    target: str
    work: EngineWork | ServiceWork
    priority: int
    deadline_s: float
    """Time left at the moment of sending."""
    revision: int
    """Revision of configuration that the decision was based on."""
    session: str = ""
    """Session token, where the version is pinned by one."""
    klass: str = ""


class Cancel(Struct, frozen=True, array_like=True, tag="cancel"):
    """Refuse the attempt for ever if it has not begun; else stop it."""

    attempt: AttemptId
    agent_incarnation: int


class Fetch(Struct, frozen=True, array_like=True, tag="fetch"):
    """Send the answer again from an offset, with its end if it has ended."""

    attempt: AttemptId
    offset: int
    customer: str
    """The agent answers only if the attempt is this customer's."""


class UsageConfirmation(Struct, frozen=True, array_like=True, tag="billed"):
    """The usage records of these requests were seen in the log."""

    requests: list[str]


class ConfigRecords(Struct, frozen=True, array_like=True, tag="config"):
    """Records of the configuration stream that follow ``previous``."""

    previous: int
    records: list[tuple[int, bytes]]


class ConfigSnapshot(Struct, frozen=True, array_like=True, tag="snapshot"):
    """A whole fold, for a process that is too far behind for records."""

    data: bytes


class ConfigRequest(Struct, frozen=True, array_like=True, tag="need"):
    """Send the configuration after this revision."""

    revision: int


class Withdrawal(Struct, frozen=True, array_like=True, tag="stop"):
    """Give this version no new work, ahead of the record in the log.

    It holds until the configuration says something newer of the version, or rejects the change.
    """

    version: str
    change_id: str


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """An agent's heartbeat: who it is, what it serves, how loaded it is."""

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
    """Attempts running and queued that are urgent; see `URGENT_PRIORITY`."""


class AttemptAccepted(Struct, frozen=True, array_like=True, tag="taken"):
    """The attempt is in the ledger and will be answered."""

    attempt: AttemptId


class Refused(Struct, frozen=True, array_like=True, tag="refused"):
    """The attempt did not run and never will."""

    attempt: AttemptId
    reason: str
    retry_after_s: float = 0.0


class Chunk(Struct, frozen=True, array_like=True, tag="chunk"):
    """A piece of an answer, at an offset counted in characters."""

    attempt: AttemptId
    offset: int
    text: str


class Finished(Struct, frozen=True, array_like=True, tag="done"):
    """The answer is whole at ``length`` characters."""

    attempt: AttemptId
    length: int
    usage: Usage
    finish_reason: str = "stop"
    status: int = 200
    headers: dict[str, str] = {}
    target: str = ""


class Failed(Struct, frozen=True, array_like=True, tag="failed"):
    """The attempt began and did not end well: what it did is not known."""

    attempt: AttemptId
    reason: str
    usage: Usage = Usage()


class UsageHandover(Struct, frozen=True, array_like=True, tag="handover"):
    """Usage records whose router has not confirmed them in time."""

    records: list[UsageRecord]


class LoadOrder(Struct, frozen=True, array_like=True, tag="order"):
    """The holder of a lease orders an endpoint to load a version; sent again until it serves it."""

    token: int
    """Fencing token: the offset of the holder's acquisition."""
    order_id: str
    """Id of the order; the same order is carried out once."""
    target: str


class LoadOrderReply(Struct, frozen=True, array_like=True, tag="ordered"):
    """Whether the agent carries an order out."""

    order_id: str
    is_accepted: bool
    reason: str = ""


class Evidence(Struct, frozen=True, array_like=True, tag="evidence"):
    """What a router has observed of one version and class since it last said so."""

    version: str
    klass: str
    ratings: list[int]
    """In steps of one two-hundredth."""
    done: int
    failed: int
    latencies_ms: list[int]


class BurnSlice(Struct, frozen=True, array_like=True):
    """What one router counted of a customer and class in one minute."""

    slot: int
    customer: str
    klass: str
    good: int
    bad: int
    histogram: bytes
    """Latencies in ms, as an encoded HDR histogram; empty where they are not kept."""


class BurnRequest(Struct, frozen=True, array_like=True, tag="burn?"):
    """Send what you counted; asked when an operator wants to know, not all the time."""

    request_id: int


class BurnReply(Struct, frozen=True, array_like=True, tag="burn"):
    """A router's whole book."""

    request_id: int
    slices: list[BurnSlice]


class RouterDigest(Struct, frozen=True, array_like=True, tag="digest"):
    """A router tells another how far it has come, and asks for what it lacks."""

    router: str
    incarnation: int
    zone: str
    revision: int
    agents: dict[str, list[int]] = {}
    """For each availability zone: agents known, and the lowest revision among them."""
    config_age_s: float = -1.0
    """How old the router's configuration may be at most; negative if it cannot say."""


class RouteCounts(Struct, frozen=True, array_like=True):
    """Answers that one router has counted of one version of a roll-out, on one route."""

    is_target: bool
    route: str
    answers: int
    failed: int
    slow: int
    endpoints: list[str]
    """On which failed, broken or slow answers came."""
    broken: int = 0
    paced: int = 0
    """Answers of which the pace is known."""


class CanaryReport(Struct, frozen=True, array_like=True):
    """How one router sees a roll-out on the direct path."""

    service: str
    target: str
    elapsed_s: float
    state: str
    counts: list[RouteCounts]
    """Since the start of the roll-out, so that a lost report is made good by the next."""
    kept_on_old: list[str] = []
    """Sessions that stay on the old version, though their share would send them to the new one."""
    was_fully_loaded: bool = False
    """Whether an endpoint of the new version was loaded fully."""
    moved_to_new: list[str] = []
    """Sessions that are on the new version, though their share would send them to the old one."""
    stored_state: str = ""
    """State that stands in the store, as the sender read or wrote it; empty where it did not."""


class CanaryUpdate(Struct, frozen=True, array_like=True, tag="moved"):
    """What all routers are to know of a roll-out at once; the reports repeat it."""

    service: str
    target: str
    moved_to_new: list[str]
    """Sessions that have just moved to the new version; others would send them to the old one."""
    kept_on_old: list[str] = []
    """Sessions on the old version that others would send to the new one, in the first half."""
    stored_state: str = ""
    """State that stands in the store, as the sender read or wrote it."""


class CrashNotice(Struct, frozen=True, array_like=True):
    """An endpoint ended while a request was under way there; ages are from the sending on."""

    key: str
    lifetime: str
    service_version: str
    """Service and version that the endpoint ran."""
    started_age_s: float
    crash_age_s: float


class RunEndNotice(Struct, frozen=True, array_like=True):
    """A run of a request ended with its endpoint alive, so long ago."""

    key: str
    age_s: float


class ProbeNotice(Struct, frozen=True, array_like=True):
    """A probe of a request that is held was let through, so long ago."""

    key: str
    service_version: str
    probes: int
    """How many that made."""
    age_s: float
    lease_s: float
    """How long from now on it may last; 0 where it is over."""


class CrashUpdate(Struct, frozen=True, array_like=True, tag="crash"):
    """What routers tell each other of crashes; any part may come again, late or never."""

    crashes: list[CrashNotice] = []
    run_ends: list[RunEndNotice] = []
    probes: list[ProbeNotice] = []


class LimitNotice(Struct, frozen=True, array_like=True):
    """A rate that an endpoint named so long ago, or that it named none any more."""

    lifetime: str
    age_s: float
    rate: Annotated[float, Meta(ge=0)] | None
    """Requests a second from all routers together; None where the limit was over."""


class DrainNotice(Struct, frozen=True, array_like=True):
    """That an endpoint said so long ago that it leaves."""

    lifetime: str
    age_s: float


class EndpointUpdate(Struct, frozen=True, array_like=True, tag="limit"):
    """What routers tell each other of what endpoints say; may come again, late, never."""

    limits: list[LimitNotice] = []
    draining: list[DrainNotice] = []


class ProbeRequest(Struct, frozen=True, array_like=True, tag="probe?"):
    """May the sender run a request that is held?"""

    request_id: int
    key: str
    service_version: str
    lease_s: float
    """How long the run lasts at most."""


class ProbeReply(Struct, frozen=True, array_like=True, tag="probe"):
    """The answer to a `ProbeRequest`."""

    request_id: int
    is_granted: bool
    retry_after_s: float = 0.0


class EndpointUse(Struct, frozen=True, array_like=True):
    """What one router has under way on one endpoint."""

    lifetime: str
    """Its lifetime: what is told of one that is over concerns no other."""
    running: int
    reading_s: float
    """Prompts that are not read yet, in seconds of the endpoint's time."""
    rank: int = -1
    """Largest model that reads a long prompt there, the smallest of a route 0; -1 for none."""


class ViewRequest(Struct, frozen=True, array_like=True, tag="view?"):
    """What has changed in a stream of the platform's store? Held while nothing has."""

    request_id: int
    incarnation: int
    """Of the router that asks."""
    stream: str
    offset: int
    hold_s: float
    is_held_during_outage: bool = False
    """Whether to hold it also where the store cannot be read: the asker cannot either."""


class ViewReply(Struct, frozen=True, array_like=True, tag="view"):
    """What a router knows of a stream, as its own reads told it."""

    request_id: int
    incarnation: int
    is_offset_known: bool
    """Whether it can tell what came after the offset."""
    end: int = -1
    age_s: float = 0.0
    """How old its view is."""
    held_s: float = 0.0
    """How long it held the ask, before it looked at its view."""
    is_after_outage: bool = False
    """Whether the store had been away when it told this."""
    records: list[tuple[str, EndpointEntry | None]] = []
    """Changed entries of endpoints; None where one is gone."""
    packed: list[tuple[str, bytes]] = []
    """What operators wrote, see `pack_value`. With none the store is to be read up to the end."""
    members: list[tuple[str, str]] = []
    """Names and addresses of routers."""


class PeerReport(Struct, frozen=True, array_like=True, tag="peer"):
    """What a router of the direct path tells the others, several times a second."""

    router: str
    incarnation: int
    seq: int
    uses: list[EndpointUse]
    canaries: list[CanaryReport]
    retry_after_s: float = 0.0
    """Time until the router takes streams again; 0 where it does now."""
    zone: str = ""
    link_mbps: float = 0.0
    """Bandwidth of its link; 0 where it is not told."""


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
    | ViewRequest
    | ViewReply
)
