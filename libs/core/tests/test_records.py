"""Guards against fields lost in encoding and against undecodable data raising other errors."""

import contextlib
import json
from typing import get_args

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from skylarkmoor_core.document import Customer, Route, ServiceDocument, ServiceKind, Tier
from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.records import (
    AuditEntry,
    Claim,
    ClaimBatch,
    DocumentCarried,
    DocumentPublished,
    MoveEnded,
    MoveResult,
    MoveStep,
    Record,
    Release,
    decode_record,
    encode_record,
)

DOCUMENT = ServiceDocument(
    service="orders",
    kind=ServiceKind.PLAIN,
    tiers=(Tier(name="top", rank=0),),
    routes=(Route(name="place", tier="top", idempotent=False),),
    customers=(Customer(name="depots"),),
    version="v1",
)
CLAIM = Claim(
    claim="bangor-1/5/1",
    key_hash=2**64 - 1,
    body_hash=0,
    host="bangor-1",
    incarnation=5,
    issued_wall_ms=7,
)
RELEASE = Release(claim="bangor-1/5/1", key_hash=2**64 - 1)
RECORDS = [
    DocumentPublished(service="orders", document=DOCUMENT, based_on=None, author="mair"),
    DocumentPublished(service="orders", document=DOCUMENT, based_on=3, author="mair", reason="x"),
    DocumentCarried(service="orders", document=DOCUMENT, predecessor=3, published=1),
    MoveStep(
        service="orders",
        move="orders@3",
        version="v2",
        step=1,
        share_percent=5,
        predecessor=8,
        author="bangor-1",
    ),
    MoveEnded(
        service="orders",
        move="orders@3",
        version="v2",
        result=MoveResult.UNDONE,
        why="errors",
        author="bangor-1",
    ),
    CLAIM,
    RELEASE,
    ClaimBatch(entries=(CLAIM, RELEASE)),
    AuditEntry(who="mair", what="publish orders", before="a", after="b", at_ms=7, offset=3),
]


def test_every_record_type_is_covered():
    assert {type(record) for record in RECORDS} == set(get_args(Record))


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_round_trip_preserves_the_record_and_its_type_name(record):
    data = encode_record(record)
    assert decode_record(data) == record
    assert json.loads(data)["type"] == type(record).__name__


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"[]",
        b"{}",
        b'{"type": "Unheard"}',
        b'{"type": "Release", "claim": "a"}',
        b'{"type": "Release", "claim": "a", "key_hash": "1"}',
        b'{"type": "Release", "claim": "\xff", "key_hash": 1}',
        b'{"type": "Release", "claim": "a", "key_hash": 1} x',
        b'{"type": "Release", "claim": "a", "key_hash": 1, "x": ' + b"[" * 9_000,
    ],
)
def test_invalid_data_is_rejected(data):
    with pytest.raises(MessageError, match="not a record"):
        decode_record(data)


@seed(20261204)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_message_errors(data):
    with contextlib.suppress(MessageError):
        decode_record(data)


def test_fields_added_by_later_versions_are_ignored():
    assert decode_record(b'{"type": "Release", "claim": "a", "key_hash": 1, "new": 2}') == Release(
        claim="a", key_hash=1
    )
