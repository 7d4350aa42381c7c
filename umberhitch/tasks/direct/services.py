"""What a request on the direct path needs of its router, and what the router says of it."""

from dataclasses import dataclass
from typing import Protocol

from umberhitch.core.direct import (
    AnswerVerdict,
    CallerRequest,
    Candidate,
    Customer,
    Endpoint,
    PlacedCall,
    ReplyHead,
    Route,
    RouteKind,
)
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import CallerReply, CallEvents, RunningCall

__all__ = [
    "AdmittedRequest",
    "CrashGuardPort",
    "EndpointSelectorPort",
    "ProxyTimeouts",
    "RequestState",
    "Run",
    "Services",
    "service_version_of",
]


@dataclass(frozen=True, slots=True)
class ProxyTimeouts:
    """Times in seconds, or as multiples of what the route says.

    Attributes
    ----------
    try_objectives : float
        A call that may be repeated gets so many times the objective before it is tried elsewhere.
    first_event_objectives : float
        The same for the first event of a stream.
    gap_factor : float
        A stream that pauses for so many times its longest good pause counts as broken.
    least_try_s : float
        No call is given up before.
    """

    attempt_objectives: float = 2.5
    first_event_objectives: float = 2.0
    gap_factor: float = 2.5
    min_attempt_s: float = 0.25

    def attempt_timeout_s(self, route: Route) -> float | None:
        """Return how long a call may be silent before it is tried elsewhere, if it may be."""
        match route.kind:
            case RouteKind.STREAM if route.is_repeatable:
                return max(self.min_attempt_s, self.first_event_objectives * route.objective_s)
            case RouteKind.IDEMPOTENT:
                return max(self.min_attempt_s, self.attempt_objectives * route.objective_s)
        return None


@dataclass(slots=True)
class AdmittedRequest:
    """What the configuration says of a request that it admits."""

    request: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    received_s: float
    wants_target: bool | None
    """Whether it goes to the new version of a roll-out; None without one."""
    request_key: str = ""
    """Names the request when it comes again, see `request_key`."""


@dataclass(slots=True)
class Run:
    """One call of a request to an endpoint.

    Attributes
    ----------
    permit : AdmittedRequest
    endpoint : Endpoint
    began_s : float
        When it was sent.
    is_probe : bool
        Whether the request is held, and this call is to show whether it still ends endpoints.
    head_s : float or None
        When the head of the reply came: the endpoint had begun to run it.
    """

    admitted: AdmittedRequest
    endpoint: Endpoint
    sent_s: float
    is_probe: bool
    head_s: float | None = None

    @property
    def service_version(self) -> str:
        """Return service and version that runs it."""
        return service_version_of(self.endpoint)


def service_version_of(endpoint: Endpoint) -> str:
    """Return the service of an endpoint and the version that it runs."""
    return f"{endpoint.entry.service}/{endpoint.entry.version}"


