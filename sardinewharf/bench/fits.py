"""Fits lines to measurements by least squares.

Examples:
    >>> fit = fit_line([1.0, 2.0, 3.0], [5.0, 7.0, 9.0])
    >>> fit.slope, fit.intercept, fit.residual
    (2.0, 3.0, 0.0)
"""

from collections.abc import Sequence
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line fitted to measurements.

    Attributes:
        slope: Increase of y per unit of x.
        intercept: Value of y at zero.
        residual: Root mean square of the deviations from the line.
    """

    slope: float
    intercept: float
    residual: float

    def predict(self, at: float) -> float:
        """Returns the value of the line at a point."""
        return self.intercept + self.slope * at


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Returns the least-squares line through points."""
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    sum_xx = sum((x - mean_x) ** 2 for x in xs)
    sum_xy = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    slope = sum_xy / sum_xx if sum_xx else 0.0
    intercept = mean_y - slope * mean_x
    errors = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    residual = math.sqrt(sum(e * e for e in errors) / count)
    return Fit(slope, intercept, residual)
