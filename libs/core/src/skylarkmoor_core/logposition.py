"""Positions in a log that may be restored from an older copy of itself."""

from dataclasses import dataclass

__all__ = ["BEFORE_ALL", "LogPosition"]


@dataclass(frozen=True, order=True, slots=True)
class LogPosition:
    """Position of a record.

    Attributes
    ----------
    era : int
        How often the log has been restored. A restored log gives out offsets again.
    offset : int
        Position within the era.

    Notes
    -----
    Positions are ordered by when their records can be read. Only within one era is this the age of
    what the records say: a record of a later era may come from the older copy.

    Examples
    --------
    >>> LogPosition(1, 9) < LogPosition(2, 3)
    True
    """

    era: int
    offset: int


BEFORE_ALL = LogPosition(-1, -1)
