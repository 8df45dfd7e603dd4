"""Messages between daemons."""

from enum import Enum

import msgspec

from skylarkmoor_core.decoding import decode
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.ids import ClaimId, HostId, Incarnation, Offset, ServiceName, UpstreamId
from skylarkmoor_core.outcome import Outcome

__all__ = [
    "ClaimRequest",
    "ClaimResult",
    "ClaimStatus",
    "Demand",
    "Digest",
    "DocumentOffer",
    "DocumentQuery",
    "Envelope",
    "Fact",
    "FactKind",
    "GatewayState",
    "Gossip",
    "Grant",
    "Heartbeat",
    "HostState",
    "Message",
    "OutcomeAnswer",
    "OutcomeQuery",
    "ReleaseRequest",
    "SlotGrant",
    "SlotLoads",
    "SlotRequest",
    "SlotWithdrawal",
    "decode_envelope",
    "encode_envelope",
]


class HostState(Enum):
    """State of an entry host, in the order in which it may change within an incarnation."""

    ALIVE = 0
    DRAINING = 1
    LEFT = 2


class FactKind(Enum):
    """What a fact is about."""

    HOST = 0
    UPSTREAM_LEAVING = 1
    VERSION_STOPPED = 2
    EVIDENCE = 3
    SUSPECT = 4
    SUSPECT_CLEARED = 5
    DOCUMENT_OFFSET = 6


class ClaimStatus(Enum):
    """Answer to a claim request."""

    WON = 0
    HELD = 1
    LOG_DOWN = 2
    NOT_OWNER = 3


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the convergent map of shared soft state.

    Parameters
    ----------
    kind : FactKind
        What the fact is about.
    subject : str
        The thing concerned, for instance an upstream id.
    value : tuple of int
        Merged element by element by maximum.
    """

    kind: FactKind
    subject: str
    value: tuple[int, ...]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between daemons."""


class Heartbeat(_Message, frozen=True, tag="h"):
    """The sender is alive in this state."""

    state: HostState
    seq: int


class Gossip(_Message, frozen=True, tag="g"):
    """Facts that are new to the sender."""

    facts: tuple[Fact, ...]


class Digest(_Message, frozen=True, tag="d"):
    """Hashes of the sender's facts by bucket; the receiver answers with differing buckets."""

    hashes: tuple[int, ...]


class Demand(_Message, frozen=True, tag="q"):
    """Cost that the sender runs and waits for on an upstream, by tier, as absolute values."""

    upstream: UpstreamId
    seq: int
    running: tuple[int, ...]
    waiting: tuple[int, ...]
    # Latency seen since the last demand: worst first-token and between-tokens time in
    # milliseconds as a percentage of the tier's bound, 0 when nothing was measured.
    pressure_percent: int = 0
    # Cost of the next waiting request of each tier. A smaller grant would run nothing.
    next_cost: tuple[int, ...] = ()


class Grant(_Message, frozen=True, tag="r"):
    """Cost that the receiver may run on an upstream, by tier, as absolute values."""

    upstream: UpstreamId
    seq: int
    allowed: tuple[int, ...]
    # Counted from the time at which the receiver sent the demand `answers`, so that a grant
    # that waited in a paused receiver's buffer is not taken for a fresh one.
    lease_ms: int
    # Sequence number of the newest demand of the receiver that the owner knows.
    answers: int = 0
    # Learnt capacity of the upstream, for fallback shares and for the next owner.
    capacity: int = 0
    # Cost that this tier and the higher ones do not use yet, by tier.
    room: tuple[int, ...] = ()
    # Cost that may go on running, by tier, where it is more than may be started anew.
    keep: tuple[int, ...] = ()


class ClaimRequest(_Message, frozen=True, tag="c"):
    """Ask the partition's owner to claim a key."""

    claim: ClaimId
    key_hash: int
    body_hash: int
    issued_wall_ms: int


class ReleaseRequest(_Message, frozen=True, tag="e"):
    """Ask the partition's owner to log the release of a claim."""

    claim: ClaimId
    key_hash: int


class ClaimResult(_Message, frozen=True, tag="k"):
    """Answer to a claim request; the holder's fields are set when the key is held."""

    claim: ClaimId
    status: ClaimStatus
    holder_claim: ClaimId | None = None
    holder_host: HostId | None = None
    holder_incarnation: Incarnation | None = None
    holder_body_hash: int | None = None


