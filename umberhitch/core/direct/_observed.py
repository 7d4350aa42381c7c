"""What a router has observed of one endpoint: its own calls there, peers' calls, reports, cache."""

from collections import OrderedDict
from dataclasses import dataclass, field

from umberhitch.core.direct._host_load import HostLoad
from umberhitch.core.direct._prefills import ActivePrefills
from umberhitch.core.direct._signals import ReportedLoad
from umberhitch.core.direct._types import PromptPart

__all__ = ["Observed", "age_weight"]


@dataclass(slots=True)
class Observed:
    """What this router has observed of one endpoint."""

    running: int = 0
    prefill_s: float = 0.0
    slowness: float = 1.0
    failing: float = 0.0
    refusing: float = 0.0
    refused_s: float = 0.0
    load: ReportedLoad | None = None
    load_at_s: float = 0.0
    host: HostLoad = field(default_factory=HostLoad)
    peers_running: int = 0
    peers_prefill_s: float = 0.0
    prefills: ActivePrefills = field(default_factory=ActivePrefills)
    cached: OrderedDict[tuple[str, str], int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0

    def calls(self, now_s: float, decay_s: float) -> tuple[float, float]:
        """Return the calls on the endpoint, and how many of them wait for a slot.

        A reported load corrects what the routers know of their own calls, and loses two thirds of
        its weight in ``decay_s``.
        """
        running = float(self.running + self.peers_running)
        if self.load is None:
            return running, 0.0
        weight = age_weight(now_s - self.load_at_s, decay_s)
        waiting = self.load.waiting or 0
        running += weight * max(0, (self.load.running or 0) + waiting - running)
        return running, weight * waiting

    def reported_calls(self, now_s: float) -> float:
        """Return the expected calls on an endpoint of a plain service that reports its load."""
        return self.host.calls(self.running, self.peers_running, now_s)

    def cache(self, model: str, parts: tuple[PromptPart, ...], limit_tokens: float) -> None:
        """Record the parts of a prompt that the endpoint reads for a model."""
        for part in parts:
            key = (model, part.part_id)
            if key in self.cached:
                self.cached.move_to_end(key)
                continue
            self.cached[key] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached and self.cached_tokens > limit_tokens:
            self.cached_tokens -= self.cached.popitem(last=False)[1]


def age_weight(age_s: float, decay_s: float) -> float:
    """Return the weight of a figure that was reported some time ago."""
    return 1.0 / (1.0 + 2.0 * max(0.0, age_s) / decay_s)
