"""Value types of fault settings, and their update at run time."""

from collections.abc import Mapping
from typing import Annotated, TypeVar

import msgspec

from skylarkmoor_core.errors import MessageError

__all__ = ["NonNegativeInt", "PositiveFloat", "UnitFraction", "merge_faults"]

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
UnitFraction = Annotated[float, msgspec.Meta(ge=0, le=1)]

T = TypeVar("T")


def merge_faults(faults: T, changes: Mapping[str, object]) -> T:
    """Return a copy of `faults` with the fields in `changes` replaced.

    Raises
    ------
    MessageError
        If `changes` has an unknown field or an invalid value.
    """
    merged = msgspec.to_builtins(faults) | dict(changes)
    try:
        return msgspec.convert(merged, type(faults))
    except msgspec.ValidationError as error:
        raise MessageError(f"invalid faults: {error}") from error
