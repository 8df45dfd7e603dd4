"""Tests that the holder of a key follows from the log records alone."""

import pytest

from skylarkmoor_core.errors import MessageError
from skylarkmoor_core.records import Claim, ClaimBatch, Release
from skylarkmoor_policy.claimindex import (
    EXPIRY_MARGIN_MS,
    AlreadyReleased,
    ClaimIndex,
    HeldByOther,
    Won,
)

WINDOW_MS = 1_000
LIFETIME_MS = WINDOW_MS + EXPIRY_MARGIN_MS


def claim(name, key=1, body=1, issued_ms=0):
    return Claim(
        claim=name, key_hash=key, body_hash=body, host="h1", incarnation=1, issued_wall_ms=issued_ms
    )


def release(name, key=1):
    return Release(claim=name, key_hash=key)


def replay_records(*records, at_ms=0):
    index = ClaimIndex(WINDOW_MS)
    verdicts = [
        verdict
        for offset, record in enumerate(records)
        for verdict in index.apply(offset, at_ms, record)
    ]
    return index, verdicts


def test_first_claim_holds_the_key():
    index, verdicts = replay_records(claim("a"), claim("b"))
    assert verdicts == [Won(claim("a")), HeldByOther(claim("b"), claim("a"))]
    assert index.holder(1) == claim("a")


def test_released_key_goes_to_the_next_claim_and_not_to_a_lost_one():
    index, verdicts = replay_records(claim("a"), claim("b"), release("a"), claim("c"))
    assert verdicts[-1] == Won(claim("c"))
    assert index.holder(1) == claim("c")


def test_release_of_another_claim_does_not_free_the_key():
    index, _ = replay_records(claim("a"), release("b"))
    assert index.holder(1) == claim("a")


def test_claim_replayed_after_its_release_is_void():
    index, verdicts = replay_records(release("a"), claim("a"), claim("b"))
    assert verdicts == [AlreadyReleased(claim("a")), Won(claim("b"))]


def test_delayed_duplicate_of_a_released_claim_is_void():
    _, verdicts = replay_records(claim("a"), release("a"), claim("a"))
    assert verdicts[-1] == AlreadyReleased(claim("a"))


def test_duplicate_of_the_holding_claim_gets_the_same_verdict():
    _, verdicts = replay_records(claim("a"), claim("a"))
    assert verdicts == [Won(claim("a")), Won(claim("a"))]


def test_batch_entries_are_applied_in_order():
    batch = ClaimBatch(entries=(release("a"), claim("b"), claim("c")))
    index, verdicts = replay_records(claim("a"), batch)
    assert verdicts[1:] == [Won(claim("b")), HeldByOther(claim("c"), claim("b"))]


@pytest.mark.parametrize(("age_ms", "held"), [(LIFETIME_MS - 1, True), (LIFETIME_MS, False)])
def test_claim_expires_by_record_time(age_ms, held):
    index, _ = replay_records(claim("a"))
    (verdict,) = index.apply(1, age_ms, claim("b"))
    assert isinstance(verdict, HeldByOther) is held


def test_copy_with_a_later_issue_time_extends_the_hold():
    # A copy with a later issue time is accepted for longer than the holder's own key.
    index, _ = replay_records(claim("a"), claim("b", issued_ms=500))
    (verdict,) = index.apply(2, LIFETIME_MS, claim("c"))
    assert isinstance(verdict, HeldByOther)
    (verdict,) = index.apply(3, LIFETIME_MS + 500, claim("d"))
    assert verdict == Won(claim("d"))


def test_expired_claims_and_releases_are_removed():
    index, _ = replay_records(claim("a", key=1), claim("b", key=2), release("b", key=2))
    index.apply(3, LIFETIME_MS, claim("c", key=3))
    assert len(index) == 1
    assert not index.is_released("b")


def test_repeated_records_are_ignored():
    index, _ = replay_records(claim("a"), release("a"))
    assert index.apply(0, 0, claim("a")) == []
    assert index.holder(1) is None


def test_missing_record_raises():
    index, _ = replay_records(claim("a"))
    with pytest.raises(ValueError, match="must be 1, got 2"):
        index.apply(2, 0, claim("b"))


def test_undecodable_record_is_skipped():
    index, _ = replay_records(MessageError("not a record"))
    assert index.next_offset == 1
