"""Parsing of header values from callers and endpoints, which may be any bytes."""

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
"""The three date formats of RFC 9110, section 5.6.7."""
LOAD_FIGURES = 4
MAX_FIGURE_DIGITS = 12
MAX_COUNT = 1_000_000
"""More requests or slots than any endpoint has."""
MAX_PACE_PERCENT = 10_000
"""A host on which work takes longer than that does none."""
MAX_BACKOFF_S = 86_400.0
"""One day: endpoints are replaced more often than that."""


@dataclass(frozen=True, slots=True)
class Backoff:
    """The back-off that an endpoint asks for.

    Attributes
    ----------
    seconds : float or None
        Duration in seconds, or None if the values contain no valid time.
    is_malformed : bool
        Whether the values contain something, but no valid time.
    """

    seconds: float | None = None
    is_malformed: bool = False


def parse_backoff(values: list[bytes], date: bytes, time_of_day: Callable[[], float]) -> Backoff:
    """Return the back-off in a header's values, which are seconds or dates.

    The longest of several times is used.

    Parameters
    ----------
    values : list of bytes
        Header values, each of which may be a comma-separated list.
    date : bytes
        Date header of the reply, by its sender's clock; may be empty. The dates in the values are
        relative to this one.
    time_of_day : callable
        Returns the current Unix time, which the dates are relative to if ``date`` isn't valid.
    """
    if not values:
        return Backoff()
    times_s, words = [], []
    written_s = _date_s(date)
    for value in values:
        for http_date in HTTP_DATE.findall(value):
            until_s = _date_s(http_date)
            if until_s is not None:
                times_s.append(until_s - (time_of_day() if written_s is None else written_s))
        words += [word.strip(b" \t") for word in HTTP_DATE.sub(b"", value).split(b",")]
    times_s += [float(word) for word in words if DECIMAL.fullmatch(word)]
    if not times_s:
        return Backoff(None, is_malformed=True)
    return Backoff(min(MAX_BACKOFF_S, max(0.0, *times_s)))


def _date_s(value: bytes) -> float | None:
    """Return the Unix time of an HTTP date, or None if the date isn't valid."""
    if not HTTP_DATE.fullmatch(value.strip(b" \t")):
        return None
    # Imported only when needed, to keep the start of a router short: dates are rare.
    from email.utils import parsedate_to_datetime

    try:
        parsed = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, TypeError, IndexError):
        return None
    return parsed.replace(tzinfo=UTC).timestamp()


def parse_flag(values: list[bytes]) -> tuple[bool, bool]:
    """Return whether any value sets a flag (``1``), and whether any is neither ``1`` nor ``0``."""
    words = [word.strip(b" \t") for value in values for word in value.split(b",")]
    return b"1" in words, any(word not in (b"0", b"1") for word in words)


def parse_ints(value: bytes | None) -> list[int]:
    """Return the integers in a comma-separated list; other items are skipped."""
    parts = [part.strip() for part in (value or b"").split(b",")]
    return [int(part) for part in parts if part.isdigit()]


def parse_load(value: bytes | None) -> tuple[ReportedLoad | None, bool]:
    """Return the load in a list of figures, and whether the list is malformed.

    The figures are running requests, waiting requests, slots and, if reported, the time that work
    takes in percent of the usual one. A malformed figure is not known; the others are used.
    Figures after the fourth are ignored.
    """
    if value is None:
        return None, False
    words = [word.strip(b" \t") for word in value.split(b",", LOAD_FIGURES)]
    counts = [_figure(word, MAX_COUNT) for word in words[:3]]
    if len(counts) < 3:
        return None, True
    percent = _figure(words[3], MAX_PACE_PERCENT) if len(words) > 3 else None
    pace = percent / 100 if percent else None
    is_malformed = None in counts or len(words) > LOAD_FIGURES
    is_malformed = is_malformed or (len(words) > 3 and pace is None)
    if pace is None and counts == [None] * 3:
        return None, True
    running, waiting, slots = counts
    return ReportedLoad(running, waiting, slots, pace), is_malformed


def _figure(word: bytes, maximum: int) -> int | None:
    """Return a whole number from 0 to a maximum, None if the word isn't one."""
    if not word.isdigit() or len(word) > MAX_FIGURE_DIGITS:
        return None
    figure = int(word)
    return figure if figure <= maximum else None


def parse_prompt(value: bytes | None, tokens: int) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt from a list of ``ID:TOKENS``.

    The last part is the request's own.

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
