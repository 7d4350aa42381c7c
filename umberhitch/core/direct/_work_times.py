"""How long calls take at endpoints that have a free slot, as learned from own replies."""

from collections.abc import Container
from dataclasses import dataclass

__all__ = ["WorkTime", "WorkTimes"]

MEAN_SAMPLES = 64
"""Samples over which the means reach back: enough to know a mean within an eighth where the times
are exponentially distributed, few enough to follow a change within seconds."""
ASSUMED_SAMPLES = 32
"""Samples that an assumption counts for: of the first calls, the short ones end first."""


@dataclass(slots=True)
class WorkTime:
    """Mean and spread of work times in seconds."""

    mean_s: float
    deviation_s: float
    samples: int = 0

    def add(self, work_s: float) -> None:
        """Add a sample."""
        self.samples += 1
        weight = 1.0 / min(self.samples, MEAN_SAMPLES)
        difference_s = work_s - self.mean_s
        self.mean_s += weight * difference_s
        variance = (1.0 - weight) * (self.deviation_s**2 + weight * difference_s**2)
        self.deviation_s = variance**0.5


MIN_WORK_S = 1e-6


class WorkTimes:
    """Work times by service and by endpoint."""

    def __init__(self) -> None:
        self._services: dict[str, WorkTime] = {}
        self._endpoints: dict[str, WorkTime] = {}

    def add(self, service: str, lifetime: str, work_s: float, assumed_s: float) -> None:
        """Add a sample of an endpoint of a service.

        Parameters
        ----------
        assumed_s : float
            Work time that was assumed before any sample.
        """
        of_service = self._services.get(service)
        if of_service is None:
            of_service = self._services[service] = _assume(assumed_s, assumed_s)
        of_endpoint = self._endpoints.get(lifetime)
        if of_endpoint is None:
            of_endpoint = _assume(of_service.mean_s, of_service.deviation_s)
            self._endpoints[lifetime] = of_endpoint
        of_service.add(work_s)
        of_endpoint.add(work_s)

    def of(self, service: str, lifetime: str, assumed_s: float) -> WorkTime:
        """Return the work time at an endpoint; that of its service if the endpoint is new.

        The spread in relation to the mean is a property of the requests, and so the service's.
        """
        of_service = self._services.get(service)
        if of_service is None:
            return _assume(assumed_s, assumed_s)
        of_endpoint = self._endpoints.get(lifetime)
        if of_endpoint is None:
            return of_service
        spread = of_service.deviation_s / max(of_service.mean_s, MIN_WORK_S)
        return WorkTime(of_endpoint.mean_s, spread * of_endpoint.mean_s)

    def retain(self, lifetimes: Container[str]) -> None:
        """Discard what is known of all endpoints but those of some lifetimes."""
        self._endpoints = {
            lifetime: known for lifetime, known in self._endpoints.items() if lifetime in lifetimes
        }


def _assume(mean_s: float, deviation_s: float) -> WorkTime:
    return WorkTime(mean_s, deviation_s, ASSUMED_SAMPLES)
