"""Interfaces between a proxied request on the direct path and its router."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from umberhitch.core.direct import (
    AnswerVerdict,
    CallerRequest,
    Candidate,
    Customer,
    Endpoint,
    LargerChoice,
    PlacedCall,
    ReplyHead,
    Route,
    RouteKind,
    latest_delivery_s,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallerReply, CallEvents, RunningCall
from umberhitch.tasks.direct.buffered_bytes import BufferedBytes

__all__ = [
    "AdmittedRequest",
    "CrashGuardPort",
    "EndpointSelectorPort",
    "ProxyTimeouts",
    "ReadyAnswerFate",
    "RequestState",
    "Run",
    "RunCause",
    "Services",
    "Waiter",
    "service_version_of",
]


@dataclass(frozen=True, slots=True)
class ProxyTimeouts:
    """Timeouts of calls to endpoints, most of them as multiples of the route's own times.

    Attributes
    ----------
    attempt_objectives : float
        Timeout of a call of an idempotent route, as a multiple of the route's latency objective.
        After it the request is sent to another endpoint.
    first_event_objectives : float
        Timeout for the first event of a stream, as a multiple of the route's latency objective.
    gap_factor : float
        Timeout between the events of a stream, as a multiple of the route's longest normal gap.
        A stream that exceeds it counts as broken.
    min_attempt_s : float
        Lower bound of the timeout of a call and of the first event, in seconds.
    """

    attempt_objectives: float = 2.5
    first_event_objectives: float = 2.0
    gap_factor: float = 2.5
    min_attempt_s: float = 0.25

    def attempt_timeout_s(self, route: Route) -> float | None:
        """Return the timeout of a call in seconds, or None if the route must not be retried."""
        match route.kind:
            case RouteKind.STREAM if route.is_repeatable:
                return max(self.min_attempt_s, self.first_event_objectives * route.objective_s)
            case RouteKind.IDEMPOTENT:
                return max(self.min_attempt_s, self.attempt_objectives * route.objective_s)
        return None


class ReadyAnswerFate(StrEnum):
    """What became of a small model's answer for which a larger model was called."""

    REPLACED = "replaced"
    """Given up when the larger model's head or first event came."""
    DELIVERED = "delivered"
    """Passed on after all, since the larger model's answer did not start."""
    DROPPED = "dropped"
    """Given up before the larger model's answer started, so as not to run twice for long."""
    BROKEN = "broken"
    """Not completed by its endpoint, while the larger model was called."""
    LOST = "lost"
    """The request ended without any complete answer; counted beside the other fates."""


class RunCause(StrEnum):
    """Why a request that may have run before is sent again."""

    ESCALATED = "escalated"
    """A larger model is called in place of an answer."""
    RETRIED = "retried"
    """The earlier call failed, or its answer was given up."""
    RESUMED = "resumed"
    """The stream broke after a part of it was passed on."""


@dataclass(slots=True)
class AdmittedRequest:
    """A request that the configuration admits, with the settings that apply to it."""

    request: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    received_s: float
    wants_target: bool | None
    """Whether the request goes to the new version of a roll-out; None without a roll-out."""
    cause_keys: tuple[str, ...] = ("",)
    """Keys of the possible causes if the request crashes its endpoint, its own key first; see
    `core.direct.cause_keys`."""
    probed_key: str | None = None
    """The cause that a run of this request tests, if it is sent as a probe."""
    may_have_run: bool = False
    """Whether an endpoint may have run the request, so that it can't be refused as not run."""
    has_been_sent: bool = False
    """Whether a call was sent, which may not have arrived; set by admission control only."""
    waited_s: float | None = None
    """For how long its caller had waited when it came back; 0 for a new one, None if not known."""

    @property
    def request_key(self) -> str:
        """Identifies the request when a caller retries it; see `core.direct.request_key`."""
        return self.cause_keys[0]

    @property
    def timeout_s(self) -> float:
        """Seconds from the request's arrival to the deadline of the final answer."""
        return min(self.request.patience_s, self.route.timeout_s)

    @property
    def latest_delivery_s(self) -> float:
        """Seconds from the request's arrival until an answer at hand must be passed on."""
        return latest_delivery_s(self.route.objective_s, self.timeout_s)


