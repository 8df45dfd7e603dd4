"""Messages that daemons or gateways exchange with their peers, and their encoding."""

from enum import Enum
from typing import Annotated

import msgspec

from skylarkmoor_core.decoding import decode
from skylarkmoor_core.document import ServiceDocument
from skylarkmoor_core.ids import (
    ClaimId,
    FailureDomain,
    HostId,
    Incarnation,
    Offset,
    PromptPart,
    RequestId,
    ServiceName,
    UpstreamId,
)
from skylarkmoor_core.outcome import Outcome

__all__ = [
    "ClaimRequest",
    "ClaimResult",
    "ClaimStatus",
    "ClockAnswer",
    "ClockQuestion",
    "ConfigurationCopy",
    "ConfigurationQuery",
    "CrashEvidence",
    "CrashReport",
    "CrashedRequest",
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
    "MAX_RATE",
    "MAX_UNITS",
    "Message",
    "NamedLimit",
    "NamedLimits",
    "OutcomeAnswer",
    "OutcomeQuery",
    "PartTrial",
    "RelayedState",
    "ReleaseRequest",
    "SlotGrant",
    "SlotLoads",
    "SlotRefusal",
    "SlotRequest",
    "SlotWithdrawal",
    "StateBundle",
    "TopicRead",
    "TopicRecord",
    "UnitsGrant",
    "UnitsRequest",
    "UnitsReturn",
    "decode_envelope",
    "encode_envelope",
]


