"""Records of the log streams and their encoding."""

from enum import Enum

import msgspec

from skylarkmoor_core.decoding import decode
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.ids import (
    ClaimId,
    HostId,
    Incarnation,
    MoveId,
    Offset,
    ServiceName,
    VersionId,
)

__all__ = [
    "AuditEntry",
    "Claim",
    "ClaimBatch",
    "DocumentCarried",
    "DocumentPublished",
    "MoveEnded",
    "MoveResult",
    "MoveStep",
    "Record",
    "Release",
    "decode_record",
    "encode_record",
]


class MoveResult(Enum):
    """Result of a move: completed or rolled back."""

    DONE = "done"
    UNDONE = "undone"


class _Record(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all records; the tag is the class name."""


class DocumentPublished(_Record, frozen=True):
    """An operator publishes a document, based on the accepted one at offset `based_on`.

    `continues` is set if the document requests the same move as its predecessor and changes
    only other parts. It is the offset of the publication that identifies the move. Without it,
    each change would restart the move, and a version that was stopped would be tried again.
    """

    service: ServiceName
    document: ServiceDocument
    based_on: Offset | None
    author: str
    reason: str = ""
    continues: Offset | None = None


class DocumentCarried(_Record, frozen=True):
    """Copy of the accepted document at `predecessor`, appended before its retention ends.

    `published` is the offset of the original publication, which identifies the document's
    move; None means `predecessor`.
    """

    service: ServiceName
    document: ServiceDocument
    predecessor: Offset
    published: Offset | None = None


class MoveStep(_Record, frozen=True):
    """Increase of the new version's share of traffic in a move.

    `move` consists of the service and the offset of the document that requests the move;
    `predecessor` is the offset of the move's previous step, or None for the first.
    """

    service: ServiceName
    move: MoveId
    version: VersionId
    step: int
    share_percent: int
    predecessor: Offset | None
    author: HostId


class MoveEnded(_Record, frozen=True):
    """End of a move, which is either completed or rolled back."""

    service: ServiceName
    move: MoveId
    version: VersionId
    result: MoveResult
    why: str
    author: HostId


class Claim(_Record, frozen=True):
    """Claim of an entry host to the right to dispatch the call with a key."""

    claim: ClaimId
    key_hash: int
    body_hash: int
    host: HostId
    incarnation: Incarnation
    issued_wall_ms: int


class Release(_Record, frozen=True):
    """Release of a claim by its holder; no part of the call was sent."""

    claim: ClaimId
    key_hash: int


class ClaimBatch(_Record, frozen=True):
    """Claims and releases of one append, in the order in which they take effect.

    One append for each claim would exceed the append rate that the log allows.
    """

    entries: tuple[Claim | Release, ...]


class AuditEntry(_Record, frozen=True):
    """Audit record of a change: author, subject, old and new value, time and log position."""

    who: str
    what: str
    before: str
    after: str
    at_ms: int
    stream: str = ""
    offset: Offset | None = None


Record = (
    DocumentPublished
    | DocumentCarried
    | MoveStep
    | MoveEnded
    | Claim
    | Release
    | ClaimBatch
    | AuditEntry
)

_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode `record` as JSON text."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record from JSON text.

    Raises
    ------
    MessageError
        If the text is not a valid record of a known type.
    """
    return decode(_DECODER, data, "record")