@dataclass(slots=True)
class Run:
    """One call of a request to an endpoint.

    Attributes
    ----------
    admitted : AdmittedRequest
    endpoint : Endpoint
    sent_s : float
        Time at which the call was sent.
    is_probe : bool
        Whether the request is held, and this call tests whether it still crashes endpoints.
    head_s : float or None
        Time at which the head of the reply arrived: the endpoint had started to run the request.
    """

    admitted: AdmittedRequest
    endpoint: Endpoint
    sent_s: float
    is_probe: bool
    head_s: float | None = None

    @property
    def service_version(self) -> str:
        """Return the service and the version that run the request."""
        return service_version_of(self.endpoint)


def service_version_of(endpoint: Endpoint) -> str:
    """Return the service and the version of an endpoint."""
    return f"{endpoint.entry.service}/{endpoint.entry.version}"


class Waiter(Protocol):
    """A request in progress that can wait for room before its first call."""

    admitted: AdmittedRequest

    def resume(self) -> None:
        """Try again to send the first call."""
        ...

    def refuse(self, reason: str) -> None:
        """Give up, since there is no room in time."""
        ...


class RequestState(Protocol):
    """A request in progress, as its router sees it."""

    admitted: AdmittedRequest
    first_event_s: float | None

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that was passed to the caller."""
        ...

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline of the final answer."""
        ...

    @property
    def sends(self) -> int:
        """Number of calls so far that reached an endpoint or may have reached one."""
        ...

    @property
    def model(self) -> str | None:
        """Model of the last call."""
        ...

    @property
    def endpoint(self) -> Endpoint | None:
        """Endpoint of the last call."""
        ...

    def abort(self) -> None:
        """Abort the request because the process stops."""
        ...


class EndpointSelectorPort(Protocol):
    """Selects the model and the endpoint of each call of a request.

    Attributes
    ----------
    failure_reason : str
        Why the last selection found no endpoint.
    """

    failure_reason: str

    def first_model(self, admitted: AdmittedRequest) -> str | None:
        """Return the model of the first call."""
        ...

    def larger_model(
        self, admitted: AdmittedRequest, model: str, confidence: int | None, waited_s: float
    ) -> LargerChoice | None:
        """Return the larger model to call instead, with its first endpoint, or None."""
        ...

    def in_time_share(self, admitted: AdmittedRequest, model: str) -> float:
        """Return the share of a larger model's calls that began in time of late."""
        ...

    def record_larger_wait(
        self, admitted: AdmittedRequest, model: str, sent_s: float, waited_s: float, has_begun: bool
    ) -> None:
        """Learn from a larger model's call that has begun, or was given up before it began.

        Parameters
        ----------
        admitted : AdmittedRequest
        model : str
        sent_s : float
            Time at which the call was sent, in seconds since the request's arrival.
        waited_s : float
        has_begun : bool
        """
        ...

    def is_in_time(self, admitted: AdmittedRequest, model: str, candidate: Candidate) -> bool:
        """Whether a call's first event is expected within the objective."""
        ...

    def select_endpoint(
        self, admitted: AdmittedRequest, model: str | None, tried: set[str]
    ) -> Candidate | None:
        """Return the candidate for the next call, or None if no endpoint accepts it."""
        ...


