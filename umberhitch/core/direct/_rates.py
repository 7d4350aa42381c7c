"""Parsing of rates in header values, which may be any bytes."""

import re
from dataclasses import dataclass

__all__ = ["Rate", "parse_rate"]

DECIMAL = re.compile(rb"[0-9]{1,40}(?:\.[0-9]{0,40})?|\.[0-9]{1,40}")
MAX_RATE = 1e6
"""Requests per second. Higher rates are reduced to this one, which no router reaches."""


@dataclass(frozen=True, slots=True)
class Rate:
    """A parsed rate.

    Attributes
    ----------
    per_second : float or None
        Requests per second, or None if the values contain no valid rate.
    is_malformed : bool
        Whether the values contain something, but no valid rate.
    """

    per_second: float | None = None
    is_malformed: bool = False


def parse_rate(values: list[bytes]) -> Rate:
    """Return the rate in a header's values, each of which may be a comma-separated list.

    The lowest of several rates is used, so that an overloaded endpoint isn't sent more requests
    than it may have meant.
    """
    words = [word.strip(b" \t") for value in values for word in value.split(b",")]
    rates = [min(MAX_RATE, float(word)) for word in words if DECIMAL.fullmatch(word)]
    return Rate(min(rates)) if rates else Rate(None, bool(words))
