"""Values that others put into headers: any bytes may come."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC

from umberhitch.core.direct._signals import ReportedLoad
from umberhitch.core.direct._types import PromptPart
from umberhitch.errors import BadAskError

__all__ = [
    "Backoff",
    "parse_backoff",
    "parse_flag",
    "parse_ints",
    "parse_load",
    "parse_prompt",
]

DECIMAL = re.compile(rb"[0-9]{1,40}(?:\.[0-9]{0,40})?|\.[0-9]{1,40}")
HTTP_DATE = re.compile(
    rb"(?:[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT"
    rb"|[A-Z][a-z]{5,8}, \d{2}-[A-Z][a-z]{2}-\d{2} \d{2}:\d{2}:\d{2} GMT"
    rb"|[A-Z][a-z]{2} [A-Z][a-z]{2} [ \d]\d \d{2}:\d{2}:\d{2} \d{4})"
)
"""The three forms of RFC 9110, 5.6.7."""
MAX_BACKOFF_S = 86_400.0
"""A day: endpoints are replaced more often than that."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """For how long an endpoint wants nothing.

    Attributes
    ----------
    seconds : float or None
        None where no time was named.
    is_unclear : bool
        Whether something was named that is none.
    """

    seconds: float | None = None
    is_malformed: bool = False


def parse_backoff(values: list[bytes], date: bytes, time_of_day: Callable[[], float]) -> Backoff:
    """Return the time that values name, as seconds or as dates; of several the longest counts.

    Parameters
    ----------
    values : list of bytes
        Each perhaps several with commas between.
    date : bytes
        When the reply was written by its sender's own clock, if it says so; dates count from then.
    time_of_day : callable
        Returns the time of day, from which dates count else.
    """
    if not values:
        return Backoff()
    found, words = [], []
    written_s = _date_s(date)
    for value in values:
        for each in HTTP_DATE.findall(value):
            until_s = _date_s(each)
            if until_s is not None:
                found.append(until_s - (time_of_day() if written_s is None else written_s))
        words += [word.strip(b" \t") for word in HTTP_DATE.sub(b"", value).split(b",")]
    found += [float(word) for word in words if DECIMAL.fullmatch(word)]
    if not found:
        return Backoff(None, is_malformed=True)
    return Backoff(min(MAX_BACKOFF_S, max(0.0, *found)))


def _date_s(value: bytes) -> float | None:
    """Return the time of day that a date names, or None where it is none."""
    if not HTTP_DATE.fullmatch(value.strip(b" \t")):
        return None
    # Loaded when it is needed: a router's start is short of time, and dates are rare.
    from email.utils import parsedate_to_datetime

    try:
        parsed = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, TypeError, IndexError):
        return None
    return parsed.replace(tzinfo=UTC).timestamp()


def parse_flag(values: list[bytes]) -> tuple[bool, bool]:
    """Return whether values raise a flag (``1``), and whether any of them is neither 1 nor 0."""
    words = [word.strip(b" \t") for value in values for word in value.split(b",")]
    return b"1" in words, any(word not in (b"0", b"1") for word in words)


def parse_ints(value: bytes | None) -> list[int]:
    """Return the whole numbers of a list; what is none is left out."""
    parts = [part.strip() for part in (value or b"").split(b",")]
    return [int(part) for part in parts if part.isdigit()]


def parse_load(value: bytes | None) -> ReportedLoad | None:
    """Return a load, given as running, waiting and slots."""
    numbers = parse_ints(value)
    return ReportedLoad(*numbers) if len(numbers) == 3 else None


def parse_prompt(value: bytes | None, tokens: int) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, given as ``ID:TOKENS``; the last one is the request's own.

    Raises
    ------
    BadAskError
        If the value is malformed.
    """
    if not value:
        return (PromptPart("", tokens),) if tokens else ()
    parts = []
    for item in value.split(b","):
        part_id, _, count = item.strip().partition(b":")
        if not count.isdigit():
            raise BadAskError(400, "malformed prompt")
        parts.append(PromptPart(part_id.decode("latin-1"), int(count)))
    return tuple(parts)
