"""Types of fault switches, and their change while a stand-in runs."""

from collections.abc import Mapping
from typing import Annotated, TypeVar

import msgspec

from skylarkmoor_core.errors import MessageError

__all__ = ["Count", "Factor", "Share", "merge_faults"]

Count = Annotated[int, msgspec.Meta(ge=0)]
Factor = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

T = TypeVar("T")


def merge_faults(faults: T, changes: Mapping[str, object]) -> T:
    """Return `faults` with the fields in `changes` replaced.

    Raises
    ------
    MessageError
        If a field is unknown or has an invalid value.
    """
    merged = msgspec.to_builtins(faults) | dict(changes)
    try:
        return msgspec.convert(merged, type(faults))
    except msgspec.ValidationError as error:
        raise MessageError(f"invalid faults: {error}") from error
