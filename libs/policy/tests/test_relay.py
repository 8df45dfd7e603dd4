"""Guards whole answers: no token twice, none missing, none from another attempt."""

import random

import pytest

from skylarkmoor_policy.relay import Complete, Drop, Emit, Redo, Relay, Resume


def started(*texts):
    relay = Relay()
    relay.start("a1", 0)
    for position, text in enumerate(texts):
        relay.chunk("a1", position, text)
    return relay


def test_chunk_of_an_earlier_attempt_is_dropped():
    relay = started("Keep ")
    relay.broken("a1")
    relay.start("a2", 1)
    assert isinstance(relay.chunk("a1", 1, "late "), Drop)
    assert relay.chunk("a2", 1, "warm") == Emit(1, "warm")
    assert relay.text == "Keep warm"


def test_repeated_position_is_dropped():
    relay = started("a ", "b ")
    assert isinstance(relay.chunk("a1", 0, "a "), Drop)
    assert relay.text == "a b "


def test_gap_asks_to_resume_at_the_missing_position():
    assert started("a ").chunk("a1", 2, "c ") == Resume("a1", 1)


@pytest.mark.parametrize(
    ("total", "decision"),
    [(2, Complete(2)), (3, Resume("a1", 2)), (1, Redo(2, "a b "))],
)
def test_only_the_matching_total_completes(total, decision):
    relay = started("a ", "b ")
    assert relay.end("a1", total) == decision
    assert relay.completed == (decision == Complete(2))


def test_end_of_an_earlier_attempt_does_not_complete():
    relay = started("a ")
    relay.gone("a1")
    relay.start("a2", 1)
    assert isinstance(relay.end("a1", 1), Drop)
    assert not relay.completed


def test_engine_that_cannot_go_on_is_given_up():
    relay = started("a ")
    assert [relay.broken("a1") for _ in range(3)] == [
        Resume("a1", 1),
        Resume("a1", 1),
        Redo(1, "a "),
    ]
    assert isinstance(relay.broken("a1"), Drop)


def test_progress_allows_further_resumes():
    relay = started("a ")
    relay.broken("a1")
    relay.broken("a1")
    relay.chunk("a1", 1, "b ")
    assert relay.broken("a1") == Resume("a1", 2)


@pytest.mark.parametrize(("attempt", "position"), [("a1", 1), ("a2", 0), ("a2", 2)])
def test_attempt_that_would_repeat_or_skip_text_is_refused(attempt, position):
    relay = started("a ")
    with pytest.raises(ValueError, match="start"):
        relay.start(attempt, position)


@pytest.mark.parametrize("seed", range(30))
def test_answer_is_whole_after_lost_repeated_and_mixed_up_chunks(seed):
    rng = random.Random(seed)
    words = [f"w{i} " for i in range(12)]
    relay, attempts, now, at = Relay(), ["a0"], 0, 0
    relay.start("a0", 0)
    for _ in range(2000):
        fault = rng.random()
        if fault < 0.1:
            decision = relay.chunk(rng.choice(attempts[:-1] or ["other"]), at, "wrong ")
        elif fault < 0.2:
            decision = relay.broken(attempts[-1])
        elif at == len(words):
            decision = relay.end(attempts[-1], at)
        else:
            decision = relay.chunk(attempts[-1], at, words[at])
            at = min(len(words), at + rng.choice([0, 1, 1, 1, 2]))
        match decision:
            case Resume(position=position):
                at = position
            case Redo(position=position):
                now += 1
                attempts.append(f"a{now}")
                relay.start(attempts[-1], position)
                at = position
            case Complete():
                break
    assert relay.completed, f"seed {seed}"
    assert relay.text == "".join(words), f"seed {seed}"