class CrashGuardPort(Protocol):
    """Tracks which requests crash endpoints, from the outcome of each call."""

    def is_held(self, admitted: AdmittedRequest) -> bool:
        """Whether a request is held, so that only probes may run it."""
        ...

    def start_run(self, admitted: AdmittedRequest, endpoint: Endpoint, is_probe: bool) -> Run:
        """Record that a call is sent; return the run that identifies it in the other methods."""
        ...

    def record_head(self, run: Run) -> None:
        """Record that the head of the reply has arrived."""
        ...

    def record_completed(self, run: Run) -> None:
        """Record that the reply is complete: the endpoint survived the run."""
        ...

    def record_failed(self, run: Run) -> None:
        """Record that the endpoint answered that it failed."""
        ...

    def record_not_run(self, run: Run) -> None:
        """Record that the endpoint did not run the request."""
        ...

    def record_cancelled(self, run: Run) -> None:
        """Record that this router cancelled the call."""
        ...

    def record_broken(self, run: Run) -> None:
        """Record that the connection broke, or that the call timed out."""
        ...

    def record_not_sent(self, run: Run) -> None:
        """Record that no connection could be made for the call."""
        ...


class Services(Protocol):
    """Services of the router that a proxied request uses."""

    clock: Clock
    timeouts: ProxyTimeouts
    buffered: BufferedBytes

    @property
    def selector(self) -> EndpointSelectorPort:
        """Selects the model and the endpoint of each call."""
        ...

    @property
    def crash_guard(self) -> CrashGuardPort:
        """Tracks which requests crash endpoints."""
        ...

    def wait_for_room(self, waiter: Waiter) -> bool:
        """Let a request wait for room before its first call.

        Returns False if the last selection failed for another reason, or if the request may not
        wait. Otherwise the request is resumed or refused later, or was refused already.
        """
        ...

    def send(
        self,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
        proxied: RequestState,
        events: CallEvents,
    ) -> tuple[RunningCall, PlacedCall]:
        """Send the request to an endpoint, and count the call as placed there."""
        ...

    def acquire_retry(self, service: str) -> bool:
        """Take one retry from the shared retry budget; return whether there was one."""
        ...

    def give_back_retry(self, service: str) -> None:
        """Give a retry back that was taken and not used."""
        ...

    def judge_latency(
        self,
        admitted: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
        latency_s: float,
        since_s: float,
    ) -> AnswerVerdict:
        """Record a latency measured from ``since_s`` on, and return the verdict on the answer."""
        ...

    def record_verdict(
        self, admitted: AdmittedRequest, endpoint: Endpoint, verdict: AnswerVerdict
    ) -> None:
        """Record the verdict on an answer of an endpoint."""
        ...

    def mark_unreachable(self, endpoint: Endpoint, has_exited: bool = False) -> None:
        """Record that an endpoint could not be reached or stopped answering.

        Parameters
        ----------
        endpoint : Endpoint
        has_exited : bool
            Whether the connection was refused, because no process listens at the address.
        """
        ...

    def mark_address_reused(self, endpoint: Endpoint) -> None:
        """Record that another incarnation now uses the endpoint's address."""
        ...

    def record_head(self, placed_call: PlacedCall, head: ReplyHead) -> None:
        """Record the head of the reply to a call."""
        ...

    def record_late_head(self, endpoint: Endpoint, head: ReplyHead) -> None:
        """Record the head of a reply to a call that was given up before."""
        ...

    def release_call(self, placed_call: PlacedCall, is_failure: bool | None) -> None:
        """Stop counting a call as running."""
        ...

    def send_refusal(
        self, reply: CallerReply, admitted: AdmittedRequest, status: int, reason: str
    ) -> None:
        """Refuse a request with a reply made by the router itself."""
        ...

    def request_finished(self, proxied: RequestState, outcome: str) -> None:
        """Record the final outcome of a request."""
        ...

    def count_second_run(self, service: str, cause: RunCause) -> None:
        """Count a call of a request that may have run before."""
        ...

    def count_ready_answer(self, fate: ReadyAnswerFate) -> None:
        """Count what became of a small model's answer for which a larger model was called."""
        ...

    def log_decision(
        self, proxied: RequestState, message: str, is_failure: bool, **facts: object
    ) -> None:
        """Write a decision about a request to the log."""
        ...
