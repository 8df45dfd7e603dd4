"""Decides which of two records is newer, also after the log was restored from an older copy.

Within an era of the log, a record is newer if its offset is higher. The records of different eras
are compared by what they say of their own age.
"""

from enum import Enum

from skylarkmoor_core.logposition import BEFORE_ALL, LogPosition

__all__ = ["RecordAge", "VersionHistory"]


class RecordAge(Enum):
    """Age of a record compared with what is known."""

    OLDER = "older"
    # It says what is known already, at another position.
    SAME = "same"
    NEWER = "newer"


class VersionHistory:
    """Position and version of the configuration that is in force.

    Attributes
    ----------
    position : LogPosition
        Position of its record, or of the record that repeats it in a later era.
    version : int or None
        Its version, None before the first one.

    Notes
    -----
    Within an era, an operator may go back to a lower version. In another era a lower version comes
    from the older copy, or is written again on the way to what is known.
    """

    def __init__(self) -> None:
        self.position = BEFORE_ALL
        self.version: int | None = None
        self._highest_version: int | None = None

    def compare(self, position: LogPosition, version: int) -> RecordAge:
        """Return the age of a record compared with the one in force."""
        if self.version is None or self._highest_version is None:
            return RecordAge.NEWER
        if position.era == self.position.era:
            is_newer = position.offset > self.position.offset
            return RecordAge.NEWER if is_newer else RecordAge.OLDER
        if version > self._highest_version:
            return RecordAge.NEWER
        return RecordAge.SAME if version == self.version else RecordAge.OLDER

    def update(self, position: LogPosition, version: int) -> RecordAge:
        """Take over a record unless it is older, and return its age."""
        age = self.compare(position, version)
        if age is RecordAge.NEWER:
            self.position, self.version = position, version
            self._highest_version = max(version, self._highest_version or version)
        elif age is RecordAge.SAME:
            self.position = max(self.position, position)
        return age
