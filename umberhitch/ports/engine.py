"""Ports to the back end of an agent: a model engine or a plain service."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from umberhitch.wire import EngineWork, ServiceWork, Usage

__all__ = [
    "BackendCall",
    "BackendDone",
    "BackendEvent",
    "BackendFailed",
    "BackendLoad",
    "BackendPort",
    "BackendRefused",
    "BackendText",
    "EventSink",
]


@dataclass(frozen=True, slots=True)
class BackendCall:
    """A call to the endpoint's engine or service."""

    call_id: str
    target: str
    """``model@version``, or the name of a service."""
    work: EngineWork | ServiceWork
    priority: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class BackendText:
    """The next piece of the answer."""

    text: str


@dataclass(frozen=True, slots=True)
class BackendDone:
    """The answer is complete."""

    usage: Usage
    finish_reason: str = "stop"
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class BackendRefused:
    """The back end certainly did not run the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class BackendFailed:
    """The call may have run, partly or completely."""

    reason: str


BackendEvent = BackendText | BackendDone | BackendRefused | BackendFailed


class EventSink(Protocol):
    """Receives the events of one call; the last event is never a `BackendText`."""

    def __call__(self, event: BackendEvent) -> None: ...


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load as reported by the back end itself, with a lag."""

    running: int
    queued: int


class BackendPort(Protocol):
    """One model engine, or one replica of a plain service."""

    def start(self, call: BackendCall, sink: EventSink) -> None:
        """Start the call; its events go to ``sink``."""
        ...

    def load(self, target: str, token: int) -> Deferred[bool]:
        """Replace the served version by ``target``; the result is whether it was loaded."""
        ...

    def cancel(self, call_id: str) -> None:
        """Stop the call if it is still running; its sink still receives a last event."""
        ...
