"""Client of the platform's append-only log service."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from skylarkmoor_clients.httpclient import Answer, AnswerTooLarge, PlatformHttp
from skylarkmoor_core.errors import LogOutage, LogRateLimited, MessageError, PlatformError
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import Record, decode_record, encode_record

__all__ = ["LogClient", "LogEntry", "LogPage"]

_TIMEOUT_MS = 5_000
# A document with 1,800 customers takes about 160 kB, so a page of 50 of them fits.
_MAX_PAGE_BYTES = 8_000_000
_MAX_APPEND_ANSWER_BYTES = 10_000


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record with its place in the stream.

    Attributes
    ----------
    at_ms : int
        Time of the append in epoch milliseconds on the log's clock.
    record : Record or None
        None if the record cannot be decoded; `error` then says why.
    """

    offset: Offset
    at_ms: int
    record: Record | None
    error: str = ""


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive entries of a stream.

    Attributes
    ----------
    first : int
        Lowest offset that the log still keeps.
    next : int
        Offset from which to read on.
    """

    records: tuple[LogEntry, ...]
    first: Offset
    next: Offset


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class _WireEntry(msgspec.Struct, frozen=True):
    offset: int
    at_ms: int
    data: msgspec.Raw


class _WirePage(msgspec.Struct, frozen=True):
    records: tuple[_WireEntry, ...]
    first: int
    next: int


class LogClient:
    """Appends to and reads from the streams of the log.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT``.
    timeout_ms : int
        Bound on each call, in addition to the time a read may wait for records.
    max_page_bytes : int
        Bound on the size of a page.

    Raises
    ------
    SettingsError
        If `base_url` is invalid.
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_ms: int = _TIMEOUT_MS,
        max_page_bytes: int = _MAX_PAGE_BYTES,
    ) -> None:
        self._http = PlatformHttp(base_url)
        self._timeout_ms = timeout_ms
        self._max_page_bytes = max_page_bytes

    async def append(self, stream: str, record: Record) -> Offset:
        """Append `record` and return its offset.

        Raises
        ------
        LogRateLimited
            If the log certainly did not apply the append.
        LogOutage
            If it is unknown whether the append took effect. The caller must find out by
            reading the stream and must not repeat the append blindly.
        """
        try:
            answer = await self._http.request(
                "POST",
                _path(stream),
                timeout_ms=self._timeout_ms,
                max_bytes=_MAX_APPEND_ANSWER_BYTES,
                body=encode_record(record),
            )
        except PlatformError as error:
            raise LogOutage(f"append to {stream!r} may have taken effect: {error}") from error
        if _certainly_not_applied(answer):
            raise LogRateLimited(f"append to {stream!r} was refused: {answer.summary()}")
        if answer.status != 200:
            raise LogOutage(f"append to {stream!r} may have taken effect: {answer.summary()}")
        try:
            return Offset(msgspec.json.decode(answer.body, type=_Appended).offset)
        except (msgspec.DecodeError, RecursionError) as error:
            raise LogOutage(
                f"append to {stream!r} may have taken effect, invalid answer: {error}"
            ) from error

    async def read(
        self, stream: str, from_offset: Offset, limit: int = 100, wait_ms: int = 0
    ) -> LogPage:
        """Read up to `limit` entries from `from_offset` on.

        Parameters
        ----------
        from_offset : int
            Lowest offset wanted; older entries than the log keeps are left out.
        wait_ms : int
            How long the log may wait for a first entry.

        Returns
        -------
        LogPage
            A record that cannot be decoded, that alone exceeds the bound on a page, or that is
            nested too deeply comes as an entry without a record, so that it does not stop a
            follower.

        Raises
        ------
        ValueError
            If `limit` is not positive.
        LogOutage
            If the log does not answer.
        PlatformError
            If the answer is invalid.
        """
        if limit <= 0:
            raise ValueError(f"limit must be positive, got {limit}")
        while True:
            try:
                return _page(await self._get(stream, from_offset, limit, wait_ms), from_offset)
            except (AnswerTooLarge, RecursionError) as error:
                if limit == 1:
                    return _stepped_over(from_offset, str(error))
                limit //= 2

    async def close(self) -> None:
        """Close idle connections."""
        await self._http.close()

    async def _get(self, stream: str, from_offset: int, limit: int, wait_ms: int) -> Answer:
        try:
            answer = await self._http.request(
                "GET",
                _path(stream),
                timeout_ms=self._timeout_ms + wait_ms,
                max_bytes=self._max_page_bytes,
                params={"from": str(from_offset), "limit": str(limit), "wait_ms": str(wait_ms)},
            )
        except AnswerTooLarge:
            raise
        except PlatformError as error:
            raise LogOutage(f"read of {stream!r} failed: {error}") from error
        if answer.status == 429 or answer.status >= 500:
            raise LogOutage(f"read of {stream!r} failed: {answer.summary()}")
        if answer.status != 200:
            raise PlatformError(f"read of {stream!r} was refused: {answer.summary()}")
        return answer


def _path(stream: str) -> str:
    return f"/streams/{quote(stream, safe='')}/records"


def _certainly_not_applied(answer: Answer) -> bool:
    if answer.status == 429:
        return True
    return answer.status == 503 and answer.has_header("X-Not-Applied", "1")


def _page(answer: Answer, from_offset: Offset) -> LogPage:
    try:
        wire = msgspec.json.decode(answer.body, type=_WirePage)
    except msgspec.DecodeError as error:
        raise PlatformError(f"not a page of the log: {error}") from error
    reached = from_offset - 1
    for item in wire.records:
        if item.offset <= reached:
            raise PlatformError(f"offset {item.offset} follows {reached} in a page of the log")
        reached = item.offset
    # After a full page the log's `next` may name the end of the stream, which skips entries.
    following = reached + 1 if wire.records else max(from_offset, wire.next)
    records = tuple(_entry(item) for item in wire.records)
    return LogPage(records, Offset(wire.first), Offset(following))


def _entry(item: _WireEntry) -> LogEntry:
    try:
        record = decode_record(bytes(item.data))
    except MessageError as error:
        return LogEntry(Offset(item.offset), item.at_ms, None, str(error))
    return LogEntry(Offset(item.offset), item.at_ms, record)


def _stepped_over(offset: Offset, error: str) -> LogPage:
    return LogPage((LogEntry(offset, 0, None, error),), offset, Offset(offset + 1))
