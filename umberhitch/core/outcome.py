"""The outcome of a request: done, not run, or unknown."""

from dataclasses import dataclass
from enum import StrEnum

from umberhitch.wire import Usage

__all__ = ["Done", "NotRun", "Outcome", "Reason", "Unknown"]


class Reason(StrEnum):
    """Reason why a request was not done."""

    NOT_PERMITTED = "not_permitted"
    UNKNOWN_MODEL = "unknown_model"
    WITHDRAWN = "version_withdrawn"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    STALE_CONFIG = "stale_config"
    LEDGER_FULL = "ledger_full"
    USAGE_FULL = "usage_full"
    WRONG_INCARNATION = "wrong_incarnation"
    CANCELLED = "cancelled"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    AGENT_LOST = "agent_lost"
    NO_ANSWER = "no_answer"
    LOG_DOWN = "log_down"
    KEY_IN_USE = "key_in_use"
    KEY_REUSED = "key_reused"
    EVICTED = "evicted"
    SESSION_ENDED = "session_ended"


@dataclass(frozen=True, slots=True)
class Done:
    """The complete answer was received."""

    text: str
    usage: Usage
    target: str
    endpoint: str
    finish: str = "stop"
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    replayed: bool = False
    """Whether this is the recorded outcome of an earlier request with the same idempotency key."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """No back end has run the request, and none will."""

    reason: Reason
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """A back end may have run the request."""

    reason: Reason
    detail: str = ""


Outcome = Done | NotRun | Unknown
