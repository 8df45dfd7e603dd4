"""What the streams of the log say happened, in order."""

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
_START = Offset(0)


@dataclass(frozen=True, slots=True)
class AcceptedDocument:
    """An accepted document with its place in the log and its author.

    Attributes
    ----------
    at_ms : int
        Time of the append in epoch milliseconds on the log's clock.
    author : str
        Who published it; empty if only a carried copy of it is left in the log.
    """

    offset: Offset
    at_ms: int
    document: ServiceDocument
    author: str

    def summary(self) -> str:
        """Return offset and versions in a few words."""
        text = f"offset {self.offset}, version {self.document.version}"
        if self.document.move is None:
            return text
        return f"{text}, moving to {self.document.move.version}"


class ConfigHistory:
    """The accepted documents up to the offset `next_offset`."""

    def __init__(self) -> None:
        self._follower = DocumentFollower()
        self._accepted: dict[ServiceName, AcceptedDocument] = {}

    @property
    def next_offset(self) -> Offset:
        """Offset of the next entry to read."""
        return self._follower.next_offset

    def apply(self, entry: LogEntry) -> DocumentAccepted | DocumentRejected | RecordIgnored:
        """Take the next entry of the stream."""
        decision = self._follower.apply_record(
            entry.offset, entry.record or MessageError(entry.error)
        )
        match decision, entry.record:
            case DocumentAccepted(), DocumentPublished() as record:
                self._keep(entry, record.document, record.author)
            case DocumentAccepted(), DocumentCarried() as record:
                before = self._accepted.get(record.service)
                self._keep(entry, record.document, before.author if before else "")
        return decision

    async def catch_up(self, log: LogClient) -> None:
        """Apply all entries that the log has now.

        Raises
        ------
        PlatformError
            If the log does not answer.
        """
        async for entry in read_to_end(log, CONFIG_STREAM, self.next_offset):
            self.apply(entry)

    def accepted(self, service: ServiceName) -> AcceptedDocument | None:
        """Return the accepted document of `service`, if there is one."""
        return self._accepted.get(service)

    def publication(
        self, document: ServiceDocument, author: str, reason: str = ""
    ) -> DocumentPublished:
        """Return the record that publishes `document` after the one accepted so far."""
        return self._follower.publish_record(document, author, reason)

    def services(self) -> list[ServiceName]:
        """Return all services that have an accepted document, by name."""
        return sorted(self._accepted)

    def _keep(self, entry: LogEntry, document: ServiceDocument, author: str) -> None:
        self._accepted[document.service] = AcceptedDocument(
            entry.offset, entry.at_ms, document, author
        )


async def read_to_end(
    log: LogClient, stream: str, start: Offset = _START
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
