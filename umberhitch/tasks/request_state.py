"""What the router's tasks know of a request while it is being served."""

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
    """A request, as the core sees it.

    Attributes
    ----------
    spec : str
        Model, ``model@version``, ``auto``, or the name of a service.
    deadline_s : float
        Time that the caller gives, from now.
    is_repeatable : bool
        Whether it may run more than once.
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
    """Whether the caller sees the answer while it grows, so that it cannot be begun again."""

    @property
    def is_service(self) -> bool:
        """Whether a plain service is called."""
        return isinstance(self.work, ServiceWork)


@dataclass(slots=True)
class AttemptTrace:
    """One attempt of a request, for explanations."""

    attempt: str
    target: str
    endpoint: str
    outcome: str = "open"


@dataclass(slots=True)
class RequestTrace:
    """Why a request went where it went."""

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
    """The state of one request while it is being served."""

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
    """Of an earlier attempt, which may have run."""
    last_refusal: NotRun | None = None
    """Of an earlier attempt; it tells the caller more than that no endpoint is left."""


@dataclass(slots=True)
class AttemptPlacement:
    """Where an attempt is to run."""

    target: str
    endpoint: Endpoint
    attempt: AttemptId
    agent_incarnation: int


def format_outcome(outcome: Outcome) -> str:
    """Return an outcome in one word or two."""
    match outcome:
        case Done():
            return "done"
        case NotRun(reason=reason):
            return f"not_run: {reason.value}"
        case Unknown(reason=reason):
            return f"unknown: {reason.value}"


def make_recorded_answer(done: Done) -> RecordedAnswer:
    """Return an outcome as it is kept for later callers with the same key."""
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
    """Return a kept answer as an outcome."""
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
