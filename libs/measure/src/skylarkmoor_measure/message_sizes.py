"""Encoded size of each type of message between daemons."""

from collections.abc import Iterator

import msgspec

from skylarkmoor_core.ids import ClaimId, Offset, ServiceName
from skylarkmoor_core.messages import (
    ClaimRequest,
    ClaimResult,
    ClaimStatus,
    Demand,
    Digest,
    DocumentQuery,
    Envelope,
    Fact,
    FactKind,
    Gossip,
    Grant,
    Heartbeat,
    HostState,
    Message,
    OutcomeAnswer,
    OutcomeQuery,
    ReleaseRequest,
    encode_envelope,
)
from skylarkmoor_core.outcome import Outcome
from skylarkmoor_measure.fleet import INCARNATION, START_MS, host_name, upstream_id
from skylarkmoor_policy.membership import host_fact

__all__ = ["MessageSize", "message_sizes", "zmtp_bytes"]

_HASH = 2**63 + 12_345
_CLAIM = ClaimId(f"{host_name(1)}/{INCARNATION}/123456")
_TIER_COSTS = (120_000, 80_000, 250_000, 60_000)
_SHORT_FRAME_BYTES = 255


class MessageSize(msgspec.Struct, frozen=True):
    """Size of a message in its envelope, without and with ZMTP framing."""

    kind: str
    encoded_bytes: int
    framed_bytes: int


def zmtp_bytes(encoded_bytes: int) -> int:
    """Return the size of a single-frame message in ZMTP 3.

    Notes
    -----
    A frame starts with a flags byte and a length field of one byte, or of eight bytes above 255.
    TCP and IPv4 add 52 bytes to each segment: two 20-byte headers and 12 bytes of timestamp
    option.

    References
    ----------
    .. [1] ZeroMQ RFC 23, "ZMTP - ZeroMQ Message Transport Protocol" 3.0.

    Examples
    --------
    >>> zmtp_bytes(255), zmtp_bytes(256)
    (257, 265)
    """
    return encoded_bytes + (2 if encoded_bytes <= _SHORT_FRAME_BYTES else 9)


def message_sizes() -> list[MessageSize]:
    """Return the size of a typical message of each type in a fleet of the design size."""
    sizes = []
    for kind, message in _messages():
        data = encode_envelope(Envelope(host_name(0), INCARNATION, message))
        sizes.append(MessageSize(kind, len(data), zmtp_bytes(len(data))))
    return sizes


def _messages() -> Iterator[tuple[str, Message]]:
    now_ms = 400_000 + START_MS
    yield "Heartbeat", Heartbeat(HostState.ALIVE, 100_000)
    alive = host_fact(host_name(1), INCARNATION << 10, HostState.ALIVE, int(INCARNATION))
    yield "Gossip of one host fact", Gossip((alive,))
    stopped = Fact(FactKind.VERSION_STOPPED, "assistant@1234", (1, int(INCARNATION)))
    yield "Gossip of one stopped version", Gossip((stopped,))
    suspect = Fact(
        FactKind.SUSPECT, f"{_HASH}/{upstream_id(1)}/{INCARNATION}", (1, int(INCARNATION))
    )
    yield "Gossip of one suspect", Gossip((suspect,))
    yield "Digest", Digest((_HASH,) * 64)
    yield "Demand", Demand(upstream_id(1), now_ms, _TIER_COSTS, _TIER_COSTS, 85, (4_000,) * 4)
    yield (
        "Grant",
        Grant(upstream_id(1), now_ms, _TIER_COSTS, 3_000, now_ms, 800_000, (200_000,) * 4),
    )
    yield "ClaimRequest", ClaimRequest(_CLAIM, _HASH, _HASH, int(INCARNATION))
    yield "ClaimResult, won", ClaimResult(_CLAIM, ClaimStatus.WON)
    held = ClaimResult(_CLAIM, ClaimStatus.HELD, _CLAIM, host_name(2), INCARNATION, _HASH)
    yield "ClaimResult, held", held
    yield "ReleaseRequest", ReleaseRequest(_CLAIM, _HASH)
    yield "OutcomeQuery", OutcomeQuery(_CLAIM, 1_000)
    answer = OutcomeAnswer(_CLAIM, 1_000, True, Outcome.RAN, 200, b"x" * 200)
    yield "OutcomeAnswer with 200 bytes of body", answer
    offsets = {ServiceName(f"assistant-{i}"): Offset(10_000) for i in range(4)}
    yield "DocumentQuery of 4 services", DocumentQuery(offsets)
