"""Determines which published document of each service is in force."""

from collections.abc import Iterable
from dataclasses import dataclass

from skylarkmoor_core.document import ServiceDocument, validate_document
from skylarkmoor_core.errors import DocumentError, MessageError
from skylarkmoor_core.ids import MoveId, Offset, ServiceName
from skylarkmoor_core.messages import DocumentOffer
from skylarkmoor_core.records import DocumentCarried, DocumentPublished, Record

__all__ = ["DocumentAccepted", "DocumentFollower", "DocumentRejected", "RecordIgnored", "move_id"]


def move_id(service: ServiceName, published: Offset) -> MoveId:
    """Return the id of the move requested by the document published at `published`.

    Examples
    --------
    >>> move_id(ServiceName("assistant"), Offset(7))
    'assistant@7'
    """
    return MoveId(f"{service}@{published}")


@dataclass(frozen=True, slots=True)
class DocumentAccepted:
    """The document has come into force.

    Attributes
    ----------
    offset : int
        Offset of the record that brought it into force.
    published : int
        Offset of the original publication, which a carried copy keeps.
    """

    service: ServiceName
    offset: Offset
    published: Offset
    document: ServiceDocument


@dataclass(frozen=True, slots=True)
class DocumentRejected:
    """The record or offer is invalid or outdated, and its document never comes into force by it."""

    service: ServiceName | None
    offset: Offset
    reason: str


@dataclass(frozen=True, slots=True)
class RecordIgnored:
    """The record or offer has no effect."""

    offset: Offset
    reason: str


@dataclass(frozen=True, slots=True)
class _DocumentInForce:
    """The document in force of one service.

    Attributes
    ----------
    first_base_after_gap : int, optional
        Base of the first record that was accepted after a gap in the log, -1 if that record was a
        first publication. None if all records up to this document were read without a gap.
    """

    offset: Offset
    published: Offset
    document: ServiceDocument
    first_base_after_gap: int | None = None


