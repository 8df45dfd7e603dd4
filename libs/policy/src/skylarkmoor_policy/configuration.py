"""Which published document of each service is in force."""

from collections.abc import Iterable
from dataclasses import dataclass

from skylarkmoor_core.document import ServiceDocument, validate_document
from skylarkmoor_core.errors import DocumentError, MessageError
from skylarkmoor_core.ids import MoveId, Offset, ServiceName
from skylarkmoor_core.messages import DocumentOffer
from skylarkmoor_core.records import DocumentCarried, DocumentPublished, Record

__all__ = ["Accepted", "DocumentFollower", "Ignored", "Rejected", "move_id"]


def move_id(service: ServiceName, published: Offset) -> MoveId:
    """Return the id of the move that the document published at `published` asks for.

    Examples
    --------
    >>> move_id(ServiceName("assistant"), Offset(7))
    'assistant@7'
    """
    return MoveId(f"{service}@{published}")


@dataclass(frozen=True, slots=True)
class Accepted:
    """The document is in force from now on.

    Attributes
    ----------
    offset : int
        Offset of the record that put it in force.
    published : int
        Offset of the original publication, which a carried document keeps.
    """

    service: ServiceName
    offset: Offset
    published: Offset
    document: ServiceDocument


@dataclass(frozen=True, slots=True)
class Rejected:
    """The document is not in force and never will be through this record."""

    service: ServiceName | None
    offset: Offset
    reason: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """The record or offer changes nothing."""

    offset: Offset
    reason: str


@dataclass(frozen=True, slots=True)
class _Current:
    """The document in force.

    `after_gap` is the base of the first record that was accepted after a gap in the log, -1 for
    a first publication, and None if the chain of records up to here was read without a gap.
    """

    offset: Offset
    published: Offset
    document: ServiceDocument
    after_gap: int | None = None


