"""Reads published service documents from the log, or from peers while the log is down."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from skylarkmoor_clients.logservice import LogEntry
from skylarkmoor_core.clock import Clock
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.errors import MessageError, PlatformError
from skylarkmoor_core.ids import HostId, Offset, ServiceName
from skylarkmoor_core.logs import part_logger
from skylarkmoor_core.messages import DocumentOffer, DocumentQuery, Message
from skylarkmoor_core.records import AuditEntry
from skylarkmoor_daemon.claiming import ClaimLog
from skylarkmoor_policy.configuration import DocumentAccepted, DocumentFollower, DocumentRejected
from skylarkmoor_policy.configurationchecks import check_document
from skylarkmoor_process.tasks import Tasks

__all__ = ["DocumentInForce", "DocumentsContext", "Documents"]

_CONFIG_STREAM = "config"
_PAGE_SIZE = 50
# A read at the end of the log returns when a record is appended, or empty after this time.
_LONG_POLL_MS = 1_000
_READ_PAUSE_MS = 20
# The platform's log keeps records for at least an hour.
_RETENTION_MS = 3_600_000
_CARRY_CHECK_MS = 10_000
_PEER_QUERY_INTERVAL_MS = 1_000
_PEERS_PER_QUERY = 2
# Findings of a document that are logged one by one.
_MAX_LOGGED_FINDINGS = 20

_log = part_logger("config")


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A document in force.

    Parameters
    ----------
    offset : Offset
        Offset of its latest copy in the log.
    published : Offset
        Offset of its original publication.
    document : ServiceDocument
        The document.
    """

    offset: Offset
    published: Offset
    document: ServiceDocument


def _log_findings(document: ServiceDocument) -> None:
    """Log what a document in force contains without effect or in contradiction."""
    for finding in check_document(document)[:_MAX_LOGGED_FINDINGS]:
        extra = {
            "service": document.service,
            "path": finding.path,
            "check": finding.check,
            "why": finding.message,
        }
        _log.warning("the document has a finding", extra=extra)


class DocumentsContext(Protocol):
    """Interface of the daemon that `Documents` uses."""

    @property
    def host(self) -> HostId:
        """Host of the daemon."""

    @property
    def clock(self) -> Clock:
        """Source of monotonic and wall-clock time."""

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer."""

    def reachable(self) -> Sequence[HostId]:
        """Return the other daemons that are alive or draining."""

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the eligible daemons."""


class Documents:
    """Keeps track of the documents in force on this daemon.

    Parameters
    ----------
    daemon : DocumentsContext
        The daemon that it belongs to.
    log : ClaimLog
        Client of the log service.
    tasks : Tasks
        Runs periodic reads, appends and queries.
    on_change : callable
        Called with each document that comes into force.

    Notes
    -----
    Documents from the log come into force only after the log was read to its end once, because
    a daemon that starts late first reads documents that have been superseded.
    """

    def __init__(
        self,
        daemon: DocumentsContext,
        log: ClaimLog,
        tasks: Tasks,
        on_change: Callable[[DocumentInForce], None],
    ) -> None:
        self.in_force: dict[ServiceName, DocumentInForce] = {}
        self.log_available = False
        self._daemon = daemon
        self._log_client = log
        self._tasks = tasks
        self._on_change = on_change
        self._follower = DocumentFollower()
        self._caught_up = False
        self._recorded_ms: dict[ServiceName, int] = {}
        # Offset of the last record that this daemon appended again, by service.
        self._carried_offsets: dict[ServiceName, Offset] = {}

    def start(self) -> None:
        """Start reading the log, carrying old documents forward and querying peers."""
        self._tasks.repeat(_READ_PAUSE_MS, self._read_stream)
        self._tasks.repeat(_CARRY_CHECK_MS, self._carry_due_documents)
        self._tasks.every(_PEER_QUERY_INTERVAL_MS, self._query_peers)

    def handle_message(self, sender: HostId, message: Message) -> bool:
        """Handle a message about documents; return False for other messages."""
        match message:
            case DocumentOffer():
                self._apply_offer(message)
            case DocumentQuery(offsets=offsets):
                self._answer_query(sender, offsets)
            case _:
                return False
        return True

    async def _read_stream(self) -> None:
        start = self._follower.next_offset
        wait_ms = _LONG_POLL_MS if self._caught_up else 0
        try:
            page = await self._log_client.read(_CONFIG_STREAM, start, _PAGE_SIZE, wait_ms)
        except PlatformError:
            self.log_available = False
            raise
        self.log_available = True
        self._follower.skip_to(page.first)
        for entry in page.records:
            self._apply_entry(entry)
        self._caught_up = self._caught_up or not page.records
        if self._caught_up:
            self._put_in_force(self._follower.services())

    def _apply_entry(self, entry: LogEntry) -> None:
        record = entry.record or MessageError(entry.error)
        match self._follower.apply_record(entry.offset, record):
            case DocumentAccepted(service=service):
                self._recorded_ms[service] = entry.at_ms
            case DocumentRejected(service=service, offset=offset, reason=reason):
                extra = {"service": service, "offset": offset, "reason": reason}
                _log.warning("rejected a document from the log", extra=extra)

    def _put_in_force(self, services: Iterable[ServiceName]) -> None:
        for service in services:
            current = self._follower.current(service)
            known = self.in_force.get(service)
            if current is None or (known is not None and known.offset >= current[0]):
                continue
            offset, document = current
            published = self._follower.published_offset(service)
            entry = DocumentInForce(offset, offset if published is None else published, document)
            self.in_force[service] = entry
            _log.info("document came into force", extra={"service": service, "offset": offset})
            _log_findings(document)
            self._on_change(entry)

    def _apply_offer(self, offer: DocumentOffer) -> None:
        match self._follower.apply_offer(offer):
            case DocumentAccepted(service=service):
                self._put_in_force((service,))
            case DocumentRejected(reason=reason):
                _log.warning("rejected a document offered by a peer", extra={"reason": reason})

    def _answer_query(self, sender: HostId, offsets: dict[ServiceName, Offset]) -> None:
        for service, entry in self.in_force.items():
            if entry.offset > offsets.get(service, -1):
                offer = self._follower.offer_for(service)
                if offer is not None:
                    self._daemon.send(sender, offer)

    def _query_peers(self) -> None:
        if self.log_available:
            return
        offsets = {service: entry.offset for service, entry in self.in_force.items()}
        peers = self._daemon.reachable()
        for peer in self._daemon.rng.sample(peers, min(_PEERS_PER_QUERY, len(peers))):
            self._daemon.send(peer, DocumentQuery(offsets))

    async def _carry_due_documents(self) -> None:
        wall_ms = self._daemon.clock.wall_ms()
        for service, recorded_ms in list(self._recorded_ms.items()):
            owner = self._daemon.owner_of(f"document/{service}")
            due = self._follower.is_carry_due(service, wall_ms, recorded_ms, _RETENTION_MS)
            record = self._follower.carry_record(service)
            if not due or owner != self._daemon.host or record is None:
                continue
            if self._carried_offsets.get(service) == record.predecessor:
                # This record was appended again, but the copy has not been read back yet.
                continue
            offset = await self._log_client.append(_CONFIG_STREAM, record)
            self._carried_offsets[service] = record.predecessor
            audit = AuditEntry(
                who=self._daemon.host,
                what=f"carry document {service}",
                before=f"offset {record.predecessor}",
                after=f"offset {offset}",
                at_ms=wall_ms,
                stream=_CONFIG_STREAM,
                offset=offset,
            )
            await self._log_client.append("audit", audit)
