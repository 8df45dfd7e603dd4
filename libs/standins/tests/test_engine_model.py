"""Guards against exceeded batch limits and against answers that change on a retry.

Also covers cache reuse, the resume grace period, version faults and stale fencing tokens.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkmoor_standins.engine_model import EngineModel
from skylarkmoor_standins.engine_types import (
    AttemptOutcome,
    EngineFaults,
    EngineSettings,
    GenerateRequest,
    Order,
    OrderKind,
    VersionFaults,
)
from skylarkmoor_standins.errors import (
    AttemptExists,
    AttemptFailed,
    StaleFencingToken,
    UnknownAttempt,
    UpstreamLeaving,
    VersionNotLoaded,
)

SETTINGS = {
    "prefill_tokens_per_s": 1000,
    "decode_ms": 10,
    "decode_ms_per_running": 1,
    "max_batch": 2,
    "report_lag_ms": 100,
    "resume_grace_ms": 50,
    "keep_ms": 200,
    "event_gap_rate": 0.0,
}


def make_engine(versions=("v1",), **settings):
    settings = EngineSettings(**(SETTINGS | settings))
    return EngineModel(settings, versions, "mixed", random.Random(1), now_ms=0)


def generate_request(
    attempt, prompt="one two answer_tokens=3", version="v1", start=0, max_tokens=100
):
    return GenerateRequest(attempt, version, prompt, max_tokens, start)


def text(attempt):
    served = attempt.served
    return [attempt.word_at(position) for position in range(served.start_position, served.position)]


def test_prefill_is_followed_by_one_token_per_step():
    engine = make_engine()
    attempt = engine.generate(generate_request("a"), 0)
    engine.advance(3)
    assert (attempt.served.prefill_tokens, attempt.served.position) == (3, 1)
    engine.advance(13)
    assert attempt.served.position == 1
    engine.advance(14)
    assert attempt.served.position == 2
    engine.advance(25)
    assert (attempt.served.end, attempt.served.position) == (AttemptOutcome.DONE, 3)


def test_decode_step_duration_grows_with_batch_size():
    engine = make_engine()
    first = engine.generate(generate_request("a"), 0)
    second = engine.generate(generate_request("b"), 0)
    engine.advance(1000)
    # Each step decodes one token of each attempt, and the second prefill delays the first.
    assert first.served.ended_ms == 3 + (11 + 3) + 12
    assert second.served.ended_ms == 3 + (11 + 3) + 12 + 11


def test_attempts_beyond_max_batch_are_admitted_in_arrival_order():
    engine = make_engine(max_batch=1)
    attempts = [engine.generate(generate_request(name), 0) for name in "abc"]
    engine.advance(1000)
    admitted = [attempt.served.admitted_ms for attempt in attempts]
    assert admitted == [0, 25, 50]


def test_attempts_beyond_kv_capacity_wait():
    engine = make_engine(kv_capacity_tokens=10)
    engine.generate(generate_request("a"), 0)
    second = engine.generate(generate_request("b"), 0)
    engine.advance(20)
    assert second.served.admitted_ms is None
    engine.advance(25)
    assert second.served.admitted_ms == 25


def test_retry_with_sent_text_continues_the_same_answer():
    engine = make_engine()
    whole = engine.generate(generate_request("a", "tell me answer_tokens=6"), 0)
    engine.advance(1000)
    sent = text(whole)[:4]
    other = make_engine()
    continuation = other.generate(
        generate_request("b", "tell me answer_tokens=6 " + " ".join(sent), start=4), 0
    )
    other.advance(1000)
    assert sent + text(continuation) == text(whole)
    assert continuation.served.total == whole.served.total == 6


def test_answers_to_different_prompts_differ():
    engine = make_engine()
    first = engine.generate(generate_request("a", "one answer_tokens=5"), 0)
    second = engine.generate(generate_request("b", "two answer_tokens=5"), 0)
    engine.advance(1000)
    assert text(first) != text(second)


def test_repeated_prompt_hits_the_prefix_cache():
    engine = make_engine()
    prompt = " ".join(f"w{i}" for i in range(40)) + " answer_tokens=2"
    first = engine.generate(generate_request("a", prompt), 0)
    engine.advance(1000)
    second = engine.generate(generate_request("b", prompt), 1000)
    engine.advance(2000)
    assert (first.served.prefill_tokens, first.served.cached_tokens) == (41, 0)
    assert (second.served.prefill_tokens, second.served.cached_tokens) == (9, 32)


def test_imported_blocks_hit_the_prefix_cache():
    prompt = " ".join(f"w{i}" for i in range(40))
    source, target = make_engine(), make_engine()
    source.generate(generate_request("a", prompt, max_tokens=1), 0)
    source.advance(100)
    handle = source.export_kv("a")
    assert handle.tokens == 32
    target.import_kv(handle, 0)
    attempt = target.generate(generate_request("b", prompt), 0)
    assert attempt.served.cached_tokens == 32


def test_detached_attempt_is_abandoned_after_the_resume_grace_period():
    engine = make_engine()
    attempt = engine.generate(generate_request("a", "x answer_tokens=50"), 0)
    engine.advance(30)
    engine.detach(attempt, 30)
    engine.advance(60)
    before = attempt.served.position
    assert before > 2
    assert engine.get_attempt("a") is attempt
    engine.attach(attempt)
    engine.advance(200)
    assert not attempt.ended
    engine.detach(attempt, 200)
    engine.advance(300)
    assert attempt.served.end is AttemptOutcome.ABANDONED
    engine.advance(600)
    with pytest.raises(UnknownAttempt):
        engine.get_attempt("a")


def test_cancel_frees_the_batch_slot():
    engine = make_engine(max_batch=1)
    first = engine.generate(generate_request("a", "x answer_tokens=50"), 0)
    second = engine.generate(generate_request("b"), 0)
    assert engine.cancel("a", 20)
    assert not engine.cancel("a", 20)
    engine.advance(200)
    assert (first.served.end, second.served.end) == (AttemptOutcome.CANCELLED, AttemptOutcome.DONE)


def test_report_counts_lag():
    engine = make_engine()
    engine.generate(generate_request("a", "x answer_tokens=50"), 0)
    engine.advance(99)
    assert engine.report(99).running == 0
    engine.advance(101)
    report = engine.report(101)
    assert (report.running, report.as_of_ms) == (1, 1)


def test_refused_attempts_do_not_run():
    engine = make_engine()
    engine.generate(generate_request("a"), 0)
    with pytest.raises(AttemptExists):
        engine.generate(generate_request("a"), 0)
    with pytest.raises(VersionNotLoaded):
        engine.generate(generate_request("b", version="v2"), 0)
    engine.faults = EngineFaults(leaving=True)
    with pytest.raises(UpstreamLeaving):
        engine.generate(generate_request("c"), 0)
    engine.advance(1000)
    assert [(served.attempt, served.end) for served in engine.served] == [
        ("a", AttemptOutcome.DONE)
    ]


def test_version_errors_depend_on_request_count_and_route_text():
    engine = make_engine(versions=("v1", "v2"))
    faults = VersionFaults(error_rate=1.0, after_requests=1, route_text="brief")
    engine.faults = EngineFaults(versions={"v2": faults})
    engine.generate(generate_request("a", "brief", "v2"), 0)
    engine.generate(generate_request("b", "other", "v2"), 0)
    engine.generate(generate_request("c", "brief", "v1"), 0)
    with pytest.raises(AttemptFailed):
        engine.generate(generate_request("d", "brief", "v2"), 0)
    assert engine.served[-1].end is AttemptOutcome.ERROR


def test_slow_version_does_not_slow_other_versions():
    engine = make_engine(versions=("v1", "v2"))
    engine.faults = EngineFaults(versions={"v2": VersionFaults(slow_factor=3.0)})
    slow = engine.generate(generate_request("a", "x answer_tokens=90", "v2"), 0)
    fast = engine.generate(generate_request("b", "x answer_tokens=90", "v1"), 0)
    engine.advance(500)
    assert fast.served.position > 2.5 * slow.served.position


def test_crash_on_takes_effect_at_admission():
    engine = make_engine(max_batch=1)
    engine.faults = EngineFaults(crash_on="boom")
    engine.generate(generate_request("a"), 0)
    engine.generate(generate_request("b", "boom"), 0)
    engine.advance(20)
    assert not engine.crashed
    engine.advance(30)
    assert engine.crashed


def test_frozen_engine_makes_no_progress():
    engine = make_engine()
    attempt = engine.generate(generate_request("a"), 0)
    engine.faults = EngineFaults(frozen=True)
    engine.advance(500)
    assert (attempt.served.position, engine.next_event_ms()) == (0, None)
    engine.faults = EngineFaults()
    engine.advance(500 + 22)
    assert attempt.served.ended_ms == 500 + 22


@pytest.mark.parametrize("checks", [True, False])
def test_stale_fencing_token_is_refused_only_with_checks_enabled(checks):
    engine = make_engine(checks_fencing=checks)
    engine.execute_order(Order(OrderKind.ROLE, 5, role="prefill"), 0, None)
    old = Order(OrderKind.ROLE, 4, role="decode")
    if checks:
        with pytest.raises(StaleFencingToken):
            engine.execute_order(old, 0, None)
    else:
        engine.execute_order(old, 0, None)
    assert engine.report(0).role == ("prefill" if checks else "decode")


def test_version_is_ready_after_its_load_time():
    engine = make_engine()
    assert engine.execute_order(Order(OrderKind.LOAD, 1, "v2"), 0, load_ms=100)
    assert not engine.execute_order(Order(OrderKind.LOAD, 1, "v2"), 0, load_ms=100)
    engine.advance(99)
    assert (engine.report(99).versions, engine.report(99).loading) == (("v1",), ("v2",))
    engine.advance(100)
    assert engine.report(100).versions == ("v1", "v2")
    engine.execute_order(Order(OrderKind.UNLOAD, 1, "v1"), 100, None)
    assert engine.report(100).versions == ("v2",)


@given(
    arrivals=st.lists(
        st.tuples(st.integers(0, 50), st.integers(1, 30), st.integers(1, 12)), max_size=12
    ),
    step_ms=st.integers(1, 40),
)
def test_batch_limits_hold_and_every_attempt_completes(arrivals, step_ms):
    engine = make_engine(max_batch=3, kv_capacity_tokens=60, prefill_chunk_tokens=8)
    now_ms = 0
    for i, (pause_ms, prompt_tokens, tokens) in enumerate(arrivals):
        now_ms += pause_ms
        prompt = "w " * prompt_tokens + f"answer_tokens={tokens}"
        engine.generate(generate_request(str(i), prompt), now_ms)
        assert len(engine.running) <= 3
        reserved = sum(attempt.kv_reserved_tokens for attempt in engine.running)
        assert reserved <= 60 or len(engine.running) == 1
    while (next_event_ms := engine.next_event_ms()) is not None:
        now_ms = max(now_ms + step_ms, int(next_event_ms))
        engine.advance(now_ms)
    assert [served.end for served in engine.served] == [AttemptOutcome.DONE] * len(arrivals)
    admitted = [served.admitted_ms for served in engine.served]
    assert admitted == sorted(admitted)


@given(sent=st.integers(0, 9), tokens=st.integers(1, 9))
def test_retry_continues_at_any_position(sent, tokens):
    sent = min(sent, tokens)
    prompt = f"tell me answer_tokens={tokens}"
    whole, continuation = make_engine(), make_engine()
    first = whole.generate(generate_request("a", prompt), 0)
    whole.advance(10_000)
    words = text(first)
    second = continuation.generate(
        generate_request("b", " ".join([prompt, *words[:sent]]), start=sent), 0
    )
    continuation.advance(10_000)
    assert words[:sent] + text(second) == words
