"""Fits straight lines to measurements.

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
    """A line through measurements.

    Attributes:
        slope: Rise for each unit.
        intercept: Value at zero.
        residual: Root mean square of what the line leaves unexplained.
    """

    slope: float
    intercept: float
    residual: float

    def predict(self, at: float) -> float:
        """Returns the line's value."""
        return self.intercept + self.slope * at


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Returns the line of least squares."""
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