class RequestState(CallEvents, Protocol):
    """One request under way, as its router sees it."""

    admitted: AdmittedRequest
    first_event_s: float | None

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that the caller has."""
        ...

    @property
    def remaining_s(self) -> float:
        """Time until the final answer is due."""
        ...

    @property
    def sends(self) -> int:
        """Calls so far that reached an endpoint, or may have."""
        ...

    @property
    def model(self) -> str | None:
        """Model that was asked last."""
        ...

    @property
    def endpoint(self) -> Endpoint | None:
        """Endpoint that was asked last."""
        ...

    def abort(self) -> None:
        """Break off: the process stops."""
        ...


class EndpointSelectorPort(Protocol):
    """Chooses model and endpoint for each call of a request.

    Attributes
    ----------
    reason : str
        Why the last choice found no endpoint.
    """

    failure_reason: str

    def first_model(self, permit: AdmittedRequest) -> str | None:
        """Return the model to begin with."""
        ...

    def larger_model(
        self, permit: AdmittedRequest, model: str, confidence: int | None, waited_s: float
    ) -> str | None:
        """Return the model to ask instead, or None to keep the answer."""
        ...

    def select_endpoint(
        self, permit: AdmittedRequest, model: str | None, tried: set[str]
    ) -> Candidate | None:
        """Return where a call goes, or None where no endpoint takes work."""
        ...


class CrashGuardPort(Protocol):
    """Knows under which requests endpoints end, and is told of all calls."""

    def is_held(self, permit: AdmittedRequest) -> bool:
        """Whether a request is run by probes only."""
        ...

    def start_run(self, permit: AdmittedRequest, endpoint: Endpoint, is_probe: bool) -> Run:
        """Take note that a call is sent; what is returned names it in the others."""
        ...

    def record_head(self, run: Run) -> None:
        """Take note that it has the head of its reply."""
        ...

    def record_completed(self, run: Run) -> None:
        """Take note that it has its whole reply: its endpoint lives after it."""
        ...

    def record_not_run(self, run: Run) -> None:
        """Take note that the endpoint has not run it."""
        ...

    def record_cancelled(self, run: Run) -> None:
        """Take note that it was given up here."""
        ...

    def record_broken(self, run: Run) -> None:
        """Take note that it broke, or was silent for too long."""
        ...

    def record_not_sent(self, run: Run) -> None:
        """Take note that there was no connection for it."""
        ...


class Services(Protocol):
    """What a request needs of its router."""

    clock: Clock
    timeouts: ProxyTimeouts

    @property
    def selector(self) -> EndpointSelectorPort:
        """Chooses model and endpoint."""
        ...

    @property
    def crash_guard(self) -> CrashGuardPort:
        """Knows under which requests endpoints end."""
        ...

    def send(
        self, permit: AdmittedRequest, endpoint: Endpoint, model: str | None, call: RequestState
    ) -> tuple[RunningCall, PlacedCall]:
        """Send the request to an endpoint."""
        ...

    def acquire_retry(self, service: str) -> bool:
        """Take one repeat from the shared budget, if there is one."""
        ...

    def judge_latency(
        self,
        permit: AdmittedRequest,
        endpoint: Endpoint,
        model: str | None,
        latency_s: float,
        since_s: float,
    ) -> AnswerVerdict:
        """Take note of a pace measured from a time on, and return what it says of the answer."""
        ...

    def record_verdict(
        self, permit: AdmittedRequest, endpoint: Endpoint, verdict: AnswerVerdict
    ) -> None:
        """Take note of how an endpoint answered."""
        ...

    def mark_unreachable(self, endpoint: Endpoint, has_exited: bool = False) -> None:
        """Take note that an endpoint could not be reached or went silent.

        Parameters
        ----------
        endpoint : Endpoint
        has_exited : bool
            Whether nothing listens at its address any more.
        """
        ...

    def mark_address_reused(self, endpoint: Endpoint) -> None:
        """Take note that another incarnation has the endpoint's address."""
        ...

    def record_head(self, placed: PlacedCall, head: ReplyHead) -> None:
        """Take note that a reply has begun."""
        ...

    def record_late_head(self, endpoint: Endpoint, head: ReplyHead) -> None:
        """Take note of a reply of an endpoint to a call that nobody waits for any more."""
        ...

    def release_call(self, placed: PlacedCall, is_failure: bool | None) -> None:
        """Count a call no more."""
        ...

    def send_refusal(
        self, reply: CallerReply, permit: AdmittedRequest, status: int, reason: str
    ) -> None:
        """Send an answer of the router's own."""
        ...

    def request_finished(self, proxied: RequestState, outcome: str) -> None:
        """Take note that a request has its final answer."""
        ...

    def log_decision(
        self, proxied: RequestState, message: str, is_failure: bool, **facts: object
    ) -> None:
        """Write a decision to the log."""
        ...
