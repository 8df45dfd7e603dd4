"""Guards against a simulated engine with wrong batching, prefix caching or crash behaviour."""

import pytest

from skylarkmoor_core.ids import AttemptId, UpstreamId, VersionId
from skylarkmoor_measure.engines import EngineSpeed, FakeEngine, Sequence

SPEED = EngineSpeed(
    prefill_tokens_per_s=1_000,
    base_ms=10,
    per_sequence_ms=1,
    max_chunk_ms=32,
    max_batch=2,
    kv_capacity_tokens=1_000,
)


def _make_engine() -> FakeEngine:
    return FakeEngine(UpstreamId("u"), SPEED)


def _make_sequence(name: str, prompt_tokens: int = 32, hashes: tuple[int, ...] = ()) -> Sequence:
    return Sequence(AttemptId(name), VersionId("v1"), prompt_tokens, 2, hashes, 0.0)


def _run_until_idle(engine: FakeEngine) -> list[str]:
    completed: list[str] = []
    now_ms = 0.0
    while (step_ms := engine.begin_step()) is not None:
        now_ms += step_ms
        completed += [s.attempt for s in engine.end_step(now_ms).completed]
    return completed


def test_batch_does_not_exceed_max_batch():
    engine = _make_engine()
    for name in "abc":
        engine.admit(_make_sequence(name))
    engine.begin_step()
    assert (len(engine.running), len(engine.waiting)) == (2, 1)


def test_step_duration_is_base_plus_batch_plus_prefill_time():
    engine = _make_engine()
    engine.admit(_make_sequence("a"))
    assert engine.begin_step() == pytest.approx(10 + 1 + 32)


def test_equal_sequences_complete_in_arrival_order():
    engine = _make_engine()
    for name in "abc":
        engine.admit(_make_sequence(name))
    assert _run_until_idle(engine) == ["a", "b", "c"]
    assert engine.kv_used_tokens == 0


def test_request_with_shared_prefix_skips_cached_blocks():
    engine = _make_engine()
    engine.admit(_make_sequence("a", 32, (1, 2)))
    _run_until_idle(engine)
    second = _make_sequence("b", 32, (1, 3))
    engine.admit(second)
    _run_until_idle(engine)
    assert second.cached_tokens == 16


def test_kill_drops_sequences_and_prefix_cache():
    engine = _make_engine()
    engine.admit(_make_sequence("a", 32, (1, 2)))
    _run_until_idle(engine)
    engine.admit(_make_sequence("b"))
    assert [s.attempt for s in engine.kill()] == ["b"]
    engine.restart()
    third = _make_sequence("c", 32, (1, 2))
    engine.admit(third)
    engine.begin_step()
    assert third.cached_tokens == 0
