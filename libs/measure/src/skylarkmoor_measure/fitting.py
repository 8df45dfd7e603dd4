"""Least-squares fit of a line to measured values."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

__all__ = ["Line", "fit_line"]


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line and its goodness of fit.

    Attributes
    ----------
    intercept, slope : float
        Value at size 0, and increase per unit of size.
    residual_percent : float
        Largest absolute residual as a percentage of the largest absolute value.
    """

    intercept: float
    slope: float
    residual_percent: float

    def at(self, size: float) -> float:
        """Return the fitted value at `size`."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, values : sequence of float
        Coordinates of at least three points.

    Raises
    ------
    ValueError
        If there are fewer than three points, or the lengths differ.

    Notes
    -----
    Two points always lie on a line. With three or more, the residual shows whether a quantity
    grows linearly.

    Examples
    --------
    >>> line = fit_line([1, 2, 3], [5, 7, 9])
    >>> round(line.intercept), round(line.slope), round(line.residual_percent)
    (3, 2, 0)
    """
    if len(sizes) != len(values):
        raise ValueError(f"cannot fit a line to {len(sizes)} sizes and {len(values)} values")
    if len(sizes) < 3:
        raise ValueError(f"a line fit needs at least three sizes, got {list(sizes)}")
    slope, intercept = np.polyfit(sizes, values, 1)
    residuals = [
        abs(value - intercept - slope * size) for size, value in zip(sizes, values, strict=True)
    ]
    max_magnitude = max(abs(value) for value in values)
    residual = 100 * max(residuals) / max_magnitude if max_magnitude else 0.0
    return Line(float(intercept), float(slope), float(residual))
