"""A straight line through measurements, with its error."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Fit", "fit_line"]


@dataclass(frozen=True, slots=True)
class Fit:
    """``value = base + slope * size``, fitted by least squares."""

    base: float
    slope: float
    slope_error: float
    """Standard error of the slope."""

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size

    def as_dict(self) -> dict[str, float]:
        """Return the fit with six digits."""
        return {
            "base": float(f"{self.base:.6g}"),
            "slope": float(f"{self.slope:.6g}"),
            "slope_error": float(f"{self.slope_error:.3g}"),
        }


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Return the line through the points; at least three give it an error."""
    sizes = np.array([size for size, _ in points])
    values = np.array([value for _, value in points])
    slope, base = np.polyfit(sizes, values, 1)
    residuals = values - (base + slope * sizes)
    freedom = max(1, len(points) - 2)
    spread = float(((sizes - sizes.mean()) ** 2).sum())
    error = float(np.sqrt((residuals**2).sum() / freedom / spread))
    return Fit(float(base), float(slope), error)
