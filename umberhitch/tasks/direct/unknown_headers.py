"""Counts of unknown and malformed headers in the replies of endpoints.

An endpoint may report something about itself that matters. An unknown header name is therefore
logged when it is first seen, and counted in the status from then on. A malformed value is
logged once for each endpoint.
"""

from dataclasses import dataclass, field
from logging import getLogger

from umberhitch.core.direct import HeadSignals

__all__ = ["UnknownHeaders"]

log = getLogger(__name__)

MAX_NAMES = 64
"""Maximum number of names kept; headers with further names are only counted together."""
MAX_LOGGED = 1024
"""Maximum number of pairs of a header and an endpoint that are logged as malformed."""
MAX_NAME_CHARS = 60
MAX_VALUE_CHARS = 80
"""Maximum number of characters shown of a name and of a value."""


@dataclass(slots=True)
class UnknownHeaders:
    """Unknown and malformed headers, counted by name.

    Attributes
    ----------
    counts : dict of str to int
        Number of unknown headers, by name.
    others : int
        Number of unknown headers whose names are not kept.
    unclear : dict of str to int
        Number of known headers with a malformed value, by name.
    """

    counts: dict[str, int] = field(default_factory=dict)
    others: int = 0
    unclear: dict[str, int] = field(default_factory=dict)
    _logged: set[tuple[str, str]] = field(default_factory=set)

    def record(self, lifetime: str, signals: HeadSignals) -> None:
        """Count the unknown and malformed headers in a reply of an endpoint."""
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
            if (name, lifetime) not in self._logged and len(self._logged) < MAX_LOGGED:
                self._logged.add((name, lifetime))
                facts = {"header": name, "endpoint": lifetime}
                log.warning("unclear header of an endpoint", extra=facts)
            self.unclear[name] = self.unclear.get(name, 0) + 1
