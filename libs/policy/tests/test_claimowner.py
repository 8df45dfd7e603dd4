"""Guards an owner's answers against a log that loses, delays and refuses."""

import pytest

from skylarkmoor_core.messages import ClaimRequest, ClaimResult, ClaimStatus, ReleaseRequest
from skylarkmoor_core.records import (
    Claim,
    ClaimBatch,
    Release,
    decode_record,
    encode_record,
)
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.claimowner import Append, ClaimOwner, LogRecord, Read


def request(name, key=1):
    return ClaimRequest(name, key, 1, 0)


def claim(name, host="h1", key=1):
    return Claim(claim=name, key_hash=key, body_hash=1, host=host, incarnation=7, issued_wall_ms=0)


def records(*entries, start=0):
    return [LogRecord(start + i, 0, entry) for i, entry in enumerate(entries)]


def ready_owner(*entries):
    owner = ClaimOwner("o1", 1_000)
    owner.poll(0)
    owner.read(records(*entries), 0, len(entries))
    return owner


def ask(owner, name, now_ms=0, sender="h1", to="o1"):
    return owner.request(sender, request(name), 7, now_ms, to)


def result(name, status):
    return Send("h1", ClaimResult(name, status))


WON = ClaimStatus.WON
LOG_DOWN = ClaimStatus.LOG_DOWN


def test_answer_comes_from_reading_through_the_own_append():
    owner = ready_owner(claim("x", key=9))
    assert ask(owner, "a") == []
    assert owner.poll(0) == [Append(ClaimBatch(entries=(claim("a"),)))]
    owner.appended(2)
    assert owner.poll(1) == [Read(1)]
    other = claim("b", host="h2")
    sends = owner.read(records(other, ClaimBatch(entries=(claim("a"),)), start=1), 0, 3)
    assert sends == [
        Send("h1", ClaimResult("a", ClaimStatus.HELD, "b", "h2", 7, 1)),
    ]


def test_nothing_is_appended_before_the_whole_window_was_read():
    owner = ClaimOwner("o1", 1_000)
    ask(owner, "a")
    assert owner.poll(0) == [Read(0)]
    owner.read(records(claim("x", key=9)), 0, 5)
    assert owner.poll(0) == [Read(1)]
    assert not owner.ready


@pytest.mark.parametrize("owner_now", ["o2", None])
def test_daemon_that_is_not_the_owner_says_so(owner_now):
    owner = ready_owner()
    assert ask(owner, "a", to=owner_now) == [result("a", ClaimStatus.NOT_OWNER)]


def test_lost_append_that_took_effect_is_found_by_reading():
    owner = ready_owner()
    ask(owner, "a")
    owner.poll(0)
    owner.append_lost(1)
    assert owner.poll(1) == [Read(0)]
    assert owner.read(records(ClaimBatch(entries=(claim("a"),))), 0, 1) == [result("a", WON)]


def test_lost_append_is_not_repeated_and_its_claims_are_refused():
    owner = ready_owner()
    ask(owner, "a")
    owner.poll(0)
    owner.append_lost(1)
    owner.poll(1)
    assert owner.read([], 0, 0) == [result("a", LOG_DOWN)]
    assert not any(isinstance(decision, Append) for decision in owner.poll(1_000))


def test_read_begun_before_the_loss_does_not_settle_it():
    owner = ready_owner()
    ask(owner, "a")
    owner.poll(0)
    owner.poll(2_000 - 1)
    owner.append_lost(2_000 - 1)
    assert owner.read([], 0, 0) == []
    assert Read(0) in owner.poll(2_000 - 1)


def test_append_refused_for_its_rate_is_tried_again():
    owner = ready_owner()
    ask(owner, "a")
    owner.poll(0)
    owner.append_refused(1)
    assert owner.poll(2) == []
    assert owner.poll(500) == [Append(ClaimBatch(entries=(claim("a"),)))]


def test_claims_are_refused_when_reads_fail_twice():
    owner = ClaimOwner("o1", 1_000)
    ask(owner, "a")
    owner.poll(0)
    assert owner.read_failed(0) == []
    assert owner.poll(1) == []
    owner.poll(500)
    assert owner.read_failed(500) == [result("a", LOG_DOWN)]


def test_claim_without_a_verdict_is_refused_in_time():
    owner = ClaimOwner("o1", 1_000)
    ask(owner, "a")
    owner.poll(0)
    assert owner.poll(2_000) == [result("a", LOG_DOWN)]


def test_second_request_for_a_claim_is_not_appended_twice():
    owner = ready_owner()
    ask(owner, "a")
    ask(owner, "a")
    (append,) = owner.poll(0)
    assert append.batch.entries == (claim("a"),)
    assert ask(owner, "a") == []
    assert owner.poll(100) == []


def test_request_for_a_claim_that_holds_is_answered_again():
    owner = ready_owner(claim("a"))
    assert ask(owner, "a") == [result("a", WON)]


def test_release_takes_the_claim_out_of_the_queue():
    owner = ready_owner()
    ask(owner, "a")
    owner.release(ReleaseRequest("a", 1))
    (append,) = owner.poll(0)
    assert append.batch.entries == (Release(claim="a", key_hash=1),)
    assert ask(owner, "a") == [result("a", LOG_DOWN)]


def test_release_is_repeated_until_the_log_shows_it():
    owner = ready_owner(claim("a"))
    owner.release(ReleaseRequest("a", 1))
    owner.poll(0)
    owner.append_lost(0)
    owner.poll(0)
    owner.read([], 0, 1)
    (append,) = owner.poll(300)
    assert append.batch.entries == (Release(claim="a", key_hash=1),)
    owner.appended(1)
    owner.poll(400)
    owner.read(records(append.batch, start=1), 0, 2)
    assert owner.idle


def test_start_of_the_window_may_be_above_offset_zero():
    owner = ClaimOwner("o1", 1_000)
    owner.poll(0)
    owner.read(records(claim("a"), start=40), 40, 41)
    assert owner.ready
    assert owner.index.holder(1) == claim("a")


def test_batch_is_the_same_after_its_way_through_the_log():
    batch = ClaimBatch(entries=(Release(claim="a", key_hash=1), claim("b", key=2**64 - 1)))
    assert decode_record(encode_record(batch)) == batch
