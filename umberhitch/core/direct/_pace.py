"""How fast answers usually come, so that slow ones can be told."""

from dataclasses import dataclass

__all__ = ["Paces", "PacesLimits"]


@dataclass(frozen=True, slots=True)
class PacesLimits:
    """When a pace is slow.

    Attributes
    ----------
    factor : float
        So many times the usual, and
    least_s : float
        so many seconds over it.
    weight : float
        Of the newest pace in the running mean.
    """

    factor: float = 3.0
    least_s: float = 0.01
    weight: float = 0.05


class Paces:
    """Running means by what is paced: the events of a model, the replies of a route."""

    def __init__(self, limits: PacesLimits | None = None) -> None:
        self._limits = limits or PacesLimits()
        self._usual_s: dict[tuple[str, str], float] = {}

    def is_slow(self, service: str, what: str, pace_s: float) -> bool:
        """Whether a pace is slow; never where none is known."""
        usual_s = self._usual_s.get((service, what))
        if usual_s is None:
            return False
        return pace_s > self._limits.factor * usual_s and pace_s > usual_s + self._limits.least_s

    def learn(self, service: str, what: str, pace_s: float) -> None:
        """Take a pace into the running mean."""
        usual_s = self._usual_s.get((service, what))
        if usual_s is None:
            self._usual_s[(service, what)] = pace_s
            return
        self._usual_s[(service, what)] = usual_s + self._limits.weight * (pace_s - usual_s)
