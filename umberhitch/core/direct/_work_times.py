"""How long calls take at endpoints that have a free slot, as learned from own replies."""

from collections.abc import Container
from dataclasses import dataclass

__all__ = ["WorkTime", "WorkTimes"]

MEAN_SAMPLES = 32
"""Samples over which the means reach back: enough to know a spread, few enough to follow a change
of pace within seconds."""
OWN_SAMPLES = 16
"""Samples from which an endpoint's own mean is used instead of its service's."""


@dataclass(slots=True)
class WorkTime:
    """Mean and spread of work times in seconds."""

    mean_s: float
    deviation_s: float
    samples: int = 0

    def add(self, work_s: float) -> None:
        """Add a sample; the first one replaces what was assumed."""
        self.samples += 1
        weight = 1.0 / min(self.samples, MEAN_SAMPLES)
        variance = 0.0 if self.samples == 1 else self.deviation_s**2
        difference_s = 0.0 if self.samples == 1 else work_s - self.mean_s
        if self.samples == 1:
            self.mean_s = work_s
        self.mean_s += weight * difference_s
        variance = (1.0 - weight) * (variance + weight * difference_s**2)
        self.deviation_s = variance**0.5


class WorkTimes:
    """Work times by service, and by endpoint where enough is known of one."""

    def __init__(self) -> None:
        self._services: dict[str, WorkTime] = {}
        self._endpoints: dict[str, WorkTime] = {}

    def add(self, service: str, lifetime: str, work_s: float) -> None:
        """Add a sample of an endpoint of a service."""
        for by_name, name in ((self._services, service), (self._endpoints, lifetime)):
            by_name.setdefault(name, WorkTime(work_s, 0.0)).add(work_s)

    def of(self, service: str, lifetime: str, assumed_s: float) -> WorkTime:
        """Return the work time at an endpoint; ``assumed_s`` where nothing is known."""
        own = self._endpoints.get(lifetime)
        if own is not None and own.samples >= OWN_SAMPLES:
            return own
        known = self._services.get(service)
        return WorkTime(assumed_s, assumed_s) if known is None else known

    def retain(self, lifetimes: Container[str]) -> None:
        """Discard what is known of all endpoints but those of some lifetimes."""
        self._endpoints = {
            lifetime: known for lifetime, known in self._endpoints.items() if lifetime in lifetimes
        }
