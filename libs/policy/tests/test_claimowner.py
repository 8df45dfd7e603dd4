"""Tests a partition owner's answers when appends and reads are lost, delayed or refused."""

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
from skylarkmoor_policy.claimowner import AppendBatch, ClaimOwner, LogRecord, ReadStream


def request(name, key=1):
    return ClaimRequest(name, key, 1, 0)


def claim(name, host="h1", key=1):
    return Claim(claim=name, key_hash=key, body_hash=1, host=host, incarnation=7, issued_wall_ms=0)


def log_records(*entries, start=0):
    return [LogRecord(start + i, 0, entry) for i, entry in enumerate(entries)]


def ready_owner(*entries):
    owner = ClaimOwner("o1", 1_000)
    owner.poll(0)
    owner.handle_read(log_records(*entries), 0, len(entries))
    return owner


def request_claim(owner, name, now_ms=0, sender="h1", to="o1"):
    return owner.handle_request(sender, request(name), 7, now_ms, to)


def result_message(name, status):
    return Send("h1", ClaimResult(name, status))


WON = ClaimStatus.WON
LOG_DOWN = ClaimStatus.LOG_DOWN


def test_answer_comes_from_reading_up_to_the_append():
    owner = ready_owner(claim("x", key=9))
    assert request_claim(owner, "a") == []
    assert owner.poll(0) == [AppendBatch(ClaimBatch(entries=(claim("a"),)))]
    owner.append_succeeded(2)
    assert owner.poll(1) == [ReadStream(1)]
    other_claim = claim("b", host="h2")
    sends = owner.handle_read(
        log_records(other_claim, ClaimBatch(entries=(claim("a"),)), start=1), 0, 3
    )
    assert sends == [
        Send("h1", ClaimResult("a", ClaimStatus.HELD, "b", "h2", 7, 1)),
    ]


def test_nothing_is_appended_before_the_stream_was_read_to_its_end():
    owner = ClaimOwner("o1", 1_000)
    request_claim(owner, "a")
    assert owner.poll(0) == [ReadStream(0)]
    owner.handle_read(log_records(claim("x", key=9)), 0, 5)
    assert owner.poll(0) == [ReadStream(1)]
    assert not owner.is_caught_up


@pytest.mark.parametrize("current_owner", ["o2", None])
def test_daemon_that_is_not_the_owner_answers_not_owner(current_owner):
    owner = ready_owner()
    assert request_claim(owner, "a", to=current_owner) == [
        result_message("a", ClaimStatus.NOT_OWNER)
    ]


def test_lost_append_that_took_effect_is_found_by_reading():
    owner = ready_owner()
    request_claim(owner, "a")
    owner.poll(0)
    owner.append_uncertain(1)
    assert owner.poll(1) == [ReadStream(0)]
    assert owner.handle_read(log_records(ClaimBatch(entries=(claim("a"),))), 0, 1) == [
        result_message("a", WON)
    ]


def test_lost_append_is_not_repeated_and_its_claims_are_refused():
    owner = ready_owner()
    request_claim(owner, "a")
    owner.poll(0)
    owner.append_uncertain(1)
    owner.poll(1)
    assert owner.handle_read([], 0, 0) == [result_message("a", LOG_DOWN)]
    assert not any(isinstance(decision, AppendBatch) for decision in owner.poll(1_000))


def test_read_started_before_a_lost_append_does_not_resolve_it():
    owner = ready_owner()
    request_claim(owner, "a")
    owner.poll(0)
    owner.poll(2_000 - 1)
    owner.append_uncertain(2_000 - 1)
    assert owner.handle_read([], 0, 0) == []
    assert ReadStream(0) in owner.poll(2_000 - 1)


def test_append_refused_by_the_rate_limit_is_retried():
    owner = ready_owner()
    request_claim(owner, "a")
    owner.poll(0)
    owner.append_rejected(1)
    assert owner.poll(2) == []
    assert owner.poll(500) == [AppendBatch(ClaimBatch(entries=(claim("a"),)))]


def test_claims_are_refused_after_two_failed_reads():
    owner = ClaimOwner("o1", 1_000)
    request_claim(owner, "a")
    owner.poll(0)
    assert owner.read_failed(0) == []
    assert owner.poll(1) == []
    owner.poll(500)
    assert owner.read_failed(500) == [result_message("a", LOG_DOWN)]


def test_claim_without_a_verdict_is_refused_after_the_timeout():
    owner = ClaimOwner("o1", 1_000)
    request_claim(owner, "a")
    owner.poll(0)
    assert owner.poll(2_000) == [result_message("a", LOG_DOWN)]


def test_repeated_request_for_a_claim_is_appended_once():
    owner = ready_owner()
    request_claim(owner, "a")
    request_claim(owner, "a")
    (append,) = owner.poll(0)
    assert append.batch.entries == (claim("a"),)
    assert request_claim(owner, "a") == []
    assert owner.poll(100) == []


def test_request_for_a_claim_that_holds_its_key_is_answered_again():
    owner = ready_owner(claim("a"))
    assert request_claim(owner, "a") == [result_message("a", WON)]


def test_release_removes_the_claim_from_the_queue():
    owner = ready_owner()
    request_claim(owner, "a")
    owner.handle_release(ReleaseRequest("a", 1))
    (append,) = owner.poll(0)
    assert append.batch.entries == (Release(claim="a", key_hash=1),)
    assert request_claim(owner, "a") == [result_message("a", LOG_DOWN)]


def test_release_is_appended_until_it_is_read_from_the_log():
    owner = ready_owner(claim("a"))
    owner.handle_release(ReleaseRequest("a", 1))
    owner.poll(0)
    owner.append_uncertain(0)
    owner.poll(0)
    owner.handle_read([], 0, 1)
    (append,) = owner.poll(300)
    assert append.batch.entries == (Release(claim="a", key_hash=1),)
    owner.append_succeeded(1)
    owner.poll(400)
    owner.handle_read(log_records(append.batch, start=1), 0, 2)
    assert owner.idle


def test_first_retained_offset_may_be_above_zero():
    owner = ClaimOwner("o1", 1_000)
    owner.poll(0)
    owner.handle_read(log_records(claim("a"), start=40), 40, 41)
    assert owner.is_caught_up
    assert owner.index.holder(1) == claim("a")


def test_claim_batch_encoding_round_trips():
    batch = ClaimBatch(entries=(Release(claim="a", key_hash=1), claim("b", key=2**64 - 1)))
    assert decode_record(encode_record(batch)) == batch
