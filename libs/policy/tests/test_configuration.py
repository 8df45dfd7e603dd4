"""Guards the rule that every reader of the log has the same document in force."""

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
from skylarkmoor_policy.configuration import Accepted, DocumentFollower, Ignored, Rejected

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


def published(based_on, version="v1"):
    return DocumentPublished(
        service="assistant", document=document(version), based_on=based_on, author="anwen"
    )


def carried(predecessor, version="v1", original=None):
    return DocumentCarried(
        service="assistant",
        document=document(version),
        predecessor=predecessor,
        published=original,
    )


def replay(records, start=0):
    follower = DocumentFollower()
    for offset in range(start, len(records)):
        follower.apply(offset, records[offset])
    return follower


def in_force(follower):
    offset, current = follower.current("assistant")
    return offset, current.version


def test_second_of_two_racing_publishers_is_rejected():
    follower = replay([published(None), published(0, "v2")])
    assert isinstance(follower.apply(2, published(0, "v3")), Rejected)
    assert in_force(follower) == (1, "v2")


def test_invalid_document_is_rejected_with_every_fault():
    follower = DocumentFollower()
    bad = msgspec.structs.replace(DOCUMENT, customers=(), version="V 1")
    record = DocumentPublished(service="assistant", document=bad, based_on=None, author="anwen")
    decision = follower.apply(0, record)
    assert "$.customers" in decision.reason
    assert "$.version" in decision.reason
    assert follower.current("assistant") is None


def test_document_of_another_service_is_rejected():
    record = DocumentPublished(service="orders", document=DOCUMENT, based_on=None, author="a")
    assert isinstance(DocumentFollower().apply(0, record), Rejected)


def test_undecodable_record_does_not_stop_the_reader():
    follower = DocumentFollower()
    assert isinstance(follower.apply(0, MessageError("not a record")), Rejected)
    assert isinstance(follower.apply(1, published(None)), Accepted)


def test_replayed_records_change_nothing():
    follower = replay([published(None), published(0, "v2")])
    assert isinstance(follower.apply(0, published(None)), Ignored)
    assert in_force(follower) == (1, "v2")
    assert follower.next_offset == 2


def test_carried_document_keeps_the_original_publication():
    follower = replay([published(None), carried(0, original=0), carried(1)])
    assert in_force(follower) == (2, "v1")
    assert follower.published("assistant") == 0


def test_carried_copy_that_lost_to_a_publication_is_rejected():
    follower = replay([published(None), published(0, "v2"), carried(0)])
    assert in_force(follower) == (1, "v2")


def test_carried_copy_with_other_content_is_rejected():
    follower = replay([published(None), carried(0, "v9")])
    assert in_force(follower) == (0, "v1")


MOVE = VersionMove(version="v2", by_ms=10**9)
MOVING = msgspec.structs.replace(DOCUMENT, move=MOVE)


def moving(based_on, continues=None, **changes):
    changed = msgspec.structs.replace(MOVING, **changes)
    return DocumentPublished(
        service="assistant",
        document=changed,
        based_on=based_on,
        author="anwen",
        continues=continues,
    )


def test_change_of_another_part_continues_the_move():
    # The move would begin anew otherwise, and try a version again that was stopped.
    follower = replay([published(None), moving(0)])
    limits = msgspec.structs.replace(DOCUMENT.limits, max_waiting=5)
    record = follower.publication(msgspec.structs.replace(MOVING, limits=limits), "anwen")
    assert (record.based_on, record.continues) == (1, 1)
    follower.apply(2, record)
    assert in_force(follower) == (2, "v1")
    assert follower.published("assistant") == 1


def test_other_move_is_a_new_one():
    follower = replay([published(None), moving(0)])
    later = msgspec.structs.replace(MOVE, by_ms=2 * 10**9)
    record = follower.publication(msgspec.structs.replace(MOVING, move=later), "anwen")
    assert record.continues is None
    follower.apply(2, record)
    assert follower.published("assistant") == 2


@pytest.mark.parametrize("record", [moving(1, continues=0), moving(1, continues=1, version="v9")])
def test_publication_that_continues_what_is_not_in_force_is_rejected(record):
    follower = replay([published(None), moving(0)])
    assert isinstance(follower.apply(2, record), Rejected)
    assert in_force(follower) == (1, "v1")


def test_offer_from_a_peer_replaces_an_older_document_and_log_goes_on_from_it():
    follower = replay([published(None)])
    offer = DocumentOffer("assistant", 5, document("v5"), published=3)
    assert isinstance(follower.offer(offer), Accepted)
    assert isinstance(follower.apply(1, published(0, "v2")), Ignored)
    assert in_force(follower) == (5, "v5")
    assert follower.published("assistant") == 3


@pytest.mark.parametrize("offset", [0, 1, 2])
def test_offer_never_turns_back_to_what_the_log_rejected(offset):
    follower = replay([published(None), published(0, "v2"), published(0, "v3")])
    offer = DocumentOffer("assistant", offset, document("v3"))
    assert isinstance(follower.offer(offer), Ignored)
    assert in_force(follower) == (1, "v2")


def test_reader_that_fell_behind_keeps_its_document_and_follows_the_carried_one():
    follower = replay([published(None)])
    assert follower.skip_to(20)
    assert in_force(follower) == (0, "v1")
    assert isinstance(follower.apply(20, carried(12, "v2", original=9)), Accepted)
    assert in_force(follower) == (20, "v2")
    assert follower.published("assistant") == 9


def test_new_reader_is_not_held_by_a_publication_that_lost_out_of_sight():
    # Offset 2 lost to offset 1, which a reader that starts at offset 2 cannot see.
    records = [published(None), published(0, "v2"), published(0, "v3"), published(1, "v4")]
    assert in_force(replay(records, start=2)) == in_force(replay(records)) == (3, "v4")


@pytest.mark.parametrize("seed", range(40))
def test_new_reader_agrees_with_one_that_read_everything(seed):
    # Guards against readers that disagree after retention: what is in force at the cut is
    # carried or replaced after it, as the carry duty demands.
    rng = random.Random(seed)
    records, accepted = [published(None)], [0]
    for offset in range(1, 30):
        base = rng.choice([accepted[-1], accepted[-1], rng.choice(accepted)])
        records.append(published(base, f"v{offset}"))
        if base == accepted[-1]:
            accepted.append(offset)
    cut = rng.randrange(1, 30)
    if not any(offset >= cut for offset in accepted):
        last = accepted[-1]
        records.append(carried(last, f"v{last}" if last else "v1", original=last))
    whole, late = replay(records), replay(records, start=cut)
    assert late.current("assistant") == whole.current("assistant"), f"seed {seed}, cut {cut}"


def test_copy_is_due_after_half_the_retention():
    follower = replay([published(None)])
    assert not follower.carry_due("assistant", 499, 0, 1000)
    assert follower.carry_due("assistant", 500, 0, 1000)
    assert follower.carry_due("assistant", 5000, 0, 1000)
    assert not follower.carry_due("unknown", 5000, 0, 1000)