class OutcomeQuery(_Message, frozen=True, tag="o"):
    """Ask the holder of a claim how its call ended."""

    claim: ClaimId
    query: int


class OutcomeAnswer(_Message, frozen=True, tag="a"):
    """How a claimed call ended; `done` is false while it runs."""

    claim: ClaimId
    query: int
    done: bool
    outcome: Outcome
    status_code: int
    body: bytes


class DocumentOffer(_Message, frozen=True, tag="f"):
    """An accepted document with its offset, for a peer that has an older one.

    `published` is the offset of the original publication; None stands for `offset`.
    """

    service: ServiceName
    offset: Offset
    document: ServiceDocument
    published: Offset | None = None


class DocumentQuery(_Message, frozen=True, tag="w"):
    """Ask for documents that are newer than those in force on the sender, by offset."""

    offsets: dict[ServiceName, Offset]


class GatewayState(_Message, frozen=True, tag="s"):
    """What a gateway's peers need to know of it, as absolute values.

    Attributes
    ----------
    address : str
        Where the sender takes messages, so that a receiver that does not know it can answer.
    leaving : bool
        Whether the sender takes no more requests.
    configuration : int
        Offset of the newest configuration record that the sender has read.
    loads : dict
        Requests running and prompt tokens still to be read, by upstream.
    admitted : dict
        Units admitted since the start, by customer.
    requests, repeats : dict
        First and repeated sends since the start, by service.
    crashes : dict
        Upstreams' connections that broke under a request, by its fingerprint.
    """

    address: str
    leaving: bool
    configuration: int
    loads: dict[UpstreamId, tuple[int, int]]
    admitted: dict[str, int]
    requests: dict[str, int]
    repeats: dict[str, int]
    crashes: dict[int, int] = {}
    # Number of the last grant taken from each dispatcher; the loads include it.
    taken: dict[HostId, int] = {}
    # Sums of what the sender has seen of each upstream, and for how long it leaves some alone.
    records: dict[UpstreamId, tuple[int, int, int, int, int, int]] = {}
    resting_ms: dict[UpstreamId, int] = {}
    # Offset of the newest record read that changed the upstreams.
    upstreams: int = -1
    # Start times of the upstreams that the sender knows to be leaving.
    leaving_upstreams: dict[UpstreamId, int] = {}


class SlotRequest(_Message, frozen=True, tag="t"):
    """Ask a service's dispatcher for a slot; times count from the sending."""

    ticket: int
    service: ServiceName
    tier: int
    route_tier: int
    small: bool
    prompt_tokens: int
    max_gap_ms: int
    waited_ms: int
    on_time_in_ms: int
    give_up_in_ms: int
    output_tokens: int
    deadline_in_ms: int
    avoid: tuple[UpstreamId, ...] = ()
    # The part of the service's engines that is asked for, out of so many.
    group: int = 0
    groups: int = 1


class SlotWithdrawal(_Message, frozen=True, tag="x"):
    """Take back a request for a slot."""

    ticket: int


class SlotLoads(_Message, frozen=True, tag="z"):
    """Tell a dispatcher the sender's work on the engines of a group, as absolute values."""

    service: ServiceName
    group: int
    groups: int
    # Requests running and prompt tokens still to be read, by upstream.
    loads: dict[UpstreamId, tuple[int, int]]
    # Number of the last grant taken from the dispatcher; the loads include it.
    taken: int = 0


class SlotGrant(_Message, frozen=True, tag="y"):
    """A slot for a waiting request; grants of a dispatcher are numbered."""

    ticket: int
    upstream: UpstreamId
    grant: int


Message = (
    Heartbeat
    | Gossip
    | Digest
    | Demand
    | Grant
    | ClaimRequest
    | ReleaseRequest
    | ClaimResult
    | OutcomeQuery
    | OutcomeAnswer
    | DocumentOffer
    | DocumentQuery
    | GatewayState
    | SlotRequest
    | SlotWithdrawal
    | SlotGrant
    | SlotLoads
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    sender: HostId
    incarnation: Incarnation
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return `envelope` as MessagePack."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Read an envelope from MessagePack.

    Raises
    ------
    MessageError
        If the bytes are not a valid envelope.
    """
    return decode(_DECODER, data, "message")
