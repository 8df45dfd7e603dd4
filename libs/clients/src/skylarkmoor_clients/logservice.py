"""Client of the platform's append-only log service."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from skylarkmoor_clients.httpclient import Answer, AnswerTooLarge, PlatformHttp
from skylarkmoor_core.errors import LogOutage, LogRateLimited, MessageError, PlatformError
from skylarkmoor_core.ids import Offset
from skylarkmoor_core.records import Record, decode_record, encode_record

__all__ = ["LogClient", "LogEntry", "LogPage"]

_REQUEST_TIMEOUT_MS = 5_000
# Fits a page of 50 documents with 1,800 customers, about 160 kB each.
_MAX_PAGE_BYTES = 8_000_000
_MAX_APPEND_ANSWER_BYTES = 10_000


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record with its offset and time in the stream.

    Attributes
    ----------
    at_ms : int
        Append time in epoch milliseconds, on the log's clock.
    record : Record or None
        None if the record cannot be read or decoded; `error` then gives the reason.
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
        Lowest offset that the log retains.
    next : int
        Offset at which to continue reading.
    """

    records: tuple[LogEntry, ...]
    first: Offset
    next: Offset


class _AppendResponse(msgspec.Struct, frozen=True):
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
    """Appends records to the streams of the log and reads them.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT``.
    timeout_ms : int
        Maximum time for each request, in addition to the time a read may wait for records.
    max_page_bytes : int
        Maximum size of a page.

    Raises
    ------
    SettingsError
        If `base_url` is invalid.
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_ms: int = _REQUEST_TIMEOUT_MS,
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
            If the log is known not to have applied the append.
        LogOutage
            If it is unknown whether the append took effect. The caller must read the stream
            to find out before repeating the append.
        """
        try:
            answer = await self._http.request(
                "POST",
                _records_path(stream),
                timeout_ms=self._timeout_ms,
                max_bytes=_MAX_APPEND_ANSWER_BYTES,
                body=encode_record(record),
            )
        except PlatformError as error:
            raise LogOutage(f"append to {stream!r} may have taken effect: {error}") from error
        if _is_known_not_applied(answer):
            raise LogRateLimited(f"append to {stream!r} was refused: {answer.summary()}")
        if answer.status != 200:
            raise LogOutage(f"append to {stream!r} may have taken effect: {answer.summary()}")
        try:
            return Offset(msgspec.json.decode(answer.body, type=_AppendResponse).offset)
        except (msgspec.DecodeError, RecursionError) as error:
            raise LogOutage(
                f"append to {stream!r} may have taken effect: invalid response: {error}"
            ) from error

    async def read(
        self, stream: str, from_offset: Offset, limit: int = 100, wait_ms: int = 0
    ) -> LogPage:
        """Read up to `limit` entries, starting at `from_offset`.

        Parameters
        ----------
        from_offset : int
            Lowest offset to return; entries that the log no longer retains are omitted.
        wait_ms : int
            Maximum time for which the log waits for a first entry.

        Returns
        -------
        LogPage
            A record that cannot be decoded, that alone exceeds the page size limit, or that is
            nested too deeply is returned as an entry without a record, so that it does not
            block the reader.

        Raises
        ------
        ValueError
            If `limit` is not positive.
        LogOutage
            If the log does not respond, or responds with status 429 or 5xx.
        PlatformError
            If the response is invalid.
        """
        if limit <= 0:
            raise ValueError(f"limit must be positive, got {limit}")
        while True:
            try:
                return _decode_page(
                    await self._request_page(stream, from_offset, limit, wait_ms), from_offset
                )
            except (AnswerTooLarge, RecursionError) as error:
                if limit == 1:
                    return _page_skipping_record(from_offset, str(error))
                limit //= 2

    async def close(self) -> None:
        """Close idle connections."""
        await self._http.close()

    async def _request_page(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Answer:
        try:
            answer = await self._http.request(
                "GET",
                _records_path(stream),
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


def _records_path(stream: str) -> str:
    return f"/streams/{quote(stream, safe='')}/records"


def _is_known_not_applied(answer: Answer) -> bool:
    if answer.status == 429:
        return True
    return answer.status == 503 and answer.has_header("X-Not-Applied", "1")


def _decode_page(answer: Answer, from_offset: Offset) -> LogPage:
    try:
        wire = msgspec.json.decode(answer.body, type=_WirePage)
    except msgspec.DecodeError as error:
        raise PlatformError(f"log page cannot be decoded: {error}") from error
    last_offset = from_offset - 1
    for item in wire.records:
        if item.offset <= last_offset:
            raise PlatformError(f"log page is out of order: {item.offset} follows {last_offset}")
        last_offset = item.offset
    # After a full page, the log's `next` may be the end of the stream and would skip entries.
    next_offset = last_offset + 1 if wire.records else max(from_offset, wire.next)
    records = tuple(_decode_entry(item) for item in wire.records)
    return LogPage(records, Offset(wire.first), Offset(next_offset))


def _decode_entry(item: _WireEntry) -> LogEntry:
    try:
        record = decode_record(bytes(item.data))
    except MessageError as error:
        return LogEntry(Offset(item.offset), item.at_ms, None, str(error))
    return LogEntry(Offset(item.offset), item.at_ms, record)


def _page_skipping_record(offset: Offset, error: str) -> LogPage:
    return LogPage((LogEntry(offset, 0, None, error),), offset, Offset(offset + 1))