class DocumentFollower:
    """Replays the stream `config` and determines which documents are in force.

    Notes
    -----
    A record is accepted iff it is valid and based on the offset of the service's last accepted
    record. All readers of the whole stream therefore agree.

    A reader that starts above offset 0, or that falls behind retention, has missed records. It
    accepts a record that is based on a missed offset, because publishers and carriers base their
    records on accepted ones. Of several such records it accepts the one with the highest base,
    because that base was accepted after the bases of the others were replaced. A document is
    carried, that is appended again, before it falls out of retention. A reader that has reached
    the end of the stream therefore agrees with those that read all of it. A reader must not act
    on its documents before that.
    """

    def __init__(self) -> None:
        self._next_offset = 0
        # Offsets that the last skip left out; earlier gaps are not recorded.
        self._last_gap = range(0)
        self._in_force: dict[ServiceName, _DocumentInForce] = {}

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next_offset)

    def services(self) -> Iterable[ServiceName]:
        """Return the names of the services that have a document in force."""
        return tuple(self._in_force)

    def current(self, service: ServiceName) -> tuple[Offset, ServiceDocument] | None:
        """Return the document in force and its offset, or None."""
        current = self._in_force.get(service)
        return None if current is None else (current.offset, current.document)

    def published_offset(self, service: ServiceName) -> Offset | None:
        """Return the offset at which the document in force was first published, or None."""
        current = self._in_force.get(service)
        return None if current is None else current.published

    def offer_for(self, service: ServiceName) -> DocumentOffer | None:
        """Return an offer of the document in force for a peer, or None."""
        current = self._in_force.get(service)
        if current is None:
            return None
        return DocumentOffer(service, current.offset, current.document, current.published)

    def skip_to(self, first: Offset) -> bool:
        """Skip to `first`, the lowest offset that the log still retains.

        Returns
        -------
        bool
            Whether records were missed. Documents in force stay in force.
        """
        if first <= self._next_offset:
            return False
        self._last_gap = range(self._next_offset, first)
        self._next_offset = first
        return True

    def apply_record(
        self, offset: Offset, record: Record | MessageError
    ) -> DocumentAccepted | DocumentRejected | RecordIgnored:
        """Replay the record at `offset`.

        Parameters
        ----------
        offset : int
            An offset below `next_offset` is a repetition; one above it means that the records in
            between were lost.
        record : Record or MessageError
            An error stands for a record that could not be decoded.
        """
        if offset < self._next_offset:
            return RecordIgnored(offset, f"the record at offset {offset} was already read")
        self.skip_to(offset)
        self._next_offset = offset + 1
        match record:
            case DocumentPublished(based_on=base):
                return self._evaluate(offset, record, base, record.continues)
            case DocumentCarried(predecessor=base):
                published = base if record.published is None else record.published
                return self._evaluate(offset, record, base, published)
            case MessageError():
                return DocumentRejected(None, offset, str(record))
            case _:
                return RecordIgnored(
                    offset, f"a {type(record).__name__} record does not belong in the stream config"
                )

    def apply_offer(
        self, offer: DocumentOffer
    ) -> DocumentAccepted | DocumentRejected | RecordIgnored:
        """Process the offer of a document that a peer has accepted.

        Notes
        -----
        For offsets below `next_offset` the result of this daemon's own replay takes precedence,
        unless it missed records.
        """
        current = self._in_force.get(offer.service)
        if current is not None and offer.offset <= current.offset:
            return RecordIgnored(
                offer.offset, f"the document at offset {current.offset} is in force"
            )
        if offer.offset < self._next_offset and not self._may_have_missed_records(current):
            return RecordIgnored(
                offer.offset, f"the record at offset {offer.offset} was read and not accepted"
            )
        reason = _validation_error(offer.service, offer.document)
        if reason is not None:
            return DocumentRejected(offer.service, offer.offset, reason)
        published = offer.offset if offer.published is None else offer.published
        return self._accept(
            offer.service,
            _DocumentInForce(offer.offset, published, offer.document, first_base_after_gap=None),
        )

    def is_carry_due(
        self, service: ServiceName, now_wall_ms: int, recorded_wall_ms: int, retention_ms: int
    ) -> bool:
        """Return whether the document in force is due to be appended to the log again.

        Parameters
        ----------
        recorded_wall_ms : int
            Log time of the record in force.

        Notes
        -----
        The copy is due after half the retention time, which leaves the other half for outages of
        the log. It stays due after retention has ended, because a late copy still reaches new
        readers.
        """
        if service not in self._in_force:
            return False
        return now_wall_ms - recorded_wall_ms >= retention_ms // 2

    def carry_record(self, service: ServiceName) -> DocumentCarried | None:
        """Return the record that appends the document in force again, or None."""
        current = self._in_force.get(service)
        if current is None:
            return None
        return DocumentCarried(
            service=service,
            document=current.document,
            predecessor=current.offset,
            published=current.published,
        )

    def publish_record(
        self, document: ServiceDocument, author: str, reason: str = ""
    ) -> DocumentPublished:
        """Return the record that publishes `document` after the one in force.

        Notes
        -----
        If `document` has the same version and move as the one in force, the record continues that
        move instead of starting it anew.
        """
        current = self._in_force.get(document.service)
        continues = None
        if current is not None and _requests_same_move(document, current.document):
            continues = current.published
        return DocumentPublished(
            service=document.service,
            document=document,
            based_on=None if current is None else current.offset,
            author=author,
            reason=reason,
            continues=continues,
        )

    def _evaluate(
        self,
        offset: Offset,
        record: DocumentPublished | DocumentCarried,
        base: Offset | None,
        published: Offset | None,
    ) -> DocumentAccepted | DocumentRejected | RecordIgnored:
        service, document = record.service, record.document
        current = self._in_force.get(service)
        if current is not None and offset <= current.offset:
            return RecordIgnored(
                offset, f"the document at offset {current.offset} from a peer is in force"
            )
        reason = _validation_error(service, document)
        if reason is not None:
            return DocumentRejected(service, offset, reason)
        current_offset = None if current is None else current.offset
        if base == current_offset:
            first_base_after_gap = self._first_base_after_gap(current)
        elif self._is_based_on_unseen(current, base):
            first_base_after_gap = -1 if base is None else base
        else:
            return DocumentRejected(
                service,
                offset,
                f"based on offset {base}, but the offset in force is {current_offset}",
            )
        if current is not None and base == current.offset:
            reason = _continuation_error(record, current)
            if reason is not None:
                return DocumentRejected(service, offset, reason)
            if published is not None:
                published = current.published
        if published is None:
            published = offset
        return self._accept(
            service, _DocumentInForce(offset, published, document, first_base_after_gap)
        )

    def _accept(self, service: ServiceName, current: _DocumentInForce) -> DocumentAccepted:
        self._in_force[service] = current
        return DocumentAccepted(service, current.offset, current.published, current.document)

    def _may_have_missed_records(self, current: _DocumentInForce | None) -> bool:
        if current is None or current.offset < self._last_gap.stop:
            return len(self._last_gap) > 0
        return current.first_base_after_gap is not None

    def _first_base_after_gap(self, current: _DocumentInForce | None) -> int | None:
        if current is None:
            return -1 if self._last_gap else None
        if current.offset < self._last_gap.stop:
            return current.offset
        return current.first_base_after_gap

    def _is_based_on_unseen(self, current: _DocumentInForce | None, base: Offset | None) -> bool:
        if base is None or base not in self._last_gap:
            return False
        if current is None:
            return True
        if current.offset < self._last_gap.stop:
            return base > current.offset
        return current.first_base_after_gap is not None and base > current.first_base_after_gap


def _continuation_error(
    record: DocumentPublished | DocumentCarried, current: _DocumentInForce
) -> str | None:
    """Return why a record must not continue the publication in force, or None if it may."""
    match record:
        case DocumentCarried(document=document) if document != current.document:
            return f"the carried document differs from the one at offset {current.offset}"
        case DocumentPublished(document=document, continues=published) if published is not None:
            if not _requests_same_move(document, current.document):
                return f"requests a different move than the document at offset {current.offset}"
            if published != current.published:
                return f"continues offset {published}, but the move is from {current.published}"
    return None


def _requests_same_move(one: ServiceDocument, other: ServiceDocument) -> bool:
    return one.version == other.version and one.move == other.move


def _validation_error(service: ServiceName, document: ServiceDocument) -> str | None:
    if document.service != service:
        return f"$.service: {document.service!r} in a record of service {service!r}"
    try:
        validate_document(document)
    except* DocumentError as group:
        messages = "; ".join(str(error) for error in group.exceptions)
    else:
        return None
    return messages
