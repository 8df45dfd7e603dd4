"""Guards the fake engine's batching, prefix cache and loss on a kill."""

import pytest

from skylarkmoor_core.ids import AttemptId, UpstreamId, VersionId
from skylarkmoor_measure.engines import EngineSpeed, FakeEngine, Sequence

SPEED = EngineSpeed(
    prefill_tokens_per_s=1_000,
    base_ms=10,
    per_sequence_ms=1,
    chunk_ms=32,
    max_batch=2,
    kv_capacity_tokens=1_000,
)


def _engine() -> FakeEngine:
    return FakeEngine(UpstreamId("u"), SPEED)


def _sequence(name: str, prompt_tokens: int = 32, hashes: tuple[int, ...] = ()) -> Sequence:
    return Sequence(AttemptId(name), VersionId("v1"), prompt_tokens, 2, hashes, 0.0)


def _run_to_idle(engine: FakeEngine) -> list[str]:
    completed: list[str] = []
    now_ms = 0.0
    while (step_ms := engine.begin_step()) is not None:
        now_ms += step_ms
        completed += [s.attempt for s in engine.end_step(now_ms).completed]
    return completed


def test_batch_never_exceeds_its_limit():
    engine = _engine()
    for name in "abc":
        engine.admit(_sequence(name))
    engine.begin_step()
    assert (len(engine.running), len(engine.waiting)) == (2, 1)


def test_step_takes_base_batch_and_prefill_time():
    engine = _engine()
    engine.admit(_sequence("a"))
    assert engine.begin_step() == pytest.approx(10 + 1 + 32)


def test_all_sequences_complete_in_order_of_arrival():
    engine = _engine()
    for name in "abc":
        engine.admit(_sequence(name))
    assert _run_to_idle(engine) == ["a", "b", "c"]
    assert engine.kv_used_tokens == 0


def test_second_request_with_same_prefix_skips_the_cached_blocks():
    engine = _engine()
    engine.admit(_sequence("a", 32, (1, 2)))
    _run_to_idle(engine)
    second = _sequence("b", 32, (1, 3))
    engine.admit(second)
    _run_to_idle(engine)
    assert second.cached_tokens == 16


def test_kill_loses_sequences_and_cache():
    engine = _engine()
    engine.admit(_sequence("a", 32, (1, 2)))
    _run_to_idle(engine)
    engine.admit(_sequence("b"))
    assert [s.attempt for s in engine.kill()] == ["b"]
    engine.restart()
    third = _sequence("c", 32, (1, 2))
    engine.admit(third)
    engine.begin_step()
    assert third.cached_tokens == 0
