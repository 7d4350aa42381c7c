"""Life cycle of one attempt at its agent, as an automat machine."""

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
    """Where an attempt stands at its agent."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"


TERMINAL_STATES = frozenset({AttemptState.DONE, AttemptState.FAILED, AttemptState.REFUSED})


@dataclass(slots=True)
class AttemptEntry:
    """What the ledger holds of one attempt.

    Attributes
    ----------
    parts : list of str
        The answer so far.
    length : int
        Characters in ``parts``.
    result : AttemptResult or None
        The last message on the attempt, once there is one.
    """

    attempt: AttemptId
    start: Start | None
    deadline_s: float = 0.0
    """When the caller's deadline passes, on the agent's clock."""
    state: AttemptState = AttemptState.QUEUED
    parts: list[str] = field(default_factory=list)
    length: int = 0
    result: AttemptResult | None = None
    text_dropped: bool = False

    @property
    def is_terminal(self) -> bool:
        """Whether nothing can happen to the attempt any more."""
        return self.state in TERMINAL_STATES

    def add_text(self, text: str) -> int:
        """Append to the answer and return the offset at which the text stands."""
        offset = self.length
        self.parts.append(text)
        self.length += len(text)
        return offset

    def text_from(self, offset: int) -> str:
        """Return the answer from an offset to where it stands now."""
        if len(self.parts) > 1:
            self.parts = ["".join(self.parts)]
        return self.parts[0][offset:] if self.parts else ""


class AttemptLifecycle(Protocol):
    """Inputs of the machine."""

    def start(self) -> None:
        """The back end is given the call."""

    def complete(self, result: Finished) -> None:
        """The answer is whole."""

    def fail(self, result: Failed) -> None:
        """The attempt ended after it began, and its effect is not known."""

    def refuse(self, result: Refused) -> None:
        """The attempt has not run and will not."""


_builder = TypeMachineBuilder(AttemptLifecycle, AttemptEntry)
_queued = _builder.state("queued")
_running = _builder.state("running")
_done = _builder.state("done")
_failed = _builder.state("failed")
_refused = _builder.state("refused")


@_queued.upon(AttemptLifecycle.start).to(_running)
def _begin(life: AttemptLifecycle, entry: AttemptEntry) -> None:
    entry.state = AttemptState.RUNNING


@_queued.upon(AttemptLifecycle.refuse).to(_refused)
def _refuse_queued(life: AttemptLifecycle, entry: AttemptEntry, result: Refused) -> None:
    entry.state, entry.result = AttemptState.REFUSED, result


@_running.upon(AttemptLifecycle.refuse).to(_refused)
def _refuse_running(life: AttemptLifecycle, entry: AttemptEntry, result: Refused) -> None:
    """The back end itself said that it did not run the call."""
    entry.state, entry.result = AttemptState.REFUSED, result


@_running.upon(AttemptLifecycle.complete).to(_done)
def _complete(life: AttemptLifecycle, entry: AttemptEntry, result: Finished) -> None:
    entry.state, entry.result = AttemptState.DONE, result


@_running.upon(AttemptLifecycle.fail).to(_failed)
def _fail(life: AttemptLifecycle, entry: AttemptEntry, result: Failed) -> None:
    entry.state, entry.result = AttemptState.FAILED, result


make_attempt_lifecycle = _builder.build()
"""Build the machine of one `AttemptEntry`."""
