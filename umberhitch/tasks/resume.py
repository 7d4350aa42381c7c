"""Fetching of answers at any router by the locator that the caller was given."""

from dataclasses import dataclass, replace

from umberhitch.core.outcome import Done, NotRun, Outcome, Reason, Unknown
from umberhitch.tasks.attempts import Attempts
from umberhitch.tasks.fleet import Fleet
from umberhitch.wire import AttemptId

__all__ = ["AnswerFetcher", "Locator", "format_locator", "parse_locator"]

FETCH_TIMEOUT_S = 30.0
SEPARATOR = "~"


@dataclass(frozen=True, slots=True)
class Locator:
    """Attempt that an answer belongs to, and the agent incarnation that holds it."""

    request_id: str
    endpoint: str
    agent_incarnation: int
    attempt: AttemptId


def format_locator(locator: Locator) -> str:
    """Return a locator as text."""
    attempt = locator.attempt
    parts = (
        locator.request_id,
        locator.endpoint,
        locator.agent_incarnation,
        attempt.router,
        attempt.incarnation,
        attempt.seq,
    )
    return SEPARATOR.join(str(part) for part in parts)


def parse_locator(text: str) -> Locator | None:
    """Return the locator that a text holds, or None if the text is not a locator."""
    parts = text.split(SEPARATOR)
    if len(parts) != 6:
        return None
    request, endpoint, agent_incarnation, router, incarnation, seq = parts
    numbers = (agent_incarnation, incarnation, seq)
    if not all(number.isdecimal() for number in numbers):
        return None
    attempt = AttemptId(router, int(incarnation), int(seq))
    return Locator(request, endpoint, int(agent_incarnation), attempt)


class AnswerFetcher:
    """Fetches answers from the agents that hold them.

    Parameters
    ----------
    attempts : Attempts
    fleet : Fleet
    """

    def __init__(self, attempts: Attempts, fleet: Fleet) -> None:
        self._attempts = attempts
        self._fleet = fleet

    async def fetch(self, locator: Locator, customer: str, offset: int) -> Outcome:
        """Wait for the end of an answer and return it from an offset on."""
        endpoint = self._fleet.get(locator.endpoint)
        if endpoint is None or endpoint.incarnation != locator.agent_incarnation:
            return Unknown(Reason.AGENT_LOST, "the agent that held the answer is gone")
        open_attempt = self._attempts.fetch(locator.attempt, endpoint, customer, FETCH_TIMEOUT_S)
        if open_attempt.customer != customer:
            return NotRun(Reason.NOT_PERMITTED, "the answer belongs to another customer")
        outcome = await self._attempts.outcome_of(open_attempt)
        if isinstance(outcome, Done):
            return replace(outcome, text=outcome.text[offset:])
        return Unknown(outcome.reason, outcome.detail or "the answer is not there")
