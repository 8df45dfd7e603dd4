"""Guards against fields lost in encoding and against undecodable data raising other errors."""

import contextlib
from typing import get_args

import msgspec
import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from skylarkmoor_core.document import Customer, Route, ServiceDocument, ServiceKind, Tier
from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.messages import (
    ClaimRequest,
    ClaimResult,
    ClaimStatus,
    ClockAnswer,
    ClockQuestion,
    ConfigurationConfirmed,
    ConfigurationCopy,
    ConfigurationQuery,
    CrashedRequest,
    CrashEvidence,
    CrashReport,
    Demand,
    Digest,
    DocumentOffer,
    DocumentQuery,
    Envelope,
    Fact,
    FactKind,
    GatewayState,
    Gossip,
    Grant,
    Heartbeat,
    HostState,
    Message,
    NamedLimit,
    NamedLimits,
    OutcomeAnswer,
    OutcomeQuery,
    PartTrial,
    RelayedState,
    ReleaseRequest,
    SlotGrant,
    SlotLoads,
    SlotRefusal,
    SlotRequest,
    SlotWithdrawal,
    StateBundle,
    TopicRead,
    TopicRecord,
    UnitsGrant,
    UnitsRequest,
    UnitsReturn,
    decode_envelope,
    encode_envelope,
)
from skylarkmoor_core.outcome import Outcome

DOCUMENT = ServiceDocument(
    service="orders",
    kind=ServiceKind.PLAIN,
    tiers=(Tier(name="top", rank=0),),
    routes=(Route(name="place", tier="top", idempotent=False),),
    customers=(Customer(name="depots"),),
    version="v1",
)
MESSAGES = [
    Heartbeat(HostState.DRAINING, 4),
    Gossip((Fact(FactKind.SUSPECT, "9", (1, 2)),)),
    Digest((1, 2**64 - 1)),
    Demand("gpu-1", 3, (1, 2), (0, 4), 120),
    Grant("gpu-1", 3, (5, 0), 500),
    GatewayState("10.0.0.1:7600", False, 4, {"gpu-1": (2, 900)}, {"depots": 7}, {}, {"orders": 1}),
    ConfigurationQuery(),
    ConfigurationCopy(2, 7, 16, b"{}"),
    TopicRead("a", 2, 7, 9, (TopicRecord("k", None, 8),), True, 400, 410),
    SlotRequest(3, "assistant", 0, 1, False, 900, 400, 5, 300, 1500, 80, 9000, ("gpu-1",)),
    SlotWithdrawal(3),
    SlotGrant(3, "gpu-1", 17),
    SlotRefusal(3, 900, 5),
    UnitsRequest(4, "depots", 900, 900, 1_000.0, 2_000.0),
    UnitsGrant(4, "depots", 900, -70, True),
    UnitsReturn("depots", -30),
    ConfigurationConfirmed(1, 7, 80, 90),
    ClockQuestion(80),
    ClockAnswer(80, 90),
    NamedLimits(90, (NamedLimit("gpu-1", 17, 2.5, 80, 4), NamedLimit("gpu-2", 18, None, 85, 0))),
    CrashEvidence(
        (CrashReport("gpu-1", 7, 20, (CrashedRequest("r1", True, (2**64 - 1,)),)),),
        {5: 900},
        (PartTrial(5, 10),),
    ),
    SlotLoads("assistant", 1, 4, {"engine-1": (2, 900)}, 7),
    StateBundle(
        (RelayedState("entry-1", 5, GatewayState("10.0.0.1:7600", False, 4, {}, {}, {}, {})),)
    ),
    ClaimRequest("nadi-1/5/1", 2**64 - 1, 2, 7),
    ClaimResult("nadi-1/5/1", ClaimStatus.HELD, "suva-1/2/9", "suva-1", 2, 8),
    ReleaseRequest("nadi-1/5/1", 2**64 - 1),
    OutcomeQuery("nadi-1/5/1", 6),
    OutcomeAnswer("nadi-1/5/1", 6, True, Outcome.RAN, 200, b"\x00\xff"),
    DocumentOffer("orders", 3, DOCUMENT, 1),
    DocumentQuery({"orders": 3}),
]


def test_every_message_type_is_covered():
    assert {type(message) for message in MESSAGES} == set(get_args(Message))


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_round_trip_preserves_the_message(message):
    envelope = Envelope("nadi-1", 5, message)
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_message_types_have_distinct_tags():
    tags = [message.__struct_config__.tag for message in MESSAGES]
    assert len(set(tags)) == len(tags)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode(None),
        msgspec.msgpack.encode(["nadi-1", 5]),
        msgspec.msgpack.encode(["nadi-1", "5", ["h", 0, 1]]),
        msgspec.msgpack.encode(["nadi-1", 5, ["unheard", 0, 1]]),
        msgspec.msgpack.encode(["nadi-1", 5, ["h", 9, 1]]),
        msgspec.msgpack.encode(["nadi-1", 5, ["h", 0]]),
        encode_envelope(Envelope("nadi-1", 5, MESSAGES[0]))[:-1],
        encode_envelope(Envelope("nadi-1", 5, MESSAGES[0])) + b"x",
        b"\x94\xa1a\x05\x93\xa1h\x00\x01" + b"\x91" * 9_000,
    ],
)
def test_invalid_data_is_rejected(data):
    with pytest.raises(MessageError, match="not a message"):
        decode_envelope(data)


@seed(20261204)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_message_errors(data):
    with contextlib.suppress(MessageError):
        decode_envelope(data)


def test_demand_of_earlier_version_decodes_with_zero_pressure():
    data = msgspec.msgpack.encode(["nadi-1", 5, ["q", "gpu-1", 3, [1], [2]]])
    assert decode_envelope(data).message == Demand("gpu-1", 3, (1,), (2,), 0)


def test_slot_request_of_earlier_version_has_no_customer():
    fields = [3, "assistant", 0, 1, False, 900, 400, 5, 300, 1500, 80, 9000]
    data = msgspec.msgpack.encode(["nadi-1", 5, ["t", *fields]])
    decoded = decode_envelope(data).message
    assert (decoded.customer, decoded.customer_weight, decoded.work_tokens) == ("", 0, 0)
    assert decoded.request_hash == 0


@pytest.mark.parametrize("limit", [float("nan"), float("inf"), -1.0])
def test_a_limit_out_of_range_is_refused(limit):
    named = NamedLimit("u1", 1, limit, 0, 0)
    data = encode_envelope(Envelope("h", 1, NamedLimits(0, (named,))))
    with pytest.raises(MessageError):
        decode_envelope(data)


@pytest.mark.parametrize("time_ms", [2**60, -(2**60)])
def test_a_time_out_of_range_is_refused(time_ms):
    data = encode_envelope(Envelope("h", 1, NamedLimits(time_ms, ())))
    with pytest.raises(MessageError):
        decode_envelope(data)
