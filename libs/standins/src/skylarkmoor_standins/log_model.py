"""In-memory model of the platform's append-only log."""

from dataclasses import dataclass, field

import msgspec

from skylarkmoor_core.errors import LogOutage, LogRateLimited
from skylarkmoor_standins.fault_settings import NonNegativeInt
from skylarkmoor_standins.tokenbucket import TokenBucket

__all__ = ["AppendResult", "LogFaults", "LogModel", "RecordPage", "StoredRecord"]


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that the log injects.

    Attributes
    ----------
    outage, outage_reads, outage_appends : bool
        Refuse all operations, only reads or only appends.
    lost_answers : int
        Number of following appends that are stored but get no answer.
    delay_ms : int
        Delay of every answer; appends are stored without delay.
    """

    outage: bool = False
    outage_reads: bool = False
    outage_appends: bool = False
    lost_answers: NonNegativeInt = 0
    delay_ms: NonNegativeInt = 0


class StoredRecord(msgspec.Struct, frozen=True):
    """A record with its offset and its append time in epoch milliseconds."""

    offset: int
    at_ms: int
    data: msgspec.Raw


class RecordPage(msgspec.Struct, frozen=True):
    """Result of a read: `first` is the oldest kept offset, `next` the offset to read from next."""

    records: list[StoredRecord]
    first: int
    next: int


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Result of a stored append; `answered` is false if its answer must be dropped."""

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
    """Append-only streams with an append rate limit and time-based retention.

    Parameters
    ----------
    appends_per_s : float
        Rate limit on appends over all streams together.
    retention_ms : int
        Records older than this are dropped.
    now_ms : int
        Current time, at which the rate limiter's bucket is full.
    """

    def __init__(self, appends_per_s: float, retention_ms: int, now_ms: int) -> None:
        self.faults = LogFaults()
        self._bucket = TokenBucket(appends_per_s, now_ms)
        self._retention_ms = retention_ms
        self._streams: dict[str, _Stream] = {}

    def append(self, stream: str, data: bytes, now_ms: int) -> AppendResult:
        """Append a record to a stream, which is created if it does not exist.

        Raises
        ------
        LogOutage
            If a fault setting disables appends.
        LogRateLimited
            If the append rate limit is exceeded.
        """
        if self.faults.outage or self.faults.outage_appends:
            raise LogOutage("the log is down for appends")
        if not self._bucket.take(now_ms):
            raise LogRateLimited("too many appends")
        retained = self._apply_retention(stream, now_ms)
        record = StoredRecord(retained.next, now_ms, msgspec.Raw(data))
        retained.records.append(record)
        return AppendResult(record.offset, self._decide_if_answered())

    def read(self, stream: str, start: int, limit: int, now_ms: int) -> RecordPage:
        """Return up to `limit` records from offset `start` on.

        Raises
        ------
        LogOutage
            If a fault setting disables reads.
        """
        if self.faults.outage or self.faults.outage_reads:
            raise LogOutage("the log is down for reads")
        retained = self._apply_retention(stream, now_ms)
        index = max(0, start - retained.first)
        records = retained.records[index : index + limit]
        next_offset = records[-1].offset + 1 if records else max(start, retained.first)
        return RecordPage(records, retained.first, next_offset)

    def _apply_retention(self, stream: str, now_ms: int) -> _Stream:
        retained = self._streams.setdefault(stream, _Stream())
        oldest_ms = now_ms - self._retention_ms
        expired_count = 0
        while (
            expired_count < len(retained.records)
            and retained.records[expired_count].at_ms < oldest_ms
        ):
            expired_count += 1
        if expired_count:
            del retained.records[:expired_count]
            retained.first += expired_count
        return retained

    def _decide_if_answered(self) -> bool:
        remaining = self.faults.lost_answers
        if remaining <= 0:
            return True
        self.faults = msgspec.structs.replace(self.faults, lost_answers=remaining - 1)
        return False
