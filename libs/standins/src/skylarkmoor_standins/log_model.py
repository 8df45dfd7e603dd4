"""Model of the platform's append-only log."""

from dataclasses import dataclass, field

import msgspec

from skylarkmoor_core.errors import LogOutage, LogRateLimited
from skylarkmoor_standins.faults import Count
from skylarkmoor_standins.rate import TokenBucket

__all__ = ["Appended", "LogFaults", "LogModel", "Page", "StoredRecord"]


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault switches of the log.

    Attributes
    ----------
    outage, outage_reads, outage_appends : bool
        Refuse everything, only reads or only appends.
    lost_answers : int
        The next appends that take effect and are not answered.
    delay_ms : int
        Every answer is late by this time; appends take effect at once.
    """

    outage: bool = False
    outage_reads: bool = False
    outage_appends: bool = False
    lost_answers: Count = 0
    delay_ms: Count = 0


class StoredRecord(msgspec.Struct, frozen=True):
    """A record with its offset and the time of its append in epoch milliseconds."""

    offset: int
    at_ms: int
    data: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """Answer to a read; `next` is the offset from which the reader goes on."""

    records: list[StoredRecord]
    first: int
    next: int


@dataclass(frozen=True, slots=True)
class Appended:
    """An append took effect; `answered` is false if its answer is lost."""

    offset: int
    answered: bool


@dataclass(slots=True)
class _Stream:
    records: list[StoredRecord] = field(default_factory=list)
    first: int = 0

    @property
    def next(self) -> int:
        return self.first + len(self.records)


class LogModel:
    """Streams of records with offsets, an append rate limit and retention by time.

    Parameters
    ----------
    appends_per_s : float
        Rate limit over all streams.
    retention_ms : int
        Age at which a record is dropped.
    now_ms : int
        Current time.
    """

    def __init__(self, appends_per_s: float, retention_ms: int, now_ms: int) -> None:
        self.faults = LogFaults()
        self._bucket = TokenBucket(appends_per_s, now_ms)
        self._retention_ms = retention_ms
        self._streams: dict[str, _Stream] = {}

    def append(self, stream: str, data: bytes, now_ms: int) -> Appended:
        """Append a record.

        Raises
        ------
        LogOutage
            If appends are switched off.
        LogRateLimited
            If the rate is exceeded.
        """
        if self.faults.outage or self.faults.outage_appends:
            raise LogOutage("the log is down for appends")
        if not self._bucket.take(now_ms):
            raise LogRateLimited("too many appends")
        kept = self._kept(stream, now_ms)
        record = StoredRecord(kept.next, now_ms, msgspec.Raw(data))
        kept.records.append(record)
        return Appended(record.offset, self._answered())

    def read(self, stream: str, start: int, limit: int, now_ms: int) -> Page:
        """Return up to `limit` records from offset `start` on.

        Raises
        ------
        LogOutage
            If reads are switched off.
        """
        if self.faults.outage or self.faults.outage_reads:
            raise LogOutage("the log is down for reads")
        kept = self._kept(stream, now_ms)
        index = max(0, start - kept.first)
        records = kept.records[index : index + limit]
        following = records[-1].offset + 1 if records else max(start, kept.first)
        return Page(records, kept.first, following)

    def _kept(self, stream: str, now_ms: int) -> _Stream:
        kept = self._streams.setdefault(stream, _Stream())
        oldest_ms = now_ms - self._retention_ms
        dropped = 0
        while dropped < len(kept.records) and kept.records[dropped].at_ms < oldest_ms:
            dropped += 1
        if dropped:
            del kept.records[:dropped]
            kept.first += dropped
        return kept

    def _answered(self) -> bool:
        lost = self.faults.lost_answers
        if lost <= 0:
            return True
        self.faults = msgspec.structs.replace(self.faults, lost_answers=lost - 1)
        return False
