"""Follows the published documents, by the log or by peers."""

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
from skylarkmoor_process.tasks import Tasks

__all__ = ["InForce", "DocumentPeers", "Documents"]

_STREAM = "config"
_PAGE = 50
# The log answers a read at once when a record comes, or after this time.
_WAIT_MS = 1_000
_PAUSE_MS = 20
# The platform keeps records for at least an hour.
_RETENTION_MS = 3_600_000
_CARRY_CHECK_MS = 10_000
_ASK_PEERS_MS = 1_000
_ASKED_PEERS = 2

_log = part_logger("config")


@dataclass(frozen=True, slots=True)
class InForce:
    """A document in force; `published` is the offset of its original publication."""

    offset: Offset
    published: Offset
    document: ServiceDocument


class DocumentPeers(Protocol):
    """What the follower needs of the daemon."""

    @property
    def host(self) -> HostId:
        """Host of the daemon."""

    @property
    def clock(self) -> Clock:
        """Source of times."""

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""

    def send(self, to: HostId, message: Message) -> None:
        """Send a message to a peer."""

    def reachable(self) -> Sequence[HostId]:
        """Return the other daemons."""

    def owner_of(self, key: str) -> HostId | None:
        """Return the rendezvous owner of `key` among the live daemons."""


class Documents:
    """The documents in force on this daemon.

    Parameters
    ----------
    daemon : DocumentPeers
        The daemon.
    log : ClaimLog
        Client of the log.
    tasks : Tasks
        Runs the reads.
    on_change : callable
        Gets each document that comes into force.

    Notes
    -----
    Nothing read from the log is acted on before its end was reached once, because a daemon
    that starts late reads documents that are no longer in force.
    """

    def __init__(
        self,
        daemon: DocumentPeers,
        log: ClaimLog,
        tasks: Tasks,
        on_change: Callable[[InForce], None],
    ) -> None:
        self.in_force: dict[ServiceName, InForce] = {}
        self.log_answers = False
        self._daemon = daemon
        self._log = log
        self._tasks = tasks
        self._on_change = on_change
        self._follower = DocumentFollower()
        self._caught_up = False
        self._recorded_ms: dict[ServiceName, int] = {}
        # Offset of the last record that this daemon carried, by service.
        self._carried: dict[ServiceName, Offset] = {}

    def start(self) -> None:
        """Begin to follow the log."""
        self._tasks.repeat(_PAUSE_MS, self._read)
        self._tasks.repeat(_CARRY_CHECK_MS, self._carry)
        self._tasks.every(_ASK_PEERS_MS, self._ask_peers)

    def take(self, sender: HostId, message: Message) -> bool:
        """Take a message about documents and return whether it was one."""
        match message:
            case DocumentOffer():
                self._offered(message)
            case DocumentQuery(offsets=offsets):
                self._answer(sender, offsets)
            case _:
                return False
        return True

    async def _read(self) -> None:
        start = self._follower.next_offset
        wait_ms = _WAIT_MS if self._caught_up else 0
        try:
            page = await self._log.read(_STREAM, start, _PAGE, wait_ms)
        except PlatformError:
            self.log_answers = False
            raise
        self.log_answers = True
        self._follower.skip_to(page.first)
        for entry in page.records:
            self._apply(entry)
        self._caught_up = self._caught_up or not page.records
        if self._caught_up:
            self._put_in_force(self._follower.services())

    def _apply(self, entry: LogEntry) -> None:
        record = entry.record or MessageError(entry.error)
        match self._follower.apply_record(entry.offset, record):
            case DocumentAccepted(service=service):
                self._recorded_ms[service] = entry.at_ms
            case DocumentRejected(service=service, offset=offset, reason=reason):
                extra = {"service": service, "offset": offset, "reason": reason}
                _log.warning("rejected a document", extra=extra)

    def _put_in_force(self, services: Iterable[ServiceName]) -> None:
        for service in services:
            current = self._follower.current(service)
            known = self.in_force.get(service)
            if current is None or (known is not None and known.offset >= current[0]):
                continue
            offset, document = current
            published = self._follower.published_offset(service)
            entry = InForce(offset, offset if published is None else published, document)
            self.in_force[service] = entry
            _log.info("a document is in force", extra={"service": service, "offset": offset})
            self._on_change(entry)

    def _offered(self, offer: DocumentOffer) -> None:
        match self._follower.apply_offer(offer):
            case DocumentAccepted(service=service):
                self._put_in_force((service,))
            case DocumentRejected(reason=reason):
                _log.warning("rejected a peer's document", extra={"reason": reason})

    def _answer(self, sender: HostId, offsets: dict[ServiceName, Offset]) -> None:
        for service, entry in self.in_force.items():
            if entry.offset > offsets.get(service, -1):
                offer = self._follower.offer_for(service)
                if offer is not None:
                    self._daemon.send(sender, offer)

    def _ask_peers(self) -> None:
        if self.log_answers:
            return
        offsets = {service: entry.offset for service, entry in self.in_force.items()}
        peers = self._daemon.reachable()
        for peer in self._daemon.rng.sample(peers, min(_ASKED_PEERS, len(peers))):
            self._daemon.send(peer, DocumentQuery(offsets))

    async def _carry(self) -> None:
        wall_ms = self._daemon.clock.wall_ms()
        for service, recorded_ms in list(self._recorded_ms.items()):
            owner = self._daemon.owner_of(f"document/{service}")
            due = self._follower.is_carry_due(service, wall_ms, recorded_ms, _RETENTION_MS)
            record = self._follower.carry_record(service)
            if not due or owner != self._daemon.host or record is None:
                continue
            if self._carried.get(service) == record.predecessor:
                # The log has the copy; it was not read yet.
                continue
            offset = await self._log.append(_STREAM, record)
            self._carried[service] = record.predecessor
            audit = AuditEntry(
                who=self._daemon.host,
                what=f"carry document {service}",
                before=f"offset {record.predecessor}",
                after=f"offset {offset}",
                at_ms=wall_ms,
                stream=_STREAM,
                offset=offset,
            )
            await self._log.append("audit", audit)
