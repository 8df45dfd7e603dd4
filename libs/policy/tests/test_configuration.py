"""Tests that all readers of the log agree on the document in force."""

import random

import msgspec
import pytest

from skylarkmoor_core.document import (
    Customer,
    Route,
    ServiceDocument,
    ServiceKind,
    Tier,
    VersionMove,
)
from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.messages import DocumentOffer
from skylarkmoor_core.records import DocumentCarried, DocumentPublished
from skylarkmoor_policy.configuration import (
    DocumentAccepted,
    DocumentFollower,
    DocumentRejected,
    RecordIgnored,
)

DOCUMENT = ServiceDocument(
    service="assistant",
    kind=ServiceKind.ENGINE,
    tiers=(Tier(name="public", rank=0),),
    routes=(Route(name="answer", tier="public"),),
    customers=(Customer(name="depot"),),
    version="v1",
)


def document(version="v1"):
    return msgspec.structs.replace(DOCUMENT, version=version)


def publish_record(based_on, version="v1"):
    return DocumentPublished(
        service="assistant", document=document(version), based_on=based_on, author="anwen"
    )


def carry_record(predecessor, version="v1", original=None):
    return DocumentCarried(
        service="assistant",
        document=document(version),
        predecessor=predecessor,
        published=original,
    )


def replay(records, start=0):
    follower = DocumentFollower()
    for offset in range(start, len(records)):
        follower.apply_record(offset, records[offset])
    return follower


def version_in_force(follower):
    offset, current = follower.current("assistant")
    return offset, current.version


def test_second_of_two_racing_publishers_is_rejected():
    follower = replay([publish_record(None), publish_record(0, "v2")])
    assert isinstance(follower.apply_record(2, publish_record(0, "v3")), DocumentRejected)
    assert version_in_force(follower) == (1, "v2")


def test_invalid_document_is_rejected_with_all_its_errors():
    follower = DocumentFollower()
    bad = msgspec.structs.replace(DOCUMENT, customers=(), version="V 1")
    record = DocumentPublished(service="assistant", document=bad, based_on=None, author="anwen")
    decision = follower.apply_record(0, record)
    assert "$.customers" in decision.reason
    assert "$.version" in decision.reason
    assert follower.current("assistant") is None


def test_document_of_another_service_is_rejected():
    record = DocumentPublished(service="orders", document=DOCUMENT, based_on=None, author="a")
    assert isinstance(DocumentFollower().apply_record(0, record), DocumentRejected)


def test_undecodable_record_does_not_stop_the_reader():
    follower = DocumentFollower()
    assert isinstance(follower.apply_record(0, MessageError("not a record")), DocumentRejected)
    assert isinstance(follower.apply_record(1, publish_record(None)), DocumentAccepted)


def test_replayed_records_change_nothing():
    follower = replay([publish_record(None), publish_record(0, "v2")])
    assert isinstance(follower.apply_record(0, publish_record(None)), RecordIgnored)
    assert version_in_force(follower) == (1, "v2")
    assert follower.next_offset == 2


def test_carried_document_keeps_the_original_publication():
    follower = replay([publish_record(None), carry_record(0, original=0), carry_record(1)])
    assert version_in_force(follower) == (2, "v1")
    assert follower.published_offset("assistant") == 0


def test_carried_copy_that_lost_to_a_publication_is_rejected():
    follower = replay([publish_record(None), publish_record(0, "v2"), carry_record(0)])
    assert version_in_force(follower) == (1, "v2")


def test_carried_copy_with_other_content_is_rejected():
    follower = replay([publish_record(None), carry_record(0, "v9")])
    assert version_in_force(follower) == (0, "v1")


MOVE = VersionMove(version="v2", by_ms=10**9)
MOVING = msgspec.structs.replace(DOCUMENT, move=MOVE)


def publish_move_record(based_on, continues=None, **changes):
    changed = msgspec.structs.replace(MOVING, **changes)
    return DocumentPublished(
        service="assistant",
        document=changed,
        based_on=based_on,
        author="anwen",
        continues=continues,
    )