class DocumentFollower:
    """Follows the stream `config` and decides which documents are in force.

    Notes
    -----
    A record is accepted iff it is valid and based on the offset of the service's last accepted
    record. Readers of the whole stream therefore agree.

    A reader that starts above offset 0, or that falls behind retention, has not seen some
    records. It accepts a record that is based on an unseen offset, because publishers and
    carriers base their records on accepted ones. Of several such records it follows the one
    with the latest base: its base was accepted after the others' bases were replaced. Before a
    document falls out of retention it is carried, so a reader that has reached the end of the
    stream agrees with those that read all of it. A reader must not act before that.
    """

    def __init__(self) -> None:
        self._next = 0
        self._gap = range(0)
        self._current: dict[ServiceName, _Current] = {}

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next)

    def services(self) -> Iterable[ServiceName]:
        """Return the services that have a document in force."""
        return tuple(self._current)

    def current(self, service: ServiceName) -> tuple[Offset, ServiceDocument] | None:
        """Return the offset and the document in force, if there is one."""
        current = self._current.get(service)
        return None if current is None else (current.offset, current.document)

    def published(self, service: ServiceName) -> Offset | None:
        """Return the offset of the original publication of the document in force."""
        current = self._current.get(service)
        return None if current is None else current.published

    def offer_for(self, service: ServiceName) -> DocumentOffer | None:
        """Return the document in force as an offer to a peer."""
        current = self._current.get(service)
        if current is None:
            return None
        return DocumentOffer(service, current.offset, current.document, current.published)

    def skip_to(self, first: Offset) -> bool:
        """Continue at `first`, the lowest offset that the log still keeps.

        Returns
        -------
        bool
            Whether records were missed. Documents in force stay so.
        """
        if first <= self._next:
            return False
        self._gap = range(self._next, first)
        self._next = first
        return True

    def apply(self, offset: Offset, record: Record | MessageError) -> Accepted | Rejected | Ignored:
        """Replay the record at `offset`.

        Parameters
        ----------
        offset : int
            An offset below `next_offset` is a repetition; one above it means that the records
            between are lost.
        record : Record or MessageError
            The error stands for a record that could not be decoded.
        """
        if offset < self._next:
            return Ignored(offset, f"offset {offset} was read before")
        self.skip_to(offset)
        self._next = offset + 1
        match record:
            case DocumentPublished(based_on=base):
                return self._decide(offset, record, base, record.continues)
            case DocumentCarried(predecessor=base):
                published = base if record.published is None else record.published
                return self._decide(offset, record, base, published)
            case MessageError():
                return Rejected(None, offset, str(record))
            case _:
                return Ignored(offset, f"{type(record).__name__} does not belong to this stream")

    def offer(self, offer: DocumentOffer) -> Accepted | Rejected | Ignored:
        """Consider a document that a peer has accepted.

        Notes
        -----
        Below `next_offset` this daemon's own reading of the log decides, unless it missed
        records.
        """
        current = self._current.get(offer.service)
        if current is not None and offer.offset <= current.offset:
            return Ignored(offer.offset, f"offset {current.offset} is in force")
        if offer.offset < self._next and not self._uncertain(current):
            return Ignored(offer.offset, f"offset {offer.offset} was read and not accepted")
        reason = _fault(offer.service, offer.document)
        if reason is not None:
            return Rejected(offer.service, offer.offset, reason)
        published = offer.offset if offer.published is None else offer.published
        return self._accept(
            offer.service, _Current(offer.offset, published, offer.document, after_gap=None)
        )

    def carry_due(
        self, service: ServiceName, now_wall_ms: int, recorded_wall_ms: int, retention_ms: int
    ) -> bool:
        """Return whether the document should be appended again before retention ends.

        Parameters
        ----------
        recorded_wall_ms : int
            The log's time of the record in force.

        Notes
        -----
        It is due after half the retention, which leaves the other half for outages of the log.
        It stays due after retention has ended, because a late copy still reaches new readers.
        """
        if service not in self._current:
            return False
        return now_wall_ms - recorded_wall_ms >= retention_ms // 2

    def carried(self, service: ServiceName) -> DocumentCarried | None:
        """Return the record that repeats the document in force."""
        current = self._current.get(service)
        if current is None:
            return None
        return DocumentCarried(
            service=service,
            document=current.document,
            predecessor=current.offset,
            published=current.published,
        )

    def publication(
        self, document: ServiceDocument, author: str, reason: str = ""
    ) -> DocumentPublished:
        """Return the record that publishes `document` after the one in force.

        Notes
        -----
        A document with the same version and move as the one in force continues that move.
        """
        current = self._current.get(document.service)
        continues = None
        if current is not None and _asks_the_same(document, current.document):
            continues = current.published
        return DocumentPublished(
            service=document.service,
            document=document,
            based_on=None if current is None else current.offset,
            author=author,
            reason=reason,
            continues=continues,
        )

    def _decide(
        self,
        offset: Offset,
        record: DocumentPublished | DocumentCarried,
        base: Offset | None,
        published: Offset | None,
    ) -> Accepted | Rejected | Ignored:
        service, document = record.service, record.document
        current = self._current.get(service)
        if current is not None and offset <= current.offset:
            return Ignored(offset, f"offset {current.offset} from a peer is in force")
        reason = _fault(service, document)
        if reason is not None:
            return Rejected(service, offset, reason)
        in_force = None if current is None else current.offset
        if base == in_force:
            after_gap = self._after_gap(current)
        elif self._follows_unseen(current, base):
            after_gap = -1 if base is None else base
        else:
            return Rejected(service, offset, f"based on {base}, but {in_force} is in force")
        if current is not None and base == current.offset:
            reason = _identity_fault(record, current)
            if reason is not None:
                return Rejected(service, offset, reason)
            if published is not None:
                published = current.published
        if published is None:
            published = offset
        return self._accept(service, _Current(offset, published, document, after_gap))

    def _accept(self, service: ServiceName, current: _Current) -> Accepted:
        self._current[service] = current
        return Accepted(service, current.offset, current.published, current.document)

    def _uncertain(self, current: _Current | None) -> bool:
        if current is None or current.offset < self._gap.stop:
            return len(self._gap) > 0
        return current.after_gap is not None

    def _after_gap(self, current: _Current | None) -> int | None:
        if current is None:
            return -1 if self._gap else None
        if current.offset < self._gap.stop:
            return current.offset
        return current.after_gap

    def _follows_unseen(self, current: _Current | None, base: Offset | None) -> bool:
        if base is None or base not in self._gap:
            return False
        if current is None:
            return True
        if current.offset < self._gap.stop:
            return base > current.offset
        return current.after_gap is not None and base > current.after_gap


def _identity_fault(record: DocumentPublished | DocumentCarried, current: _Current) -> str | None:
    """Return why a record may not keep the publication of the document in force."""
    match record:
        case DocumentCarried(document=document) if document != current.document:
            return f"differs from the document at {current.offset}"
        case DocumentPublished(document=document, continues=published) if published is not None:
            if not _asks_the_same(document, current.document):
                return f"asks for another move than the document at {current.offset}"
            if published != current.published:
                return f"continues {published}, but the move is that of {current.published}"
    return None


def _asks_the_same(one: ServiceDocument, other: ServiceDocument) -> bool:
    return one.version == other.version and one.move == other.move


def _fault(service: ServiceName, document: ServiceDocument) -> str | None:
    if document.service != service:
        return f"$.service: {document.service!r} in a record of {service!r}"
    try:
        validate_document(document)
    except* DocumentError as group:
        faults = "; ".join(str(fault) for fault in group.exceptions)
    else:
        return None
    return faults
