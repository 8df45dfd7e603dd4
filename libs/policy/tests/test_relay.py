"""Tests that an answer has no repeated or missing token, and none from another attempt."""

import random

import pytest

from skylarkmoor_policy.relay import Complete, Drop, Emit, Resume, StartNewAttempt, StreamRelay


def started_relay(*texts):
    relay = StreamRelay()
    relay.start("a1", 0)
    for position, text in enumerate(texts):
        relay.handle_token("a1", position, text)
    return relay


def test_chunk_of_an_earlier_attempt_is_dropped():
    relay = started_relay("Keep ")
    relay.connection_lost("a1")
    relay.start("a2", 1)
    assert isinstance(relay.handle_token("a1", 1, "late "), Drop)
    assert relay.handle_token("a2", 1, "warm") == Emit(1, "warm")
    assert relay.text == "Keep warm"


def test_repeated_position_is_dropped():
    relay = started_relay("a ", "b ")
    assert isinstance(relay.handle_token("a1", 0, "a "), Drop)
    assert relay.text == "a b "


def test_gap_requests_a_resume_at_the_missing_position():
    assert started_relay("a ").handle_token("a1", 2, "c ") == Resume("a1", 1)


@pytest.mark.parametrize(
    ("total", "decision"),
    [(2, Complete(2)), (3, Resume("a1", 2)), (1, StartNewAttempt(2, "a b "))],
)
def test_only_a_matching_total_completes_the_answer(total, decision):
    relay = started_relay("a ", "b ")
    assert relay.handle_end("a1", total) == decision
    assert relay.completed == (decision == Complete(2))


def test_end_of_an_earlier_attempt_does_not_complete_the_answer():
    relay = started_relay("a ")
    relay.resume_unavailable("a1")
    relay.start("a2", 1)
    assert isinstance(relay.handle_end("a1", 1), Drop)
    assert not relay.completed


def test_attempt_without_progress_is_abandoned_after_two_resumes():
    relay = started_relay("a ")
    assert [relay.connection_lost("a1") for _ in range(3)] == [
        Resume("a1", 1),
        Resume("a1", 1),
        StartNewAttempt(1, "a "),
    ]
    assert isinstance(relay.connection_lost("a1"), Drop)


def test_progress_resets_the_resume_count():
    relay = started_relay("a ")
    relay.connection_lost("a1")
    relay.connection_lost("a1")
    relay.handle_token("a1", 1, "b ")
    assert relay.connection_lost("a1") == Resume("a1", 2)


@pytest.mark.parametrize(("attempt", "position"), [("a1", 1), ("a2", 0), ("a2", 2)])
def test_invalid_start_of_an_attempt_is_rejected(attempt, position):
    relay = started_relay("a ")
    with pytest.raises(ValueError, match="start"):
        relay.start(attempt, position)


@pytest.mark.parametrize("seed", range(30))
def test_answer_is_complete_after_lost_repeated_and_reordered_chunks(seed):
    rng = random.Random(seed)
    words = [f"w{i} " for i in range(12)]
    relay, attempts, attempt_number, next_position = StreamRelay(), ["a0"], 0, 0
    relay.start("a0", 0)
    for _ in range(2000):
        fault = rng.random()
        if fault < 0.1:
            decision = relay.handle_token(
                rng.choice(attempts[:-1] or ["other"]), next_position, "wrong "
            )
        elif fault < 0.2:
            decision = relay.connection_lost(attempts[-1])
        elif next_position == len(words):
            decision = relay.handle_end(attempts[-1], next_position)
        else:
            decision = relay.handle_token(attempts[-1], next_position, words[next_position])
            next_position = min(len(words), next_position + rng.choice([0, 1, 1, 1, 2]))
        match decision:
            case Resume(position=position):
                next_position = position
            case StartNewAttempt(position=position):
                attempt_number += 1
                attempts.append(f"a{attempt_number}")
                relay.start(attempts[-1], position)
                next_position = position
            case Complete():
                break
    assert relay.completed, f"seed {seed}"
    assert relay.text == "".join(words), f"seed {seed}"