# Times on a monotonic clock, whose differences fit into messages as well.
_Time = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
# Largest numbers of units, and of units a second, that a message can carry.
MAX_UNITS = 2**53
MAX_RATE = 1e15
_Units = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNITS)]
_SignedUnits = Annotated[int, msgspec.Meta(ge=-MAX_UNITS, le=MAX_UNITS)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


class HostState(Enum):
    """Lifecycle state of an entry host; within an incarnation its value only increases."""

    ALIVE = 0
    DRAINING = 1
    LEFT = 2


class FactKind(Enum):
    """Type of a fact, which determines the meaning of its subject and value."""

    HOST = 0
    UPSTREAM_LEAVING = 1
    VERSION_STOPPED = 2
    EVIDENCE = 3
    SUSPECT = 4
    SUSPECT_CLEARED = 5
    DOCUMENT_OFFSET = 6


class ClaimStatus(Enum):
    """Result of a claim request."""

    WON = 0
    HELD = 1
    LOG_DOWN = 2
    NOT_OWNER = 3


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the convergent replicated map of soft state.

    Parameters
    ----------
    kind : FactKind
        Type of the fact.
    subject : str
        Id of what the fact is about, for instance an upstream id.
    value : tuple of int
        Merged element-wise by maximum.
    """

    kind: FactKind
    subject: str
    value: tuple[int, ...]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between peers."""


class Heartbeat(_Message, frozen=True, tag="h"):
    """Periodic sign that the sender is alive, with its state."""

    state: HostState
    seq: int


class Gossip(_Message, frozen=True, tag="g"):
    """Facts that the sender has newly learned."""

    facts: tuple[Fact, ...]


class Digest(_Message, frozen=True, tag="d"):
    """Hashes of the sender's facts by bucket; the receiver replies with the buckets that differ."""

    hashes: tuple[int, ...]


class Demand(_Message, frozen=True, tag="q"):
    """Cost that the sender has running and queued for an upstream, by tier, in absolute values."""

    upstream: UpstreamId
    seq: int
    running: tuple[int, ...]
    waiting: tuple[int, ...]
    # Worst first-token or between-tokens latency since the last demand, as a percentage of the
    # tier's bound; 0 if nothing was measured.
    pressure_percent: int = 0
    # Cost of the next queued request of each tier. A smaller grant could not start any request.
    next_cost: tuple[int, ...] = ()


class Grant(_Message, frozen=True, tag="r"):
    """Cost that the receiver may run on an upstream, by tier, in absolute values."""

    upstream: UpstreamId
    seq: int
    allowed: tuple[int, ...]
    # Counted from the time at which the receiver sent the demand `answers`, so that a grant
    # delayed in the buffer of a paused receiver does not extend the lease.
    lease_ms: int
    # Sequence number of the receiver's newest demand that the owner has received.
    answers: int = 0
    # Estimated capacity of the upstream, for fallback shares and for the next owner.
    capacity: int = 0
    # Cost that is unused or used by lower tiers, by tier.
    room: tuple[int, ...] = ()
    # Cost that may keep running, by tier, if it exceeds what new requests may use.
    keep: tuple[int, ...] = ()


class ClaimRequest(_Message, frozen=True, tag="c"):
    """Asks the owner of the key's partition to claim the key."""

    claim: ClaimId
    key_hash: int
    body_hash: int
    issued_wall_ms: int


class ReleaseRequest(_Message, frozen=True, tag="e"):
    """Asks the owner of the key's partition to log the release of a claim."""

    claim: ClaimId
    key_hash: int


class ClaimResult(_Message, frozen=True, tag="k"):
    """Reply to a claim request; the holder's fields are set if the key is held."""

    claim: ClaimId
    status: ClaimStatus
    holder_claim: ClaimId | None = None
    holder_host: HostId | None = None
    holder_incarnation: Incarnation | None = None
    holder_body_hash: int | None = None


class OutcomeQuery(_Message, frozen=True, tag="o"):
    """Asks the holder of a claim for the outcome of its call."""

    claim: ClaimId
    query: int


class OutcomeAnswer(_Message, frozen=True, tag="a"):
    """Outcome of a claimed call; `done` is false while it runs."""

    claim: ClaimId
    query: int
    done: bool
    outcome: Outcome
    status_code: int
    body: bytes


class DocumentOffer(_Message, frozen=True, tag="f"):
    """An accepted document and its offset, for a peer that has an older one.

    `published` is the offset of the original publication; None means `offset`.
    """

    service: ServiceName
    offset: Offset
    document: ServiceDocument
    published: Offset | None = None


class DocumentQuery(_Message, frozen=True, tag="w"):
    """Asks for documents that are newer than those in force on the sender, listed by offset."""

    offsets: dict[ServiceName, Offset]


class GatewayState(_Message, frozen=True, tag="s"):
    """State report of a gateway to its peers, in absolute values.

    Attributes
    ----------
    address : str
        Peer address of the sender, so that a receiver that does not know it yet can reply.
    leaving : bool
        Whether the sender accepts no new requests.
    configuration : int
        Offset of the newest configuration record that the sender has read.
    loads : dict
        Running requests and prompt tokens still to be prefilled, by upstream.
    admitted : dict
        Quota units admitted since process start, by customer.
    requests, repeats : dict
        First attempts and retries sent since process start, by service.
    crashes : dict
        Number of upstream connections that broke during a request, by its fingerprint.
    """

    address: str
    leaving: bool
    configuration: int
    loads: dict[UpstreamId, tuple[int, int]]
    admitted: dict[str, int]
    requests: dict[str, int]
    repeats: dict[str, int]
    crashes: dict[int, int] = {}
    # Number of the last grant accepted from each dispatcher; the loads include it.
    taken: dict[HostId, int] = {}
    # Sums of the sender's measurements of each upstream, and the remaining backoff of some.
    records: dict[UpstreamId, tuple[int, int, int, int, int, int]] = {}
    resting_ms: dict[UpstreamId, int] = {}
    # Offset of the newest record read that changed the upstreams.
    upstreams: int = -1
    # Start times of the leaving upstreams that the sender knows; they identify the instances.
    leaving_upstreams: dict[UpstreamId, int] = {}
    # Empty for a sender that takes no part in the relaying of states.
    failure_domain: FailureDomain = FailureDomain("")
    # Number of the state within the sender's incarnation; 0 if the sender does not number them.
    sequence: int = 0
    # Eras of the offsets in `configuration` and `upstreams`; 0 if the sender does not know them.
    configuration_era: int = 0
    upstreams_era: int = 0
    # After a restore of the log: start time and last sequence number of upstreams that have left.
    departed: dict[UpstreamId, tuple[int, int]] = {}
    # Era, offset and version of the configuration in force; None without one.
    in_force: tuple[int, int, int] | None = None
    # Monotonic time of the sender when it sent the state; 0 if it does not tell.
    sent_ms: _Time = 0
    # Where the sender accepts connections to be passed on to upstreams; empty if it does not.
    relay_address: str = ""
    # Connections that it passes on, and upstreams that it does not reach itself.
    relayed: int = 0
    unreachable: tuple[UpstreamId, ...] = ()
    # Whether the sender takes part in holding shares of the customers' limits.
    shares_limits: bool = False
    # Era and offset of the last order about a failure domain, and whether it is evacuated.
    evacuated: dict[FailureDomain, tuple[int, int, bool]] = {}
    # Work of the requests that the sender has granted slots, in tokens by customer; only of
    # customers with recent grants. A count is cumulative, and begins again after a long pause.
    granted_work: dict[str, _Units] = {}
    # Whether the sender passes on what it reads from the log, and uses what peers have read.
    shares_reads: bool = False
    # Speed of the link of the sender's host; 0 if it is not known.
    link_mbps: _Rate = 0.0


class ConfigurationQuery(_Message, frozen=True, tag="u"):
    """Asks for the configuration that is in force on the receiver."""


class ConfigurationCopy(_Message, frozen=True, tag="v"):
    """A configuration with its version and the position of its record, as the log has it."""

    era: int
    offset: int
    version: int
    data: bytes


class ConfigurationConfirmed(_Message, frozen=True, tag="n"):
    """Tells up to where the sender has read the configuration, and when that was the end.

    Attributes
    ----------
    era, offset : int
        Position of the last record that it has read.
    confirmed_ms, sent_ms : int
        Monotonic times of the sender: when its read began, and when it sent this.
    """

    era: int
    offset: int
    confirmed_ms: _Time
    sent_ms: _Time


class TopicRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of a topic of the log; `value` is None if its key was deleted."""

    key: str
    value: bytes | None
    offset: int


class TopicRead(_Message, frozen=True, tag="4"):
    """What the sender has read from a topic of the log.

    Attributes
    ----------
    era : int
        Era of the offsets.
    from_offset, next_offset : int
        Offsets of the first record that was asked for, and after the last one of the topic.
    is_complete : bool
        Whether `records` are all records in between; otherwise there are none.
    began_ms, sent_ms : int
        Monotonic times of the sender: when its read began, and when it sent this.
    regained_age_ms : int
        Time since the sender has reached the log again after an outage; -1 if it had none.
    """

    topic: str
    era: int
    from_offset: int
    next_offset: int
    records: tuple[TopicRecord, ...]
    is_complete: bool
    began_ms: _Time
    sent_ms: _Time
    regained_age_ms: int = -1


class ClockQuestion(_Message, frozen=True, tag="1"):
    """Asks for the clock of the receiver, with the monotonic time of the sender."""

    sent_ms: _Time


class ClockAnswer(_Message, frozen=True, tag="2"):
    """Tells the monotonic time of the sender, and that of the question."""

    asked_ms: _Time
    sent_ms: _Time


class RelayedState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a gateway as a relay passes it on."""

    host: HostId
    incarnation: Incarnation
    state: GatewayState


class StateBundle(_Message, frozen=True, tag="b"):
    """States of several gateways, sent by a relay."""

    states: tuple[RelayedState, ...]


class SlotRequest(_Message, frozen=True, tag="t"):
    """Asks a service's dispatcher for a slot; times are relative to the time of sending."""

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
    # Number of the requested group of the service's engines, and the count of groups.
    group: int = 0
    groups: int = 1
    # Version of the upstreams that should run the request, and of those that must not.
    preferred_version: str = ""
    except_version: str = ""
    # Customer of the request, the weight of its share (0 if it is not known) and the cost of the
    # request in prompt tokens.
    customer: str = ""
    customer_weight: _Rate = 0.0
    work_tokens: _Units = 0
    # Hash of API key, target and body; 0 for a request that has run before or has no body.
    request_hash: int = 0
    # Regions that the request must not leave; empty for any.
    regions: tuple[str, ...] = ()
    # Ticket of the first slot request for the same request, if this is a further one; else 0.
    first_ticket: int = 0


class SlotWithdrawal(_Message, frozen=True, tag="x"):
    """Withdraws a slot request."""

    ticket: int
    # Whether another dispatcher has granted a slot.
    granted_elsewhere: bool = False


class SlotLoads(_Message, frozen=True, tag="z"):
    """Reports the sender's load on the engines of a group to a dispatcher, in absolute values."""

    service: ServiceName
    group: int
    groups: int
    # Running requests and prompt tokens still to be prefilled, by upstream.
    loads: dict[UpstreamId, tuple[int, int]]
    # Number of the last grant accepted from the dispatcher; the loads include it.
    taken: int = 0
    # Number of the sender's last state; the loads are newer than that state.
    sequence: int = 0


class SlotGrant(_Message, frozen=True, tag="y"):
    """Grants a slot to a waiting request; a dispatcher numbers its grants.

    Attributes
    ----------
    incarnation : Incarnation
        Process that has asked for the slot; 0 if the sender does not tell.
    """

    ticket: int
    upstream: UpstreamId
    grant: int
    # Whether the upstream has named a limit, and the grant is within it.
    under_limit: bool = False
    incarnation: Incarnation = Incarnation(0)


class SlotRefusal(_Message, frozen=True, tag="3"):
    """Refuses a slot request, as no slot becomes free for it in time.

    Attributes
    ----------
    available_in_ms : int
        Time until a slot is expected to become free for it.
    incarnation : Incarnation
        Process that has asked for the slot.
    """

    ticket: int
    available_in_ms: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    incarnation: Incarnation


class UnitsRequest(_Message, frozen=True, tag="i"):
    """Asks the holder of a share of a customer's limit for units.

    Attributes
    ----------
    number : int
        Number of the request within the sender's process.
    units : int
        Units wanted.
    least_units : int
        Units below which none are to be granted.
    units_per_s, burst_units : float
        The customer's limit, for a holder that does not know the customer yet.
    """

    number: int
    customer: str
    units: _Units
    least_units: _Units
    units_per_s: _Rate
    burst_units: _Rate


class UnitsGrant(_Message, frozen=True, tag="j"):
    """Grants units of a customer's limit, none if there are none.

    Attributes
    ----------
    number : int
        Number of the request that is answered.
    left : int
        Units that the sender has left; negative if it has granted more than it had.
    is_scarce : bool
        Whether the sender refuses most requests for its units.
    """

    number: int
    customer: str
    units: _Units
    left: _SignedUnits
    is_scarce: bool


class UnitsReturn(_Message, frozen=True, tag="m"):
    """Returns granted units that were not used, or deducts more if their number is negative."""

    customer: str
    units: _SignedUnits


class CrashedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request without an event of its answer when its upstream crashed.

    Attributes
    ----------
    began : bool
        Whether the head of the answer had arrived.
    parts : tuple of PromptPart
        The parts of its prompt but the last one, which no other request shares.
    """

    request: RequestId
    began: bool
    parts: tuple[PromptPart, ...]


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The crash of an instance, `age_ms` before the time of sending."""

    upstream: UpstreamId
    started_wall_ms: int
    age_ms: int
    requests: tuple[CrashedRequest, ...]


class PartTrial(msgspec.Struct, frozen=True, array_like=True):
    """A request with a blocked part was sent, `age_ms` before the time of sending."""

    part: PromptPart
    age_ms: int


class CrashEvidence(_Message, frozen=True, tag="p"):
    """What a gateway knows of the parts of prompts that were on upstreams when these crashed."""

    crashes: tuple[CrashReport, ...] = ()
    # Age of the last answer that has begun, by part; only parts that a crash names.
    starts_age_ms: dict[PromptPart, int] = {}
    trials: tuple[PartTrial, ...] = ()


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit that an instance of an upstream has named in an answer.

    Attributes
    ----------
    limit_per_s : float or None
        Requests per second from all gateways together; None if the answer named no limit.
    heard_ms : int
        Monotonic time of the sender when the head of the answer arrived.
    issued : int
        Permits that the sender has issued for it; it does not fall while the limit lasts.
    max_refusals_per_s : float or None
        Refusals per second that it bears; None if the answer named no bound.
    refused : int
        Refusals that the sender was given since then; it does not fall while the bound lasts.
    cold_ms : int
        For how long the sender takes it to be cold from the time of sending; 0 if it does not.
    """

    upstream: UpstreamId
    started_wall_ms: int
    limit_per_s: _Rate | None
    heard_ms: _Time
    issued: int
    max_refusals_per_s: _Rate | None = None
    refused: int = 0
    cold_ms: int = 0


class NamedLimits(_Message, frozen=True, tag="l"):
    """Limits of upstreams as the sender knows them."""

    sent_ms: _Time
    limits: tuple[NamedLimit, ...]


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
    | ConfigurationQuery
    | ConfigurationCopy
    | ConfigurationConfirmed
    | TopicRead
    | ClockQuestion
    | ClockAnswer
    | StateBundle
    | SlotRequest
    | SlotWithdrawal
    | SlotGrant
    | SlotLoads
    | CrashEvidence
    | NamedLimits
    | UnitsRequest
    | UnitsGrant
    | UnitsReturn
    | SlotRefusal
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the host and incarnation of its sender."""

    sender: HostId
    incarnation: Incarnation
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode `envelope` as MessagePack."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope from MessagePack.

    Raises
    ------
    MessageError
        If the bytes are not a valid envelope.
    """
    return decode(_DECODER, data, "message")
