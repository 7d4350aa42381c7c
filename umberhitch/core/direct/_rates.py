"""Rates that others name in words: any bytes may come."""

import re
from dataclasses import dataclass

__all__ = ["Rate", "parse_rate"]

DECIMAL = re.compile(rb"[0-9]{1,40}(?:\.[0-9]{0,40})?|\.[0-9]{1,40}")
MAX_RATE = 1e6
"""A second; a higher rate is as good as this: nobody gets so many requests."""


@dataclass(frozen=True, slots=True)
class Rate:
    """What was named.

    Attributes
    ----------
    a_second : float or None
        None where no rate was named.
    is_unclear : bool
        Whether something was named that is none.
    """

    per_second: float | None = None
    is_malformed: bool = False


def parse_rate(values: list[bytes]) -> Rate:
    """Return the rate that values name, each of them perhaps several with commas between.

    Of several rates the lowest counts: an endpoint in need is not sent more than it may have meant.
    """
    words = [word.strip(b" \t") for value in values for word in value.split(b",")]
    rates = [min(MAX_RATE, float(word)) for word in words if DECIMAL.fullmatch(word)]
    return Rate(min(rates)) if rates else Rate(None, bool(words))
