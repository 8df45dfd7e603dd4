"""Guards against streamed answers that lose or repeat tokens, or seem complete, after failures."""

import msgspec
import pytest
import pytest_twisted

_PROMPT = "how warm? answer_tokens=40"


def _events(body):
    return [
        msgspec.json.decode(event.removeprefix(b"data: "))
        for event in body.split(b"\n\n")
        if event.startswith(b"data: {")
    ]


def _answer_text(answer):
    deltas = [event["choices"][0]["delta"] for event in _events(answer.body)]
    return "".join(delta.get("content", "") for delta in deltas)


@pytest_twisted.async_yield_fixture
async def cluster(world, assistant):
    """One daemon in front of two engines, with the expected answer to `_PROMPT`."""
    world.engine("engine-1", decode_ms=5.0)
    world.engine("engine-2", decode_ms=5.0)
    world.publish(assistant)
    world.daemon("entry-1")
    await world.ready()
    world.expected = _answer_text(await world.chat("entry-1", _PROMPT, stream=True))
    assert len(world.expected.split()) == 40
    yield world


@pytest.mark.parametrize(
    "faults",
    [
        {"cut_streams": 7},
        {"duplicate_chunks": 0.5},
        {"crossed_chunks": 0.5},
        {"cut_streams": 5, "duplicate_chunks": 0.3, "crossed_chunks": 0.3},
    ],
)
@pytest_twisted.ensureDeferred
async def test_answer_is_complete_when_upstream_streams_are_faulty(cluster, faults):
    for engine in ("engine-1", "engine-2"):
        cluster.set_faults(engine, **faults)
    answer = await cluster.chat("entry-1", _PROMPT, stream=True)
    assert _answer_text(answer) == cluster.expected
    assert answer.body.endswith(b"data: [DONE]\n\n")


@pytest_twisted.ensureDeferred
async def test_answer_continues_on_another_engine_after_a_crash(cluster):
    engine_models = cluster.engines

    def busy_engines():
        return [name for name, engine in engine_models.items() if engine.running]

    pending = cluster.chat("entry-1", _PROMPT, stream=True)
    from twisted.internet.defer import ensureDeferred

    answer = ensureDeferred(pending)
    await cluster.until(busy_engines)
    first = busy_engines()[0]
    await cluster.until(lambda: engine_models[first].served[-1].position >= 5)
    await cluster.kill_engine(first)
    answer = await answer
    assert _answer_text(answer) == cluster.expected
    assert answer.body.endswith(b"data: [DONE]\n\n")
    (second,) = set(engine_models) - {first}
    assert engine_models[second].served[-1].start_position >= 5


@pytest_twisted.ensureDeferred
async def test_truncated_answer_ends_with_an_error_and_no_end_marker(cluster):
    for engine in ("engine-1", "engine-2"):
        cluster.set_faults(engine, truncate=True)
    answer = await cluster.chat("entry-1", _PROMPT, stream=True)
    error = _events(answer.body)[-1]["error"]
    assert (error["code"], error["outcome"]) == ("upstream_failed", "ran")
    assert b"[DONE]" not in answer.body


@pytest_twisted.ensureDeferred
async def test_error_before_the_first_token_sets_the_http_status(cluster):
    for engine in ("engine-1", "engine-2"):
        cluster.set_faults(engine, error_rate=1.0)
    answer = await cluster.chat("entry-1", _PROMPT, stream=True)
    assert answer.status == 502
    assert answer.error() == ("upstream_failed", "unknown")


@pytest_twisted.ensureDeferred
async def test_frozen_engine_is_abandoned_before_the_deadline(cluster):
    from twisted.internet.defer import ensureDeferred

    answer = ensureDeferred(cluster.chat("entry-1", _PROMPT, stream=True))
    engine_models = cluster.engines
    await cluster.until(lambda: any(engine.running for engine in engine_models.values()))
    for name, engine in engine_models.items():
        if engine.running:
            cluster.set_faults(name, frozen=True)
    assert _answer_text(await answer) == cluster.expected


@pytest_twisted.ensureDeferred
async def test_disconnected_caller_frees_the_engine(cluster):
    from twisted.internet.defer import CancelledError, ensureDeferred

    pending = ensureDeferred(cluster.chat("entry-1", "answer_tokens=1000"))
    engine_models = cluster.engines.values()
    await cluster.until(lambda: any(engine.running for engine in engine_models))
    pending.addErrback(lambda failure: failure.trap(CancelledError, Exception))
    pending.cancel()
    await cluster.until(lambda: not any(engine.running for engine in engine_models))
    await cluster.until(lambda: cluster.daemons["entry-1"].held() == 0)


@pytest_twisted.ensureDeferred
async def test_answer_is_ended_at_its_deadline(cluster):
    headers = {"X-Deadline-Ms": str(cluster.clock.wall_ms() + 600)}
    answer = await cluster.chat("entry-1", "answer_tokens=1000", headers=headers)
    assert answer.status == 504
    assert answer.error() == ("deadline_passed", "ran")
    await cluster.until(lambda: cluster.daemons["entry-1"].held() == 0)


@pytest_twisted.ensureDeferred
async def test_retry_reaches_an_engine_that_was_idle(cluster):
    # By then the daemon's lease on the idle engine has expired.
    await cluster.sleep(4.0)
    failures = [True]
    for engine in cluster.engines.values():
        engine._apply_request_faults = lambda *_: bool(failures and failures.pop())
    answer = await cluster.chat("entry-1", "answer_tokens=4")
    assert failures == []
    assert answer.status == 200, answer.body
