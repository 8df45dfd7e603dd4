"""Guards streamed answers against loss, repetition and a false end when upstreams fail."""

import msgspec
import pytest
import pytest_twisted

_TEXT = "how warm? answer_tokens=40"


def _events(body):
    return [
        msgspec.json.decode(event.removeprefix(b"data: "))
        for event in body.split(b"\n\n")
        if event.startswith(b"data: {")
    ]


def _text(answer):
    deltas = [event["choices"][0]["delta"] for event in _events(answer.body)]
    return "".join(delta.get("content", "") for delta in deltas)


@pytest_twisted.async_yield_fixture
async def served(world, assistant):
    """One daemon before two engines, with the right answer to the text above."""
    world.engine("engine-1", decode_ms=5.0)
    world.engine("engine-2", decode_ms=5.0)
    world.publish(assistant)
    world.daemon("entry-1")
    await world.ready()
    world.expected = _text(await world.chat("entry-1", _TEXT, stream=True))
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
async def test_answer_is_whole_when_streams_are_faulty(served, faults):
    for engine in ("engine-1", "engine-2"):
        served.set_faults(engine, **faults)
    answer = await served.chat("entry-1", _TEXT, stream=True)
    assert _text(answer) == served.expected
    assert answer.body.endswith(b"data: [DONE]\n\n")


@pytest_twisted.ensureDeferred
async def test_answer_goes_on_elsewhere_when_the_engine_dies(served):
    model = served.engines

    def runs_on():
        return [name for name, engine in model.items() if engine.running]

    asked = served.chat("entry-1", _TEXT, stream=True)
    from twisted.internet.defer import ensureDeferred

    answer = ensureDeferred(asked)
    await served.until(runs_on)
    first = runs_on()[0]
    await served.until(lambda: model[first].served[-1].position >= 5)
    await served.kill_engine(first)
    answer = await answer
    assert _text(answer) == served.expected
    assert answer.body.endswith(b"data: [DONE]\n\n")
    (second,) = set(model) - {first}
    assert model[second].served[-1].start_position >= 5


@pytest_twisted.ensureDeferred
async def test_answer_that_is_cut_off_ends_with_an_error_and_no_end_marker(served):
    for engine in ("engine-1", "engine-2"):
        served.set_faults(engine, truncate=True)
    answer = await served.chat("entry-1", _TEXT, stream=True)
    error = _events(answer.body)[-1]["error"]
    assert (error["code"], error["outcome"]) == ("upstream_failed", "ran")
    assert b"[DONE]" not in answer.body


@pytest_twisted.ensureDeferred
async def test_failed_engines_give_an_error_with_its_own_status(served):
    for engine in ("engine-1", "engine-2"):
        served.set_faults(engine, error_rate=1.0)
    answer = await served.chat("entry-1", _TEXT, stream=True)
    assert answer.status == 502
    assert answer.error() == ("upstream_failed", "unknown")


@pytest_twisted.ensureDeferred
async def test_frozen_engine_is_given_up_before_the_deadline(served):
    from twisted.internet.defer import ensureDeferred

    answer = ensureDeferred(served.chat("entry-1", _TEXT, stream=True))
    model = served.engines
    await served.until(lambda: any(engine.running for engine in model.values()))
    for name, engine in model.items():
        if engine.running:
            served.set_faults(name, frozen=True)
    assert _text(await answer) == served.expected


@pytest_twisted.ensureDeferred
async def test_gone_caller_frees_the_engine(served):
    from twisted.internet.defer import CancelledError, ensureDeferred

    asked = ensureDeferred(served.chat("entry-1", "answer_tokens=1000"))
    model = served.engines.values()
    await served.until(lambda: any(engine.running for engine in model))
    asked.addErrback(lambda failure: failure.trap(CancelledError, Exception))
    asked.cancel()
    await served.until(lambda: not any(engine.running for engine in model))
    await served.until(lambda: served.daemons["entry-1"].held() == 0)


@pytest_twisted.ensureDeferred
async def test_late_answer_is_ended_at_its_deadline(served):
    headers = {"X-Deadline-Ms": str(served.clock.wall_ms() + 600)}
    answer = await served.chat("entry-1", "answer_tokens=1000", headers=headers)
    assert answer.status == 504
    assert answer.error() == ("deadline_passed", "ran")
    await served.until(lambda: served.daemons["entry-1"].held() == 0)


@pytest_twisted.ensureDeferred
async def test_retry_reaches_an_engine_that_was_idle(served):
    # The daemon's lease on the other engine has run out by then.
    await served.sleep(4.0)
    failures = [True]
    for engine in served.engines.values():
        engine._apply_request_faults = lambda *_: bool(failures and failures.pop())
    answer = await served.chat("entry-1", "answer_tokens=4")
    assert failures == []
    assert answer.status == 200, answer.body
