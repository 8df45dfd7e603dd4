"""Decides which of two records is newer, also after the log was restored from an older copy.

Within an era of the log, a record is newer if its offset is higher. The records of different eras
are compared by what they say of their own age.
"""

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.ids import UpstreamId
from skylarkmoor_core.logposition import BEFORE_ALL, LogPosition

__all__ = ["EntryAge", "EntryHistory", "OrderHistory", "RecordAge", "VersionHistory"]

# An older copy of the log may still list what has left since. Copies are seconds old; the rest
# covers the time until the log is back and its entries have expired.
_MAX_GONE_MS = 600_000
# Orders of one subject that are remembered. A copy of the log that is seconds old has missed one or
# two.
_MAX_ORDERS = 16


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
        # Higher than the version in force if an operator has gone back.
        self._highest_version: int | None = None

    def compare(self, position: LogPosition, version: int) -> RecordAge:
        """Return the age of a record compared with the one in force."""
        if self._highest_version is None:
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
            highest = self._highest_version
            self.position, self.version = position, version
            self._highest_version = version if highest is None else max(highest, version)
        elif age is RecordAge.SAME:
            self.position = max(self.position, position)
        return age


@dataclass(frozen=True, order=True, slots=True)
class EntryAge:
    """What an upstream's entry says of its own age; a later entry compares as greater.

    Attributes
    ----------
    started_wall_ms : int
        Start time of the instance.
    sequence : int
        Rises with each entry of an instance; 0 if the entry has none.
    leaving : bool
        An instance that is leaving does not become ready again.
    """

    started_wall_ms: int
    sequence: int
    leaving: bool = False


@dataclass(slots=True)
class _KnownEntry:
    position: LogPosition
    age: EntryAge
    gone_ms: int | None = None
    # Start times of the instances that were replaced under the id.
    earlier_starts: frozenset[int] = frozenset()

    def is_late(self, age: EntryAge) -> bool:
        """Return whether an entry was made before this one and written after it."""
        if age.started_wall_ms != self.age.started_wall_ms:
            return age.started_wall_ms in self.earlier_starts
        if self.age.leaving and not age.leaving:
            return True
        return 0 < age.sequence < self.age.sequence


class EntryHistory:
    """Position and age of the newest entry of each upstream, also of those that have left."""

    def __init__(self) -> None:
        self._entries: dict[UpstreamId, _KnownEntry] = {}

    def is_listed(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known and has not left."""
        known = self._entries.get(upstream)
        return known is not None and known.gone_ms is None

    def has_left(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known to have left."""
        known = self._entries.get(upstream)
        return known is not None and known.gone_ms is not None

    def listed(self) -> set[UpstreamId]:
        """Return the upstreams that have not left."""
        return {name for name, known in self._entries.items() if known.gone_ms is None}

    def is_passed(self, upstream: UpstreamId, position: LogPosition) -> bool:
        """Return whether a record of the era of the newest one comes before it."""
        known = self._entries.get(upstream)
        return (
            known is not None
            and known.position.era == position.era
            and position.offset < known.position.offset
        )

    def update(self, upstream: UpstreamId, position: LogPosition, age: EntryAge) -> RecordAge:
        """Take over an entry unless it is older, and return its age.

        Notes
        -----
        The entry of an upstream that has left brings it back only if it is newer. Within an era a
        write may be carried out seconds late, after a newer one. A lower start time alone does not
        say so, as the clock of the upstream may have been set back.
        """
        known = self._entries.get(upstream)
        if self.is_passed(upstream, position):
            return RecordAge.OLDER
        if known is not None and known.position == position:
            return RecordAge.SAME
        if known is not None and known.position.era != position.era:
            if age < known.age:
                return RecordAge.OLDER
            if age == known.age:
                known.position = max(known.position, position)
                return RecordAge.SAME
        if known is not None and known.is_late(age):
            known.position = max(known.position, position)
            return RecordAge.OLDER
        self._entries[upstream] = _KnownEntry(position, age, earlier_starts=_starts(known, age))
        return RecordAge.NEWER

    def mark_gone(self, upstream: UpstreamId, now_ms: int) -> None:
        """Record that an upstream has left."""
        self._entries[upstream].gone_ms = now_ms

    def gone_since(
        self, since_ms: int, until_ms: int | None = None
    ) -> dict[UpstreamId, tuple[int, int]]:
        """Return start time and last sequence number of the upstreams that have left since.

        Parameters
        ----------
        until_ms : int, optional
            Leaves out those that have left later.
        """
        return {
            name: (known.age.started_wall_ms, known.age.sequence)
            for name, known in self._entries.items()
            if known.gone_ms is not None
            and known.gone_ms >= since_ms
            and (until_ms is None or known.gone_ms <= until_ms)
        }

    def add_gone(self, gone: Mapping[UpstreamId, tuple[int, int]], now_ms: int) -> list[UpstreamId]:
        """Record what a peer knows to have left, and return those that were listed here.

        Notes
        -----
        An entry that is newer than the last one the peer has read is not affected. Entries without
        a sequence number cannot be compared.
        """
        removed = []
        for upstream, (started_wall_ms, sequence) in gone.items():
            if not sequence:
                continue
            known = self._entries.get(upstream)
            last_age = EntryAge(started_wall_ms, sequence, leaving=True)
            if known is None:
                self._entries[upstream] = _KnownEntry(BEFORE_ALL, last_age, now_ms)
            elif known.gone_ms is None and known.age <= last_age:
                known.gone_ms = now_ms
                removed.append(upstream)
        return removed

    def expire(self, now_ms: int) -> None:
        """Forget the upstreams that have left long ago."""
        for name, known in list(self._entries.items()):
            if known.gone_ms is not None and now_ms - known.gone_ms > _MAX_GONE_MS:
                del self._entries[name]


def _starts(known: _KnownEntry | None, age: EntryAge) -> frozenset[int]:
    """Return the start times of the instances that the one of an entry has replaced."""
    if known is None:
        return frozenset()
    return (known.earlier_starts | {known.age.started_wall_ms}) - {age.started_wall_ms}


@dataclass(slots=True)
class _KnownOrder:
    position: LogPosition
    content: Hashable


class OrderHistory:
    """Orders about one subject, of which the last one counts.

    Notes
    -----
    Within an era each record is an order of its own, even if it repeats an earlier one. In a later
    era, a record with the content of a known order is that order, from the older copy or written
    again; once the last order has been seen there, the records after it are new ones.
    """

    def __init__(self) -> None:
        self._orders: list[_KnownOrder] = []

    def update(self, position: LogPosition, content: Hashable) -> RecordAge:
        """Take over an order unless it is older, and return its age compared with the last one."""
        if any(known.position >= position for known in self._orders):
            return RecordAge.OLDER
        for known in reversed(self._orders):
            if known.position.era < position.era and known.content == content:
                known.position = position
                if known is not self._orders[-1]:
                    return RecordAge.OLDER
                self._orders = [known]
                return RecordAge.SAME
        self._orders = [*self._orders, _KnownOrder(position, content)][-_MAX_ORDERS:]
        return RecordAge.NEWER
