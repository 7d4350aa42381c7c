"""State of a request while a router serves it, and traces of its attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field

from umberhitch.config import Customer, RequestClass
from umberhitch.core.claims import RecordedAnswer
from umberhitch.core.outcome import Done, NotRun, Outcome, Unknown
from umberhitch.core.session import Session
from umberhitch.tasks.attempts import TextSink
from umberhitch.tasks.fleet import Endpoint
from umberhitch.wire import AttemptId, EngineWork, ServiceWork

__all__ = [
    "AttemptPlacement",
    "AttemptTrace",
    "CallerRequest",
    "RequestProgress",
    "RequestTrace",
    "format_outcome",
    "make_recorded_answer",
    "replay_answer",
]


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request, independent of the protocol that it arrived by.

    Attributes
    ----------
    spec : str
        Model, ``model@version``, ``auto``, or the name of a service.
    timeout_s : float
        Seconds from the arrival of the request to its deadline.
    is_repeatable : bool
        Whether the request may run more than once.
    is_streamed : bool
        Whether the caller receives text as it is generated; such an answer cannot be retried
        once text was sent.
    """

    request_id: str
    customer: Customer
    klass: RequestClass
    spec: str
    work: EngineWork | ServiceWork
    timeout_s: float
    is_repeatable: bool
    session: Session | None = None
    session_token: str = ""
    idempotency_key: str = ""
    fingerprint: str = ""
    is_streamed: bool = False

    @property
    def is_service(self) -> bool:
        """Whether the request calls a service and not a model."""
        return isinstance(self.work, ServiceWork)


@dataclass(slots=True)
class AttemptTrace:
    """Trace of one attempt, shown by the operator API."""

    attempt: str
    target: str
    endpoint: str
    outcome: str = "open"


@dataclass(slots=True)
class RequestTrace:
    """Trace of the placement and outcome of a request, shown by the operator API."""

    request: str
    customer: str
    klass: str
    spec: str
    revision: int
    attempts: list[AttemptTrace] = field(default_factory=list)
    outcome: str = "open"
    reason: str = ""
    cost_micros: int = 0
    locator: str = ""


@dataclass(slots=True)
class RequestProgress:
    """State of a request in progress.

    Attributes
    ----------
    deadline_s : float
        Deadline on the router's clock.
    sink : callable
        Receives the text of the answer piece by piece.
    on_placed : callable
        Receives the locator of the answer each time an attempt is sent.
    excluded : set of str
        Endpoints that earlier attempts were sent to.
    agents : list of str
        Endpoints whose agents may hold a usage record of the request.
    has_streamed_text : bool
        Whether text was sent to a caller that receives a stream.
    last_unknown : Unknown or None
        Outcome of the last attempt that may have run.
    last_refusal : NotRun or None
        Outcome of the last refused attempt; returned if no endpoint is left, because it says more
        than that there is none.
    """

    request: CallerRequest
    deadline_s: float
    sink: TextSink
    trace: RequestTrace
    on_placed: Callable[[str], None]
    excluded: set[str] = field(default_factory=set)
    agents: list[str] = field(default_factory=list)
    attempt_count: int = 0
    has_streamed_text: bool = False
    last_unknown: Unknown | None = None
    last_refusal: NotRun | None = None


@dataclass(slots=True)
class AttemptPlacement:
    """Target, endpoint and agent incarnation chosen for an attempt."""

    target: str
    endpoint: Endpoint
    attempt: AttemptId
    agent_incarnation: int


def format_outcome(outcome: Outcome) -> str:
    """Return an outcome as a short text with its reason."""
    match outcome:
        case Done():
            return "done"
        case NotRun(reason=reason):
            return f"not_run: {reason.value}"
        case Unknown(reason=reason):
            return f"unknown: {reason.value}"


def make_recorded_answer(done: Done) -> RecordedAnswer:
    """Return an answer in the form recorded for later requests with the same key."""
    return RecordedAnswer(
        done.text,
        done.usage,
        done.target,
        done.endpoint,
        done.finish,
        done.status,
        list(done.headers),
    )


def replay_answer(answer: RecordedAnswer) -> Done:
    """Return a recorded answer as an outcome."""
    return Done(
        answer.text,
        answer.usage,
        answer.target,
        answer.endpoint,
        answer.finish,
        answer.status,
        tuple(tuple(pair) for pair in answer.headers),  # type: ignore[misc]
        replayed=True,
    )
