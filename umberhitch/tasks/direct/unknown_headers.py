"""Counts headers of endpoints' replies that the product does not know, or cannot understand.

An endpoint may say something of itself that matters; a name that nobody here knows is seen so, the
first time in the log and from then on in the status.
"""

from dataclasses import dataclass, field
from logging import getLogger

from umberhitch.core.direct import HeadSignals

__all__ = ["UnknownHeaders"]

log = getLogger(__name__)

MAX_NAMES = 64
"""Names that are kept; of further ones only how many headers they had is counted."""
MAX_NAME_CHARS = 60
MAX_VALUE_CHARS = 80
"""Characters that are shown."""


@dataclass(slots=True)
class UnknownHeaders:
    """Headers that were seen, by name.

    Attributes
    ----------
    counts : dict of str to int
    others : int
        Headers whose names were too many to be kept.
    unclear : dict of str to int
        Known headers with values that are none, by name.
    """

    counts: dict[str, int] = field(default_factory=dict)
    others: int = 0
    unclear: dict[str, int] = field(default_factory=dict)

    def record(self, lifetime: str, signals: HeadSignals) -> None:
        """Count what a reply of an endpoint has."""
        for raw_name, value in signals.unknown:
            name = raw_name[:MAX_NAME_CHARS].decode("latin-1")
            if name in self.counts:
                self.counts[name] += 1
            elif len(self.counts) < MAX_NAMES:
                self.counts[name] = 1
                shown = value[:MAX_VALUE_CHARS].decode("latin-1")
                facts = {"header": name, "value": shown, "endpoint": lifetime}
                log.warning("unknown header of an endpoint", extra=facts)
            else:
                self.others += 1
        for name in signals.malformed:
            if name not in self.unclear:
                facts = {"header": name, "endpoint": lifetime}
                log.warning("unclear header of an endpoint", extra=facts)
            self.unclear[name] = self.unclear.get(name, 0) + 1
