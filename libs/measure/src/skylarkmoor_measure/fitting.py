"""A straight line through measured values."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

__all__ = ["Line", "fit_line"]


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes
    ----------
    intercept, slope : float
        Value at size 0 and its growth for each unit of size.
    residual_percent : float
        Largest distance of a value from the line, as a part of the largest value.
    """

    intercept: float
    slope: float
    residual_percent: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, values : sequence of float
        At least three pairs.

    Raises
    ------
    ValueError
        If there are fewer than three pairs, or not as many sizes as values.

    Notes
    -----
    Two points always lie on a line, so at least three are needed for the residual to show
    that a quantity does not grow in a straight line.

    Examples
    --------
    >>> line = fit_line([1, 2, 3], [5, 7, 9])
    >>> round(line.intercept), round(line.slope), round(line.residual_percent)
    (3, 2, 0)
    """
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, but {len(values)} values")
    if len(sizes) < 3:
        raise ValueError(f"at least three sizes are needed, got {list(sizes)}")
    slope, intercept = np.polyfit(sizes, values, 1)
    distances = [
        abs(value - intercept - slope * size) for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values)
    residual = 100 * max(distances) / largest if largest else 0.0
    return Line(float(intercept), float(slope), float(residual))
