"""Scaling measurements: a case for each cost and the quantity that drives it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from skylarkmoor_measure.fitting import fit_line

__all__ = ["Case", "Slope", "Unit", "measure_case"]


class Unit(StrEnum):
    """Units of the measured costs."""

    CPU = "us"
    MEMORY = "bytes"
    WIRE = "wire bytes"
    COUNT = "messages"
    TIME = "ms"


@dataclass(frozen=True, slots=True)
class Case:
    """A cost to measure as a function of the quantity that drives it.

    Attributes
    ----------
    role : str
        The role in the system that incurs the cost.
    cost : str
        Description of the cost.
    driver : str
        Description of the quantity that is varied.
    unit : Unit
        Unit of the cost.
    sizes : tuple of int
        Values of the driver, at least three.
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
    """The measured values of a case and the line fitted to them."""

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
    """Measure a case at each of its sizes and fit a line."""
    values = tuple(_measure_sizes(case, seed))
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


def _measure_sizes(case: Case, seed: int) -> Iterator[float]:
    for size in case.sizes:
        yield float(case.measure(size, seed))
