"""Records of the log streams."""

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
    """How a move ended."""

    DONE = "done"
    UNDONE = "undone"


class _Record(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all records; the tag is the class name."""


class DocumentPublished(_Record, frozen=True):
    """An operator publishes a document, based on the accepted one at offset `based_on`.

    `continues` is set if the document asks for the same move as the one before and changes
    other parts only: the offset of the publication that names the move. Without it, the move
    would begin anew with each change, and a version that was stopped would be tried again.
    """

    service: ServiceName
    document: ServiceDocument
    based_on: Offset | None
    author: str
    reason: str = ""
    continues: Offset | None = None


class DocumentCarried(_Record, frozen=True):
    """The accepted document at `predecessor` is repeated before retention ends.

    `published` is the offset of the original publication, which names the document's move;
    None stands for `predecessor`.
    """

    service: ServiceName
    document: ServiceDocument
    predecessor: Offset
    published: Offset | None = None


class MoveStep(_Record, frozen=True):
    """The share of a move's traffic rises.

    `move` is made of the service and the offset of the document that asks for the move;
    `predecessor` is the offset of the move's last step, or None for its first.
    """

    service: ServiceName
    move: MoveId
    version: VersionId
    step: int
    share_percent: int
    predecessor: Offset | None
    author: HostId


class MoveEnded(_Record, frozen=True):
    """A move is done or undone."""

    service: ServiceName
    move: MoveId
    version: VersionId
    result: MoveResult
    why: str
    author: HostId


class Claim(_Record, frozen=True):
    """An entry host claims the right to dispatch the call with a key."""

    claim: ClaimId
    key_hash: int
    body_hash: int
    host: HostId
    incarnation: Incarnation
    issued_wall_ms: int


class Release(_Record, frozen=True):
    """The holder gives a claim up; nothing of the call was sent."""

    claim: ClaimId
    key_hash: int


class ClaimBatch(_Record, frozen=True):
    """Claims and releases that one append brings into the log, in the order in which they count.

    One record for each claim would exceed the appends that the log allows.
    """

    entries: tuple[Claim | Release, ...]


class AuditEntry(_Record, frozen=True):
    """A change: who made it, what changed, from what to what, and at which offset."""

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
    """Return `record` as JSON text."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record:
    """Read a record from JSON text.

    Raises
    ------
    MessageError
        If the text is not a known record.
    """
    return decode(_DECODER, data, "record")
