"""Reads log streams and replays the accepted service documents."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from skylarkmoor_clients.logservice import LogClient, LogEntry
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.ids import Offset, ServiceName
from skylarkmoor_core.records import DocumentCarried, DocumentPublished
from skylarkmoor_policy.configuration import (
    DocumentAccepted,
    DocumentFollower,
    DocumentRejected,
    RecordIgnored,
)

__all__ = ["CONFIG_STREAM", "AcceptedDocument", "ConfigHistory", "read_to_end"]

CONFIG_STREAM = "config"
_STREAM_START = Offset(0)


@dataclass(frozen=True, slots=True)
class AcceptedDocument:
    """An accepted document with its log offset, append time and author.

    Attributes
    ----------
    at_ms : int
        Append time in epoch milliseconds, on the log's clock.
    author : str
        Who published it; empty if the log retains only a carried copy of the document.
    """

    offset: Offset
    at_ms: int
    document: ServiceDocument
    author: str

    def summary(self) -> str:
        """Return a short text with the offset, the version and the target version of a move."""
        text = f"offset {self.offset}, version {self.document.version}"
        if self.document.move is None:
            return text
        return f"{text}, moving to {self.document.move.version}"


class ConfigHistory:
    """The accepted documents, replayed from the entries below `next_offset`."""

    def __init__(self) -> None:
        self._follower = DocumentFollower()
        self._accepted_by_service: dict[ServiceName, AcceptedDocument] = {}

    @property
    def next_offset(self) -> Offset:
        """Offset of the next entry to read."""
        return self._follower.next_offset

    def apply_entry(self, entry: LogEntry) -> DocumentAccepted | DocumentRejected | RecordIgnored:
        """Apply the next entry of the stream and return the decision on its document."""
        decision = self._follower.apply_record(
            entry.offset, entry.record or MessageError(entry.error)
        )
        match decision, entry.record:
            case DocumentAccepted(), DocumentPublished() as record:
                self._store_accepted(entry, record.document, record.author)
            case DocumentAccepted(), DocumentCarried() as record:
                before = self._accepted_by_service.get(record.service)
                self._store_accepted(entry, record.document, before.author if before else "")
        return decision

    async def catch_up(self, log: LogClient) -> None:
        """Apply all entries that are currently in the log.

        Raises
        ------
        PlatformError
            If the log does not answer.
        """
        async for entry in read_to_end(log, CONFIG_STREAM, self.next_offset):
            self.apply_entry(entry)

    def accepted_document(self, service: ServiceName) -> AcceptedDocument | None:
        """Return the accepted document of `service`, or None."""
        return self._accepted_by_service.get(service)

    def publish_record(
        self, document: ServiceDocument, author: str, reason: str = ""
    ) -> DocumentPublished:
        """Return a record that publishes `document`, based on the accepted document."""
        return self._follower.publish_record(document, author, reason)

    def services(self) -> list[ServiceName]:
        """Return the names of all services with an accepted document, sorted."""
        return sorted(self._accepted_by_service)

    def _store_accepted(self, entry: LogEntry, document: ServiceDocument, author: str) -> None:
        self._accepted_by_service[document.service] = AcceptedDocument(
            entry.offset, entry.at_ms, document, author
        )


async def read_to_end(
    log: LogClient, stream: str, start: Offset = _STREAM_START
) -> AsyncIterator[LogEntry]:
    """Yield the entries of `stream` from `start` until the log has no more.

    Raises
    ------
    PlatformError
        If the log does not answer.
    """
    while True:
        page = await log.read(stream, start)
        for entry in page.records:
            yield entry
        if not page.records:
            return
        start = page.next