def test_change_outside_the_move_continues_it():
    # Guards against a move that starts anew after an unrelated change and so retries a version
    # that was stopped.
    follower = replay([publish_record(None), publish_move_record(0)])
    limits = msgspec.structs.replace(DOCUMENT.limits, max_waiting=5)
    record = follower.publish_record(msgspec.structs.replace(MOVING, limits=limits), "anwen")
    assert (record.based_on, record.continues) == (1, 1)
    follower.apply_record(2, record)
    assert version_in_force(follower) == (2, "v1")
    assert follower.published_offset("assistant") == 1


def test_changed_move_starts_a_new_move():
    follower = replay([publish_record(None), publish_move_record(0)])
    later = msgspec.structs.replace(MOVE, by_ms=2 * 10**9)
    record = follower.publish_record(msgspec.structs.replace(MOVING, move=later), "anwen")
    assert record.continues is None
    follower.apply_record(2, record)
    assert follower.published_offset("assistant") == 2


@pytest.mark.parametrize(
    "record",
    [publish_move_record(1, continues=0), publish_move_record(1, continues=1, version="v9")],
)
def test_publication_that_continues_another_move_is_rejected(record):
    follower = replay([publish_record(None), publish_move_record(0)])
    assert isinstance(follower.apply_record(2, record), DocumentRejected)
    assert version_in_force(follower) == (1, "v1")


def test_peer_offer_replaces_an_older_document_and_older_log_records_are_ignored():
    follower = replay([publish_record(None)])
    offer = DocumentOffer("assistant", 5, document("v5"), published=3)
    assert isinstance(follower.apply_offer(offer), DocumentAccepted)
    assert isinstance(follower.apply_record(1, publish_record(0, "v2")), RecordIgnored)
    assert version_in_force(follower) == (5, "v5")
    assert follower.published_offset("assistant") == 3


@pytest.mark.parametrize("offset", [0, 1, 2])
def test_peer_offer_cannot_restore_a_rejected_document(offset):
    follower = replay([publish_record(None), publish_record(0, "v2"), publish_record(0, "v3")])
    offer = DocumentOffer("assistant", offset, document("v3"))
    assert isinstance(follower.apply_offer(offer), RecordIgnored)
    assert version_in_force(follower) == (1, "v2")


def test_reader_behind_retention_keeps_its_document_until_the_carried_copy():
    follower = replay([publish_record(None)])
    assert follower.skip_to(20)
    assert version_in_force(follower) == (0, "v1")
    assert isinstance(
        follower.apply_record(20, carry_record(12, "v2", original=9)), DocumentAccepted
    )
    assert version_in_force(follower) == (20, "v2")
    assert follower.published_offset("assistant") == 9


def test_new_reader_recovers_from_accepting_a_rejected_publication():
    # Offset 2 was rejected because of offset 1, which a reader that starts at offset 2 cannot see.
    records = [
        publish_record(None),
        publish_record(0, "v2"),
        publish_record(0, "v3"),
        publish_record(1, "v4"),
    ]
    assert (
        version_in_force(replay(records, start=2)) == version_in_force(replay(records)) == (3, "v4")
    )


@pytest.mark.parametrize("seed", range(40))
def test_new_reader_agrees_with_one_that_read_everything(seed):
    # Guards against readers that disagree after old records fell out of retention. The document
    # in force at the first retained offset is replaced or carried after it, as is required.
    rng = random.Random(seed)
    records, accepted = [publish_record(None)], [0]
    for offset in range(1, 30):
        base = rng.choice([accepted[-1], accepted[-1], rng.choice(accepted)])
        records.append(publish_record(base, f"v{offset}"))
        if base == accepted[-1]:
            accepted.append(offset)
    first_kept = rng.randrange(1, 30)
    if not any(offset >= first_kept for offset in accepted):
        last = accepted[-1]
        records.append(carry_record(last, f"v{last}" if last else "v1", original=last))
    full_reader, late_reader = replay(records), replay(records, start=first_kept)
    assert late_reader.current("assistant") == full_reader.current("assistant"), (
        f"seed {seed}, first kept offset {first_kept}"
    )


def test_carry_is_due_after_half_the_retention():
    follower = replay([publish_record(None)])
    assert not follower.is_carry_due("assistant", 499, 0, 1000)
    assert follower.is_carry_due("assistant", 500, 0, 1000)
    assert follower.is_carry_due("assistant", 5000, 0, 1000)
    assert not follower.is_carry_due("unknown", 5000, 0, 1000)
