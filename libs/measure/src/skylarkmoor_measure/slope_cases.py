"""What the slopes are measured of: one case for each cost and the quantity that drives it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from skylarkmoor_measure.fitting import fit_line

__all__ = ["Case", "Slope", "Unit", "measure_case"]


class Unit(StrEnum):
    """Units of the measured values."""

    CPU = "us"
    MEMORY = "bytes"
    WIRE = "wire bytes"
    COUNT = "messages"
    TIME = "ms"


@dataclass(frozen=True, slots=True)
class Case:
    """A cost and the quantity that drives it.

    Attributes
    ----------
    role : str
        The role that bears the cost.
    cost : str
        What is measured.
    driver : str
        The quantity whose sizes are tried.
    unit : Unit
        Unit of the cost.
    sizes : tuple of int
        At least three.
    measure : callable
        Takes a size and a seed and returns the cost.
    """

    role: str
    cost: str
    driver: str
    unit: Unit
    sizes: tuple[int, ...]
    measure: Callable[[int, int], float]


class Slope(msgspec.Struct, frozen=True):
    """The values of a case and the line through them."""

    role: str
    cost: str
    driver: str
    unit: Unit
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual_percent: float


def measure_case(case: Case, seed: int) -> Slope:
    """Measure a case at all its sizes and fit a line."""
    values = tuple(_values(case, seed))
    line = fit_line(case.sizes, values)
    return Slope(
        role=case.role,
        cost=case.cost,
        driver=case.driver,
        unit=case.unit,
        sizes=case.sizes,
        values=values,
        intercept=line.intercept,
        slope=line.slope,
        residual_percent=line.residual_percent,
    )


def _values(case: Case, seed: int) -> Iterator[float]:
    for size in case.sizes:
        yield float(case.measure(size, seed))
