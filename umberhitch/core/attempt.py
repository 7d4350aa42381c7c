"""State machine of one attempt at its agent, built with automat."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder

from umberhitch.wire import AttemptId, Failed, Finished, Refused, Start

__all__ = [
    "AttemptEntry",
    "AttemptLifecycle",
    "AttemptResult",
    "AttemptState",
    "make_attempt_lifecycle",
]

AttemptResult = Finished | Failed | Refused


class AttemptState(StrEnum):
    """State of an attempt at its agent."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"


TERMINAL_STATES = frozenset({AttemptState.DONE, AttemptState.FAILED, AttemptState.REFUSED})


@dataclass(slots=True)
class AttemptEntry:
    """Ledger entry of one attempt.

    Attributes
    ----------
    parts : list of str
        Chunks of the answer received so far.
    length : int
        Total number of characters in ``parts``.
    result : AttemptResult or None
        The terminal message of the attempt, or None while it has not ended.
    """

    attempt: AttemptId
    start: Start | None
    deadline_s: float = 0.0
    """Deadline of the caller in seconds, on the agent's clock."""
    state: AttemptState = AttemptState.QUEUED
    parts: list[str] = field(default_factory=list)
    length: int = 0
    result: AttemptResult | None = None
    text_dropped: bool = False

    @property
    def is_terminal(self) -> bool:
        """Whether the attempt has ended."""
        return self.state in TERMINAL_STATES

    def add_text(self, text: str) -> int:
        """Append text to the answer and return the offset at which it starts."""
        offset = self.length
        self.parts.append(text)
        self.length += len(text)
        return offset

    def text_from(self, offset: int) -> str:
        """Return the answer so far, from an offset on."""
        if len(self.parts) > 1:
            self.parts = ["".join(self.parts)]
        return self.parts[0][offset:] if self.parts else ""


class AttemptLifecycle(Protocol):
    """Inputs of the state machine."""

    def start(self) -> None:
        """Record that the call is passed to the back end."""

    def complete(self, result: Finished) -> None:
        """Record that the answer is complete."""

    def fail(self, result: Failed) -> None:
        """Record that the attempt failed after it started; its effect is unknown."""

    def refuse(self, result: Refused) -> None:
        """Record that the attempt has not run and never will."""


_builder = TypeMachineBuilder(AttemptLifecycle, AttemptEntry)
_queued = _builder.state("queued")
_running = _builder.state("running")
_done = _builder.state("done")
_failed = _builder.state("failed")
_refused = _builder.state("refused")


@_queued.upon(AttemptLifecycle.start).to(_running)
def _start(lifecycle: AttemptLifecycle, entry: AttemptEntry) -> None:
    entry.state = AttemptState.RUNNING


@_queued.upon(AttemptLifecycle.refuse).to(_refused)
def _refuse_queued(lifecycle: AttemptLifecycle, entry: AttemptEntry, result: Refused) -> None:
    entry.state, entry.result = AttemptState.REFUSED, result


@_running.upon(AttemptLifecycle.refuse).to(_refused)
def _refuse_running(lifecycle: AttemptLifecycle, entry: AttemptEntry, result: Refused) -> None:
    """Apply a refusal by the back end, which reports that it did not run the call."""
    entry.state, entry.result = AttemptState.REFUSED, result


@_running.upon(AttemptLifecycle.complete).to(_done)
def _complete(lifecycle: AttemptLifecycle, entry: AttemptEntry, result: Finished) -> None:
    entry.state, entry.result = AttemptState.DONE, result


@_running.upon(AttemptLifecycle.fail).to(_failed)
def _fail(lifecycle: AttemptLifecycle, entry: AttemptEntry, result: Failed) -> None:
    entry.state, entry.result = AttemptState.FAILED, result


make_attempt_lifecycle = _builder.build()
"""Build the state machine of one `AttemptEntry`."""
