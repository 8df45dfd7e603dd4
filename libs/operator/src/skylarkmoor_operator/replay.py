"""Replay of the stream of published documents."""

from dataclasses import dataclass

from skylarkmoor_core.document import ServiceDocument, validate_document
from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.ids import Offset, ServiceName
from skylarkmoor_core.records import DocumentCarried, DocumentPublished, Record

__all__ = ["Accepted", "Decision", "DocumentFollower", "Ignored", "Rejected"]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record's document is in force from its offset on."""

    service: ServiceName
    offset: Offset


@dataclass(frozen=True, slots=True)
class Rejected:
    """The record has no effect."""

    service: ServiceName | None
    offset: Offset
    reason: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """The record does not concern documents, or was applied before."""

    offset: Offset
    reason: str


Decision = Accepted | Rejected | Ignored


class DocumentFollower:
    """Decides for each record of the stream, in order, whether it is accepted.

    Notes
    -----
    Every reader that applies the same records reaches the same decisions.
    """

    def __init__(self) -> None:
        self._current: dict[ServiceName, tuple[Offset, ServiceDocument]] = {}
        self._first: Offset | None = None
        self._next = 0

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to read."""
        return Offset(self._next)

    def apply(self, offset: Offset, record: Record | MessageError) -> Decision:
        """Take the next record of the stream, or the error if it cannot be decoded."""
        if offset < self._next:
            return Ignored(offset, f"offset {offset} was read before")
        self._next = offset + 1
        if self._first is None:
            self._first = offset
        match record:
            case DocumentPublished(service=service, based_on=base):
                return self._decide(offset, service, record.document, base)
            case DocumentCarried(service=service, predecessor=base):
                return self._decide(offset, service, record.document, base)
            case MessageError():
                return Rejected(None, offset, str(record))
            case _:
                return Ignored(offset, f"{type(record).__name__} does not belong to this stream")

    def current(self, service: ServiceName) -> tuple[Offset, ServiceDocument] | None:
        """Return the accepted document of `service` with its offset, if there is one."""
        return self._current.get(service)

    def _decide(
        self, offset: Offset, service: ServiceName, document: ServiceDocument, base: Offset | None
    ) -> Decision:
        held = self._current.get(service)
        accepted = held[0] if held is not None else None
        if base != accepted and not (held is None and self._expired(base)):
            return Rejected(service, offset, f"based on {base}, but {accepted} is in force")
        if document.service != service:
            return Rejected(service, offset, f"$.service: {document.service!r} in {service!r}")
        try:
            validate_document(document)
        except ExceptionGroup as group:
            faults = "; ".join(str(fault) for fault in group.exceptions)
            return Rejected(service, offset, faults)
        self._current[service] = (offset, document)
        return Accepted(service, offset)

    def _expired(self, base: Offset | None) -> bool:
        # The record that decided on `base` is no longer in the log, so the first record that
        # follows such a base is taken as accepted.
        return base is not None and self._first is not None and base < self._first
