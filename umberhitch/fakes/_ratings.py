"""A rating service that knows how good each version is, and says so late and with noise."""

from dataclasses import dataclass, field
from random import Random

from umberhitch.ports import Clock
from umberhitch.ports.clock import pause

__all__ = ["FakeRatings", "RatingFaults"]


@dataclass
class RatingFaults:
    """What is wrong with the rating service at the moment."""

    is_down: bool = False
    delay_s: float = 0.5
    missing: float = 0.0
    """Share of answers that are not rated."""


@dataclass
class FakeRatings:
    """A `RatingPort` whose ratings follow a beta distribution around each version's quality.

    Attributes
    ----------
    quality : dict
        Mean rating of each version, and by ``version/class`` where a class differs.
    spread : float
        Sum of the beta distribution's parameters; a larger one gives less noise.
    """

    clock: Clock
    rng: Random
    quality: dict[str, float] = field(default_factory=dict)
    default_quality: float = 0.86
    spread: float = 8.0
    faults: RatingFaults = field(default_factory=RatingFaults)

    async def rate(self, target: str, klass: str, question: str, answer: str) -> float | None:
        """Return a rating, after the delay."""
        mean = self.quality.get(f"{target}/{klass}", self.quality.get(target, self.default_quality))
        rating = self.rng.betavariate(mean * self.spread, (1.0 - mean) * self.spread)
        await pause(self.clock, self.faults.delay_s)
        if self.faults.is_down:
            raise OSError("rating service is down")
        return None if self.rng.random() < self.faults.missing else rating
